package policy

import (
	"errors"
	"time"
)

const (
	// queryRetryInterval is the pause before a query without a reply is sent again.
	queryRetryInterval = 200 * time.Millisecond
	// maxOpenQueries bounds the queries of one gateway.
	maxOpenQueries = 64
)

// ErrTooManyQueries says that a query can't be started before others are ended.
var ErrTooManyQueries = errors.New("too many questions wait for an answer already")

// queryTable holds the queries of this gateway.
type queryTable struct {
	lastNumber uint64 // number
	open       map[uint64]*openQuery
}

type openQuery struct {
	query      Query
	nextSendAt time.Duration
	reply      *QueryReply // nil: none yet
}

// due returns the queries to send now, in no order.
func (t *queryTable) due(now time.Duration) (all []Query) {
	for _, q := range t.open {
		if q.reply == nil && now >= q.nextSendAt {
			q.nextSendAt = now + queryRetryInterval
			all = append(all, q.query)
		}
	}
	return all
}

// receive takes a reply. For a query that brings a change only its outcome counts as one.
func (t *queryTable) receive(reply *QueryReply) {
	q := t.open[reply.Number]
	if q != nil && (q.query.Change == nil || reply.Outcome != nil) {
		q.reply = reply
	}
}

// StartQuery begins to send a query until QueryReply has its reply, and returns its number. EndQuery must follow. Its
// error is ErrTooManyQueries.
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

// QueryReply returns the reply to a query; nil: none yet. A query that brings a change is answered by its outcome.
func (n *Node) QueryReply(number uint64) *QueryReply {
	if q := n.queries.open[number]; q != nil {
		return q.reply
	}
	return nil
}

// EndQuery stops sending a query and drops its reply.
func (n *Node) EndQuery(number uint64) { delete(n.queries.open, number) }
