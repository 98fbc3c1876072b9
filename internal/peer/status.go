package peer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"gapgap/internal/membership"
)

// statusTimeout is how long a status query waits for replies.
const statusTimeout = 400 * time.Millisecond

// statusQueries holds the status queries that wait for replies. It belongs to the event loop.
type statusQueries struct {
	// pending has the channels for replies, by the number of the query.
	pending    map[uint32]chan receivedStatus
	lastNumber uint32
}

// receivedStatus is a reply and the index of the gateway that sent it.
type receivedStatus struct {
	from  int
	reply *statusReply
}

func newStatusQueries() statusQueries {
	return statusQueries{pending: map[uint32]chan receivedStatus{}}
}

// start adds a query whose replies go to a channel, and returns its number.
func (q *statusQueries) start(replies chan receivedStatus) uint32 {
	q.lastNumber++
	q.pending[q.lastNumber] = replies
	return q.lastNumber
}

// handleReply passes a reply to the query that waits for it. It ignores malformed and late replies.
func (q *statusQueries) handleReply(from int, reply *statusReply, gateways int) {
	replies := q.pending[reply.Number]
	if replies == nil || len(reply.States) != gateways || len(reply.Incarnations) != gateways {
		return
	}
	select {
	case replies <- receivedStatus{from: from, reply: reply}:
	default:
	}
}

// statusReply returns the reply to another gateway's query.
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

// Status returns this gateway's view of the cluster, together with the views of the gateways that reply within
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
		// An error means that the event loop has ended; its queries are no longer used.
		_ = t.runOnLoop(context.Background(), func() { delete(t.queries.pending, number) })
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

// requestStatus sends a query to all other gateways.
func (t *Transport) requestStatus(number uint32) {
	for to := range t.names {
		if to != t.index {
			t.send(to, &message{StatusRequest: number}, netip.AddrPort{})
		}
	}
}

// collectStatus adds replies to a view until all gateways have replied, statusTimeout has passed or the context ends.
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

// addReply adds a gateway's reply to the view and reports whether it is the first reply of that gateway.
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
