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
	"strconv"
	"sync"
	"time"

	"gapgap/internal/peer"
	"gapgap/internal/policy"
	"gapgap/internal/policyreplica"
	"gapgap/internal/proxy"
)

// policyHost has this process go by the fleet's policy. It implements [policyreplica.Host].
type policyHost struct {
	service      *Service
	replica      *policyreplica.Replica
	gateways     []string
	lease        *proxy.DecisionLease
	mu           sync.Mutex // held to change until
	decidesUntil time.Duration
}

// switchTimeout is how long the loops of all pools are given to go over to another version.
const switchTimeout = 2 * time.Second

// openPolicy opens what the door's disk has of policy.
func (s *Service) openPolicy(cfg *Config) (*policyHost, error) {
	sec := cfg.Fleet
	p := &policyHost{service: s, lease: proxy.NewDecisionLease()}
	for _, d := range sec.Gateways {
		p.gateways = append(p.gateways, d.Name)
	}
	pc := policyreplica.Config{Name: cfg.Node.Name, Index: sec.Index, Gateways: p.gateways, FS: s.disk, Dir: sec.StateDir, Now: s.clock.Now, Log: s.log.With("of", "policy"),
		Send: s.fleet.peers.SendPolicy, Process: func() policy.Process { return policy.Process{Gateway: uint16(sec.Index), ID: s.fleet.peers.ID()} },
		InitialPolicy: func() ([]byte, error) { return policyOf(cfg.text) }, AbortAfter: sec.Policy.GiveUp, Fence: sec.Policy.Fence, Host: p}
	if sec.Policy.UseLastKnown {
		pc.StoredVersionDelay = sec.Policy.LastKnownWait
	}
	var err error
	if p.replica, err = policyreplica.New(pc); err != nil {
		return nil, fmt.Errorf("fleet.policy: %w", err)
	}
	return p, nil
}

func (p *policyHost) decisionLease() *proxy.DecisionLease {
	if p == nil {
		return nil
	}
	return p.lease
}

func (p *policyHost) start() {
	if p != nil {
		p.replica.Start()
	}
}

func (p *policyHost) close() {
	if p != nil {
		p.replica.Close()
	}
}

// leave says that this door decides nothing any more: the pools have ended.
func (p *policyHost) leave() {
	if p != nil {
		p.replica.Leave()
		p.replica.Close()
	}
}

// Build implements [policyreplica.Host].
func (p *policyHost) Build(doc []byte) (any, error) {
	p.service.mu.Lock()
	own := p.service.cfg
	p.service.mu.Unlock()
	return ParseWith(own.file, own.text, "policy", doc)
}

// parseWithPolicy is the node's part of a configuration with the policy that this door goes by.
func (p *policyHost) parseWithPolicy(cfg *Config) (*Config, error) {
	v := p.replica.View()
	if v.Version.Number == 0 {
		return nil, errors.New("this door has not yet learned the fleet's policy")
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlWithin)
	defer cancel()
	doc, err := p.replica.Document(ctx, v.Version.Hash)
	if err != nil {
		return nil, err
	}
	return ParseWith(cfg.file, cfg.text, "policy", doc)
}

// StopDeciding implements [policyreplica.Host].
func (p *policyHost) StopDeciding() { p.SetDecisionDeadline(0) }

// SetDecisionDeadline implements [policyreplica.Host].
func (p *policyHost) SetDecisionDeadline(t time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stood := p.decidesUntil <= p.service.clock.Now()
	p.decidesUntil = t
	p.lease.Extend(t)
	if stood && t > 0 {
		for _, c := range p.proxies() {
			c.Resume()
		}
	}
}

func (p *policyHost) proxies() (all []*proxy.Proxy) {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	for _, pl := range p.service.pools {
		all = append(all, pl.core)
	}
	return all
}

// SwitchTo implements [policyreplica.Host]. It returns once all loops go by the version.
func (p *policyHost) SwitchTo(version uint64, built any) error {
	cfg, ok := built.(*Config)
	if !ok {
		return errors.New("it was not read")
	}
	if err := p.service.reload(cfg); err != nil {
		return err
	}
	all := p.proxies()
	done := make(chan struct{}, len(all))
	for _, c := range all {
		c.SetPolicyVersion(version, func() { done <- struct{}{} })
	}
	limit := time.After(switchTimeout)
	for range all {
		select {
		case <-done:
		case <-limit:
			return errors.New("a pool's loop stands still")
		}
	}
	return nil
}

