package peer

import (
	mathrand "math/rand/v2"
	"net/netip"

	"gapgap/internal/cluster"
)

const (
	// maxLenders is the maximum number of gateways that are asked for a loan.
	maxLenders = 16

	// toLenders, in place of a gateway's index, addresses a message to gateways that may grant a loan.
	toLenders = -1
)

// queuedMessage is a message that another goroutine has queued for sending.
type queuedMessage struct {
	// to is an index in the list, or toLenders.
	to      int
	message *message
}

// RequestLoan asks at most maxLenders other gateways for a loan. The message may be lost. It is safe for concurrent
// use.
func (t *Transport) RequestLoan(request LoanRequest) {
	t.enqueue(queuedMessage{to: toLenders, message: &message{LoanRequest: &request}})
}

// GrantLoan sends a loan to the gateway that requested it. The message may be lost. It is safe for concurrent use.
func (t *Transport) GrantLoan(to int, loan Loan) {
	t.enqueue(queuedMessage{to: to, message: &message{Loan: &loan}})
}

// SendPolicy sends a policy payload of at most MaxPayloadBytes to a gateway. The message may be lost. It is safe for
// concurrent use.
func (t *Transport) SendPolicy(to int, payload []byte) {
	t.enqueue(queuedMessage{to: to, message: &message{Policy: payload}})
}

// SendKeys sends an idempotency key payload of at most MaxPayloadBytes to a gateway. The message may be lost. It is
// safe for concurrent use.
func (t *Transport) SendKeys(to int, payload []byte) {
	t.enqueue(queuedMessage{to: to, message: &message{Keys: payload}})
}

// enqueue queues a message for the event loop. It drops the message if the queue is full.
func (t *Transport) enqueue(queued queuedMessage) {
	select {
	case t.queued <- queued:
	default:
		t.Stats.Dropped.Add(1)
	}
}

// sendQueued sends a queued message.
func (t *Transport) sendQueued(queued queuedMessage) {
	if queued.to != toLenders {
		t.send(queued.to, queued.message, netip.AddrPort{})
		return
	}
	for _, to := range t.lenders() {
		t.send(to, queued.message, netip.AddrPort{})
	}
}

// lenders returns the indexes of at most maxLenders other gateways that are present, in random order.
func (t *Transport) lenders() []int {
	var present []int
	for _, member := range t.node.Members() {
		if member.Index != t.index && member.State.IsPresent() {
			present = append(present, member.Index)
		}
	}
	mathrand.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	return present[:min(maxLenders, len(present))]
}

// sendAll sends messages of the node. If they answer a message, source is the address that it came from.
func (t *Transport) sendAll(outgoing []cluster.Outgoing, source netip.AddrPort) {
	if len(outgoing) == 0 {
		return
	}
	t.saveIncarnation()
	for i := range outgoing {
		out := &outgoing[i]
		m := &message{Cluster: &out.Message}
		if out.Message.Heartbeat != nil {
			m.SentAt = int64(t.config.Now())
		}
		replyTo := netip.AddrPort{}
		if out.ReplyToSender {
			replyTo = source
		}
		t.send(out.To, m, replyTo)
	}
}

// saveIncarnation stores a new incarnation of the node before any other gateway learns of it.
func (t *Transport) saveIncarnation() {
	if !t.node.TakeIncarnationChange() {
		return
	}
	incarnation := t.node.ID().Incarnation
	if err := t.config.Identity.Save(incarnation); err != nil {
		t.config.Log.Error("incarnation not saved: after the next start the other gateways ignore this one for a while",
			"incarnation", incarnation, "error", err)
	}
	t.config.Log.Warn("this door's disk has lost its incarnation: the others know a later one",
		"incarnation", incarnation)
}

// send sends a message to a gateway at its configured address and, if replyTo is valid, to that address as well. Write
// errors are ignored: components that need a lost message send it again.
func (t *Transport) send(to int, m *message, replyTo netip.AddrPort) {
	m.To = uint16(to)
	datagram, err := t.sealer.seal(m)
	if err != nil || len(datagram) > maxDatagramBytes {
		t.config.Log.Error("message not sent", "to", t.names[to], "error", err, "bytes", len(datagram))
		return
	}
	for _, address := range []netip.AddrPort{t.addresses[to], replyTo} {
		if address.IsValid() {
			_, _ = t.socket.WriteToUDPAddrPort(datagram, address)
			t.Stats.Sent.Add(1)
			t.Stats.SentBytes.Add(uint64(len(datagram)))
		}
	}
}
