package hosted

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"gapgap/internal/peer"
	"gapgap/internal/policy"
	"gapgap/internal/policyreplica"
)

const (
	// defaultProposalWait is how long a proposal waits for the outcome if the request sets no time.
	defaultProposalWait = 60 * time.Second
	// replaceTimeout bounds the replacement of a voter, and replaceRetryInterval is the pause between attempts.
	replaceTimeout       = 4 * time.Second
	replaceRetryInterval = 200 * time.Millisecond

	noMajorityText = "no majority of the voters answers"
)

// routes adds the handlers of operators' policy commands. A nil host adds none.
func (p *policyHost) routes(mux *http.ServeMux) {
	if p == nil {
		return
	}
	mux.HandleFunc("GET /policy/status", p.handleStatus)
	mux.HandleFunc("GET /policy/show", p.handleShow)
	mux.HandleFunc("GET /policy/history", p.handleHistory)
	mux.HandleFunc("GET /policy/change", p.handleChange)
	mux.HandleFunc("POST /policy/propose", p.handlePropose)
	mux.HandleFunc("POST /policy/voter", p.handleReplaceVoter)
	mux.HandleFunc("POST /policy/recover", p.handleRecover)
	mux.HandleFunc("POST /policy/forget", p.handleForget)
}

// withTimeout returns a context for a request with a timeout, and extends the connection's deadlines accordingly.
func withTimeout(w http.ResponseWriter, r *http.Request, d time.Duration) (context.Context, context.CancelFunc) {
	controller := http.NewResponseController(w)
	deadline := time.Now().Add(d + controlTimeout)
	_ = controller.SetWriteDeadline(deadline) // otherwise the server's own timeout applies
	_ = controller.SetReadDeadline(deadline)
	return context.WithTimeout(r.Context(), d)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}

// gatewayIndex returns the index of a gateway. For an unknown name it writes an error response.
func (p *policyHost) gatewayIndex(w http.ResponseWriter, name string) (index int, ok bool) {
	index = slices.Index(p.gateways, name)
	if index < 0 {
		http.Error(w, fmt.Sprintf("%q: %v", name, peer.ErrUnknownGateway), http.StatusNotFound)
		return 0, false
	}
	return index, true
}

func (p *policyHost) handleStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(w, r, queryTimeout)
	defer cancel()
	writeJSON(w, p.status(ctx))
}

// handleShow writes the policy document of a version.
func (p *policyHost) handleShow(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(w, r, controlTimeout)
	defer cancel()
	document, version, err := p.document(ctx, r.URL.Query().Get("version"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Gapgap-Policy", fmt.Sprint(version))
	_, _ = w.Write(document) // fails only if the client has disconnected
}

// handleHistory writes the outcomes of the last changes.
func (p *policyHost) handleHistory(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(w, r, controlTimeout)
	defer cancel()
	history, err := p.replica.History(ctx)
	if err != nil {
		http.Error(w, noMajorityText+": "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(history) // fails only if the client has disconnected
}

// handleChange writes the outcome of a change.
func (p *policyHost) handleChange(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(w, r, queryTimeout)
	defer cancel()
	writeJSON(w, p.outcome(ctx, policy.Query{ChangeID: r.URL.Query().Get("id")}))
}

// handlePropose proposes a change and writes its outcome.
func (p *policyHost) handlePropose(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	wait := defaultProposalWait
	if d, err := time.ParseDuration(query.Get("wait")); err == nil && d > 0 {
		wait = min(d, peer.MaxProposalWait)
	}
	ctx, cancel := withTimeout(w, r, wait)
	defer cancel()
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, policy.MaxDocumentBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, err := p.propose(ctx, proposalRequest{
		id:       query.Get("id"),
		author:   query.Get("who"),
		note:     query.Get("note"),
		base:     query.Get("base"),
		mode:     query.Get("mode"),
		document: document,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, result)
}

// handleReplaceVoter readmits a voter that has lost its disk. It retries until that succeeds or replaceTimeout has
// passed.
func (p *policyHost) handleReplaceVoter(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(w, r, replaceTimeout)
	defer cancel()
	index, ok := p.gatewayIndex(w, r.URL.Query().Get("name"))
	if !ok {
		return
	}
	reason := ""
	for {
		reply, err := p.replica.Query(ctx, policy.Query{ReplaceVoter: uint16(index) + 1})
		if err == nil && reply.Reason == "" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if err == nil {
			reason = p.withGatewayNames(reply.Reason)
		}
		select {
		case <-time.After(replaceRetryInterval):
		case <-ctx.Done():
			http.Error(w, cmp.Or(reason, noMajorityText), http.StatusConflict)
			return
		}
	}
}

// handleRecover makes this gateway's voter continue alone after a majority of the voters' disks was lost.
func (p *policyHost) handleRecover(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(w, r, replaceTimeout)
	defer cancel()
	var lost []int
	for _, name := range r.URL.Query()["lost"] {
		index, ok := p.gatewayIndex(w, name)
		if !ok {
			return
		}
		lost = append(lost, index)
	}
	err := p.replica.Recover(ctx, lost, r.URL.Query().Get("who"))
	var refused *policyreplica.RecoveryRefusedError
	switch {
	case errors.As(err, &refused):
		http.Error(w, p.withGatewayNames(refused.Error()), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// handleForget makes the voters stop waiting for a gateway that is down.
func (p *policyHost) handleForget(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withTimeout(w, r, queryTimeout)
	defer cancel()
	index, ok := p.gatewayIndex(w, r.URL.Query().Get("name"))
	if !ok {
		return
	}
	reply, err := p.replica.Query(ctx, policy.Query{Forget: uint16(index) + 1})
	switch {
	case err != nil:
		http.Error(w, noMajorityText+": "+err.Error(), http.StatusServiceUnavailable)
	case reply.Reason != "":
		http.Error(w, p.withGatewayNames(reply.Reason), http.StatusConflict)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
