// Package resourcelimit bounds the memory and the connections that the clients of all frontends can make the process
// use. Pools that share a limit each have a guaranteed minimum and may borrow beyond it.
package resourcelimit
