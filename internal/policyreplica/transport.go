package policyreplica

import (
	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/policy"
)

// HandleMessage takes a datagram of another gateway. It returns at once: with a full queue the datagram is dropped, and
// its sender's retry brings it again. Any goroutine may call it.
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

// send sends a message to a gateway, which may be this one. A long message is sent in fragments.
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

// handle decodes a message and passes it to what it is for.
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

// handleFragment handles the message that a fragment completes, if it does.
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

// handleChunkRequest replies with a part of a report or of a stored document.
func (r *Replica) handleChunkRequest(from int, request *chunkRequest) {
	if request.Offset < 0 || request.Offset%chunkBytes != 0 {
		return
	}
	reply := &chunk{Hash: request.Hash, Offset: request.Offset}
	reply.Data, reply.DocumentSize = r.reports.chunk(request.Hash, request.Offset)
	if reply.Data == nil {
		data := make([]byte, chunkBytes)
		n, size, err := r.documents.readAt(request.Hash, request.Offset, data)
		if err == nil && n > 0 {
			reply.Data, reply.DocumentSize = data[:n], size
		}
	}
	r.send(from, &message{Chunk: reply})
}

// handleChunk adds a chunk to the running download.
func (r *Replica) handleChunk(c *chunk) {
	if r.download == nil || r.download.hash != c.Hash {
		return
	}
	if document, ok := r.download.receive(c); ok {
		r.preparer.downloaded[r.download.hash] = document
		r.download = nil
	}
}

// handleHistoryRequest makes the report of the history and replies with its hash. Only the leader does.
func (r *Replica) handleHistoryRequest(from int) {
	if !r.isLeader() {
		return
	}
	hash := r.reports.add(encodeHistory(r.node.State()))
	r.send(from, &message{ReportLocation: &reportLocation{Report: historyReport, Hash: hash}})
}

func (r *Replica) handleReportLocation(location *reportLocation) {
	if len(location.Report) <= maxReportNameBytes {
		r.awaited[location.Report] = location.Hash
	}
}
