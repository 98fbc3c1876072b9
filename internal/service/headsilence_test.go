package service

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
	"gapgap/internal/resp"
)

// withoutStallTimeout makes the bound between two pieces of a long value longer than any wait of a test.
var withoutStallTimeout = withStallTimeout(2 * peer.Patient)

// longHead is the beginning of an answer that announces a long value, and has nothing of it.
var longHead = fmt.Sprintf("*3\r\n$%d\r\n", 300<<10)

// TestAnnouncedValueHasADeadline guards against an endpoint that announces a long value and then sends nothing: until
// the first bytes of the value are on their way to the client, its deadline holds.
func TestAnnouncedValueHasADeadline(t *testing.T) {
	for name, test := range map[string]struct {
		command []string
		want    string
	}{
		"safe":   {[]string{"Q.ASK", peer.Customer, "1", shortList}, "-BUSY"},
		"keyed":  {[]string{"Q.DO", peer.Customer, "1", shortened(peer.Keyed), "body"}, "-BUSY"},
		"unsafe": {[]string{"Q.DO", peer.Customer, "1", shortened(peer.Unsafe), "body"}, "-ERR"},
	} {
		for split, pieces := range map[string][]string{
			"whole head":  {longHead},
			"split head":  {longHead[:4], longHead[4:]},
			"no line end": {longHead[:len(longHead)-2], longHead[len(longHead)-2:]},
		} {
			t.Run(name+", "+split, func(t *testing.T) {
				t.Parallel()
				ln := peer.Listen(t)
				env := start(t, []string{ln.Addr().String()}, withoutStallTimeout, withShortTimeouts)
				c := env.dial()
				c.Command(test.command...)
				b := peer.Accept(t, ln)
				b.Message()
				for _, piece := range pieces {
					b.Write(piece)
					time.Sleep(10 * time.Millisecond)
				}
				c.WantsPrefix(test.want)
				b.WantsEnd() // the answer is not awaited any more
				c.Command("PING")
				c.Wants("+PONG")
			})
		}
	}
}

// shortened returns a list with shortTimeout.
func shortened(list string) string {
	return strings.Replace(list, "d=20000", fmt.Sprint("d=", shortTimeout.Milliseconds()), 1)
}

// TestBegunValueHasNoDeadline verifies the other side of the bound: a value of which one byte has come in time goes on
// for longer than the request may take.
func TestBegunValueHasNoDeadline(t *testing.T) {
	const size = 300 << 10
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()}, withShortTimeouts)
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", shortList)
	b := peer.Accept(t, ln)
	b.Message()
	b.Write(longHead)
	time.Sleep(shortTimeout / 2)
	text := longResponse(size)[len(longHead):]
	b.Write(text[:1])
	time.Sleep(2 * shortTimeout)
	b.Write(text[1:])
	if m := c.Message(); len(m[0]) != size {
		t.Errorf("a value of %d bytes", len(m[0]))
	}
}

// TestAnnouncedValueIsTriedElsewhere verifies that a request whose value was announced and did not begin still gets
// another attempt in its time.
func TestAnnouncedValueIsTriedElsewhere(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()}, withoutStallTimeout)
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	b.Write(longHead)
	time.Sleep(10 * time.Millisecond)
	b.NC.Close()
	again := peer.Accept(t, ln)
	if id := requestID(again); id != "1" {
		t.Fatalf("request %q", id)
	}
	again.Write(peer.Answer("value"))
	c.Wants("value")
}

// TestEndpointThatReadsSlowly guards against a request whose answer is late because its endpoint does not read it, or
// stops after a part of it.
func TestEndpointThatReadsSlowly(t *testing.T) {
	for name, read := range map[string]int{"nothing": 0, "a part": 1000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := peer.Listen(t)
			env := start(t, []string{ln.Addr().String()}, withoutStallTimeout, withShortTimeouts)
			c := env.dial()
			c.Command("Q.DO", peer.Customer, "1", shortened(peer.Unsafe), strings.Repeat("b", resp.MaxValueBytes))
			b := peer.Accept(t, ln)
			b.NC.(*net.TCPConn).SetReadBuffer(4 << 10)
			if _, err := io.CopyN(io.Discard, b.In, int64(read)); err != nil {
				t.Fatal(err)
			}
			c.WantsPrefix("-ERR")
			c.Command("PING")
			c.Wants("+PONG")
		})
	}
}
