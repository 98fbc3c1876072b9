package extauthz

import (
	"sync/atomic"
	"time"

	"gapgap/internal/account"
	"gapgap/internal/decisioncache"
	"gapgap/internal/proxy"
)

// pool is the state for the checks of one pool from all listeners. The pool's event loop owns all fields except
// accounts.
type pool struct {
	proxy  *proxy.Proxy
	shared *Shared
	// accounts has the accounts of the pool. Any goroutine may load it.
	accounts  atomic.Pointer[account.Table]
	decisions *decisioncache.Cache[decision, *check]
	inFlight  inFlightTable
}

// trackInFlight tracks an admitted request until its end call, if its plan limits the requests in flight.
func (p *pool) trackInFlight(id uint64, request *proxy.Request, now time.Duration) {
	if request.HoldFor > 0 && !p.inFlight.add(id, request, now+request.HoldFor, now) {
		p.shared.Stats.InFlightUntracked.Add(1)
	}
}

// finishAdmitted ends an admitted request. It returns false if there is none of that id in flight. Only the event loop
// may call it.
func (p *pool) finishAdmitted(id uint64) bool {
	request := p.inFlight.remove(id, p.proxy.Now())
	if request == nil {
		return false
	}
	p.shared.Stats.Ended.Add(1)
	p.proxy.FinishAdmitted(request)
	return true
}

// finishAdmitted ends an admitted request of any pool, as the id does not say which. It returns false if there is none
// of that id in flight.
func (f *Frontend) finishAdmitted(id uint64) bool {
	for _, p := range *f.shared.pools.Load() {
		if f.finishAdmittedIn(p, id) {
			return true
		}
	}
	return false
}

// finishAdmittedIn is finishAdmitted for one pool. It waits up to answerGrace until the event loop's queue accepts the
// task, and then until the task is done or the loop has ended.
func (f *Frontend) finishAdmittedIn(p *pool, id uint64) bool {
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
