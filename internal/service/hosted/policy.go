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

// policySide has this process go by the fleet's policy. It implements [policyreplica.Host].
type policySide struct {
	s     *Service
	side  *policyreplica.Replica
	names []string
	guard *proxy.DecisionLease
	mu    sync.Mutex // held to change until
	until time.Duration
}

// stampWithin is how long the loops of all pools are given to go over to another version.
const stampWithin = 2 * time.Second

// newPolicy opens what the door's disk has of policy.
func (s *Service) newPolicy(cfg *Config) (*policySide, error) {
	sec := cfg.Fleet
	p := &policySide{s: s, guard: proxy.NewDecisionLease()}
	for _, d := range sec.Gateways {
		p.names = append(p.names, d.Name)
	}
	pc := policyreplica.Config{Name: cfg.Node.Name, Index: sec.Index, Gateways: p.names, FS: s.disk, Dir: sec.StateDir, Now: s.clock.Now, Log: s.log.With("of", "policy"),
		Send: s.fleet.peers.SendPolicy, Process: func() policy.Process { return policy.Process{Gateway: uint16(sec.Index), ID: s.fleet.peers.ID()} },
		InitialPolicy: func() ([]byte, error) { return policyOf(cfg.text) }, AbortAfter: sec.Policy.GiveUp, Fence: sec.Policy.Fence, Host: p}
	if sec.Policy.UseLastKnown {
		pc.StoredVersionDelay = sec.Policy.LastKnownWait
	}
	var err error
	if p.side, err = policyreplica.New(pc); err != nil {
		return nil, fmt.Errorf("fleet.policy: %w", err)
	}
	return p, nil
}

func (p *policySide) guardOf() *proxy.DecisionLease {
	if p == nil {
		return nil
	}
	return p.guard
}

func (p *policySide) begin() {
	if p != nil {
		p.side.Start()
	}
}

func (p *policySide) close() {
	if p != nil {
		p.side.Close()
	}
}

// end says that this door decides nothing any more: the pools have ended.
func (p *policySide) end() {
	if p != nil {
		p.side.Leave()
		p.side.Close()
	}
}

// Build implements [policyreplica.Host].
func (p *policySide) Build(doc []byte) (any, error) {
	p.s.mu.Lock()
	own := p.s.cfg
	p.s.mu.Unlock()
	return ParseWith(own.file, own.text, "policy", doc)
}

// with is the node's part of a configuration with the policy that this door goes by.
func (p *policySide) with(cfg *Config) (*Config, error) {
	v := p.side.View()
	if v.Version.Number == 0 {
		return nil, errors.New("this door has not yet learned the fleet's policy")
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlWithin)
	defer cancel()
	doc, err := p.side.Document(ctx, v.Version.Hash)
	if err != nil {
		return nil, err
	}
	return ParseWith(cfg.file, cfg.text, "policy", doc)
}

// StopDeciding implements [policyreplica.Host].
func (p *policySide) StopDeciding() { p.SetDecisionDeadline(0) }

// SetDecisionDeadline implements [policyreplica.Host].
func (p *policySide) SetDecisionDeadline(t time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stood := p.until <= p.s.clock.Now()
	p.until = t
	p.guard.Extend(t)
	if stood && t > 0 {
		for _, c := range p.cores() {
			c.Resume()
		}
	}
}

func (p *policySide) cores() (all []*proxy.Proxy) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	for _, pl := range p.s.pools {
		all = append(all, pl.core)
	}
	return all
}

// SwitchTo implements [policyreplica.Host]. It returns once all loops go by the version.
func (p *policySide) SwitchTo(version uint64, built any) error {
	cfg, ok := built.(*Config)
	if !ok {
		return errors.New("it was not read")
	}
	if err := p.s.reload(cfg); err != nil {
		return err
	}
	all := p.cores()
	done := make(chan struct{}, len(all))
	for _, c := range all {
		c.SetPolicyVersion(version, func() { done <- struct{}{} })
	}
	limit := time.After(stampWithin)
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
	Name    string          `json:"name"`
	Version policy.Version  `json:"goes_by"`
	Decides bool            `json:"decides"`
	Present *policy.Version `json:"present,omitempty"` // by the voters; null: no majority answers
	Mode    string          `json:"mode,omitempty"`
	Leader  string          `json:"leader,omitempty"`
	Change  *policy.Change  `json:"change,omitempty"`
	Waits   string          `json:"waits,omitempty"`
	Serving []string        `json:"serving,omitempty"` // doors that may decide
}

// status is asked of the leader, too.
func (p *policySide) status(ctx context.Context) *PolicyStatus {
	v := p.side.View()
	st := &PolicyStatus{Name: p.s.cfg.Node.Name, Version: v.Version, Decides: v.DecidesUntil > p.s.clock.Now()}
	said, err := p.side.Query(ctx, policy.Query{})
	if err != nil {
		return st
	}
	st.Present, st.Mode, st.Change, st.Waits = &said.Current, said.Mode.String(), said.Pending, p.named(said.WaitingFor)
	st.Leader = p.name(said.Leader)
	for _, r := range said.Participants {
		st.Serving = append(st.Serving, p.name(r.Gateway))
	}
	return st
}

func (p *policySide) name(rank uint16) string {
	if int(rank) < len(p.names) {
		return p.names[rank]
	}
	return fmt.Sprint("door ", rank)
}

// named puts names in the place of "door 2".
func (p *policySide) named(s string) string { return policy.ReplaceGatewayNumbers(s, p.names) }

