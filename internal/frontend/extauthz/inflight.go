package extauthz

import (
	"time"

	"gapgap/internal/priorityqueue"
	"gapgap/internal/proxy"
)

// inFlightTable tracks admitted requests until their end calls, or until they expire and so stop counting as in flight.
type inFlightTable struct {
	// limit is the maximum number of requests.
	limit int
	byID  map[uint64]*inFlightRequest
	// byExpiry orders the requests by expiresAt.
	byExpiry *priorityqueue.Queue[*inFlightRequest]
}

// inFlightRequest is a tracked request.
type inFlightRequest struct {
	id      uint64
	request *proxy.Request
	// expiresAt is when the request stops counting as in flight.
	expiresAt time.Duration
	// rank is the request's item in inFlightTable.byExpiry.
	rank priorityqueue.Item[*inFlightRequest]
}

// newInFlightTable returns an empty table with a limit.
func newInFlightTable(limit int) inFlightTable {
	return inFlightTable{
		limit: limit,
		byID:  map[uint64]*inFlightRequest{},
		byExpiry: priorityqueue.New(func(a, b *inFlightRequest) bool {
			return a.expiresAt < b.expiresAt
		}),
	}
}

// add adds a request. It returns false if there is no room: the request then counts as in flight until it expires.
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

// remove removes a request and returns it, or nil if none of that id is tracked.
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

// expire removes the expired requests.
func (t *inFlightTable) expire(now time.Duration) {
	for t.byExpiry.Len() > 0 && t.byExpiry.First().Value.expiresAt <= now {
		delete(t.byID, t.byExpiry.Pop().Value.id)
	}
}
