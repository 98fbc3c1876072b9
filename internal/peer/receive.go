package peer

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// rejectionLogInterval is the pause between two log lines on rejected datagrams.
const rejectionLogInterval = 10 * time.Second

// receivedMessage is a message with the address that it came from.
type receivedMessage struct {
	message *message
	source  netip.AddrPort
}

// read opens datagrams for the event loop, until the socket is closed.
func (t *Transport) read() {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		size, source, err := t.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a datagram that was sent earlier was refused
		}
		t.Stats.Received.Add(1)
		t.Stats.ReceivedBytes.Add(uint64(size))
		m, err := t.opener.open(buffer[:size])
		if err != nil {
			t.reject(err, source)
			continue
		}
		select {
		case t.received <- receivedMessage{message: m, source: source}:
		default:
			t.Stats.Dropped.Add(1)
		}
	}
}

// reject counts a datagram that could not be opened, and logs it now and then.
func (t *Transport) reject(reason error, source netip.AddrPort) {
	rejected := t.Stats.Rejected.Add(1)
	if now := time.Now(); !now.Before(t.nextRejectionLog) {
		t.nextRejectionLog = now.Add(rejectionLogInterval)
		t.config.Log.Warn("datagram rejected", "source", source, "reason", reason, "rejected", rejected)
	}
}

// handle takes a message on the event loop.
func (t *Transport) handle(received receivedMessage) {
	m, from := received.message, int(received.message.From)
	switch {
	case m.Cluster != nil:
		t.handleCluster(received)
	case m.LoanRequest != nil && m.LoanRequest.isValid():
		t.config.HandleLoanRequest(from, *m.LoanRequest)
	case m.Loan != nil && m.Loan.Request.isValid():
		t.config.HandleLoan(from, *m.Loan)
	case m.Policy != nil:
		handlePayload(t.config.HandlePolicy, from, m.Policy)
	case m.Keys != nil:
		handlePayload(t.config.HandleKeys, from, m.Keys)
	case m.StatusRequest > 0:
		t.send(from, &message{StatusReply: t.statusReply(m.StatusRequest)}, netip.AddrPort{})
	case m.StatusReply != nil:
		t.queries.handleReply(from, m.StatusReply, len(t.names))
	}
}

// handleCluster hands a message to the node and sends its answers.
func (t *Transport) handleCluster(received receivedMessage) {
	m, from := received.message, int(received.message.From)
	if m.SentAt > 0 {
		t.clock.detector.Observe(t.config.Now(), from, time.Duration(m.SentAt))
	}
	outgoing, err := t.node.Receive(t.config.Now(), from, *m.Cluster)
	if err != nil {
		t.Stats.Rejected.Add(1)
		return
	}
	t.sendAll(outgoing, received.source)
}

// handlePayload calls a handler, if there is one.
func handlePayload(handler func(from int, payload []byte), from int, payload []byte) {
	if handler != nil {
		handler(from, payload)
	}
}
