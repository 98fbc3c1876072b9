package balancer

// Priority levels; 0 is the highest.
const (
	// priorityBands is the number of levels that priority weights are divided into.
	priorityBands = 6
	// bandsPerHalving is the number of levels over which the priority weight halves.
	bandsPerHalving = 2
	// lowestLevel is the level of requests over a soft quota. Requests within their quota use the first priorityBands
	// levels.
	lowestLevel = 2 * priorityBands
)

// queueDeadlineFraction is the fraction of the usable time limit that the work of the open levels may take (EQ 4).
const queueDeadlineFraction = 0.5

// queueEntry is the position of a request in a queue.
type queueEntry struct {
	// request is nil once the request has left the queue.
	request *request
}

// queueLevel holds the requests of one priority level, oldest first.
type queueLevel struct {
	// entries may include entries whose request has left.
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

// add appends a request to its level. A retry goes to the front, because it has already waited.
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

// remove takes a request out of the queue. Its entry stays, without a request, until it reaches the head of its level.
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

// head returns the oldest request of a level, which must not be empty.
func (q *priorityQueue) head(level int) *request {
	entries := q.levels[level].entries
	for entries[0].request == nil {
		entries = entries[1:]
	}
	q.levels[level].entries = entries
	return entries[0].request
}

// workUpTo returns the summed cost of the requests in a level and all higher levels, plus the cost of a request that
// would join.
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

// enqueue adds a request to the queue of an endpoint.
func (b *Balancer) enqueue(req *request, ep *endpoint) {
	ep.queue.add(req)
	req.queuedOn = ep
	b.endpoints.queuedRequests++
}

// dequeue removes a request from the queue that it waits in, if any.
func (b *Balancer) dequeue(req *request) {
	if req.queuedOn == nil {
		return
	}
	req.queuedOn.queue.remove(req)
	req.queuedOn = nil
	b.endpoints.queuedRequests--
}

// nextRequest chooses a request from the queue of one endpoint for a free slot of another, usually the same endpoint. A
// level is open while the work in it and in all higher levels is expected to finish in time (EQ 4). The highest
// non-empty level is always open. Among the heads of the open levels, the oldest request is chosen.
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

// rejectStaleHeads rejects the oldest requests of a level that can no longer be answered in time (EQ 3). This applies
// to requests within their quota as well, since dispatching one that is too late only delays the others.
func (b *Balancer) rejectStaleHeads(from, to *endpoint, level int) {
	for from.queue.levels[level].count > 0 {
		req := from.queue.head(level)
		if !b.isStale(req, to) {
			return
		}
		b.reject(req, 0, StaleInQueue)
	}
}

// isStale reports whether a request, if dispatched to an endpoint now, is expected to exceed the usable part of its
// time limit (EQ 3). A nil endpoint means an average one.
func (b *Balancer) isStale(req *request, ep *endpoint) bool {
	expected := req.waited(b.now).Seconds() + b.expectedLatency(req, ep)
	return expected >= req.usefulFor.Seconds()*latencyHeadroomFraction
}

// isLevelOpen reports whether the queued work down to a level is expected to finish within the part of the time limit
// that queues may take (EQ 4). req is the oldest request of that level.
func (b *Balancer) isLevelOpen(req *request, to *endpoint, work float64) bool {
	meanLatency := b.latency.classes[req.class].meanLatency
	ahead := (work + to.inFlightWork) * meanLatency * to.latency.factor / to.concurrency.limit
	return ahead < req.usefulFor.Seconds()*latencyHeadroomFraction*queueDeadlineFraction
}

// reassignQueue assigns the requests queued at an endpoint that is no longer usable to other endpoints. All of them are
// removed first, because assigning one may end others.
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
