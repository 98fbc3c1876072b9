// Package resourcelimit bounds the bytes and connections that clients of all frontends together can make the process
// hold. Where several pools share a limit, each has a guaranteed minimum and may borrow beyond it.
package resourcelimit
