package extauthz

import (
	"errors"
	"net/http"
	"slices"

	"gapgap/internal/account"
	"gapgap/internal/decisioncache"
	"gapgap/internal/proxy"
	"gapgap/internal/route"
)

// check is a check with a known account. It is the embedded request that the pool's proxy decides, and that request's
// [proxy.Client].
type check struct {
	proxy.Request
	pool    *pool
	account *account.Account
	// query is the routing query by which the pool was selected.
	query route.Query
	// hasKey is true if repeats of the check can be recognized by key.
	hasKey bool
	key    decisioncache.Key
	// tracked is true if the check is in the pool's decision cache, as entry.
	tracked bool
	entry   decisioncache.Entry
	// done receives the decision.
	done chan decision
}

// answerCheck reads, decides and answers a check.
func (e *exchange) answerCheck() {
	c := e.readCheck()
	if c == nil {
		return
	}
	stats := &e.front.shared.Stats
	d, ok := e.front.decide(c)
	switch {
	case d.unavailable:
		e.response.undecided(undecidedPolicy)
	case !ok || d.outcome != proxy.Admitted && d.outcome != proxy.Rejected:
		e.response.undecided(undecidedNoAnswer)
	case d.outcome == proxy.Admitted:
		stats.Allowed.Add(1)
		e.response.allow(d, c.account)
	default:
		stats.Refused.Add(1)
		e.response.reject(d, c.account)
	}
}

// readCheck reads a check, and selects and acquires its pool. It uses the processor share of the pool of the
// connection's last check. It returns nil if it has answered the check.
func (e *exchange) readCheck() *check {
	scheduler := e.conn.scheduler()
	began := scheduler.Enter()
	defer scheduler.Leave(began)
	t, query, err := e.readQuery()
	if err != nil {
		e.badRequest(problemTarget, err)
		return nil
	}
	// Credentials are looked up across all pools: the pool may depend on the account, and the account's plan on the
	// pool.
	customer := e.identify()
	if customer == nil {
		return nil
	}
	c := &check{query: query, done: make(chan decision, 1)}
	c.query.Account = customer.Customer
	c.pool = e.acquirePool(&c.query)
	if c.pool == nil {
		return nil
	}
	if !e.readRequest(c, t) {
		c.pool.proxy.Release()
		return nil
	}
	return c
}

// readQuery returns the target of a check and the routing query for it, without the account. Clients are told the
// error.
func (e *exchange) readQuery() (target, route.Query, error) {
	t, err := e.route.readTarget(e.request, e.uri)
	if err != nil {
		return target{}, route.Query{}, err
	}
	host, path, err := account.Target(t.host, t.uri)
	if err != nil {
		return target{}, route.Query{}, err
	}
	return t, route.Query{
		Listener: e.front.config.Name,
		Host:     host,
		Path:     path,
		Method:   t.method,
		Header:   e.request.Header,
	}, nil
}

// identify returns the account of a check, or nil if it has answered the check.
func (e *exchange) identify() *account.Account {
	customer, err := e.route.identify(e.front.shared.identities.Load(), e.request.Header)
	if errors.Is(err, errUnknownCredential) {
		e.front.shared.Stats.Unauthenticated.Add(1)
		e.response.unauthenticated()
		return nil
	}
	if err != nil {
		e.badRequest(problemCredential, err)
		return nil
	}
	return customer
}

// acquirePool selects and acquires the pool of a check, and moves the connection and the reserved memory to the pool's
// limits. It returns nil if it has answered the check.
func (e *exchange) acquirePool(query *route.Query) *pool {
	stats := &e.front.shared.Stats
	chosen := e.front.env.Router.Route(query)
	p := e.front.shared.poolOf(chosen)
	if p == nil {
		if chosen != nil {
			chosen.Release()
		}
		e.forbidden(problemNoRoute, "No service stands behind this.")
		return nil
	}
	if !e.conn.assignTo(chosen) {
		chosen.Release()
		stats.NoCapacity.Add(1)
		e.response.w.Header().Set("Connection", "close")
		e.response.undecided(undecidedConnections)
		return nil
	}
	if !e.memory.moveTo(chosen.Memory) {
		chosen.Release()
		stats.NoCapacity.Add(1)
		e.response.undecided(undecidedMemory)
		return nil
	}
	return p
}

// readRequest fills in the request of a check according to its pool's accounts and rules. It returns false if it has
// answered the check.
func (e *exchange) readRequest(c *check, t target) bool {
	accounts := c.pool.accounts.Load()
	customer := accounts.ByCustomer(c.query.Account)
	if customer == nil {
		e.forbidden(problemNotEntitled, "The account has no plan here.")
		return false
	}
	rules := c.pool.proxy.Rules()
	class, units, ok := e.classify(accounts, rules, &c.query)
	if !ok || !customer.Entitled(class) {
		e.forbidden(problemNotEntitled, "The account is not entitled to this.")
		return false
	}
	units, err := e.readUnits(accounts, units)
	if err != nil {
		e.badRequest(problemUnits, err)
		return false
	}
	c.account = customer
	c.Request = proxy.Request{
		Client:    c,
		Class:     class,
		Plan:      customer.Plan,
		Customer:  customer.Customer,
		At:        e.front.env.Now(),
		Timeout:   e.route.timeout(e.request.Header),
		Units:     units,
		Gateways:  customer.Gateways,
		AdmitOnly: true,
	}
	if rules.Settings.Plans[customer.Plan].MaxInFlight > 0 {
		c.HoldFor = customer.HoldFor
	}
	identity := repeatIdentity{
		customer: customer.Customer,
		target:   t,
		units:    units,
		class:    class,
	}
	c.key, c.hasKey, err = e.route.repeatKey(identity, e.request.Header)
	if err != nil {
		e.badRequest(problemRequestID, err)
		return false
	}
	return true
}

// classify returns the class and the units of a check by the pool's rules. If no rule matches, it returns the route's
// default class and one unit; ok is false if the pool does not have that class.
func (e *exchange) classify(
	accounts *account.Table, rules *proxy.Rules, query *route.Query,
) (class int, units float64, ok bool) {
	class, units, ok = accounts.Match(query.Host, query.Method, query.Path)
	if ok || e.route.DefaultClass == "" {
		return class, units, ok
	}
	class = slices.Index(rules.Classes, e.route.DefaultClass)
	return class, 1, class >= 0
}

// readUnits returns the units in the route's units header, or defaultUnits if there are none.
func (e *exchange) readUnits(accounts *account.Table, defaultUnits float64) (float64, error) {
	name := e.route.UnitsHeader
	if name == "" {
		return defaultUnits, nil
	}
	value, err := singleValue(e.request.Header, name)
	if err != nil {
		return 0, err
	}
	if value == "" {
		return defaultUnits, nil
	}
	units, ok := accounts.Units(value)
	if !ok {
		return 0, &headerError{name: name, err: errUnreadable}
	}
	return units, nil
}

// badRequest sends the answer for a malformed check. The client is told the error.
func (e *exchange) badRequest(kind problemType, err error) {
	e.front.shared.Stats.Bad.Add(1)
	e.response.problem(http.StatusBadRequest, kind, err.Error())
}

// forbidden sends the answer for a check that is not allowed, regardless of the account's quota.
func (e *exchange) forbidden(kind problemType, detail string) {
	e.front.shared.Stats.Forbidden.Add(1)
	e.response.problem(http.StatusForbidden, kind, detail)
}
