package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gapgap/internal/balancer"
)

// Gateway is one simulated gateway: the decision module and its driver.
type Gateway struct {
	// Index is its index among the gateways of the world.
	Index int
	// IsAlive reports whether it has been started and not killed since.
	IsAlive bool
	// ClockSkew is how far its clock is ahead of the world's.
	ClockSkew time.Duration
	// Sent, if not nil, is called when the first attempt of a request is written or the request is admitted.
	Sent func(*Request)
	// WriteDelay, if not nil, returns how long an attempt waits for its connection before it is written.
	WriteDelay func() time.Duration
	// Done, if not nil, is called with the final answer of a request.
	Done func(*Request, Outcome)
	// Attempted, if not nil, is called when an attempt is dispatched to an [Endpoint].
	Attempted func(request *Request, endpoint string)
	// Intercept, if not nil, takes each action of the decision module and returns the actions to carry out instead.
	// Tests use it to inject gateway faults.
	Intercept func(balancer.Action) []balancer.Action

	world    *World
	settings balancer.Settings
	balancer *balancer.Balancer
	// incarnation increases with each start and each kill. Events scheduled for an earlier incarnation are ignored.
	incarnation int
	// pending are the events not yet passed to the decision module.
	pending    []balancer.Event
	isStepping bool
	lastID     uint64
	requests   map[uint64]*Request
}

// AddGateway adds a gateway and sets its index in the settings. The gateway is not running until [Gateway.Start].
func (w *World) AddGateway(settings balancer.Settings) *Gateway {
	settings.Index = len(w.Gateways)
	g := &Gateway{
		Index:    settings.Index,
		world:    w,
		settings: settings,
	}
	w.Gateways = append(w.Gateways, g)
	return g
}

// Start starts the gateway with no state except the endpoint list. It returns an error if the settings are invalid.
func (g *Gateway) Start() error {
	settings := g.settings
	settings.Classes = slices.Clone(settings.Classes)
	settings.Plans = slices.Clone(settings.Plans)
	g.incarnation++
	// Another label would change the runs of existing seeds.
	seed := g.world.Rand("door", g.Index, g.incarnation).Uint64()
	var err error
	if g.balancer, err = balancer.New(settings, seed); err != nil {
		return fmt.Errorf("gateway %d: %w", g.Index, err)
	}
	g.requests = map[uint64]*Request{}
	g.pending = nil
	g.IsAlive = true
	g.handle(balancer.EndpointUpdate{Kind: balancer.Snapshot, Entries: g.world.endpointList()})
	return nil
}

// endpointList returns all endpoints in the form in which discovery lists them.
func (w *World) endpointList() (list []balancer.Endpoint) {
	for _, endpoint := range w.FixedLatencyEndpoints {
		list = append(list, balancer.Endpoint{Name: endpoint.Name, Weight: 1})
	}
	for _, name := range slices.Sorted(maps.Keys(w.Endpoints)) {
		list = append(list, balancer.Endpoint{
			Name:      name,
			Weight:    1,
			StartedAt: max(0, w.Endpoints[name].startedAt),
		})
	}
	return list
}

// Incarnation returns a number that increases with each start and each kill.
func (g *Gateway) Incarnation() int { return g.incarnation }

// Kill ends the gateway as SIGKILL does: neither clients nor endpoints are notified, and its state is lost. It can be
// started again with [Gateway.Start].
func (g *Gateway) Kill() {
	g.IsAlive = false
	g.incarnation++
}

// Submit passes a request to the gateway. It returns false, and does nothing, if the gateway is not running.
func (g *Gateway) Submit(request *Request) bool {
	if !g.IsAlive {
		return false
	}
	g.lastID++
	request.Gateway = g.Index
	request.Incarnation = g.incarnation
	request.At = g.world.Now
	request.inFlight = map[int]inFlightAttempt{}
	g.requests[g.lastID] = request
	g.handle(balancer.Request{
		ID:          g.lastID,
		Class:       request.Class,
		Plan:        request.Plan,
		Customer:    request.Customer,
		TimeLeft:    request.TimeLeft,
		Units:       request.Units,
		Gateways:    request.Gateways,
		ClientRetry: request.ClientRetry,
		AdmitOnly:   request.AdmitOnly,
	})
	return true
}

// UpdateEndpoints passes changes of the endpoint list to the gateway, as discovery does. A gateway that is not running
// ignores them.
func (g *Gateway) UpdateEndpoints(changes ...balancer.Endpoint) {
	if g.IsAlive {
		g.handle(balancer.EndpointUpdate{Kind: balancer.Delta, Entries: changes})
	}
}

// ifSameIncarnation wraps a function to be called later: it does nothing if the gateway was killed or restarted
// meanwhile.
func (g *Gateway) ifSameIncarnation(do func()) func() {
	incarnation := g.incarnation
	return func() {
		if g.incarnation == incarnation {
			do()
		}
	}
}

// handle passes an event to the decision module, and carries out its actions until no events are pending. Events that
// an action causes are queued, and the outermost call passes them on in further steps.
func (g *Gateway) handle(ev balancer.Event) {
	g.pending = append(g.pending, ev)
	if g.isStepping {
		return
	}
	g.isStepping = true
	for len(g.pending) > 0 {
		events := g.pending
		g.pending = nil
		for _, action := range g.balancer.Step(g.world.Now+g.ClockSkew, events) {
			if g.Intercept == nil {
				g.execute(action)
				continue
			}
			for _, replacement := range g.Intercept(action) {
				g.execute(replacement)
			}
		}
	}
	g.isStepping = false
}
