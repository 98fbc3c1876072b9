package balancer

import "slices"

// waitingRequests is the queue of a customer's requests that wait for units of its quota or ceiling, or for one of its
// requests in flight to finish. The zero value is an empty queue.
type waitingRequests struct {
	// requests is in order of arrival. A request that has ended stays until it reaches the front.
	requests []*request
	// admitOnly is the number of requests for admission only.
	admitOnly int
	// listed is set while the customer is in Balancer.waitingCustomers.
	listed bool
}

// push appends a request.
func (waiting *waitingRequests) push(req *request) {
	waiting.requests = append(waiting.requests, req)
	if req.admitOnly {
		waiting.admitOnly++
	}
}

// pop removes the first request.
func (waiting *waitingRequests) pop() {
	if waiting.requests[0].admitOnly {
		waiting.admitOnly--
	}
	waiting.requests[0] = nil
	waiting.requests = waiting.requests[1:]
}

// removeAdmitOnly removes a request for admission only, given its position.
func (waiting *waitingRequests) removeAdmitOnly(position int) {
	waiting.requests = slices.Delete(waiting.requests, position, position+1)
	waiting.admitOnly--
}

// allowAnotherCall lets each request whose counter call was not answered call the counter once more.
func (waiting *waitingRequests) allowAnotherCall() {
	for _, req := range waiting.requests {
		req.quota.counterCalled = req.quota.counterCalled && req.quota.counterCalledTwice
		req.quota.counterCalledTwice = true
	}
}

// serveWaiting decides a customer's waiting requests in order of arrival, until one has to keep waiting for the
// counter, for a request in flight to finish, or for the ceiling's share to refill.
func (b *Balancer) serveWaiting(cust *customer) {
	for len(cust.waiting.requests) > 0 {
		req := cust.waiting.requests[0]
		if req.ended {
			cust.waiting.pop()
			continue
		}
		decision := b.checkQuota(req)
		if decision == quotaPending {
			break
		}
		cust.waiting.pop()
		b.applyQuotaDecision(req, decision)
	}
	b.serveAdmitOnly(cust)
	if len(cust.waiting.requests) > 0 && !cust.waiting.listed {
		cust.waiting.listed = true
		b.waitingCustomers = append(b.waitingCustomers, cust)
	}
}

// serveAdmitOnly decides the requests for admission only, skipping those that wait for the ceiling's share or for a
// request in flight to finish. Requests for admission only wait for nothing but the counter, because a proxy holds its
// client up until the decision.
func (b *Balancer) serveAdmitOnly(cust *customer) {
	position := 0
	for position < len(cust.waiting.requests) && cust.waiting.admitOnly > 0 {
		req := cust.waiting.requests[position]
		if !req.admitOnly {
			position++
			continue
		}
		decision := quotaPending
		if !req.ended {
			decision = b.checkQuota(req)
			if decision == quotaPending {
				position++
				continue
			}
		}
		cust.waiting.removeAdmitOnly(position)
		position = 0 // applying the decision may change the queue, so start over
		if !req.ended {
			b.applyQuotaDecision(req, decision)
		}
	}
}

// applyQuotaDecision carries out a quota decision. The request must have left its customer's queue, because this may
// serve other requests of that queue.
func (b *Balancer) applyQuotaDecision(req *request, decision quotaDecision) {
	if decision == quotaExceeded {
		b.handleOverQuota(req)
		return
	}
	b.assign(req)
}
