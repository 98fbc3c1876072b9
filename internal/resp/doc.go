// Package resp reads RESP2 messages and limits their size. It finds the end of a message and enforces the limits.
// Package redcon parses the message.
package resp
