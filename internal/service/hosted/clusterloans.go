package hosted

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/peer"
)

// closedSignal is a closed channel: with it, PostUntil never blocks.
var closedSignal = func() chan struct{} {
	signal := make(chan struct{})
	close(signal)
	return signal
}()

// loanSender returns a function that sends a pool's loans and loan requests to other gateways.
func (m *clusterMember) loanSender(poolName string) func(balancer.Action) {
	return func(action balancer.Action) {
		switch action := action.(type) {
		case balancer.RequestLoan:
			m.transport.RequestLoan(peer.LoanRequest{
				Pool:     poolName,
				Customer: action.Customer,
				Plan:     uint16(action.Plan),
				At:       int64(action.At),
			})
		case balancer.GrantLoan:
			m.transport.GrantLoan(action.To, peer.Loan{
				Request: peer.LoanRequest{
					Pool:     poolName,
					Customer: action.Customer,
					Plan:     uint16(action.Plan),
					At:       int64(action.At),
				},
				Rate:  action.Rate,
				Depth: action.Depth,
			})
		}
	}
}

// handleLoanRequest passes another gateway's loan request to the pool. It implements [peer.Config].HandleLoanRequest.
func (m *clusterMember) handleLoanRequest(from int, request peer.LoanRequest) {
	m.postEvent(request.Pool, balancer.LoanRequest{
		From:     from,
		Customer: request.Customer,
		Plan:     int(request.Plan),
		At:       time.Duration(request.At),
	})
}

// handleLoan passes another gateway's loan to the pool. It implements [peer.Config].HandleLoan.
func (m *clusterMember) handleLoan(from int, loan peer.Loan) {
	m.postEvent(loan.Request.Pool, balancer.LoanGranted{
		From:     from,
		Customer: loan.Request.Customer,
		Plan:     int(loan.Request.Plan),
		At:       time.Duration(loan.Request.At),
		Rate:     loan.Rate,
		Depth:    loan.Depth,
	})
}

// postEvent passes an event to the pools of a name without blocking. If a pool's queue is full, the event is dropped;
// gateways repeat such events. There are two pools of one name while one of them is being removed.
func (m *clusterMember) postEvent(poolName string, event balancer.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p, pool := range m.pools {
		if pool.poolName == poolName {
			p.PostUntil(func() { p.Enqueue(event) }, closedSignal)
		}
	}
}
