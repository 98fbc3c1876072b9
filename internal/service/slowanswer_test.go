package service

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
	"gapgap/internal/resp"
)

// The tests of this file play endpoints that begin an answer and pause before they go on. The latency objective decides
// what is worth starting; an answer that has begun may take until the deadline of the client.

const (
	// answerResumesAt is when an endpoint goes on with its answer, from the time at which it gets the request.
	answerResumesAt = 700 * time.Millisecond
	// patientTimeout is how long the clients of these tests wait.
	patientTimeout = 1800 * time.Millisecond
)

// pausedAnswer is an answer that its endpoint writes in two pieces.
type pausedAnswer struct {
	begin, rest string
	// size is that of the value.
	size int
}

// newPausedAnswer divides an answer after the first pieces bytes.
func newPausedAnswer(size, beginBytes int) pausedAnswer {
	text := longResponse(size)
	return pausedAnswer{begin: text[:beginBytes], rest: text[beginBytes:], size: size}
}

// pausedAnswers returns an answer for each place at which an endpoint may pause.
func pausedAnswers() map[string]pausedAnswer {
	const long, short = 148671, 20000
	longHead := len(fmt.Sprintf("*3\r\n$%d\r\n", long))
	shortHead := len(fmt.Sprintf("*3\r\n$%d\r\n", short))
	return map[string]pausedAnswer{
		"amid the head of a long value":  newPausedAnswer(long, longHead-4),
		"after the head of a long value": newPausedAnswer(long, longHead),
		"amid a long value":              newPausedAnswer(long, longHead+7),
		"after one byte":                 newPausedAnswer(short, 1),
		"after the head of a value":      newPausedAnswer(short, shortHead),
		"amid a value":                   newPausedAnswer(short, short/2),
		"before the line end of a value": newPausedAnswer(short, shortHead+short),
		"amid a value of ten bytes":      newPausedAnswer(10, len("*3\r\n$10\r\n")+5),
	}
}

// withObjective sets the latency objective of all classes, whose late answers have no weight, and patientTimeout.
func withObjective(objective time.Duration) option {
	return func(c *Config, _ *testing.T) {
		for i := range c.Settings.Classes {
			class := &c.Settings.Classes[i]
			class.ClientTimeout = patientTimeout
			class.LatencyObjective = objective
			class.LateWeightFraction = 0
		}
	}
}

// patientCommands returns a command of each effect whose client waits for patientTimeout.
func patientCommands() map[string][]string {
	patient := func(list string) string {
		return strings.Replace(list, "d=20000", fmt.Sprint("d=", patientTimeout.Milliseconds()), 1)
	}
	return map[string][]string{
		"safe":   {"Q.ASK", peer.Customer, "1", patient(peer.List)},
		"keyed":  {"Q.DO", peer.Customer, "1", patient(peer.Keyed), "body"},
		"unsafe": {"Q.DO", peer.Customer, "1", patient(peer.Unsafe), "body"},
	}
}

// TestBegunAnswerOutlastsTheObjective guards against a sound answer that is cut off at the latency objective, or after
// a pause of its endpoint, although its client still waits.
func TestBegunAnswerOutlastsTheObjective(t *testing.T) {
	for bound, objective := range map[string]time.Duration{
		"below": answerResumesAt - 300*time.Millisecond,
		"at":    answerResumesAt,
		"above": answerResumesAt + 400*time.Millisecond,
	} {
		for place, answer := range pausedAnswers() {
			for effect, command := range patientCommands() {
				t.Run(fmt.Sprintf("%s, objective %s, %s", effect, bound, place), func(t *testing.T) {
					t.Parallel()
					ln := peer.Listen(t)
					env := start(t, []string{ln.Addr().String()}, withObjective(objective))
					c := env.dial()
					c.Command(command...)
					b := peer.Accept(t, ln)
					b.Message()
					b.Write(answer.begin)
					time.Sleep(answerResumesAt)
					b.Write(answer.rest)
					if m := c.Message(); len(m[0]) != answer.size {
						t.Errorf("%d bytes that begin with %.20q, want %d", len(m[0]), m[0], answer.size)
					}
				})
			}
		}
	}
}

// TestBegunAnswerOutlastsWhatHappensMeanwhile guards against an answer that has begun and is cut off by a reload, the
// drain or the ejection of its endpoint, or a shutdown.
func TestBegunAnswerOutlastsWhatHappensMeanwhile(t *testing.T) {
	for change, meanwhile := range map[string]func(env *testEnv){
		"a reload": func(env *testEnv) {
			cfg := *env.gateway.cfg
			if err := env.gateway.Reload(func() (*Config, error) { return &cfg, nil }); err != nil {
				env.t.Error(err)
			}
		},
		"the endpoint drains": func(env *testEnv) {
			list := endpoints(2, env.gateway.cfg.KnownEndpoints.Endpoints[0].Address)
			list.Endpoints[0].Status = "DRAINING"
			env.updates <- list
		},
		"the endpoint is removed": func(env *testEnv) { env.updates <- endpoints(2) },
		"an operator ejects it":   func(env *testEnv) { env.command("DETACH s-0") },
		"a shutdown":              func(env *testEnv) { env.stop() },
	} {
		for place, answer := range pausedAnswers() {
			t.Run(change+", "+place, func(t *testing.T) {
				t.Parallel()
				ln := peer.Listen(t)
				env := start(t, []string{ln.Addr().String()}, withObjective(answerResumesAt/2))
				c := env.dial()
				c.Command(patientCommands()["keyed"]...)
				b := peer.Accept(t, ln)
				b.Message()
				b.Write(answer.begin)
				time.Sleep(answerResumesAt / 4)
				meanwhile(env)
				time.Sleep(answerResumesAt)
				b.Write(answer.rest)
				if m := c.Message(); len(m[0]) != answer.size {
					t.Errorf("%d bytes that begin with %.20q, want %d", len(m[0]), m[0], answer.size)
				}
			})
		}
	}
}

