// Package peer is one end of a RESP2 connection for tests: a scripted client or endpoint. Its methods fail the test
// when something is not as it must be.
package peer
