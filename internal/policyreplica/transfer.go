package policyreplica

import (
	"time"
)

// updateDownload starts, drops or continues the download of a document.
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

// sources returns the gateways that may have a document: the given one, then the voters, then all others.
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

// handleReportLocation takes the location of a report that a caller waits for. One that comes later belongs to a report
// that may be gone by the time of the next caller.
func (r *Replica) handleReportLocation(location *reportLocation) {
	if _, isAwaited := r.awaited[historyReport]; isAwaited && location.Report == historyReport {
		r.awaited[historyReport] = location.Hash
	}
}
