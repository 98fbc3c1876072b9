package service

import (
	"encoding/json"
	"slices"
	"sync"

	"gapgap/internal/handover"
	"gapgap/internal/proxy"
)

const (
	// maxQueuedSentIDs bounds the changes that wait to be sent to the next process. Beyond it the oldest is dropped.
	maxQueuedSentIDs = 1 << 14
	// sentIDsPerPacket is the number of changes in a packet.
	sentIDsPerPacket = 256
)

// sentIDQueue carries changes of the remembered request IDs to the next process: what this one sends after its state
// was exported must not run again there.
type sentIDQueue struct {
	mu      sync.Mutex
	pending []proxy.SentID
	// changed has room for one signal.
	changed chan struct{}
}

func newSentIDQueue() *sentIDQueue { return &sentIDQueue{changed: make(chan struct{}, 1)} }

// push queues a change. It does not block. It is safe for concurrent use.
func (q *sentIDQueue) push(id proxy.SentID) {
	q.mu.Lock()
	if len(q.pending) >= maxQueuedSentIDs {
		q.pending = q.pending[1:]
	}
	q.pending = append(q.pending, id)
	q.mu.Unlock()
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// take returns the queued changes and empties the queue.
func (q *sentIDQueue) take() []proxy.SentID {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.pending
	q.pending = nil
	return taken
}

// sendTo sends the changes over a link until ended is closed or sending fails: the next process has ended then.
func (q *sentIDQueue) sendTo(link *handover.Link, ended <-chan struct{}) {
	for {
		select {
		case <-q.changed:
		case <-ended:
			return
		}
		for ids := range slices.Chunk(q.take(), sentIDsPerPacket) {
			text, err := json.Marshal(ids)
			if err != nil || link.SendUpdate(text) != nil {
				return
			}
		}
	}
}

// importSentIDs applies changes that the process before has sent. It is safe for concurrent use.
func (g *Gateway) importSentIDs(text []byte) {
	var ids []proxy.SentID
	if err := json.Unmarshal(text, &ids); err != nil {
		g.log.Warn("a change of the sent ids can't be read", "error", err)
		return
	}
	g.SentIDs.Import(ids, g.Now())
}
