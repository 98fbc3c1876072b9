package admin

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
	"gapgap/internal/socket"
)

// TestLineInReadersHandsIsAnswered guards against a caller whose connection gives way to others although its line has
// been read, or has arrived while its reader was late.
func TestLineInReadersHandsIsAnswered(t *testing.T) {
	for name, gates := range map[string]*peer.GatedConn{
		"in the reader's hands": {Taken: make(chan struct{}), Release: make(chan struct{})},
		"in the socket":         {Before: make(chan struct{})},
	} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			f := New(ln, &fakeService{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
			p := peer.Dial(t, ln.Addr().String())
			conn, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			gates.TCPConn = conn.(*net.TCPConn)
			if !f.admit(gates) {
				t.Fatal("the connection is not admitted")
			}
			taken, before := gates.Taken, gates.Before
			f.wg.Go(func() { f.handle(gates) })
			p.Write("PING\n")
			if taken != nil {
				<-taken
			}
			for before != nil && socket.IsQuiet(conn) {
				time.Sleep(time.Millisecond)
			}
			for range MaxConnections {
				silent, other := net.Pipe()
				t.Cleanup(func() { _, _ = silent.Close(), other.Close() })
				if !f.admit(silent) {
					t.Fatal("a further connection is not admitted")
				}
			}
			if taken != nil {
				close(gates.Release)
			} else {
				close(before)
			}
			if line, err := io.ReadAll(p.In); err != nil || string(line) != "YES\n" {
				t.Errorf("%q and %v", line, err)
			}
			f.Close()
		})
	}
}
