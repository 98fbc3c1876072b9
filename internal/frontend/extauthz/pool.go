package extauthz

import (
	"sync/atomic"
	"time"

	"gapgap/internal/account"
	"gapgap/internal/decisioncache"
	"gapgap/internal/proxy"
)

// pool is what the checks for one pool have in common, whatever listener they come by. The pool's event loop owns all
// but accounts.
type pool struct {
	proxy  *proxy.Proxy
	shared *Shared
	// accounts are those of the pool. Any goroutine may load them.
	accounts  atomic.Pointer[account.Table]
	decisions *decisioncache.Cache[decision, *check]
	inFlight  inFlightTable
}

// trackInFlight keeps an admitted request for its end call if its plan bounds the requests in flight.
func (p *pool) trackInFlight(id uint64, request *proxy.Request, now time.Duration) {
	if request.HoldFor > 0 && !p.inFlight.add(id, request, now+request.HoldFor, now) {
		p.shared.Stats.InFlightUntracked.Add(1)
	}
}

// finishAdmitted ends the work of an admitted request and returns false if none of that id is in flight. Only the event
// loop may call it.
func (p *pool) finishAdmitted(id uint64) bool {
	request := p.inFlight.remove(id, p.proxy.Now())
	if request == nil {
		return false
	}
	p.shared.Stats.Ended.Add(1)
	p.proxy.FinishAdmitted(request)
	return true
}

// finishAdmitted ends the work of an admitted request of any pool, which the id does not tell. It returns false if none
// of that id is in flight.
func (f *Front) finishAdmitted(id uint64) bool {
	for _, p := range *f.shared.pools.Load() {
		if f.finishAdmittedIn(p, id) {
			return true
		}
	}
	return false
}

// finishAdmittedIn is finishAdmitted for one pool. It waits for answerGrace at most until the task has a place in the
// event loop's queue, and then until the task is done or the loop has ended.
func (f *Front) finishAdmittedIn(p *pool, id uint64) bool {
	finished := make(chan bool, 1)
	deadline := f.env.Now() + answerGrace
	if !f.post(p.proxy, func() { finished <- p.finishAdmitted(id) }, deadline) {
		return false
	}
	select {
	case ok := <-finished:
		return ok
	case <-p.proxy.Done():
		return false
	}
}
