package peer

import (
	mathrand "math/rand/v2"
	"net/netip"

	"gapgap/internal/cluster"
)

const (
	// maxLenders is how many gateways are asked for a loan.
	maxLenders = 16

	// toLenders is the receiver of a message that goes to gateways that may grant a loan.
	toLenders = -1
)

// queuedMessage is a message of another goroutine that is to be sent.
type queuedMessage struct {
	// to is a position in the list, or toLenders.
	to      int
	message *message
}

// RequestLoan asks other gateways for a loan: all of them, or some where they are many. It may be lost. Any goroutine
// may call it.
func (t *Transport) RequestLoan(request LoanRequest) {
	t.enqueue(queuedMessage{to: toLenders, message: &message{LoanRequest: &request}})
}

// GrantLoan answers a gateway's LoanRequest. It may be lost. Any goroutine may call it.
func (t *Transport) GrantLoan(to int, loan Loan) {
	t.enqueue(queuedMessage{to: to, message: &message{Loan: &loan}})
}

// SendPolicy sends at most MaxPayloadBytes of policy to a gateway. It may be lost. Any goroutine may call it.
func (t *Transport) SendPolicy(to int, payload []byte) {
	t.enqueue(queuedMessage{to: to, message: &message{Policy: payload}})
}

// SendKeys sends at most MaxPayloadBytes of idempotency keys to a gateway. It may be lost. Any goroutine may call it.
func (t *Transport) SendKeys(to int, payload []byte) {
	t.enqueue(queuedMessage{to: to, message: &message{Keys: payload}})
}

// enqueue hands a message to the event loop; it is dropped if that is behind.
func (t *Transport) enqueue(queued queuedMessage) {
	select {
	case t.queued <- queued:
	default:
		t.Stats.Dropped.Add(1)
	}
}

// sendQueued sends a message of another goroutine.
func (t *Transport) sendQueued(queued queuedMessage) {
	if queued.to != toLenders {
		t.send(queued.to, queued.message, netip.AddrPort{})
		return
	}
	for _, to := range t.lenders() {
		t.send(to, queued.message, netip.AddrPort{})
	}
}

// lenders returns some other gateways that are present, in random order.
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

// sendAll sends messages of the node. Source is where the message came from that they answer, if there is one.
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

// saveIncarnation writes an incarnation that the node has taken, before any other gateway receives it.
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

// send sends a message to a gateway, and to one more address if that is given. What is lost is sent again by whoever
// needs it.
func (t *Transport) send(to int, m *message, also netip.AddrPort) {
	m.To = uint16(to)
	datagram, err := t.sealer.seal(m)
	if err != nil || len(datagram) > maxDatagramBytes {
		t.config.Log.Error("message not sent", "to", t.names[to], "error", err, "bytes", len(datagram))
		return
	}
	for _, address := range []netip.AddrPort{t.addresses[to], also} {
		if address.IsValid() {
			_, _ = t.socket.WriteToUDPAddrPort(datagram, address)
			t.Stats.Sent.Add(1)
			t.Stats.SentBytes.Add(uint64(len(datagram)))
		}
	}
}
