package resp2

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/resp"
	"gapgap/internal/socket"
)

// TestBusyAnswer verifies that a rejection names its retry delay in milliseconds, rounded up, and none for 0.
func TestBusyAnswer(t *testing.T) {
	for pause, want := range map[time.Duration]string{
		0:                      "-BUSY\r\n",
		1:                      "-BUSY 1\r\n",
		250 * time.Millisecond: "-BUSY 250\r\n",
	} {
		if got := string(busyAnswer(pause)); got != want {
			t.Errorf("%v: %q", pause, got)
		}
	}
}

// TestRefusalOverUnreadBytes verifies that a connection beyond the limit is rejected while bytes that it sent are
// unread, and that the client reads the rejection and then the end of the connection, not a reset. Few such connections
// may wait for their client to close its side, and each is no longer counted once it has ended.
func TestRefusalOverUnreadBytes(t *testing.T) {
	ln := peer.Listen(t)
	now := func() time.Duration { return 1 }
	env := &proxy.Env{
		Memory: resourcelimit.NewBytes(1 << 20),
		Conns:  resourcelimit.NewClientLimit(64, now),
		Now:    now,
		Coarse: now,
	}
	fr := New(env, Config{}, ln, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for range 4 {
		c := peer.Dial(t, ln.Addr().String())
		nc, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.Write(peer.Command("Q.ASK", peer.Customer, "1", peer.List, strings.Repeat("b", resp.MaxValueBytes)))
		for socket.IsQuiet(nc) {
			time.Sleep(time.Millisecond)
		}
		fr.rejectConnection(nc)
		c.Wants("-BUSY 100")
		if b, err := io.ReadAll(c.In); err != nil || len(b) > 0 {
			t.Fatalf("%.40q and %v, want the end", b, err)
		}
		c.NC.Close()
		for end := time.Now().Add(peer.Patient); fr.lingering.Load() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the connection is still counted as lingering")
			}
		}
	}
	var all []*peer.Peer
	for range 5 {
		all = append(all, peer.Dial(t, ln.Addr().String()))
		nc, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		fr.rejectConnection(nc)
	}
	if n := fr.lingering.Load(); n > fr.lingeringLimit() {
		t.Errorf("%d connections linger, the limit is %d", n, fr.lingeringLimit())
	}
	for _, c := range all { // connections beyond the limit are rejected too
		c.Wants("-BUSY 100")
	}
}
