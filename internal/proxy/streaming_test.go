package proxy

import (
	"testing"

	"gapgap/internal/balancer"
	"gapgap/internal/upstream"
)

// streamingClient is a fakeClient that accepts long values.
type streamingClient struct {
	fakeClient
	streams int
}

func (c *streamingClient) Stream(int) upstream.Sink {
	c.streams++
	return discardSink{}
}

type discardSink struct{}

func (discardSink) Write([]byte) error { return nil }

// TestOnlyOneAttemptStreams guards against a long value that is cut off by the answer of another attempt of its
// request: once it is on its way, the other attempts end, and no further one is sent.
func TestOnlyOneAttemptStreams(t *testing.T) {
	p, s := newProxy(t)
	p.Rules().Settings.AllowHedging = true
	client := &streamingClient{}
	request, _ := submit(p, "1")
	request.Client = client
	p.events = nil
	for range 2 {
		p.dispatch(request, balancer.Dispatch{ID: request.id, Endpoint: "s-0"})
	}
	if len(s.sent) != 2 {
		t.Fatalf("%d attempts are sent", len(s.sent))
	}
	if sink := s.sent[0].Owner.StartLongValue(1 << 20); sink == nil || p.Transfers() != 1 {
		t.Fatalf("no sink, or %d transfers", p.Transfers())
	}
	if len(s.cancelled) != 1 || s.cancelled[0] != s.sent[1] {
		t.Errorf("%d attempts are cancelled, want the other one", len(s.cancelled))
	}
	if sink := s.sent[1].Owner.StartLongValue(1 << 20); sink != nil || client.streams != 1 {
		t.Error("the other attempt streams too")
	}
	s.sent[1].End(balancer.Cancelled)
	p.dispatch(request, balancer.Dispatch{ID: request.id, Endpoint: "s-0"})
	if len(s.sent) != 2 || len(client.answers) != 0 {
		t.Errorf("%d attempts were sent, and %d answers given", len(s.sent), len(client.answers))
	}
	s.sent[0].Owner.CompleteValue(nil)
	s.sent[0].End(balancer.OK)
	p.Step()
	// The request was submitted without Acquire, so its end is counted as -1.
	if len(client.answers) != 1 || client.answers[0].Outcome != Served || p.Transfers() != 0 || p.Busy() != -1 {
		t.Errorf("answers %v, %d transfers, %d requests in progress", client.answers, p.Transfers(), p.Busy())
	}
}
