// Package peer implements one end of a RESP2 connection for tests: a scripted client or endpoint. Its methods fail the
// test on errors and on unexpected data.
package peer