// PolicyStatus is how a door, and the leader of the voters, say that the policy stands.
type PolicyStatus struct {
	Name         string          `json:"name"`
	Version      policy.Version  `json:"goes_by"`
	Decides      bool            `json:"decides"`
	Current      *policy.Version `json:"present,omitempty"` // by the voters; null: no majority answers
	Mode         string          `json:"mode,omitempty"`
	Leader       string          `json:"leader,omitempty"`
	Pending      *policy.Change  `json:"change,omitempty"`
	WaitingFor   string          `json:"waits,omitempty"`
	Participants []string        `json:"serving,omitempty"` // doors that may decide
}

// status is asked of the leader, too.
func (p *policyHost) status(ctx context.Context) *PolicyStatus {
	v := p.replica.View()
	st := &PolicyStatus{Name: p.service.cfg.Node.Name, Version: v.Version, Decides: v.DecidesUntil > p.service.clock.Now()}
	said, err := p.replica.Query(ctx, policy.Query{})
	if err != nil {
		return st
	}
	st.Current, st.Mode, st.Pending, st.WaitingFor = &said.Current, said.Mode.String(), said.Pending, p.withGatewayNames(said.WaitingFor)
	st.Leader = p.gatewayName(said.Leader)
	for _, r := range said.Participants {
		st.Participants = append(st.Participants, p.gatewayName(r.Gateway))
	}
	return st
}

func (p *policyHost) gatewayName(rank uint16) string {
	if int(rank) < len(p.gateways) {
		return p.gateways[rank]
	}
	return fmt.Sprint("door ", rank)
}

// withGatewayNames puts names in the place of "door 2".
func (p *policyHost) withGatewayNames(s string) string {
	return policy.ReplaceGatewayNumbers(s, p.gateways)
}

// PolicyResult is what became of a proposal.
type PolicyResult struct {
	ID         string `json:"id"`
	Known      bool   `json:"known"` // else it is not known yet: ask by the id
	Committed  bool   `json:"taken"`
	Version    uint64 `json:"version,omitempty"`
	Reason     string `json:"reason,omitempty"`
	WaitingFor string `json:"waits,omitempty"`
}

const (
	defaultProposalWait  = 60 * time.Second // that a proposal's caller waits where it says nothing
	replaceTimeout       = 4 * time.Second  // for a voter to be replaced ...
	replaceRetryInterval = 200 * time.Millisecond
	queryTimeout         = 2 * time.Second // for the leader's answer on how things stand
)

