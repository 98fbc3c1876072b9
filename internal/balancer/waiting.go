package balancer

import "slices"

// waitingRequests is the line of a customer's requests that wait for units of its quota or ceiling, or for one of its
// requests in flight to end. The zero value is an empty line.
type waitingRequests struct {
	// requests are in the order in which they arrived. One that has ended stays until it is reached.
	requests []*request
	// admitOnly counts those that ask for admission only.
	admitOnly int
	// listed is true while the customer is in Balancer.waitingCustomers.
	listed bool
}

// push adds a request at the end.
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

// removeAdmitOnly removes the request at a position, which asks for admission only.
func (waiting *waitingRequests) removeAdmitOnly(position int) {
	waiting.requests = slices.Delete(waiting.requests, position, position+1)
	waiting.admitOnly--
}

// allowAnotherCall lets each request that called the counter without an answer call it once more.
func (waiting *waitingRequests) allowAnotherCall() {
	for _, req := range waiting.requests {
		req.quota.counterCalled = req.quota.counterCalled && req.quota.counterCalledTwice
		req.quota.counterCalledTwice = true
	}
}

// serveWaiting decides for a customer's waiting requests in the order of their arrival, until one has to go on
// waiting: for the counter's answer, for a request in flight to end, or for the ceiling's share to fill.
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

// serveAdmitOnly decides for the requests that ask for admission only, past those that wait for the ceiling's share
// or for a request in flight to end. They wait for nothing but the counter's answer, as a client of a proxy is held
// up by each of them.
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
		position = 0 // the decision may serve others, so the line has to be read anew
		if !req.ended {
			b.applyQuotaDecision(req, decision)
		}
	}
}

// applyQuotaDecision carries a decision out. The request must have left its customer's line, as this may serve others
// of the line.
func (b *Balancer) applyQuotaDecision(req *request, decision quotaDecision) {
	if decision == quotaExceeded {
		b.handleOverQuota(req)
		return
	}
	b.assign(req)
}
