package policy

import (
	"errors"
	"time"
)

const (
	// queryRetryInterval is the time after which a query without a reply is sent again.
	queryRetryInterval = 200 * time.Millisecond
	// maxOpenQueries is the maximum number of open queries of one gateway.
	maxOpenQueries = 64
)

// ErrTooManyQueries reports that no query can be started until an open one has ended.
var ErrTooManyQueries = errors.New("too many open policy queries")

// queryTable holds the open queries of this gateway.
type queryTable struct {
	lastNumber uint64 // of the last query; 0 if none
	open       map[uint64]*openQuery
}

type openQuery struct {
	query      Query
	nextSendAt time.Duration
	reply      *QueryReply // nil if none yet
}

// due returns the queries to send now, in no particular order.
func (t *queryTable) due(now time.Duration) (all []Query) {
	for _, q := range t.open {
		if q.reply == nil && now >= q.nextSendAt {
			q.nextSendAt = now + queryRetryInterval
			all = append(all, q.query)
		}
	}
	return all
}

// receive records a reply. A query that contains a change is answered only by the outcome of the change; other replies
// to it are ignored.
func (t *queryTable) receive(reply *QueryReply) {
	q := t.open[reply.Number]
	if q != nil && (q.query.Change == nil || reply.Outcome != nil) {
		q.reply = reply
	}
}

// StartQuery starts a query and returns its number. The query is sent repeatedly until QueryReply has its reply. The
// caller must call EndQuery afterwards. The error is ErrTooManyQueries.
func (n *Node) StartQuery(query Query) (number uint64, err error) {
	t := &n.queries
	if len(t.open) >= maxOpenQueries {
		return 0, ErrTooManyQueries
	}
	t.lastNumber++
	query.Number = t.lastNumber
	t.open[t.lastNumber] = &openQuery{query: query}
	return t.lastNumber, nil
}

// QueryReply returns the reply to a query, or nil if there is none yet. A query that contains a change has a reply only
// once the change is decided.
func (n *Node) QueryReply(number uint64) *QueryReply {
	if q := n.queries.open[number]; q != nil {
		return q.reply
	}
	return nil
}

// EndQuery stops sending a query and discards its reply.
func (n *Node) EndQuery(number uint64) { delete(n.queries.open, number) }
