package policyreplica

import (
	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/policy"
)

// HandleMessage queues a datagram from another gateway. It does not block: if the queue is full, the datagram is
// dropped, and the sender's retry repeats it. Any goroutine may call it.
func (r *Replica) HandleMessage(from int, datagram []byte) {
	select {
	case r.inbox <- receivedDatagram{from: from, datagram: datagram}:
	default:
		r.droppedMessages.Add(1)
	}
}

// sendAll sends the node's messages.
func (r *Replica) sendAll(messages []policy.Outgoing) {
	for i := range messages {
		r.send(messages[i].To, &message{Node: &messages[i].Message})
	}
}

// send sends a message to a gateway, which may be this one. Long messages are sent in fragments.
func (r *Replica) send(to int, m *message) {
	encoded, err := cbor.Marshal(m)
	switch {
	case err != nil:
		r.config.Log.Error("policy message could not be encoded", "error", err)
	case to == r.config.Index:
		r.HandleMessage(to, encoded)
	case len(encoded) <= maxUnfragmentedBytes:
		r.config.Send(to, encoded)
	default:
		r.sendFragments(to, encoded)
	}
}

func (r *Replica) sendFragments(to int, encoded []byte) {
	r.lastMessageID++
	for _, f := range splitMessage(r.lastMessageID, encoded) {
		datagram, err := cbor.Marshal(&message{Fragment: &f})
		if err == nil {
			r.config.Send(to, datagram)
		}
	}
}

// handle decodes a message and dispatches it to its handler.
func (r *Replica) handle(received receivedDatagram) {
	var m message
	from := received.from
	if messageDecoder.Unmarshal(received.datagram, &m) != nil || from < 0 || from >= len(r.config.Gateways) {
		r.droppedMessages.Add(1)
		return
	}
	switch {
	case m.Fragment != nil:
		r.handleFragment(from, m.Fragment)
	case m.Node != nil:
		r.sendAll(r.node.Receive(r.config.Now(), from, *m.Node, wallMilliseconds()))
	case m.Raft != nil:
		r.handleRaft(from, m.Raft)
	case m.ChunkRequest != nil:
		r.handleChunkRequest(from, m.ChunkRequest)
	case m.Chunk != nil:
		r.handleChunk(m.Chunk)
	case m.ReportRequest == historyReport:
		r.handleHistoryRequest(from)
	case m.ReportLocation != nil:
		r.handleReportLocation(m.ReportLocation)
	}
}

// handleFragment adds a fragment to its message, and handles the message once it is complete.
func (r *Replica) handleFragment(from int, f *fragment) {
	joined := r.reassemblies[from]
	if joined == nil {
		joined = &reassembly{}
		r.reassemblies[from] = joined
	}
	if datagram := joined.add(f); datagram != nil {
		r.handle(receivedDatagram{from: from, datagram: datagram})
	}
}

func (r *Replica) handleRaft(from int, encoded []byte) {
	if r.raftLog == nil {
		return
	}
	if err := r.raftLog.Step(from, encoded); err != nil {
		r.droppedMessages.Add(1)
	}
}
