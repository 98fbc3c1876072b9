package hosted

import (
	"errors"
	"net/http"
	"time"

	"gapgap/internal/peer"
)

const (
	// controlTimeout bounds reading and answering an operator's command.
	controlTimeout = 5 * time.Second
	// maxControlHeaderBytes bounds the header of a command.
	maxControlHeaderBytes = 8 << 10
)

// serveControl starts to serve operators' commands. The policy host may be nil.
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
		_ = m.controlServer.Serve(m.controlListener) // returns when the member is closed
	}()
}

// handleStatus writes this gateway's view of the cluster.
func (m *clusterMember) handleStatus(w http.ResponseWriter, r *http.Request) {
	view, err := m.transport.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, view)
}

// handleRecovery writes the progress of the recovery after the start.
func (m *clusterMember) handleRecovery(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, m.recovery.view())
}

// handleLeave makes this gateway leave the cluster.
func (m *clusterMember) handleLeave(w http.ResponseWriter, r *http.Request) {
	writeClusterResult(w, m.transport.Leave(r.Context()))
}

// handleForget makes the cluster forget a gateway that is down.
func (m *clusterMember) handleForget(w http.ResponseWriter, r *http.Request) {
	writeClusterResult(w, m.transport.Forget(r.Context(), r.URL.Query().Get("name")))
}

// writeClusterResult writes the outcome of a command that returns only an error.
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

// handleNoPolicy answers policy commands at a gateway without a cluster policy.
func handleNoPolicy(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "this gateway uses the policy in its file: there is no [fleet.policy]", http.StatusNotFound)
}