// TestValueIsGivenWithoutItsUsageFigures guards against a value that has come whole and is not passed on, because the
// usage figures behind it are late or never come.
func TestValueIsGivenWithoutItsUsageFigures(t *testing.T) {
	for place, end := range map[string]string{"before the figures": "", "amid the figures": "$6\r\nuse"} {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			ln := peer.Listen(t)
			env := start(t, []string{ln.Addr().String()}, withObjective(answerResumesAt))
			c := env.dial()
			c.Command(patientCommands()["unsafe"]...)
			b := peer.Accept(t, ln)
			b.Message()
			b.Write("*3\r\n" + peer.Bulk("value") + end)
			c.Wants("value")
			b.WantsEnd() // it carries no other request
			c.Command("PING")
			c.Wants("+PONG")
		})
	}
}

// TestBegunAnswerHasTheDeadlineOfItsClient verifies the bound of an answer that begins and never ends: its request gets
// a final answer at the deadline of its client, neither at the objective nor later.
func TestBegunAnswerHasTheDeadlineOfItsClient(t *testing.T) {
	const slack = 500 * time.Millisecond
	wants := map[string]string{"safe": "-BUSY", "keyed": "-BUSY", "unsafe": "-ERR"}
	for place, answer := range pausedAnswers() {
		if place == "amid a long value" {
			continue // bounded by its progress
		}
		for effect, command := range patientCommands() {
			t.Run(effect+", "+place, func(t *testing.T) {
				t.Parallel()
				ln := peer.Listen(t)
				env := start(t, []string{ln.Addr().String()}, withObjective(answerResumesAt), withoutStallTimeout)
				c := env.dial()
				c.Command(command...)
				b := peer.Accept(t, ln)
				b.Message()
				b.Write(answer.begin)
				began := time.Now()
				c.WantsPrefix(wants[effect])
				took := time.Since(began)
				if took < patientTimeout-slack || took > patientTimeout+slack {
					t.Errorf("the final answer comes after %v, want %v", took, patientTimeout)
				}
				b.WantsEnd()
				c.Command("PING")
				c.Wants("+PONG")
			})
		}
	}
}

// slowReadBuffer is the receive buffer, in bytes, of an endpoint that reads slowly.
const slowReadBuffer = 4 << 10

// readSlowly reads one command over the given time and answers it, unless its connection ends before.
func readSlowly(b *peer.Peer, readFor time.Duration) {
	const pieces = 20
	for range pieces {
		time.Sleep(readFor / pieces)
		if _, err := io.CopyN(io.Discard, b.In, resp.MaxValueBytes/pieces); err != nil {
			return
		}
	}
	if line, err := b.In.ReadString('\n'); err == nil && strings.HasSuffix(line, "b\r\n") {
		_, _ = io.WriteString(b.NC, peer.Answer("value")) // the gateway may have closed the connection
	}
}

// TestRequestThatIsReadSlowly guards against a request whose final answer comes after its time since its endpoint reads
// it slowly, at whichever side of the objective and the deadline its last byte is read.
func TestRequestThatIsReadSlowly(t *testing.T) {
	const slack = 500 * time.Millisecond
	for name, test := range map[string]struct {
		readFor time.Duration
		served  bool
	}{
		"whole before the objective":     {answerResumesAt / 2, true},
		"whole long after the deadline":  {2 * patientTimeout, false},
		"whole just before the deadline": {patientTimeout - 100*time.Millisecond, false},
	} {
		for effect, command := range patientCommands() {
			if effect == "safe" {
				continue // it has no body
			}
			t.Run(effect+", "+name, func(t *testing.T) {
				t.Parallel()
				ln := peer.ListenWithReadBuffer(t, slowReadBuffer)
				env := start(t, []string{ln.Addr().String()}, withObjective(answerResumesAt), withoutStallTimeout)
				c := env.dial()
				body := strings.Repeat("b", resp.MaxValueBytes-1)
				c.Command(append(command[:4:4], body)...)
				began := time.Now()
				go readSlowly(peer.Accept(t, ln), test.readFor)
				m := c.Message()
				if took := time.Since(began); took > patientTimeout+slack {
					t.Errorf("the final answer %.20q comes after %v", m[0], took)
				}
				if served := m[0] == "value"; served != test.served {
					t.Errorf("got %.20q, want served %t", m[0], test.served)
				}
				c.Command("PING")
				c.Wants("+PONG")
			})
		}
	}
}
