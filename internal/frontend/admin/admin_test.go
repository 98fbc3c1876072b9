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

// fakeService is a Service with one endpoint, s-1.
type fakeService struct{ unready error }

func (s *fakeService) Ready() error { return s.unready }
func (s *fakeService) Detach(_ context.Context, id string) error {
	if id != "s-1" {
		return fmt.Errorf("%q: never listed", id)
	}
	return nil
}
func (s *fakeService) Attach(ctx context.Context, id string) error { return s.Detach(ctx, id) }
func (s *fakeService) Figures() []byte                             { return []byte("svc.open_requests=14\n") }

// start serves on a new listener until the end of the test and returns its address.
func start(t *testing.T, svc Service) (*Frontend, string) {
	t.Helper()
	ln := peer.Listen(t)
	f := New(ln, svc, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.Serve()
	t.Cleanup(f.Close)
	return f, ln.Addr().String()
}

// roundTrip sends text on a new connection, closes its sending side if half is set, and returns the whole answer.
func roundTrip(t *testing.T, addr, text string, half bool) string {
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

// TestCalls verifies the answers to valid and invalid lines, and to a sending side that is closed without a line end.
func TestCalls(t *testing.T) {
	_, addr := start(t, &fakeService{})
	for text, want := range map[string]string{
		"PING\r\n": "YES\n", "ping\n": "YES\n", "  Ping \t\r\n": "YES\n", "INFO\n": "svc.open_requests=14\nEND\n",
		"PING\nPING\n": "YES\n", // one line per connection
		"\n":           "NO the line is empty\n", "PING now\n": "NO PING is followed by more than it wants\n",
		"DETACH\n":     "NO DETACH wants the ID of a backend\n",
		"ATTACH a b\n": "NO ATTACH is followed by more than it wants\n",
		"detach s-1\n": "YES\n", "ATTACH  s-1 \r\n": "YES\n", "DETACH S-1\n": "NO \"S-1\": never listed\n",
		"RESTART\n": "NO unknown call \"RESTART\"\n", "PI\x00NG\n": "NO the line is not text\n",
		strings.Repeat("x", 4*MaxLineBytes): fmt.Sprintf("NO the line is longer than %d bytes\n", MaxLineBytes),
	} {
		if got := roundTrip(t, addr, text, false); got != want {
			t.Errorf("%.40q: %q", text, got)
		}
	}
	if got := roundTrip(t, addr, "PING", true); got != "YES\n" { // half-closed: the line is complete
		t.Errorf("half-closed: %q", got)
	}
	if got := roundTrip(t, addr, "", true); got != "" {
		t.Errorf("no line sent: %q", got)
	}
}

// TestNotReady verifies that PING is answered with NO and the reason while the process can't serve.
func TestNotReady(t *testing.T) {
	_, addr := start(t, &fakeService{unready: errors.New("no backend is known\nyet")})
	if got := roundTrip(t, addr, "PING\n", false); got != "NO no backend is known yet\n" {
		t.Errorf("%q", got)
	}
}

// TestSilentCallersGiveWay verifies that callers that send nothing, or half a line, keep a bounded number of
// connections and delay no other caller.
func TestSilentCallersGiveWay(t *testing.T) {
	f, addr := start(t, &fakeService{})
	var silent []net.Conn
	for i := range 3 * MaxConnections {
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
	if got := roundTrip(t, addr, "PING\n", false); got != "YES\n" {
		t.Fatalf("with silent callers connected: %q", got)
	}
	_ = silent[0].SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := silent[0].Read(make([]byte, 1)); errors.Is(err, net.ErrClosed) || err == nil || isTimeout(err) {
		t.Errorf("the connection of the oldest silent caller is still open: %v", err)
	}
	f.mu.Lock()
	open := f.open
	f.mu.Unlock()
	if open > MaxConnections {
		t.Errorf("%d connections are open", open)
	}
	last := silent[len(silent)-1] // the newest is still open, and may complete its line
	_, _ = io.WriteString(last, "PING\n")
	_ = last.SetReadDeadline(time.Now().Add(20 * time.Second))
	if line, err := bufio.NewReader(last).ReadString('\n'); err != nil || line != "YES\n" {
		t.Errorf("the newest connection: %q, %v", line, err)
	}
}

// isTimeout reports whether an error is a network timeout.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// FuzzParse verifies that Parse returns either an error or a command with its ID, and that these give the same result
// when they are parsed again.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"PING", "DETACH s-1", "INFO x", "\r", "attach\ta", "\x00"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, line string) {
		command, id, err := Parse(line)
		if err != nil {
			if command != "" || id != "" {
				t.Errorf("%q: both an error and a command", line)
			}
			return
		}
		if (command == "DETACH" || command == "ATTACH") != (id != "") {
			t.Errorf("%q: %s %q", line, command, id)
		}
		if again, sameID, err := Parse(command + " " + id); err != nil || again != command || sameID != id {
			t.Errorf("%q: not the same when parsed again: %s %q %v", line, again, sameID, err)
		}
	})
}
