package hosted

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/peer"
)

// closedSignal is closed: with it PostUntil never waits.
var closedSignal = func() chan struct{} {
	signal := make(chan struct{})
	close(signal)
	return signal
}()

// loanSender returns what sends a pool's loans and requests for loans to other gateways.
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

// handleLoanRequest hands another gateway's request for a loan to the pool. It implements
// [peer.Config].HandleLoanRequest.
func (m *clusterMember) handleLoanRequest(from int, request peer.LoanRequest) {
	m.postEvent(request.Pool, balancer.LoanRequest{
		From:     from,
		Customer: request.Customer,
		Plan:     int(request.Plan),
		At:       time.Duration(request.At),
	})
}

// handleLoan hands another gateway's loan to the pool. It implements [peer.Config].HandleLoan.
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

// postEvent hands an event to the pools of a name and returns at once. If a pool's queue is full the event is lost:
// what it says is repeated. There are two pools of one name while one of them is being removed.
func (m *clusterMember) postEvent(poolName string, event balancer.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p, pool := range m.pools {
		if pool.poolName == poolName {
			p.PostUntil(func() { p.Enqueue(event) }, closedSignal)
		}
	}
}
