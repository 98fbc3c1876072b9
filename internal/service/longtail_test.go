package service

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
)

// valueWithoutEnd returns an answer of three items that ends after its long value.
func valueWithoutEnd(n int) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n", n, strings.Repeat("v", n))
}

// TestAnswersBehindAnAnswerThatNeverEnds guards against a spoilt answer that blocks its client's connection: the value
// came whole and the rest never comes. Later requests on the connection must be answered, whatever goes on meanwhile,
// and the connection to the endpoint must be given back.
func TestAnswersBehindAnAnswerThatNeverEnds(t *testing.T) {
	const size = 100 << 10
	for name, meanwhile := range map[string]func(env *testEnv){
		"nothing else": func(*testEnv) {},
		"a reload": func(env *testEnv) {
			cfg := *env.gateway.cfg
			if err := env.gateway.Reload(func() (*Config, error) { return &cfg, nil }); err != nil {
				env.t.Error(err)
			}
		},
		"the endpoint drains": func(env *testEnv) { env.command("DETACH s-0") },
		"a shutdown":          func(env *testEnv) { env.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			env := start(t, []string{ln.Addr().String()})
			c := env.dial()
			c.Command("Q.ASK", peer.Customer, "1", peer.List)
			spoilt := peer.Accept(t, ln)
			spoilt.Message()
			c.Command("Q.ASK", peer.Customer, "2", peer.List)
			sound := peer.Accept(t, ln)
			sound.Message()
			meanwhile(env)
			go spoilt.NC.Write([]byte(valueWithoutEnd(size)))
			if m := c.Message(); len(m[0]) != size {
				t.Fatalf("a value of %d bytes", len(m[0]))
			}
			sound.Write(peer.Answer("two"))
			c.Wants("two")
			spoilt.WantsEnd()
			if name == "a shutdown" {
				<-env.gateway.Done()
				if n := env.gateway.Unanswered(); n != 0 {
					t.Errorf("%d requests unanswered", n)
				}
				return
			}
			env.waitNoneOpen()
		})
	}
}

// TestManyAnswersThatNeverEnd guards against spoilt answers that add up: clients that keep their connections after such
// an answer must not use up the connections to endpoints for the others.
func TestManyAnswersThatNeverEnd(t *testing.T) {
	const sockets = 128
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()}, func(c *Config, _ *testing.T) { c.Sockets = sockets })
	peer.Serve(t, ln, func(id string) string {
		if strings.HasPrefix(id, "spoilt") {
			return valueWithoutEnd(70 << 10)
		}
		return peer.Answer("sound")
	})
	for i := range BackendSockets(sockets) + 1 {
		c := env.dial()
		for served := false; !served; { // rejected while the connections to the endpoint are in use for a moment
			c.Command("Q.ASK", peer.Customer, fmt.Sprint("spoilt", i), peer.List)
			served = len(c.Message()[0]) == 70<<10
		}
	}
	c := env.dial()
	for served := false; !served; time.Sleep(5 * time.Millisecond) {
		c.Command("Q.ASK", peer.Customer, "other", peer.List)
		served = c.Message()[0] == "sound"
	}
}