// propose brings a change and waits for what becomes of it.
func (p *policyHost) propose(ctx context.Context, q map[string]string, doc []byte) (*PolicyResult, error) {
	c := &policy.Change{ID: q["id"], Author: q["who"], Note: q["note"], Bytes: int64(len(doc)), ProposedAt: time.Now().UnixMilli(), Source: uint16(slices.Index(p.gateways, p.service.cfg.Node.Name))}
	if _, err := p.Build(doc); err != nil {
		return nil, err
	}
	early, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	said, err := p.replica.Query(early, policy.Query{})
	if err != nil {
		return nil, fmt.Errorf("no majority of the voters answers, so nothing was proposed: %w", err)
	}
	if c.Base = said.Current.Number; q["base"] != "" {
		if c.Base, err = strconv.ParseUint(q["base"], 10, 64); err != nil {
			return nil, fmt.Errorf("base %q is no version", q["base"])
		}
	}
	if c.Mode = said.Mode; q["mode"] != "" {
		if c.Mode, err = policy.ParseMode(q["mode"]); err != nil {
			return nil, err
		}
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if c.Hash, err = p.replica.StoreDocument(ctx, doc); err != nil {
		return nil, fmt.Errorf("the policy could not be kept here: %w", err)
	}
	return p.outcome(ctx, policy.Query{ChangeID: c.ID, Change: c}), nil
}

// outcome waits for what becomes of a change.
func (p *policyHost) outcome(ctx context.Context, say policy.Query) *PolicyResult {
	r := &PolicyResult{ID: say.ChangeID}
	said, err := p.replica.Query(ctx, say)
	if err != nil || said.Outcome == nil {
		if said != nil && said.Pending != nil && said.Pending.ID == say.ChangeID {
			r.WaitingFor = p.withGatewayNames(said.WaitingFor)
		}
		return r
	}
	o := said.Outcome
	r.Known, r.Committed, r.Version, r.Reason = true, o.Committed, o.Version, p.withGatewayNames(o.Reason)
	return r
}

// routes adds what operators ask of policy.
func (p *policyHost) routes(mux *http.ServeMux) {
	if p == nil {
		return
	}
	within := func(w http.ResponseWriter, r *http.Request, d time.Duration) (context.Context, context.CancelFunc) {
		rc := http.NewResponseController(w)
		rc.SetWriteDeadline(time.Now().Add(d + controlWithin))
		rc.SetReadDeadline(time.Now().Add(d + controlWithin))
		return context.WithTimeout(r.Context(), d)
	}
	put := func(w http.ResponseWriter, code int, v any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(v)
	}
	mux.HandleFunc("GET /policy/status", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, queryTimeout)
		defer cancel()
		put(w, http.StatusOK, p.status(ctx))
	})
	mux.HandleFunc("GET /policy/show", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, controlWithin)
		defer cancel()
		doc, v, err := p.document(ctx, r.URL.Query().Get("version"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("X-Gapgap-Policy", strconv.FormatUint(v, 10))
		w.Write(doc)
	})
	mux.HandleFunc("GET /policy/history", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, controlWithin)
		defer cancel()
		b, err := p.replica.History(ctx)
		if err != nil {
			http.Error(w, "no majority of the voters answers: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(b)
	})
	mux.HandleFunc("GET /policy/change", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, queryTimeout)
		defer cancel()
		put(w, http.StatusOK, p.outcome(ctx, policy.Query{ChangeID: r.URL.Query().Get("id")}))
	})
	mux.HandleFunc("POST /policy/propose", func(w http.ResponseWriter, r *http.Request) {
		wait := defaultProposalWait
		if d, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil && d > 0 {
			wait = min(d, peer.MaxProposalWait)
		}
		ctx, cancel := within(w, r, wait)
		defer cancel()
		doc, err := io.ReadAll(http.MaxBytesReader(w, r.Body, policy.MaxDocumentBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		q := map[string]string{}
		for k, v := range r.URL.Query() {
			q[k] = v[0]
		}
		res, err := p.propose(ctx, q, doc)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		put(w, http.StatusOK, res)
	})
	mux.HandleFunc("POST /policy/voter", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, replaceTimeout)
		defer cancel()
		name := r.URL.Query().Get("name")
		rank := slices.Index(p.gateways, name)
		if rank < 0 {
			http.Error(w, fmt.Sprintf("%q: %v", name, peer.ErrUnknownGateway), http.StatusNotFound)
			return
		}
		for reason := ""; ; {
			said, err := p.replica.Query(ctx, policy.Query{ReplaceVoter: uint16(rank) + 1})
			switch {
			case err == nil && said.Reason == "":
				w.WriteHeader(http.StatusNoContent)
				return
			case err == nil:
				reason = p.withGatewayNames(said.Reason)
			}
			select {
			case <-time.After(replaceRetryInterval):
			case <-ctx.Done():
				http.Error(w, cmp.Or(reason, "no majority of the voters answers"), http.StatusConflict)
				return
			}
		}
	})
	mux.HandleFunc("POST /policy/recover", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, replaceTimeout)
		defer cancel()
		var lost []int
		for _, name := range r.URL.Query()["lost"] {
			rank := slices.Index(p.gateways, name)
			if rank < 0 {
				http.Error(w, fmt.Sprintf("%q: %v", name, peer.ErrUnknownGateway), http.StatusNotFound)
				return
			}
			lost = append(lost, rank)
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
	})
	mux.HandleFunc("POST /policy/forget", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, queryTimeout)
		defer cancel()
		rank := slices.Index(p.gateways, r.URL.Query().Get("name"))
		if rank < 0 {
			http.Error(w, fmt.Sprintf("%q: %v", r.URL.Query().Get("name"), peer.ErrUnknownGateway), http.StatusNotFound)
			return
		}
		said, err := p.replica.Query(ctx, policy.Query{Forget: uint16(rank) + 1})
		switch {
		case err != nil:
			http.Error(w, "no majority of the voters answers: "+err.Error(), http.StatusServiceUnavailable)
		case said.Reason != "":
			http.Error(w, p.withGatewayNames(said.Reason), http.StatusConflict)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
}

// document is a version's document; of the present one, if none is named.
func (p *policyHost) document(ctx context.Context, version string) ([]byte, uint64, error) {
	said, err := p.replica.Query(ctx, policy.Query{})
	if err != nil {
		return nil, 0, fmt.Errorf("no majority of the voters answers, so the present version is not known: %w", err)
	}
	v := said.Current
	if version != "" {
		n, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			return nil, 0, fmt.Errorf("%q is no version", version)
		}
		b, err := p.replica.History(ctx)
		if err != nil {
			return nil, 0, err
		}
		var past []policy.Outcome
		if err := json.Unmarshal(b, &past); err != nil {
			return nil, 0, err
		}
		i := slices.IndexFunc(past, func(o policy.Outcome) bool { return o.Committed && o.Version == n })
		if i < 0 {
			return nil, 0, fmt.Errorf("version %d is not among the last %d changes", n, policy.MaxOutcomes)
		}
		v = policy.Version{Number: n, Hash: past[i].Change.Hash}
	}
	if v.Number == 0 {
		return nil, 0, errors.New("the fleet has no policy yet")
	}
	doc, err := p.replica.Document(ctx, v.Hash)
	return doc, v.Number, err
}
