package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gapgap/internal/fake/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// desk is a Service that says what the test wants.
type desk struct{ unready error }

func (d *desk) Ready() error { return d.unready }
func (d *desk) Detach(_ context.Context, id string) error {
	if id != "s-1" {
		return fmt.Errorf("%q: never listed", id)
	}
	return nil
}
func (d *desk) Attach(ctx context.Context, id string) error { return d.Detach(ctx, id) }
func (d *desk) Figures() []byte                             { return []byte("svc.open_requests=14\n") }

func start(t *testing.T, svc Service) (*Front, string) {
	t.Helper()
	ln := peer.Listen(t)
	f := New(ln, svc, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.Serve()
	t.Cleanup(f.Close)
	return f, ln.Addr().String()
}

// ask sends text and returns all that is answered.
func ask(t *testing.T, addr, text string, half bool) string {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(nc, text)
	if half {
		_ = nc.(*net.TCPConn).CloseWrite()
	}
	b, err := io.ReadAll(nc)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	return string(b)
}

func TestCalls(t *testing.T) {
	_, addr := start(t, &desk{})
	for text, want := range map[string]string{
		"PING\r\n": "YES\n", "ping\n": "YES\n", "  Ping \t\r\n": "YES\n", "INFO\n": "svc.open_requests=14\nEND\n",
		"PING\nPING\n": "YES\n", // one line to a connection
		"\n":           "NO the line is empty\n", "PING now\n": "NO PING is followed by more than it wants\n",
		"DETACH\n":     "NO DETACH wants the ID of a backend\n",
		"ATTACH a b\n": "NO ATTACH is followed by more than it wants\n",
		"detach s-1\n": "YES\n", "ATTACH  s-1 \r\n": "YES\n", "DETACH S-1\n": "NO \"S-1\": never listed\n",
		"RESTART\n": "NO unknown call \"RESTART\"\n", "PI\x00NG\n": "NO the line is not text\n",
		strings.Repeat("x", 4*MaxLineBytes): fmt.Sprintf("NO the line is longer than %d bytes\n", MaxLineBytes),
	} {
		if got := ask(t, addr, text, false); got != want {
			t.Errorf("%.40q: %q", text, got)
		}
	}
	if got := ask(t, addr, "PING", true); got != "YES\n" { // half-closed: it has said all
		t.Errorf("half-closed: %q", got)
	}
	if got := ask(t, addr, "", true); got != "" {
		t.Errorf("nothing said: %q", got)
	}
}

// PING is a NO with the reason while the process can't serve.
func TestNotReady(t *testing.T) {
	_, addr := start(t, &desk{unready: errors.New("no backend is known\nyet")})
	if got := ask(t, addr, "PING\n", false); got != "NO no backend is known yet\n" {
		t.Errorf("%q", got)
	}
}

// Callers that say nothing, or half a call, hold a bounded number of places, and nobody else up.
func TestSilentCallersGiveWay(t *testing.T) {
	f, addr := start(t, &desk{})
	var silent []net.Conn
	for i := range 3 * MaxCalls {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		if i%2 == 0 {
			_, _ = io.WriteString(nc, "PIN")
		}
		silent = append(silent, nc)
	}
	if got := ask(t, addr, "PING\n", false); got != "YES\n" {
		t.Fatalf("beside silent callers: %q", got)
	}
	_ = silent[0].SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := silent[0].Read(make([]byte, 1)); errors.Is(err, net.ErrClosed) || err == nil || isTimeout(err) {
		t.Errorf("the oldest silent caller is still held: %v", err)
	}
	f.mu.Lock()
	held := f.open
	f.mu.Unlock()
	if held > MaxCalls {
		t.Errorf("%d callers held", held)
	}
	last := silent[len(silent)-1] // the newest still has its place, and may finish its call
	_, _ = io.WriteString(last, "PING\n")
	_ = last.SetReadDeadline(time.Now().Add(20 * time.Second))
	if line, err := bufio.NewReader(last).ReadString('\n'); err != nil || line != "YES\n" {
		t.Errorf("the newest: %q, %v", line, err)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"PING", "DETACH s-1", "INFO x", "\r", "attach\ta", "\x00"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, line string) {
		word, id, err := Parse(line)
		if err != nil {
			if word != "" || id != "" {
				t.Errorf("%q: an error and a call", line)
			}
			return
		}
		if (word == "DETACH" || word == "ATTACH") != (id != "") {
			t.Errorf("%q: %s %q", line, word, id)
		}
		if again, sameID, err := Parse(word + " " + id); err != nil || again != word || sameID != id {
			t.Errorf("%q: not the same when said again: %s %q %v", line, again, sameID, err)
		}
	})
}
