package hosted

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/peer"
)

// The tests of this file stop event loops while a long value is on the way to a client: it goes on for longer than any
// request may take.
const (
	slowValueBytes = 300 << 10
	slowPieces     = 25
	slowInterval   = 100 * time.Millisecond
)

// classTimes is a part of baseConfig, and shortClassTimes replaces it.
const (
	classTimes      = "aim = \"2s\"\ngive_up = \"3s\""
	shortClassTimes = "aim = \"600ms\"\ngive_up = \"600ms\""
)

// moreClasses is a class to add to a configuration.
const moreClasses = "[[class]]\nname = %q\neffect = \"safe\"\nworth = 1.0\n" + shortClassTimes + "\n[[plan]]\n"

// slowTransfer is a long value on its way from an endpoint through a gateway to a client.
type slowTransfer struct {
	*gateway
	t        *testing.T
	env      *testEnv
	client   *peer.Peer
	endpoint *peer.Peer
	written  chan error
}

// config returns the gateway's configuration, with some more classes.
func (s *slowTransfer) config(classes ...string) string {
	text := s.env.configText(1, 0, classTimes, shortClassTimes, classTimes, shortClassTimes,
		`within = "3s"`, `within = "600ms"`)
	for _, class := range classes {
		text = strings.Replace(text, "[[plan]]\n", fmt.Sprintf(moreClasses, class), 1)
	}
	return text
}

// startSlowTransfer starts a gateway and a transfer, of which the client has the first bytes. The endpoint goes on
// writing.
func startSlowTransfer(t *testing.T) *slowTransfer {
	t.Helper()
	s := &slowTransfer{t: t, env: startEnv(t, 0), written: make(chan error, 1)}
	ln := peer.Listen(t)
	s.env.agent.Set(catalog.Serving("slow", ln.Addr().String()))
	s.gateway = s.env.startService(s.config())
	s.client = peer.Dial(t, s.resp)
	s.client.Command("Q.ASK", customers["free"], "1", "c=evaluate,t=open,d=600,units=1,spread=1,first=0")
	s.endpoint = peer.Accept(t, ln)
	s.endpoint.Message()
	go func() { s.written <- s.write() }()
	if _, err := s.client.In.Peek(1); err != nil {
		t.Fatal(err)
	}
	return s
}

// write writes the endpoint's answer in pieces.
func (s *slowTransfer) write() error {
	text := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", slowValueBytes, strings.Repeat("v", slowValueBytes))
	for i := range slowPieces {
		piece := text[i*len(text)/slowPieces : (i+1)*len(text)/slowPieces]
		if _, err := io.WriteString(s.endpoint.NC, piece); err != nil {
			return fmt.Errorf("after %d of %d pieces: %w", i, slowPieces, err)
		}
		time.Sleep(slowInterval)
	}
	return nil
}

// reload applies a configuration.
func (s *slowTransfer) reload(text string) {
	s.t.Helper()
	cfg, err := Parse("test.toml", []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	if err := s.Reload(cfg); err != nil {
		s.t.Fatal(err)
	}
}

// wantsWhole checks that the client gets the whole value.
func (s *slowTransfer) wantsWhole() {
	s.t.Helper()
	if m, err := s.client.Try(); err != nil || len(m[0]) != slowValueBytes {
		s.t.Errorf("%.40q and %v, want the whole value", m, err)
	}
	if err := <-s.written; err != nil {
		s.t.Errorf("the endpoint can't go on: %v", err)
	}
}

// TestShutdownWaitsForLongValue guards against a shutdown of the hosted service that cuts off a long value which its
// endpoint still writes.
func TestShutdownWaitsForLongValue(t *testing.T) {
	s := startSlowTransfer(t)
	s.stop()
	s.wantsWhole()
	<-s.stopped
}

// TestLongValueOutlastsItsPool guards against a reload that replaces a pool and ends it while a long value is on its
// way: the client would get neither the rest nor an end.
func TestLongValueOutlastsItsPool(t *testing.T) {
	for name, change := range map[string]func(s *slowTransfer){
		"reload":       func(s *slowTransfer) { s.reload(s.config("more")) },
		"two reloads":  func(s *slowTransfer) { s.reload(s.config("more")); s.reload(s.config("other")) },
		"and back":     func(s *slowTransfer) { s.reload(s.config("more")); s.reload(s.config()) },
		"and shutdown": func(s *slowTransfer) { s.reload(s.config("more")); s.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSlowTransfer(t)
			change(s)
			s.wantsWhole()
		})
	}
}

