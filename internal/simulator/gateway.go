package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gapgap/internal/balancer"
)

// Gateway is one gateway: the decision module and what drives it.
type Gateway struct {
	// Index is its index among the gateways of the world.
	Index int
	// IsAlive says that it has been started and not been killed since.
	IsAlive bool
	// ClockSkew is how far its clock is ahead of the world's.
	ClockSkew time.Duration
	// Sent is called when the first attempt of a request is dispatched or the request is admitted; nil: it is not.
	Sent func(*Request)
	// Done is called with the final answer of a request; nil: it is not.
	Done func(*Request, Outcome)
	// Attempted is called when an attempt is dispatched to an Endpoint; nil: it is not.
	Attempted func(request *Request, endpoint string)
	// Intercept takes each action of the decision module and returns those that are carried out in its place; nil:
	// all are carried out. Tests break a gateway by it.
	Intercept func(balancer.Action) []balancer.Action

	world    *World
	settings balancer.Settings
	balancer *balancer.Balancer
	// incarnation goes up with each start and each death. What was scheduled for a former one is void.
	incarnation int
	// pending are events that the decision module has not seen.
	pending    []balancer.Event
	isStepping bool
	lastID     uint64
	requests   map[uint64]*Request
}

// AddGateway adds a gateway, whose index it sets in the settings. [Gateway.Start] starts it.
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

// Start starts the gateway with no memory but the list of endpoints. Its error is that of invalid settings.
func (g *Gateway) Start() error {
	settings := g.settings
	settings.Classes = slices.Clone(settings.Classes)
	settings.Plans = slices.Clone(settings.Plans)
	g.incarnation++
	// Another label would give other runs of the same seed.
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

// endpointList returns all endpoints as discovery lists them.
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

// Incarnation is a number that goes up with each start and each death.
func (g *Gateway) Incarnation() int { return g.incarnation }

// Kill ends the gateway as SIGKILL does: neither clients nor endpoints learn of it, and what it knew is lost. Start
// starts it again.
func (g *Gateway) Kill() {
	g.IsAlive = false
	g.incarnation++
}

// Submit brings a request to the gateway. It returns false, and does nothing, if the gateway is dead.
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

// UpdateEndpoints brings changes of the endpoint list, as discovery does. A dead gateway ignores them.
func (g *Gateway) UpdateEndpoints(changes ...balancer.Endpoint) {
	if g.IsAlive {
		g.handle(balancer.EndpointUpdate{Kind: balancer.Delta, Entries: changes})
	}
}

// ifSameIncarnation wraps a function that is to be called later: it does nothing once the gateway has died.
func (g *Gateway) ifSameIncarnation(do func()) func() {
	incarnation := g.incarnation
	return func() {
		if g.incarnation == incarnation {
			do()
		}
	}
}

// handle passes an event to the decision module, and carries out its actions until it has none. Events that an action
// causes are passed on in further steps of the call that is under way.
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
