package policyreplica

import (
	"time"
)

// updateDownload starts, continues or drops the download of a document.
func (r *Replica) updateDownload(now time.Duration) {
	if hash, source, ok := r.node.Participant().MissingDocument(); ok {
		r.ensurePrepared(hash, int(source))
	} else if r.download != nil && !r.awaited.has(r.download.hash) {
		r.download = nil
	}
	if r.download == nil {
		return
	}
	to, requests := r.download.nextRequests(now)
	for i := range requests {
		r.send(to, &message{ChunkRequest: &requests[i]})
	}
}

// sources returns the gateways that may have a document, without this one: first the given one, then the voters, then
// the others.
func (r *Replica) sources(first int) (gateways []int) {
	candidates := append([]int{first}, r.voters...)
	for index := range r.config.Gateways {
		candidates = append(candidates, index)
	}
	isSource := map[int]bool{}
	for _, index := range candidates {
		if index != r.config.Index && index < len(r.config.Gateways) && !isSource[index] {
			isSource[index] = true
			gateways = append(gateways, index)
		}
	}
	return gateways
}

// handleChunkRequest replies with a chunk of a report or of a stored document.
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

// handleHistoryRequest creates the history report and replies with its hash, if this gateway is the leader.
func (r *Replica) handleHistoryRequest(from int) {
	if !r.isLeader() {
		return
	}
	hash := r.reports.add(encodeHistory(r.node.State()))
	r.send(from, &message{ReportLocation: &reportLocation{Report: historyReport, Hash: hash}})
}

// handleReportLocation records the location of a report that a caller waits for. A location that no caller waits for is
// ignored: its report may no longer be cached when the next caller asks.
func (r *Replica) handleReportLocation(location *reportLocation) {
	if _, isAwaited := r.awaited[historyReport]; isAwaited && location.Report == historyReport {
		r.awaited[historyReport] = location.Hash
	}
}