// TestStalledValueEndsWithItsPool verifies that a pool that a reload replaces does not keep a long value that makes no
// progress: the client's connection ends amid the value once the bound between two pieces has passed.
func TestStalledValueEndsWithItsPool(t *testing.T) {
	t.Parallel()
	s := startSlowTransfer(t)
	s.reload(s.config("more"))
	_ = s.endpoint.NC.Close()
	if _, err := io.ReadAll(s.client.In); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want the end of the connection", err)
	}
}

// TestEndedPoolAnswersWhatIsLeft guards against a client that waits for good because the event loop of its request has
// ended: whoever stops a loop answers what is left, amid a value by the end of the connection.
func TestEndedPoolAnswersWhatIsLeft(t *testing.T) {
	s := startSlowTransfer(t)
	waiting := peer.Dial(t, s.resp)
	waiting.Command("Q.ASK", customers["free"], "2", "c=evaluate,t=open,d=600,units=1,spread=1,first=0")
	s.mu.Lock()
	var only *pool
	for _, p := range s.pools {
		only = p
	}
	s.mu.Unlock()
	for open := make(chan int); ; time.Sleep(time.Millisecond) {
		only.proxy.Post(func() { open <- only.proxy.Unanswered() })
		if <-open == 2 {
			break
		}
	}
	close(only.stop)
	<-only.ended
	only.isStarted = false // nobody stops it again
	if n := only.proxy.Unanswered(); n != 2 {
		t.Errorf("%d requests were left, want 2", n)
	}
	if _, err := io.ReadAll(s.client.In); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want the end of the connection amid the value", err)
	}
	waiting.Wants("-ERR failed")
	late := peer.Dial(t, s.resp) // its request is posted to a loop that has ended
	late.Command("Q.ASK", customers["free"], "3", "c=evaluate,t=open,d=600,units=1,spread=1,first=0")
	late.WantsPrefix("-BUSY")
}

// TestIDRunsOnceAcrossPools guards against a request of a class that must not be repeated and that runs twice: its
// client leaves while it runs, a reload replaces the pool, and the client comes again with the same ID.
func TestIDRunsOnceAcrossPools(t *testing.T) {
	const keyed, unsafe = "effect = \"keyed\"\nwindow = \"2s\"", `effect = "unsafe"`
	s := &slowTransfer{t: t, env: startEnv(t, 0)}
	ln := peer.Listen(t)
	s.env.agent.Set(catalog.Serving("slow", ln.Addr().String()))
	s.gateway = s.env.startService(strings.Replace(s.config(), keyed, unsafe, 1))
	ask := func(id string) *peer.Peer {
		c := peer.Dial(t, s.resp)
		c.Command("Q.DO", customers["free"], id, "c=change,t=open,d=600,units=1,spread=1,first=0", "body")
		return c
	}
	c := ask("1")
	peer.Accept(t, ln).Message()
	_ = c.NC.Close()
	s.reload(strings.Replace(s.config("more"), keyed, unsafe, 1))
	for s.Conns.Len() > 0 { // the service has seen the end
		time.Sleep(time.Millisecond)
	}
	ask("1").WantsPrefix("-ERR")
	other := ask("2")
	b := peer.Accept(t, ln)
	if m := b.Message(); m[2] != "2" {
		t.Errorf("request %q runs", m[2])
	}
	b.Write(peer.Answer("value"))
	other.Wants("value")
}

// TestLongValueOutlastsARemovedPool is like TestLongValueOutlastsItsPool for a pool that the new configuration does not
// have any more: its customers go to another one.
func TestLongValueOutlastsARemovedPool(t *testing.T) {
	short := []string{classTimes, shortClassTimes}
	w := startPools(t, "a", "", "a", "b", short...)
	ln := peer.Listen(t)
	w.agents["a"].Set(catalog.Serving("slow", ln.Addr().String()))
	s := &slowTransfer{gateway: w.gateway, t: t, env: w.testEnv, written: make(chan error, 1)}
	accepted := make(chan *peer.Peer, 1)
	go func() { accepted <- peer.Accept(t, ln) }()
	for s.endpoint == nil { // at first the pool may know its former endpoint only
		s.client = peer.Dial(t, s.resp)
		s.client.Command("Q.ASK", customers["small"], "1", "c=evaluate,t=open,d=600,units=1,spread=1,first=0")
		select {
		case s.endpoint = <-accepted:
		case <-time.After(slowInterval):
		}
	}
	s.endpoint.Message()
	go func() { s.written <- s.write() }()
	if _, err := s.client.In.Peek(1); err != nil {
		t.Fatal(err)
	}
	s.reload(strings.ReplaceAll(w.configText("b", "", "b"), classTimes, shortClassTimes))
	s.wantsWhole()
	s.client.Command("Q.ASK", customers["small"], "2", "c=evaluate,t=open,d=600,units=1,spread=1,first=0")
	s.client.Wants("from b")
}
