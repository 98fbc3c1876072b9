package hosted

import (
	"errors"
	"net/http"
	"time"

	"gapgap/internal/peer"
)

const (
	// controlTimeout bounds the reading and the answering of an operator's command.
	controlTimeout = 5 * time.Second
	// maxControlHeaderBytes bounds its header.
	maxControlHeaderBytes = 8 << 10
)

// serveControl starts to answer operators' commands. The policy host may be nil.
func (m *clusterMember) serveControl(policy *policyHost) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet/status", m.handleStatus)
	mux.HandleFunc("GET /fleet/recovery", m.handleRecovery)
	mux.HandleFunc("POST /fleet/leave", m.handleLeave)
	mux.HandleFunc("POST /fleet/forget", m.handleForget)
	policy.routes(mux)
	if policy == nil {
		mux.HandleFunc("/policy/", handleNoPolicy)
	}
	m.controlServer = &http.Server{
		Handler:        mux,
		ReadTimeout:    controlTimeout,
		WriteTimeout:   controlTimeout,
		MaxHeaderBytes: maxControlHeaderBytes,
	}
	go func() {
		_ = m.controlServer.Serve(m.controlListener) // it ends when the member is closed
	}()
}

// handleStatus writes how this gateway sees the cluster.
func (m *clusterMember) handleStatus(w http.ResponseWriter, r *http.Request) {
	view, err := m.transport.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, view)
}

// handleRecovery writes how far the recovery after the start has come.
func (m *clusterMember) handleRecovery(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, m.recovery.view())
}

// handleLeave has this gateway leave the cluster.
func (m *clusterMember) handleLeave(w http.ResponseWriter, r *http.Request) {
	writeClusterResult(w, m.transport.Leave(r.Context()))
}

// handleForget has the cluster forget a gateway that is off.
func (m *clusterMember) handleForget(w http.ResponseWriter, r *http.Request) {
	writeClusterResult(w, m.transport.Forget(r.Context(), r.URL.Query().Get("name")))
}

// writeClusterResult writes what became of a command that returns nothing but an error.
func writeClusterResult(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, peer.ErrUnknownGateway):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// handleNoPolicy answers commands on a policy that there is not.
func handleNoPolicy(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "this door goes by the policy in its file: there is no [fleet.policy]", http.StatusNotFound)
}
