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

// controlSocketMode lets only the user of the process connect to the operators' socket.
const controlSocketMode = 0o600

// clusterMember is this process's part in a cluster of gateways. Its pools use the quota shares that its share lease
// gives; each applies the newest lease on its own event loop. A nil clusterMember stands for a gateway that stands
// alone; of such a one only the methods that say so may be called.
type clusterMember struct {
	transport *peer.Transport
	identity  *peer.IdentityStore
	// controlListener is that of operators; nil means none.
	controlListener net.Listener
	// controlServer is nil until start, and without a controlListener.
	controlServer *http.Server

	// policy is nil if there is none, or not yet.
	policy   atomic.Pointer[policyHost]
	recovery *startupRecovery

	// isClockWrong stops the pools' counter calls: by a wrong clock they would name other counter windows than those of
	// the other gateways.
	isClockWrong atomic.Bool

	// mu is held while the fields below are used.
	mu sync.Mutex
	// lease is the newest share lease. After a start it excludes this gateway, which then has no share at all: a lease
	// of the process before is not taken over. applyLease replaces it once [cluster.Node] serves, a short delay after
	// the start; its fraction grows as the voters grant slots (package quotalease).
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

// listenControl listens on the operators' Unix socket. A socket of an earlier process is removed: the lock of the state
// directory says that there is no other process now.
func listenControl(path string) (net.Listener, error) {
	_ = os.Remove(path) // if it can't be removed, listening fails
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	return listener, os.Chmod(path, controlSocketMode)
}

// handlePolicy takes what another gateway sends of policy.
func (m *clusterMember) handlePolicy(from int, payload []byte) {
	if host := m.policy.Load(); host != nil {
		host.replica.HandleMessage(from, payload)
	}
}

// start starts the exchange with the other gateways, and to answer operators. The policy host may be nil. A nil member
// does nothing.
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

// leave notifies the other gateways that this one leaves, and closes the member. All pools have to have ended. A nil
// member does nothing.
func (m *clusterMember) leave() {
	if m == nil {
		return
	}
	_ = m.transport.Leave(context.Background()) // gateways that it does not reach find out
	m.close()
}

// close ends all without notice to others. A nil member does nothing.
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
