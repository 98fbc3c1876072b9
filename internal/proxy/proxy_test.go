package proxy

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
	"gapgap/internal/upstream"
)

// sides stands in for all sides; the test says what they answer.
type sides struct {
	sent      []*upstream.Attempt
	cancelled []*upstream.Attempt
}

func (s *sides) Send(a *upstream.Attempt)         { s.sent = append(s.sent, a) }
func (s *sides) Cancel(a *upstream.Attempt)       { s.cancelled = append(s.cancelled, a) }
func (s *sides) Probe(string)                     {}
func (s *sides) Listed(balancer.Endpoint, string) {}
func (s *sides) KeepOnly([]endpoint.Entry)        {}
func (s *sides) Most(int)                         {}
func (s *sides) Hold(string, bool)                {}
func (s *sides) Yield(int64, string)              {}
func (s *sides) Sweep()                           {}
func (s *sides) Close()                           {}
func (s *sides) Add(balancer.CounterAdd)          {}
func (s *sides) Move(string)                      {}
func (s *sides) Addr() string                     { return "" }
func (s *sides) Known()                           {}
func (s *sides) Follow(string)                    {}
func (s *sides) Fetch()                           {}
func (s *sides) Stop()                            {}

// caller keeps its answers.
type caller struct{ answers []Answer }

func (c *caller) Forward(time.Duration) []byte { return nil }
func (c *caller) Answer(a Answer)              { c.answers = append(c.answers, a) }

func idle(t *testing.T) (*Proxy, *sides) {
	t.Helper()
	set := balancer.Settings{Gateways: 1, MaxAttempts: 2, Classes: []balancer.Class{{PriorityWeight: 1, ClientTimeout: 30 * time.Second}},
		Plans: []balancer.Plan{{PriorityFactor: 1}}}
	c, err := New(eventloop.New(), Config{Start: Rules{Settings: set, MaxInFlight: 3}}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	s := &sides{}
	c.Connect(s, s, s)
	return c, s
}

func (c *Proxy) submitted(id string) (*Request, *caller) {
	who := &caller{}
	r := &Request{Caller: who, ID: id, Customer: "a", At: c.Now(), Timeout: 10 * time.Second, Units: 1}
	c.Submit(r)
	return r, who
}

// The module never lets a request go unanswered; should it, the loop's own timer answers and calls off.
func TestOverdueRequest(t *testing.T) {
	c, s := idle(t)
	r, who := c.submitted("1")
	c.events = nil // the module never hears of it
	c.dispatch(r, balancer.Dispatch{ID: r.id, Endpoint: "s-0"})
	c.RunDue(r.due)
	if len(who.answers) != 1 || who.answers[0].Outcome != TimedOut || len(s.cancelled) != 1 {
		t.Fatalf("answers %v, %d attempts called off", who.answers, len(s.cancelled))
	}
	if _, ok := c.events[len(c.events)-1].(balancer.RequestDone); !ok || !r.ended {
		t.Errorf("events %+v", c.events)
	}
	s.sent[0].End(balancer.Cancelled)
	s.sent[0].End(balancer.OK) // what comes later changes nothing
	c.ClientGone(r)
	c.Step()
	if len(who.answers) != 1 || len(c.requests) != 0 || len(c.open) != 0 {
		t.Errorf("%d answers; %d requests are kept", len(who.answers), len(c.requests))
	}
}

// Two open requests never have the same id, and no more are open than may be.
func TestSubmitIsBounded(t *testing.T) {
	c, _ := idle(t)
	first, _ := c.submitted("1")
	if _, again := c.submitted("1"); len(again.answers) != 1 || again.answers[0].Outcome != Duplicate {
		t.Errorf("an open id: %v", again.answers)
	}
	c.submitted("")
	c.submitted("")
	if _, over := c.submitted("2"); len(over.answers) != 1 || over.answers[0].Outcome != Rejected {
		t.Errorf("beyond the bound: %v", over.answers)
	}
	c.ClientGone(first)
	if _, again := c.submitted("1"); len(again.answers) != 0 {
		t.Errorf("the id is free again: %v", again.answers)
	}
}

// Once a request has ended nothing goes out for it, whatever the module wants.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	c, s := idle(t)
	r, who := c.submitted("1")
	c.events = nil
	c.dispatch(r, balancer.Dispatch{ID: r.id, Endpoint: "s-0"})
	c.dispatch(r, balancer.Dispatch{ID: r.id, Endpoint: "s-1"}) // a second copy is not allowed
	s.sent[0].Owner.Ended(upstream.Result{Status: balancer.OK, Value: []byte("v")})
	c.dispatch(r, balancer.Dispatch{ID: r.id, Endpoint: "s-1"})
	if len(s.sent) != 1 || len(who.answers) != 1 || who.answers[0].Outcome != Served {
		t.Errorf("%d sent, answers %v", len(s.sent), who.answers)
	}
}

// Leave is given without any side, a second end changes nothing, and the answer tells of the quota.
func TestGrant(t *testing.T) {
	c, s := idle(t)
	c.HandleEndpointUpdate(endpoint.Update{Kind: balancer.CachedSnapshot})
	c.Step() // as Run does first
	who := &caller{}
	r := &Request{Caller: who, Customer: "a", At: c.Now(), Timeout: time.Second, Units: 1, AdmitOnly: true, HoldFor: time.Hour}
	c.Submit(r)
	c.Step()
	if len(who.answers) != 1 || who.answers[0].Outcome != Admitted || len(s.sent) != 0 || len(c.requests) != 0 {
		t.Fatalf("answers %+v, %d sent", who.answers, len(s.sent))
	}
	c.FinishAdmitted(r)
	c.FinishAdmitted(r)
	c.Step()
	if len(who.answers) != 1 {
		t.Errorf("answers %+v", who.answers)
	}
}

// A client leaves in the very turn in which a slot becomes free and the module sends its request: that attempt is owed its
// outcome too. Without it the backend would count as holding it for ever, until it has no slot left.
func TestClientLeavesAsItsRequestIsSent(t *testing.T) {
	c, s := idle(t)
	c.Rules().MaxInFlight = 0
	c.HandleEndpointUpdate(endpoint.Update{Kind: balancer.Snapshot, Entries: []endpoint.Entry{{Endpoint: balancer.Endpoint{Name: "s-0"}}}})
	c.Step()
	for range 30 {
		var queued *Request
		for sent := -1; sent != len(s.sent); { // until one is queued
			sent = len(s.sent)
			queued, _ = c.submitted("")
			c.Step()
		}
		s.sent[0].Owner.Ended(upstream.Result{Status: balancer.OK, Value: []byte("v")})
		c.ClientGone(queued)
		c.Step()
		for _, a := range s.sent[1:] {
			a.Owner.Ended(upstream.Result{Status: balancer.OK, Value: []byte("v")})
		}
		s.sent = nil
		c.Step()
		if len(s.sent) != 0 || len(c.requests) != 0 || len(c.leaving) != 0 {
			t.Fatalf("%d sent for nobody; %d requests are kept", len(s.sent), len(c.requests))
		}
	}
	if c.submitted(""); true {
		c.Step()
	}
	if len(s.sent) != 1 {
		t.Error("the backend has no slot left, though nothing is out there")
	}
}
