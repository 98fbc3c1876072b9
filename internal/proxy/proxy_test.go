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

// fakeSystems implements Upstream, Counter and EndpointSource. It records attempts; the test supplies their results.
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

// fakeClient records its answers.
type fakeClient struct{ answers []Answer }

func (c *fakeClient) Forward(time.Duration) []byte { return nil }
func (c *fakeClient) Answer(a Answer)              { c.answers = append(c.answers, a) }

// newProxy returns a proxy with one class and one plan, and its fake external systems.
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

// submit submits a request with the given ID.
func submit(p *Proxy, id string) (*Request, *fakeClient) {
	client := &fakeClient{}
	request := &Request{Client: client, ID: id, Customer: "a", At: p.Now(), Timeout: 10 * time.Second, Units: 1}
	p.Submit(request)
	return request, client
}

// TestDeadlineAnswersWhatTheModuleLeft verifies that the timer of the proxy answers a request and cancels its attempts
// if the Balancer leaves the request unanswered.
func TestDeadlineAnswersWhatTheModuleLeft(t *testing.T) {
	p, s := newProxy(t)
	request, client := submit(p, "1")
	p.events = nil // the Balancer never receives the request
	p.dispatch(request, balancer.Dispatch{ID: request.id, Endpoint: "s-0"})
	p.RunDue(request.deadline)
	if len(client.answers) != 1 || client.answers[0].Outcome != TimedOut || len(s.cancelled) != 1 {
		t.Fatalf("answers %v, %d attempts cancelled", client.answers, len(s.cancelled))
	}
	if _, ok := p.events[len(p.events)-1].(balancer.RequestDone); !ok || !request.ended {
		t.Errorf("events %+v", p.events)
	}
	s.sent[0].End(balancer.Cancelled)
	s.sent[0].End(balancer.OK) // later results change nothing
	p.ClientGone(request)
	p.Step()
	if len(client.answers) != 1 || len(p.requests) != 0 || len(p.openIDs) != 0 {
		t.Errorf("%d answers, want 1; %d requests are kept, want 0", len(client.answers), len(p.requests))
	}
}

// TestSubmitIsBounded verifies that two open requests never have the same ID and that the number of open requests is
// bounded.
func TestSubmitIsBounded(t *testing.T) {
	p, _ := newProxy(t)
	first, _ := submit(p, "1")
	if _, again := submit(p, "1"); len(again.answers) != 1 || again.answers[0].Outcome != Duplicate {
		t.Errorf("ID of an open request: %v", again.answers)
	}
	submit(p, "")
	submit(p, "")
	if _, over := submit(p, "2"); len(over.answers) != 1 || over.answers[0].Outcome != Rejected {
		t.Errorf("request beyond the limit: %v", over.answers)
	}
	p.ClientGone(first)
	if _, again := submit(p, "1"); len(again.answers) != 0 {
		t.Errorf("ID of a closed request: %v", again.answers)
	}
}

// TestNothingIsSentAfterTheAnswer verifies that no attempt is sent after the request has ended, even if the Balancer
// dispatches one.
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

// TestAdmitOnly verifies that a request with AdmitOnly is admitted without any external system and that finishing it
// twice has no further effect.
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

// TestClientDisconnectsAsItsRequestIsDispatched verifies that an attempt gets its result even if the client disconnects
// in the same turn in which a slot becomes free and the Balancer dispatches the request. Without a result the endpoint
// would count the attempt as in flight forever, until no slot is left.
func TestClientDisconnectsAsItsRequestIsDispatched(t *testing.T) {
	p, s := newProxy(t)
	p.Rules().MaxInFlight = 0
	p.HandleEndpointUpdate(endpoint.Update{Kind: balancer.Snapshot,
		Entries: []endpoint.Entry{{Endpoint: balancer.Endpoint{Name: "s-0"}}}})
	p.Step()
	for range 30 {
		var queued *Request
		for sent := -1; sent != len(s.sent); { // until a request is queued
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
			t.Fatalf("%d attempts sent for a disconnected client; %d requests are kept", len(s.sent), len(p.requests))
		}
	}
	if submit(p, ""); true {
		p.Step()
	}
	if len(s.sent) != 1 {
		t.Error("the endpoint has no slot left, though no attempt is in flight")
	}
}

// newProxyWithResolution returns a proxy without endpoints whose Balancer answers requests by the given resolution
// before their deadline.
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

// TestLateLoopLeavesTheDeadlineToTheModule verifies that a request is answered by the Balancer, with a rejection that
// the client may retry, if the loop is late and finds the timers of the Balancer and of the proxy due in the same turn.
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

// TestLateStepLeavesTheDeadlineToTheModule verifies that a long delay between the arrival of a request and the Step of
// the same turn does not move the deadline of the Balancer behind that of the proxy.
func TestLateStepLeavesTheDeadlineToTheModule(t *testing.T) {
	const resolution = 4 * time.Millisecond
	p := newProxyWithResolution(t, resolution)
	p.RunPending(nil, 0) // starts a turn
	request, client := submit(p, "1")
	p.SkewClock(5 * resolution) // simulates slow tasks in the same turn
	p.Step()
	p.RunDue(request.deadline)
	p.Step()
	if len(client.answers) != 1 || client.answers[0].Outcome != Rejected {
		t.Errorf("answers %+v, want one rejection", client.answers)
	}
}
