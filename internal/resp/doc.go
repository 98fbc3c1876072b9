// Package resp reads RESP2 messages within limits on their size. It finds the end of a message and enforces the limits;
// redcon parses the message.
package resp
