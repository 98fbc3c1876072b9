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

// fakeSystems stands in for the upstream, the counter and the endpoint source; the test says what they answer.
type fakeSystems struct {
	sent      []*upstream.Attempt
	cancelled []*upstream.Attempt
}

func (s *fakeSystems) Send(a *upstream.Attempt)                 { s.sent = append(s.sent, a) }
func (s *fakeSystems) Cancel(a *upstream.Attempt)               { s.cancelled = append(s.cancelled, a) }
func (s *fakeSystems) HealthCheck(string)                       {}
func (s *fakeSystems) UpdateEndpoint(balancer.Endpoint, string) {}
func (s *fakeSystems) KeepOnly([]endpoint.Entry)                {}
func (s *fakeSystems) SetMaxConnections(int)                    {}
func (s *fakeSystems) SetBlocked(string, bool)                  {}
func (s *fakeSystems) CloseIdle(int64, string)                  {}
func (s *fakeSystems) Sweep()                                   {}
func (s *fakeSystems) Close()                                   {}
func (s *fakeSystems) Add(balancer.CounterAdd)                  {}
func (s *fakeSystems) Move(string)                              {}
func (s *fakeSystems) Addr() string                             { return "" }
func (s *fakeSystems) Known()                                   {}
func (s *fakeSystems) Follow(string)                            {}
func (s *fakeSystems) Fetch()                                   {}
func (s *fakeSystems) Stop()                                    {}

// fakeClient keeps its answers.
type fakeClient struct{ answers []Answer }

func (c *fakeClient) Forward(time.Duration) []byte { return nil }
func (c *fakeClient) Answer(a Answer)              { c.answers = append(c.answers, a) }

