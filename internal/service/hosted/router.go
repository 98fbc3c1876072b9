package hosted

import (
	"context"
	"log/slog"
	"sync/atomic"

	"gapgap/internal/proxy"
	"gapgap/internal/route"
)

// maxPassedRulesBytes bounds the rules that a line of the debug log names.
const maxPassedRulesBytes = 512

// router finds the pool of each request by the current routing table. Table and pools change together, in one step.
type router struct {
	state atomic.Pointer[routerState]
	log   *slog.Logger
}

// routerState is a routing table with its pools' proxies by name. It does not change.
type routerState struct {
	table   *route.Table
	proxies map[string]*proxy.Proxy
}

// update sets the routing table and its pools.
func (r *router) update(table *route.Table, pools map[string]*pool) {
	state := &routerState{table: table, proxies: map[string]*proxy.Proxy{}}
	for name, p := range pools {
		state.proxies[name] = p.proxy
	}
	r.state.Store(state)
}

// rules returns the number of rules of the routing table.
func (r *router) rules() int { return r.state.Load().table.Len() }

// Route implements [proxy.Router].
func (r *router) Route(query *route.Query) *proxy.Proxy {
	for {
		state := r.state.Load()
		match := state.table.Match(query)
		found := state.proxies[match.Pool]
		if r.log.Enabled(context.Background(), slog.LevelDebug) {
			r.logMatch(state.table, query, match)
		}
		if found == nil || found.Acquire() {
			return found
		}
		if r.state.Load() == state { // the pool is being removed, and there is no newer table
			return nil
		}
	}
}

// logMatch logs why a request goes where it goes.
func (r *router) logMatch(table *route.Table, query *route.Query, match route.Match) {
	r.log.Debug("routed",
		"listener", query.Listener,
		"host", query.Host,
		"path", query.Path,
		"method", query.Method,
		"class", query.Class,
		"account", query.Account,
		"rule", match.Rule,
		"pool", match.Pool,
		"passed", passedRules(table, query))
}

// passedRules names the rules that do not match a request, before the one that does, and by what each fails.
func passedRules(table *route.Table, query *route.Query) string {
	steps, _ := table.Explain(query)
	passed := ""
	for _, step := range steps {
		if step.Fails == "" {
			break
		}
		if len(passed) > maxPassedRulesBytes {
			return passed + " ..."
		}
		passed += " " + step.Rule + ":" + step.Fails
	}
	return passed
}
