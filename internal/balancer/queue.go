package balancer

type queueEntry struct{ request *request }

func (b *Balancer) enqueue(req *request, ep *endpoint) {
	req.queuePosition, req.queuedOn = &queueEntry{req}, ep
	q := ep.queue[req.level]
	if len(req.attempts) > 0 { // a further attempt has waited already
		q = append([]*queueEntry{req.queuePosition}, q...)
	} else {
		q = append(q, req.queuePosition)
	}
	ep.queue[req.level] = q
	ep.levelCount[req.level]++
	ep.levelWork[req.level] += req.cost
	ep.queuedWork += req.cost
	ep.queued++
	b.queuedRequests++
}

// dequeue takes a request out of its queue; the empty place is passed over later.
func (b *Balancer) dequeue(req *request) {
	if req.queuePosition == nil {
		return
	}
	req.queuePosition.request = nil
	req.queuedOn.levelWork[req.level] -= req.cost
	req.queuedOn.queuedWork -= req.cost
	if req.queuedOn.levelCount[req.level]--; req.queuedOn.levelCount[req.level] == 0 {
		req.queuedOn.queue[req.level] = nil // only empty places are left, and nobody may come to pick here
		req.queuedOn.levelWork[req.level] = 0
	}
	if req.queuedOn.queued--; req.queuedOn.queued == 0 {
		req.queuedOn.queuedWork = 0
	}
	b.queuedRequests--
	req.queuePosition, req.queuedOn = nil, nil
}

func (ep *endpoint) head(l int) *request {
	q := ep.queue[l]
	for q[0].request == nil {
		q = q[1:]
	}
	ep.queue[l] = q
	return q[0].request
}

// nextRequest chooses from the queues of one server for a slot of another (mostly the same). EQ 3 refuses what is
// stale, in the promoted levels too (a departure: what no longer can be in time only delays the rest). EQ 4
// goes down the levels while their summed counts, times the latency and over the slots, stay under tau*f; the
// first level with a request is always open. The oldest request of the open levels goes.
func (b *Balancer) nextRequest(from, to *endpoint) *request {
	var best *request
	sum := 0.0
	for l := range from.queue {
		for from.levelCount[l] > 0 {
			req := from.head(l)
			if (b.now-req.arrivedAt).Seconds()+b.expectedLatency(
				req,
				to,
			) < req.timeLimit.Seconds()*latencyHeadroomFraction {
				break
			}
			b.reject(req, 0, StaleInQueue)
		}
		if from.levelCount[l] == 0 {
			continue
		}
		req := from.head(l)
		sum += from.levelWork[l]
		ahead := (sum + to.inFlightWork) * b.classes[req.class].meanLatency * to.latencyFactor / to.concurrencyLimit
		if best != nil && ahead >= req.timeLimit.Seconds()*latencyHeadroomFraction*queueShareOfDeadline {
			break
		}
		if (best == nil || req.arrivedAt < best.arrivedAt) && b.canRetryOn(req, to) {
			best = req
		}
	}
	return best
}

// reassignQueue places anew what is queued at a server that is no longer usable. All is taken out first: placing
// one request may release others.
func (b *Balancer) reassignQueue(ep *endpoint) {
	var all []*request
	for l := range ep.queue {
		for _, e := range ep.queue[l] {
			if e.request != nil {
				all = append(all, e.request)
			}
		}
	}
	for _, req := range all {
		b.dequeue(req)
	}
	for _, req := range all {
		if !req.ended {
			b.assign(req)
		}
	}
}
