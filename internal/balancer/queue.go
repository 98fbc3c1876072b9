package balancer

// Priority levels, 0 the highest.
const (
	// priorityBands is the number of levels by priority weight.
	priorityBands = 6
	// bandsPerHalving is the number of levels within which the priority weight halves.
	bandsPerHalving = 2
	// lowestLevel is the level of requests over a soft quota. Those within their quota have the first bands.
	lowestLevel = 2 * priorityBands
)

// queueShareOfDeadline is the part of the usable time limit that the work of the open levels may take (EQ 4).
const queueShareOfDeadline = 0.5

// queueEntry is the place of a request in a queue.
type queueEntry struct {
	// request is nil once the request has left the queue.
	request *request
}

// queueLevel holds the requests of one priority level, oldest first.
type queueLevel struct {
	// entries may hold places whose request has left.
	entries []*queueEntry
	// count is the number of requests in entries.
	count int
	// work is the cost of these requests, in mean requests.
	work float64
}

// priorityQueue holds the requests that wait for a slot of one endpoint, by priority level. Level 0 is the highest.
type priorityQueue struct {
	levels [lowestLevel + 1]queueLevel
	// length is the number of requests in all levels.
	length int
	// work is the cost of these requests, in mean requests.
	work float64
}

// add puts a request at the end of its level, or at the front if it is a retry: that has waited already.
func (q *priorityQueue) add(req *request) {
	entry := &queueEntry{req}
	level := &q.levels[req.level]
	if len(req.attempts.all) > 0 {
		level.entries = append([]*queueEntry{entry}, level.entries...)
	} else {
		level.entries = append(level.entries, entry)
	}
	level.count++
	level.work += req.cost
	q.work += req.cost
	q.length++
	req.queuePosition = entry
}

// remove takes a request out. Its empty place is dropped when it gets to the head of its level.
func (q *priorityQueue) remove(req *request) {
	req.queuePosition.request = nil
	req.queuePosition = nil
	level := &q.levels[req.level]
	level.work -= req.cost
	q.work -= req.cost
	level.count--
	if level.count == 0 {
		*level = queueLevel{}
	}
	q.length--
	if q.length == 0 {
		q.work = 0
	}
}

// head returns the oldest request of a level, which must hold one.
func (q *priorityQueue) head(level int) *request {
	entries := q.levels[level].entries
	for entries[0].request == nil {
		entries = entries[1:]
	}
	q.levels[level].entries = entries
	return entries[0].request
}

// workUpTo is the cost of the requests in a level and in the levels above it, plus that of a request that would join.
func (q *priorityQueue) workUpTo(lowest int, joining float64) float64 {
	sum := joining
	for level := 0; level <= lowest; level++ {
		sum += q.levels[level].work
	}
	return sum
}

// requests returns all requests, highest level first.
func (q *priorityQueue) requests() []*request {
	var all []*request
	for level := range q.levels {
		for _, entry := range q.levels[level].entries {
			if entry.request != nil {
				all = append(all, entry.request)
			}
		}
	}
	return all
}

// enqueue makes a request wait for a slot of an endpoint.
func (b *Balancer) enqueue(req *request, ep *endpoint) {
	ep.queue.add(req)
	req.queuedOn = ep
	b.endpoints.queuedRequests++
}

// dequeue takes a request out of the queue that it waits in, if any.
func (b *Balancer) dequeue(req *request) {
	if req.queuedOn == nil {
		return
	}
	req.queuedOn.queue.remove(req)
	req.queuedOn = nil
	b.endpoints.queuedRequests--
}

// nextRequest chooses a request from the queue of one endpoint for a free slot of another, mostly the same. A level
// is open while the work of the levels down to it can be expected to end in time (EQ 4); the first level that holds a
// request is always open. The oldest request at the head of an open level goes first.
func (b *Balancer) nextRequest(from, to *endpoint) *request {
	var best *request
	work := 0.0
	for level := range from.queue.levels {
		b.rejectStaleHeads(from, to, level)
		if from.queue.levels[level].count == 0 {
			continue
		}
		req := from.queue.head(level)
		work += from.queue.levels[level].work
		if best != nil && !b.isLevelOpen(req, to, work) {
			break
		}
		if (best == nil || req.arrivedAt < best.arrivedAt) && b.canRetryOn(req, to) {
			best = req
		}
	}
	return best
}

// rejectStaleHeads rejects the oldest requests of a level that can't be answered in time any more (EQ 3). It covers
// requests within their quota too: one that comes too late only delays the others.
func (b *Balancer) rejectStaleHeads(from, to *endpoint, level int) {
	for from.queue.levels[level].count > 0 {
		req := from.queue.head(level)
		if !b.isStale(req, to) {
			return
		}
		b.reject(req, 0, StaleInQueue)
	}
}

// isStale reports whether a request that is dispatched to an endpoint now can't be expected to be answered within the
// part of its time limit that waiting and answer may take (EQ 3). nil stands for any endpoint.
func (b *Balancer) isStale(req *request, ep *endpoint) bool {
	expected := req.waited(b.now).Seconds() + b.expectedLatency(req, ep)
	return expected >= req.timeLimit.Seconds()*latencyHeadroomFraction
}

// isLevelOpen reports whether queued work down to a level, whose oldest request is given, can be expected to end
// within the part of the time limit that queues may take (EQ 4).
func (b *Balancer) isLevelOpen(req *request, to *endpoint, work float64) bool {
	meanLatency := b.latency.classes[req.class].meanLatency
	ahead := (work + to.inFlightWork) * meanLatency * to.latency.factor / to.concurrency.limit
	return ahead < req.timeLimit.Seconds()*latencyHeadroomFraction*queueShareOfDeadline
}

// reassignQueue places the requests of an endpoint anew that is not usable any more. All are taken out first, as
// placing one may end others.
func (b *Balancer) reassignQueue(ep *endpoint) {
	all := ep.queue.requests()
	for _, req := range all {
		b.dequeue(req)
	}
	for _, req := range all {
		if !req.ended {
			b.assign(req)
		}
	}
}
