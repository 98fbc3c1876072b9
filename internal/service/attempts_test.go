package service

import (
	"testing"

	"gapgap/internal/fake/peer"
)

// TestFurtherAttempt verifies that an error answer from a backend leads to another attempt on the same connection, and
// that a keyed request is still answered after its connection breaks.
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
	b.Write(peer.Answer("done"))
	c.Wants("done")
}

// TestUnsafeRequestIsNotRepeated verifies that an unsafe request that may have run fails. It is neither sent again nor
// rejected.
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

// TestOddAnswers verifies that a malformed answer fails its request and closes the backend's connection, but does not
// stop the gateway.
func TestOddAnswers(t *testing.T) {
	for _, malformed := range []string{"+OK\r\n", "*1\r\n$-1\r\n", "nonsense\r\n", "$999999999\r\n", ":1\r\n",
		"*1\r\n*1\r\n*1\r\n*1\r\n"} {
		ln := peer.Listen(t) // a new backend each time: one that fails twice is ejected
		env := start(t, []string{ln.Addr().String()})
		c := env.dial()
		c.Command("Q.DO", peer.Customer, "1", peer.Unsafe, "body")
		b := peer.Accept(t, ln)
		b.Message()
		b.Write(malformed)
		c.Wants("-ERR failed")
		b.WantsEnd()
	}
}

// TestUnaskedAnswer verifies that an unsolicited answer closes its connection. It must not be taken for the answer to
// the next request.
func TestUnaskedAnswer(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	b.Write(peer.Answer("one") + peer.Answer("stray"))
	c.Wants("one")
	b.WantsEnd()
	c.Command("Q.ASK", peer.Customer, "2", peer.List)
	b = peer.Accept(t, ln)
	b.Message()
	b.Write(peer.Answer("two"))
	c.Wants("two")
}
