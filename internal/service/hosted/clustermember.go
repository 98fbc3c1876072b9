package hosted

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"gapgap/internal/cluster"
	"gapgap/internal/peer"
	"gapgap/internal/proxy"
)

// controlSocketMode allows only the user of the process to connect to the operators' socket.
const controlSocketMode = 0o600

// clusterMember is this process as a member of a cluster of gateways. Its pools use the quota shares that its share
// lease grants; each applies the newest lease on its own event loop. It is nil for a gateway that is not part of a
// cluster; only methods that document it may be called on nil.
type clusterMember struct {
	transport *peer.Transport
	identity  *peer.IdentityStore
	// controlListener accepts operators' connections; nil means none.
	controlListener net.Listener
	// controlServer is nil before start and without a controlListener.
	controlServer *http.Server

	// policy is nil before start and without a cluster policy.
	policy   atomic.Pointer[policyHost]
	recovery *startupRecovery

	// isClockWrong stops the pools' counter calls: with a wrong clock they would use other counter windows than the
	// other gateways.
	isClockWrong atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// lease is the newest share lease. After a start it excludes this gateway, which then has no share at all, because
	// the lease of the previous process is not reused. applyLease replaces it once [cluster.Node] serves, a short delay
	// after the start; its fraction grows as the voters grant slots (package quotalease).
	lease cluster.ShareLease
	pools map[*proxy.Proxy]*poolLease
}

// newClusterMember locks the state directory and opens the sockets for the other gateways and for operators.
func (s *Service) newClusterMember(settings *peer.Settings, name string) (*clusterMember, error) {
	m := &clusterMember{
		pools: map[*proxy.Proxy]*poolLease{},
		lease: cluster.ShareLease{Excluded: true},
	}
	var err error
	if m.identity, err = peer.OpenIdentity(s.disk, settings.StateDir, name); err != nil {
		return nil, fmt.Errorf("fleet.state_dir: %w", err)
	}
	if m.transport, err = peer.New(s.peerConfig(m, settings, name)); err != nil {
		m.identity.Close()
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if settings.Control == "" {
		return m, nil
	}
	if m.controlListener, err = listenControl(settings.Control); err != nil {
		m.transport.Close()
		m.identity.Close()
		return nil, fmt.Errorf("fleet.control: %w", err)
	}
	return m, nil
}

// peerConfig returns the configuration of the transport to the other gateways.
func (s *Service) peerConfig(m *clusterMember, settings *peer.Settings, name string) peer.Config {
	return peer.Config{
		Name:              name,
		Listen:            settings.Listen,
		Gateways:          settings.Gateways,
		Key:               settings.Key,
		Identity:          m.identity,
		Now:               s.clock.Now,
		Log:               s.log,
		ApplyLease:        m.applyLease,
		AppliedEpoch:      m.appliedEpoch,
		SetClockWrong:     m.isClockWrong.Store,
		HandleLoanRequest: m.handleLoanRequest,
		HandleLoan:        m.handleLoan,
		HandlePolicy:      m.handlePolicy,
		HandleKeys: func(from int, payload []byte) {
			if keys := s.keys; keys != nil {
				keys.HandleMessage(from, payload)
			}
		},
		RecoveryStep: func() string { return m.recovery.currentStep() },
	}
}

// listenControl listens on the operators' Unix socket. It removes the socket of an earlier process: the lock of the
// state directory ensures that no other process uses it.
func listenControl(path string) (net.Listener, error) {
	_ = os.Remove(path) // if this fails, so does net.Listen
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	return listener, os.Chmod(path, controlSocketMode)
}

// handlePolicy passes another gateway's policy message to the policy replica.
func (m *clusterMember) handlePolicy(from int, payload []byte) {
	if host := m.policy.Load(); host != nil {
		host.replica.HandleMessage(from, payload)
	}
}

// start starts the exchange with the other gateways and serves operators' commands. The policy host may be nil. It does
// nothing on a nil member.
func (m *clusterMember) start(policy *policyHost) {
	if m == nil {
		return
	}
	m.policy.Store(policy)
	m.transport.Start()
	if m.controlListener != nil {
		m.serveControl(policy)
	}
}

// leave notifies the other gateways that this one leaves, and closes the member. All pools must have ended. It does
// nothing on a nil member.
func (m *clusterMember) leave() {
	if m == nil {
		return
	}
	_ = m.transport.Leave(context.Background()) // gateways that it does not reach detect it
	m.close()
}

// close closes the member without notifying the other gateways. It does nothing on a nil member.
func (m *clusterMember) close() {
	if m == nil {
		return
	}
	if m.controlServer != nil {
		_ = m.controlServer.Close()
	} else if m.controlListener != nil {
		_ = m.controlListener.Close()
	}
	m.transport.Close()
	m.identity.Close()
}
