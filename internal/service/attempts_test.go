package service

import (
	"testing"

	"gapgap/internal/fake/peer"
)

// An error from one backend leads to another attempt; its connection is good for more. After a break the value
// of a keyed request still comes from a backend.
func TestFurtherAttempt(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("Q.DO", peer.Customer, "1", peer.Keyed, "body")
	b := peer.Accept(t, ln)
	b.Message()
	b.Write("-ERR failed used=12\r\n")
	b.Message() // the second attempt
	b.NC.Close()
	b = peer.Accept(t, ln)
	b.Message()
	b.Write("*3\r\n" + peer.Bulk("done") + "$-1\r\n$-1\r\n")
	c.Wants("done")
}

// An unsafe request that may have run is neither sent again nor refused, only failed.
func TestUnsafeRequestIsNotRepeated(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("Q.DO", peer.Customer, "1", peer.Unsafe, "body")
	b := peer.Accept(t, ln)
	b.Message()
	b.NC.Close()
	c.Wants("-ERR failed")
}

// Odd answers cost the connection, not the front door, and are served to nobody.
func TestOddAnswers(t *testing.T) {
	for _, odd := range []string{"+OK\r\n", "*1\r\n$-1\r\n", "nonsense\r\n", "$999999999\r\n", ":1\r\n", "*1\r\n*1\r\n*1\r\n*1\r\n"} {
		ln := peer.Listen(t) // the module no longer uses a backend that fails twice
		env := start(t, []string{ln.Addr().String()})
		c := env.dial()
		c.Command("Q.DO", peer.Customer, "1", peer.Unsafe, "body")
		b := peer.Accept(t, ln)
		b.Message()
		b.Write(odd)
		c.Wants("-ERR failed")
		b.WantsEnd()
	}
}

// An answer that nobody asked for must not be taken for that of the next request.
func TestUnaskedAnswer(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	b.Write("*3\r\n" + peer.Bulk("one") + "$-1\r\n$-1\r\n*3\r\n" + peer.Bulk("stray") + "$-1\r\n$-1\r\n")
	c.Wants("one")
	b.WantsEnd()
	c.Command("Q.ASK", peer.Customer, "2", peer.List)
	b = peer.Accept(t, ln)
	b.Message()
	b.Write("*3\r\n" + peer.Bulk("two") + "$-1\r\n$-1\r\n")
	c.Wants("two")
}
