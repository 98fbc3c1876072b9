package extauthz

import (
	"time"

	"gapgap/internal/priorityqueue"
	"gapgap/internal/proxy"
)

// inFlightTable has the admitted requests whose end calls are awaited, until they stop counting as in flight by
// themselves.
type inFlightTable struct {
	// limit is the number of requests that may be kept.
	limit int
	byID  map[uint64]*inFlightRequest
	// byExpiry has the request first that expires first.
	byExpiry *priorityqueue.Queue[*inFlightRequest]
}

// inFlightRequest is an admitted request.
type inFlightRequest struct {
	id      uint64
	request *proxy.Request
	// expiresAt is when the request stops counting as in flight.
	expiresAt time.Duration
	// rank is the request's place in inFlightTable.byExpiry.
	rank priorityqueue.Item[*inFlightRequest]
}

// newInFlightTable returns an empty table for a number of requests.
func newInFlightTable(limit int) inFlightTable {
	return inFlightTable{
		limit: limit,
		byID:  map[uint64]*inFlightRequest{},
		byExpiry: priorityqueue.New(func(a, b *inFlightRequest) bool {
			return a.expiresAt < b.expiresAt
		}),
	}
}

// add keeps a request and returns false if there is no room: it then stops counting as in flight only by itself.
func (t *inFlightTable) add(id uint64, request *proxy.Request, expiresAt, now time.Duration) bool {
	t.expire(now)
	if len(t.byID) >= t.limit {
		return false
	}
	added := &inFlightRequest{
		id:        id,
		request:   request,
		expiresAt: expiresAt,
	}
	added.rank.Value = added
	t.byID[id] = added
	t.byExpiry.Put(&added.rank)
	return true
}

// remove removes a request and returns it, or nil if there is none of that id.
func (t *inFlightTable) remove(id uint64, now time.Duration) *proxy.Request {
	t.expire(now)
	removed := t.byID[id]
	if removed == nil {
		return nil
	}
	delete(t.byID, id)
	t.byExpiry.Remove(&removed.rank)
	return removed.request
}

// expire removes the requests that have stopped counting as in flight.
func (t *inFlightTable) expire(now time.Duration) {
	for t.byExpiry.Len() > 0 && t.byExpiry.First().Value.expiresAt <= now {
		delete(t.byID, t.byExpiry.Pop().Value.id)
	}
}