// newProxy returns a proxy with one class and one plan, and what stands in for outside systems.
func newProxy(t *testing.T) (*Proxy, *fakeSystems) {
	t.Helper()
	set := balancer.Settings{Gateways: 1, MaxAttempts: 2, Classes: []balancer.Class{{PriorityWeight: 1,
		ClientTimeout: 30 * time.Second}},
		Plans: []balancer.Plan{{PriorityFactor: 1}}}
	p, err := New(eventloop.New(), Config{Start: Rules{Settings: set, MaxInFlight: 3}},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeSystems{}
	p.Connect(s, s, s)
	return p, s
}

// submit submits a request with an id.
func submit(p *Proxy, id string) (*Request, *fakeClient) {
	client := &fakeClient{}
	request := &Request{Client: client, ID: id, Customer: "a", At: p.Now(), Timeout: 10 * time.Second, Units: 1}
	p.Submit(request)
	return request, client
}

// The module never lets a request go unanswered; should it, the loop's own timer answers and cancels.
func TestDeadlineAnswersWhatTheModuleLeft(t *testing.T) {
	p, s := newProxy(t)
	request, client := submit(p, "1")
	p.events = nil // the module never hears of it
	p.dispatch(request, balancer.Dispatch{ID: request.id, Endpoint: "s-0"})
	p.RunDue(request.deadline)
	if len(client.answers) != 1 || client.answers[0].Outcome != TimedOut || len(s.cancelled) != 1 {
		t.Fatalf("answers %v, %d attempts cancelled", client.answers, len(s.cancelled))
	}
	if _, ok := p.events[len(p.events)-1].(balancer.RequestDone); !ok || !request.ended {
		t.Errorf("events %+v", p.events)
	}
	s.sent[0].End(balancer.Cancelled)
	s.sent[0].End(balancer.OK) // what comes later changes nothing
	p.ClientGone(request)
	p.Step()
	if len(client.answers) != 1 || len(p.requests) != 0 || len(p.openIDs) != 0 {
		t.Errorf("%d answers; %d requests are kept", len(client.answers), len(p.requests))
	}
}

// Two open requests never have the same id, and no more are open than may be.
func TestSubmitIsBounded(t *testing.T) {
	p, _ := newProxy(t)
	first, _ := submit(p, "1")
	if _, again := submit(p, "1"); len(again.answers) != 1 || again.answers[0].Outcome != Duplicate {
		t.Errorf("an open id: %v", again.answers)
	}
	submit(p, "")
	submit(p, "")
	if _, over := submit(p, "2"); len(over.answers) != 1 || over.answers[0].Outcome != Rejected {
		t.Errorf("beyond the bound: %v", over.answers)
	}
	p.ClientGone(first)
	if _, again := submit(p, "1"); len(again.answers) != 0 {
		t.Errorf("the id is free again: %v", again.answers)
	}
}

// Once a request has ended nothing goes out for it, whatever the module wants.
func TestNothingIsSentAfterTheAnswer(t *testing.T) {
	p, s := newProxy(t)
	request, client := submit(p, "1")
	p.events = nil
	p.dispatch(request, balancer.Dispatch{ID: request.id, Endpoint: "s-0"})
	p.dispatch(request, balancer.Dispatch{ID: request.id, Endpoint: "s-1"}) // hedging is not allowed
	s.sent[0].Owner.HandleResult(upstream.Result{Status: balancer.OK, Value: []byte("v")})
	p.dispatch(request, balancer.Dispatch{ID: request.id, Endpoint: "s-1"})
	if len(s.sent) != 1 || len(client.answers) != 1 || client.answers[0].Outcome != Served {
		t.Errorf("%d sent, answers %v", len(s.sent), client.answers)
	}
}

// A request is admitted without any outside system, a second end changes nothing, and the answer tells the quota
// status.
func TestAdmitOnly(t *testing.T) {
	p, s := newProxy(t)
	p.HandleEndpointUpdate(endpoint.Update{Kind: balancer.CachedSnapshot})
	p.Step() // as Run does first
	client := &fakeClient{}
	request := &Request{Client: client, Customer: "a", At: p.Now(), Timeout: time.Second, Units: 1,
		AdmitOnly: true, HoldFor: time.Hour}
	p.Submit(request)
	p.Step()
	if len(client.answers) != 1 || client.answers[0].Outcome != Admitted || len(s.sent) != 0 || len(p.requests) != 0 {
		t.Fatalf("answers %+v, %d sent", client.answers, len(s.sent))
	}
	p.FinishAdmitted(request)
	p.FinishAdmitted(request)
	p.Step()
	if len(client.answers) != 1 {
		t.Errorf("answers %+v", client.answers)
	}
}

// A client disconnects in the very turn in which a slot becomes free and the module sends its request: that attempt
// must get its result too. Without it the endpoint would count it as in flight for ever, until no slot is left.
func TestClientDisconnectsAsItsRequestIsDispatched(t *testing.T) {
	p, s := newProxy(t)
	p.Rules().MaxInFlight = 0
	p.HandleEndpointUpdate(endpoint.Update{Kind: balancer.Snapshot,
		Entries: []endpoint.Entry{{Endpoint: balancer.Endpoint{Name: "s-0"}}}})
	p.Step()
	for range 30 {
		var queued *Request
		for sent := -1; sent != len(s.sent); { // until one is queued
			sent = len(s.sent)
			queued, _ = submit(p, "")
			p.Step()
		}
		s.sent[0].Owner.HandleResult(upstream.Result{Status: balancer.OK, Value: []byte("v")})
		p.ClientGone(queued)
		p.Step()
		for _, a := range s.sent[1:] {
			a.Owner.HandleResult(upstream.Result{Status: balancer.OK, Value: []byte("v")})
		}
		s.sent = nil
		p.Step()
		if len(s.sent) != 0 || len(p.requests) != 0 || len(p.donePending) != 0 {
			t.Fatalf("%d sent for nobody; %d requests are kept", len(s.sent), len(p.requests))
		}
	}
	if submit(p, ""); true {
		p.Step()
	}
	if len(s.sent) != 1 {
		t.Error("the backend has no slot left, though nothing is out there")
	}
}

// newProxyWithResolution returns a proxy whose module answers that much before a deadline, and has no endpoint.
func newProxyWithResolution(t *testing.T, resolution time.Duration) *Proxy {
	t.Helper()
	p, _ := newProxy(t)
	rules := *p.Rules()
	rules.Settings.Resolution = resolution
	p.updateSettings(rules)
	p.HandleEndpointUpdate(endpoint.Update{Kind: balancer.CachedSnapshot})
	p.Step()
	return p
}

// A loop that is late at a request's deadline finds the module's timer and its own due at once: the module answers,
// with a rejection that the client may repeat, and not the loop's own timer.
func TestLateLoopLeavesTheDeadlineToTheModule(t *testing.T) {
	const resolution = 4 * time.Millisecond
	p := newProxyWithResolution(t, resolution)
	request, client := submit(p, "1")
	p.Step()
	p.RunDue(request.deadline + 2*resolution)
	p.Step()
	if len(client.answers) != 1 || client.answers[0].Outcome != Rejected {
		t.Errorf("answers %+v, want one rejection", client.answers)
	}
}

// A turn that takes long between the taking of a request and the module's step does not move the module's deadline
// behind the loop's own.
func TestLateStepLeavesTheDeadlineToTheModule(t *testing.T) {
	const resolution = 4 * time.Millisecond
	p := newProxyWithResolution(t, resolution)
	p.RunPending(nil, 0) // the turn begins
	request, client := submit(p, "1")
	p.SkewClock(5 * resolution) // other tasks of the turn take so long
	p.Step()
	p.RunDue(request.deadline)
	p.Step()
	if len(client.answers) != 1 || client.answers[0].Outcome != Rejected {
		t.Errorf("answers %+v, want one rejection", client.answers)
	}
}
