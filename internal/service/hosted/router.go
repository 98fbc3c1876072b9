package hosted

import (
	"context"
	"log/slog"
	"sync/atomic"

	"gapgap/internal/proxy"
	"gapgap/internal/route"
)

// maxSkippedRulesBytes bounds the list of skipped rules in a line of the debug log.
const maxSkippedRulesBytes = 512

// router finds the pool of each request by the current routing table. The table and its pools change atomically.
type router struct {
	state atomic.Pointer[routerState]
	log   *slog.Logger
}

// routerState is a routing table with the proxies of its pools by name. It is immutable.
type routerState struct {
	table   *route.Table
	proxies map[string]*proxy.Proxy
}

// update replaces the routing table and its pools.
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

// logMatch logs which rule matched a request and which rules were skipped.
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
		"passed", skippedRules(table, query))
}

// skippedRules lists the rules before the matching one, each with the field that did not match.
func skippedRules(table *route.Table, query *route.Query) string {
	steps, _ := table.Explain(query)
	skipped := ""
	for _, step := range steps {
		if step.Fails == "" {
			break
		}
		if len(skipped) > maxSkippedRulesBytes {
			return skipped + " ..."
		}
		skipped += " " + step.Rule + ":" + step.Fails
	}
	return skipped
}
