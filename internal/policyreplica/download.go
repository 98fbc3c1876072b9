package policyreplica

import (
	"time"

	"gapgap/internal/policy"
)

const (
	// chunkBytes is the length of every chunk of a document but the last.
	chunkBytes = 8 << 10
	// maxRequestedChunks limits the number of outstanding chunk requests.
	maxRequestedChunks = 24
	// chunkTimeout is how long to wait for a chunk before it is requested again, from another gateway.
	chunkTimeout = 150 * time.Millisecond

	unknownSize = -1
	// retryNow, as the time of a request, makes the request due at once without counting it as timed out.
	retryNow = time.Duration(0)
)

// download downloads one document in chunks from gateways that may have it.
type download struct {
	hash policy.Hash
	// sources are the gateways to ask, the likeliest first. source, modulo their number, is the index of the current
	// one.
	sources []int
	source  int
	// size is the length of the document in bytes, or unknownSize.
	size     int64
	document []byte
	// requestedAt is when each outstanding chunk was requested, by offset.
	requestedAt map[int64]time.Duration
	// nextOffset is the offset of the first chunk that was never requested.
	nextOffset int64
	// receivedBytes counts the bytes of received chunks, and received has the offsets of these chunks.
	receivedBytes int64
	received      map[int64]bool
	// unavailable counts replies from gateways that do not have the document.
	unavailable int
}

func newDownload(hash policy.Hash, sources []int) *download {
	return &download{
		hash:        hash,
		sources:     sources,
		size:        unknownSize,
		requestedAt: map[int64]time.Duration{},
		received:    map[int64]bool{},
	}
}

// nextRequests returns the requests that are due and the gateway to send them to.
func (d *download) nextRequests(now time.Duration) (to int, requests []chunkRequest) {
	hasTimedOut := false
	for offset, at := range d.requestedAt {
		if now-at >= chunkTimeout {
			hasTimedOut = hasTimedOut || at > retryNow
			requests = append(requests, chunkRequest{Hash: d.hash, Offset: offset})
		}
	}
	if hasTimedOut {
		d.source++ // the gateway may be down
	}
	for len(d.requestedAt)+len(requests) < maxRequestedChunks && d.hasUnrequested() {
		requests = append(requests, chunkRequest{Hash: d.hash, Offset: d.nextOffset})
		d.nextOffset += chunkBytes
	}
	for _, request := range requests {
		d.requestedAt[request.Offset] = now
	}
	if len(d.sources) == 0 {
		return 0, nil
	}
	return d.sources[d.source%len(d.sources)], requests
}

// hasUnrequested reports whether there is a chunk that was never requested. Until the size is known, only the first
// chunk is known to exist.
func (d *download) hasUnrequested() bool {
	if d.size == unknownSize {
		return d.nextOffset == 0
	}
	return d.nextOffset < d.size
}

// receive handles a chunk. It returns the document and true once the document is complete.
func (d *download) receive(c *chunk) (document []byte, ok bool) {
	if c.DocumentSize == 0 {
		d.tryNextSource(c.Offset)
		return nil, false
	}
	if !d.isUsable(c) {
		return nil, false
	}
	if d.size == unknownSize {
		d.size = c.DocumentSize
		d.document = make([]byte, c.DocumentSize)
	}
	delete(d.requestedAt, c.Offset)
	copy(d.document[c.Offset:], c.Data)
	d.received[c.Offset] = true
	d.receivedBytes += int64(len(c.Data))
	if d.receivedBytes < d.size {
		return nil, false
	}
	if policy.HashOf(d.document) == d.hash {
		return d.document, true
	}
	d.restart()
	return nil, false
}

// tryNextSource requests a chunk from the next gateway, as the current one does not have the document. Once every
// gateway has been tried, the request is repeated only after chunkTimeout.
func (d *download) tryNextSource(offset int64) {
	at, isRequested := d.requestedAt[offset]
	if !isRequested || at <= retryNow {
		return
	}
	d.source++
	d.unavailable++
	if d.unavailable%max(1, len(d.sources)) > 0 {
		d.requestedAt[offset] = retryNow
	}
}

// isUsable reports whether a chunk has a valid offset and length and was not received before.
func (d *download) isUsable(c *chunk) bool {
	if c.DocumentSize > policy.MaxDocumentBytes || d.size >= 0 && c.DocumentSize != d.size {
		return false
	}
	if c.Offset < 0 || c.Offset%chunkBytes != 0 || d.received[c.Offset] {
		return false
	}
	return int64(len(c.Data)) == min(chunkBytes, c.DocumentSize-c.Offset)
}

// restart requests all chunks again, starting with another gateway, after the document's hash was wrong.
func (d *download) restart() {
	*d = *newDownload(d.hash, d.sources)
	d.source++
}