// PolicyResult is what became of a proposal.
type PolicyResult struct {
	ID      string `json:"id"`
	Known   bool   `json:"known"` // else it is not known yet: ask by the id
	Taken   bool   `json:"taken"`
	Version uint64 `json:"version,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Waits   string `json:"waits,omitempty"`
}

const (
	proposeUsual  = 60 * time.Second // that a proposal's caller waits where it says nothing
	replaceWithin = 4 * time.Second  // for a voter to be replaced ...
	replaceEach   = 200 * time.Millisecond
	askWithin     = 2 * time.Second // for the leader's answer on how things stand
)

// propose brings a change and waits for what becomes of it.
func (p *policySide) propose(ctx context.Context, q map[string]string, doc []byte) (*PolicyResult, error) {
	c := &policy.Change{ID: q["id"], Author: q["who"], Note: q["note"], Bytes: int64(len(doc)), ProposedAt: time.Now().UnixMilli(), Source: uint16(slices.Index(p.names, p.s.cfg.Node.Name))}
	if _, err := p.Build(doc); err != nil {
		return nil, err
	}
	early, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	said, err := p.side.Query(early, policy.Query{})
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
	if c.Hash, err = p.side.StoreDocument(ctx, doc); err != nil {
		return nil, fmt.Errorf("the policy could not be kept here: %w", err)
	}
	return p.outcome(ctx, policy.Query{ChangeID: c.ID, Change: c}), nil
}

// outcome waits for what becomes of a change.
func (p *policySide) outcome(ctx context.Context, say policy.Query) *PolicyResult {
	r := &PolicyResult{ID: say.ChangeID}
	said, err := p.side.Query(ctx, say)
	if err != nil || said.Outcome == nil {
		if said != nil && said.Pending != nil && said.Pending.ID == say.ChangeID {
			r.Waits = p.named(said.WaitingFor)
		}
		return r
	}
	o := said.Outcome
	r.Known, r.Taken, r.Version, r.Reason = true, o.Committed, o.Version, p.named(o.Reason)
	return r
}

// routes adds what operators ask of policy.
func (p *policySide) routes(mux *http.ServeMux) {
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
		ctx, cancel := within(w, r, askWithin)
		defer cancel()
		put(w, http.StatusOK, p.status(ctx))
	})
	mux.HandleFunc("GET /policy/show", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, controlWithin)
		defer cancel()
		doc, v, err := p.show(ctx, r.URL.Query().Get("version"))
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
		b, err := p.side.History(ctx)
		if err != nil {
			http.Error(w, "no majority of the voters answers: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(b)
	})
	mux.HandleFunc("GET /policy/change", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, askWithin)
		defer cancel()
		put(w, http.StatusOK, p.outcome(ctx, policy.Query{ChangeID: r.URL.Query().Get("id")}))
	})
	mux.HandleFunc("POST /policy/propose", func(w http.ResponseWriter, r *http.Request) {
		wait := proposeUsual
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
		ctx, cancel := within(w, r, replaceWithin)
		defer cancel()
		name := r.URL.Query().Get("name")
		rank := slices.Index(p.names, name)
		if rank < 0 {
			http.Error(w, fmt.Sprintf("%q: %v", name, peer.ErrUnknownGateway), http.StatusNotFound)
			return
		}
		for reason := ""; ; {
			said, err := p.side.Query(ctx, policy.Query{ReplaceVoter: uint16(rank) + 1})
			switch {
			case err == nil && said.Reason == "":
				w.WriteHeader(http.StatusNoContent)
				return
			case err == nil:
				reason = p.named(said.Reason)
			}
			select {
			case <-time.After(replaceEach):
			case <-ctx.Done():
				http.Error(w, cmp.Or(reason, "no majority of the voters answers"), http.StatusConflict)
				return
			}
		}
	})
	mux.HandleFunc("POST /policy/recover", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, replaceWithin)
		defer cancel()
		var lost []int
		for _, name := range r.URL.Query()["lost"] {
			rank := slices.Index(p.names, name)
			if rank < 0 {
				http.Error(w, fmt.Sprintf("%q: %v", name, peer.ErrUnknownGateway), http.StatusNotFound)
				return
			}
			lost = append(lost, rank)
		}
		err := p.side.Recover(ctx, lost, r.URL.Query().Get("who"))
		var refused *policyreplica.RecoveryRefusedError
		switch {
		case errors.As(err, &refused):
			http.Error(w, p.named(refused.Error()), http.StatusConflict)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /policy/forget", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(w, r, askWithin)
		defer cancel()
		rank := slices.Index(p.names, r.URL.Query().Get("name"))
		if rank < 0 {
			http.Error(w, fmt.Sprintf("%q: %v", r.URL.Query().Get("name"), peer.ErrUnknownGateway), http.StatusNotFound)
			return
		}
		said, err := p.side.Query(ctx, policy.Query{Forget: uint16(rank) + 1})
		switch {
		case err != nil:
			http.Error(w, "no majority of the voters answers: "+err.Error(), http.StatusServiceUnavailable)
		case said.Reason != "":
			http.Error(w, p.named(said.Reason), http.StatusConflict)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
}

// show is a version's document; of the present one, if none is named.
func (p *policySide) show(ctx context.Context, version string) ([]byte, uint64, error) {
	said, err := p.side.Query(ctx, policy.Query{})
	if err != nil {
		return nil, 0, fmt.Errorf("no majority of the voters answers, so the present version is not known: %w", err)
	}
	v := said.Current
	if version != "" {
		n, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			return nil, 0, fmt.Errorf("%q is no version", version)
		}
		b, err := p.side.History(ctx)
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
	doc, err := p.side.Document(ctx, v.Hash)
	return doc, v.Number, err
}
