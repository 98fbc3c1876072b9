package peer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"gapgap/internal/membership"
)

// statusTimeout is how long a status query waits for the other gateways' views.
const statusTimeout = 400 * time.Millisecond

// statusQueries are the queries that wait for replies, by number. They belong to the event loop.
type statusQueries struct {
	waiting map[uint32]chan receivedStatus
	last    uint32
}

// receivedStatus is the reply of a gateway.
type receivedStatus struct {
	from  int
	reply *statusReply
}

func newStatusQueries() statusQueries {
	return statusQueries{waiting: map[uint32]chan receivedStatus{}}
}

// start returns the number of a new query, whose replies go to a channel.
func (q *statusQueries) start(replies chan receivedStatus) uint32 {
	q.last++
	q.waiting[q.last] = replies
	return q.last
}

// handleReply hands a reply to the query that waits for it. A malformed or late one is ignored.
func (q *statusQueries) handleReply(from int, reply *statusReply, gateways int) {
	replies := q.waiting[reply.Number]
	if replies == nil || len(reply.States) != gateways || len(reply.Incarnations) != gateways {
		return
	}
	select {
	case replies <- receivedStatus{from: from, reply: reply}:
	default:
	}
}

// statusReply returns the reply to a query of another gateway.
func (t *Transport) statusReply(number uint32) *statusReply {
	reply := &statusReply{
		Number:       number,
		Fraction:     t.shareLease(t.config.Now()).Fraction,
		RecoveryStep: t.recoveryStep(),
	}
	for _, member := range t.node.Members() {
		reply.States = append(reply.States, byte(member.State))
		reply.Incarnations = append(reply.Incarnations, member.ID.Incarnation)
	}
	return reply
}

func (t *Transport) recoveryStep() string {
	if t.config.RecoveryStep == nil {
		return ""
	}
	return truncateStep(t.config.RecoveryStep())
}

// Status returns how this gateway sees the cluster and how the others say that they do, as far as they answer within
// statusTimeout.
func (t *Transport) Status(ctx context.Context) (*View, error) {
	replies := make(chan receivedStatus, len(t.names))
	var number uint32
	var view View
	err := t.runOnLoop(ctx, func() {
		number = t.queries.start(replies)
		t.publish(t.config.Now())
		view = *t.view.Load()
		view.Gateways = slices.Clone(view.Gateways)
		t.requestStatus(number)
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		// An error means that the event loop has ended, and the queries with it.
		_ = t.runOnLoop(context.Background(), func() { delete(t.queries.waiting, number) })
	}()
	for i := range view.Gateways {
		view.Gateways[i].SeenBy = map[string]string{t.config.Name: view.Gateways[i].State}
	}
	fraction := view.Fraction
	self := &view.Gateways[t.index]
	self.Fraction, self.Recovery = &fraction, t.recoveryStep()
	t.collectStatus(ctx, &view, replies)
	for i := range view.Gateways {
		view.Gateways[i].updateDisagree()
	}
	return &view, nil
}

// requestStatus asks all other gateways for their views.
func (t *Transport) requestStatus(number uint32) {
	for to := range t.names {
		if to != t.index {
			t.send(to, &message{StatusRequest: number}, netip.AddrPort{})
		}
	}
}

// collectStatus adds replies to a view until all gateways have answered or the time is over.
func (t *Transport) collectStatus(ctx context.Context, view *View, replies <-chan receivedStatus) {
	timeout := time.After(statusTimeout)
	for answered := 1; answered < len(t.names); {
		select {
		case received := <-replies:
			if view.addReply(received, t.names[received.from]) {
				answered++
			}
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// addReply adds the reply of a gateway, and reports whether it is the first of that gateway.
func (v *View) addReply(received receivedStatus, name string) bool {
	_, hasAnswered := v.Gateways[0].SeenBy[name]
	for i, state := range received.reply.States {
		v.Gateways[i].SeenBy[name] = membership.State(state).String()
	}
	sender := &v.Gateways[received.from]
	sender.Fraction = &received.reply.Fraction
	sender.Recovery = truncateStep(received.reply.RecoveryStep)
	return !hasAnswered
}
