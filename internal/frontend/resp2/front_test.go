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

func TestBusyAnswer(t *testing.T) {
	for pause, want := range map[time.Duration]string{0: "-BUSY\r\n", 1: "-BUSY 1\r\n", 250 * time.Millisecond: "-BUSY 250\r\n"} {
		if got := string(busyAnswer(pause)); got != want {
			t.Errorf("%v: %q", pause, got)
		}
	}
}

// A connection for which there is no place is refused with what it has sent lying unread: the refusal is read, and the end behind it is no reset. Those that
// may wait for their client's own end are few, and their places come back.
func TestRefusalOverUnreadBytes(t *testing.T) {
	ln := peer.Listen(t)
	now := func() time.Duration { return 1 }
	env := &proxy.Env{Memory: resourcelimit.NewBytes(1 << 20), Conns: resourcelimit.NewClientLimit(64, now), Now: now, Coarse: now}
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
		fr.turnAway(nc)
		c.Wants("-BUSY 100")
		if b, err := io.ReadAll(c.In); err != nil || len(b) > 0 {
			t.Fatalf("%.40q and %v, want the end", b, err)
		}
		c.NC.Close()
		for end := time.Now().Add(peer.Patient); fr.lingering.Load() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the place does not come back")
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
		fr.turnAway(nc)
	}
	if n := fr.lingering.Load(); n > fr.mostLingering() {
		t.Errorf("%d connections linger, %d may", n, fr.mostLingering())
	}
	for _, c := range all { // those beyond are refused too
		c.Wants("-BUSY 100")
	}
}
