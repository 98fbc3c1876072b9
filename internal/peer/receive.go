package peer

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// rejectionLogInterval is the minimum time between two log lines on rejected datagrams.
const rejectionLogInterval = 10 * time.Second

// receivedMessage is a message and its source address.
type receivedMessage struct {
	message *message
	source  netip.AddrPort
}

// readDatagrams reads and decrypts datagrams for the event loop until the socket is closed.
func (t *Transport) readDatagrams() {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		size, source, err := t.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // reports that an earlier datagram could not be delivered
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

// reject counts a datagram that was not accepted, and logs it at most once per rejectionLogInterval.
func (t *Transport) reject(reason error, source netip.AddrPort) {
	rejected := t.Stats.Rejected.Add(1)
	if now := time.Now(); !now.Before(t.nextRejectionLog) {
		t.nextRejectionLog = now.Add(rejectionLogInterval)
		t.config.Log.Warn("datagram rejected", "source", source, "reason", reason, "rejected", rejected)
	}
}

// handleMessage processes a message on the event loop.
func (t *Transport) handleMessage(received receivedMessage) {
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

// handleCluster passes a message to the node and sends the replies.
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

// handlePayload calls a handler unless it is nil.
func handlePayload(handler func(from int, payload []byte), from int, payload []byte) {
	if handler != nil {
		handler(from, payload)
	}
}
