package scenario

import (
	"fmt"
	"math"
	"slices"
	"time"

	"gapgap/internal/simulator"
)

// virtualDriver is the driver named in reports: virtual time.
const virtualDriver = "virtual"

// answerMargin is how long a run continues after the last client deadline.
const answerMargin = time.Second

// run is the state of one run of a script.
type run struct {
	script    *Script
	world     *simulator.World
	report    *Report
	endpoints []*endpoint
	accounts  []*account
	// openRequests are the requests whose outcome is not counted yet.
	openRequests map[*clientRequest]bool
	// activeKills counts, by gateway, the active events that keep it down.
	activeKills map[int]int
	// eventsAfter are the events that begin after the end of another event, by its name.
	eventsAfter map[string][]Event

	classes       []Breakdown
	plans         []Breakdown
	accountGroups []Breakdown
}

// endpoint is an endpoint of a run.
type endpoint struct {
	*simulator.Endpoint
	group string
	// drainKnownAt is, by gateway, when it was notified that the endpoint is draining; 0 if it was not.
	drainKnownAt []time.Duration
}

// account is an account of a run, with its clients.
type account struct {
	name  string
	group *AccountGroup
	// groupIndex is the index of the group in the script.
	groupIndex int
	// firstGateway is the index of the first gateway that receives the account's requests.
	firstGateway int
	// rateFactor multiplies the account's request rate.
	rateFactor float64
	// requests counts the requests sent so far, without retries.
	requests int
	ceiling  ceilingMeter
}

// Run runs a script in virtual time. It fails only for a script that does not come from [Load] or [Parse].
func Run(script *Script) (*Report, error) {
	r := newRun(script)
	began := time.Now()
	if err := r.addEndpoints(); err != nil {
		return nil, err
	}
	if err := r.startGateways(); err != nil {
		return nil, err
	}
	r.addBreakdowns()
	r.addAccounts()
	r.scheduleEvents()
	r.scheduleSamples()
	r.world.Run(simulator.Start + script.Duration + script.longestRequest() + answerMargin)
	r.complete()
	r.report.Elapsed = time.Since(began)
	return r.report, nil
}

// newRun returns a run with an empty world.
func newRun(script *Script) *run {
	world := simulator.New(script.Seed, 0)
	world.Endpoints = map[string]*simulator.Endpoint{}
	return &run{
		script: script,
		world:  world,
		report: &Report{
			Script:  script.Name,
			Seed:    script.Seed,
			Driver:  virtualDriver,
			Seconds: make([]Tally, int(math.Ceil(script.Duration.Seconds()))),
		},
		openRequests: map[*clientRequest]bool{},
		activeKills:  map[int]int{},
		eventsAfter:  map[string][]Event{},
	}
}

// addEndpoints adds the endpoints. They share one dedup scope: each drops repeats of keys that another one has seen.
func (r *run) addEndpoints() error {
	for _, group := range r.script.Endpoints {
		for i := range group.Count {
			name := fmt.Sprintf("%s-%d", group.Group, i)
			simulated, err := simulator.NewEndpoint(name, group.EndpointConfig, r.world, r.world.Rand)
			if err != nil {
				return err
			}
			r.world.Endpoints[name] = simulated
			if len(r.endpoints) > 0 {
				simulated.ShareDedupWith(r.endpoints[0].Endpoint)
			}
			r.endpoints = append(r.endpoints, &endpoint{
				Endpoint:     simulated,
				group:        group.Group,
				drainKnownAt: make([]time.Duration, r.script.Gateways),
			})
		}
	}
	return nil
}

// startGateways adds and starts the gateways.
func (r *run) startGateways() error {
	for range r.script.Gateways {
		settings := r.script.settings()
		if r.script.changeSettings != nil {
			r.script.changeSettings(&settings)
		}
		gateway := r.world.AddGateway(settings)
		gateway.Intercept = r.script.intercept
		gateway.Sent = r.checkCeiling
		gateway.Done = r.requestDone
		gateway.Attempted = r.checkAttempt
		if err := gateway.Start(); err != nil {
			return err
		}
	}
	return nil
}

// addBreakdowns adds an empty tally for each class, plan and group of accounts.
func (r *run) addBreakdowns() {
	for _, class := range r.script.Classes {
		r.classes = append(r.classes, Breakdown{Kind: "class", Name: class.Name})
	}
	for _, plan := range r.script.Plans {
		r.plans = append(r.plans, Breakdown{Kind: "plan", Name: plan.Name})
	}
	for _, group := range r.script.Accounts {
		r.accountGroups = append(r.accountGroups, Breakdown{Kind: "accounts", Name: group.Group})
	}
}

// addAccounts adds the accounts, and schedules the first request of each.
func (r *run) addAccounts() {
	for groupIndex := range r.script.Accounts {
		group := &r.script.Accounts[groupIndex]
		for i := range group.Count {
			name := fmt.Sprintf("%s-%d", group.Group, i)
			rng := r.world.Rand("account", name)
			added := &account{
				name:         name,
				group:        group,
				groupIndex:   groupIndex,
				firstGateway: rng.IntN(r.script.Gateways),
				rateFactor:   1,
			}
			r.accounts = append(r.accounts, added)
			r.world.After(interval(rng, group.Rate), func() { r.beginRequest(added) })
		}
	}
}

// scheduleEvents schedules the events that begin at a fixed time, and indexes those that follow another event.
func (r *run) scheduleEvents() {
	for _, event := range r.script.Events {
		if event.After != "" {
			r.eventsAfter[event.After] = append(r.eventsAfter[event.After], event)
			continue
		}
		r.world.At(simulator.Start+event.At, func() { r.beginEvent(event) })
	}
}

// scheduleSamples samples the number of requests held by the endpoints at the end of each second.
func (r *run) scheduleSamples() {
	for i := range r.report.Seconds {
		r.world.At(simulator.Start+time.Duration(i+1)*time.Second, func() {
			for _, sampled := range r.endpoints {
				r.report.Seconds[i].Held += sampled.Held()
			}
		})
	}
}

// longestRequest returns the maximum time that a client waits for a request with all its retries, without the delays
// between them.
func (s *Script) longestRequest() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return time.Duration(s.Retries+1) * longest
}

// now returns the time since the start of the run.
func (r *run) now() time.Duration { return r.world.Now - simulator.Start }

// traceEvent adds a line to the trace.
func (r *run) traceEvent(format string, args ...any) {
	r.report.Trace = append(r.report.Trace, r.timestamp()+fmt.Sprintf(format, args...))
}

// timestamp returns the current time as the prefix of a report line.
func (r *run) timestamp() string { return fmt.Sprintf("%9.3f ", r.now().Seconds()) }

// complete counts the open requests as lost, runs the final checks and completes the report.
func (r *run) complete() {
	for request := range r.openRequests {
		r.count(request, Tally{Lost: 1})
	}
	r.checkEndpoints()
	r.report.Breakdowns = slices.Concat(r.classes, r.plans, r.accountGroups)
	r.report.Events = r.world.Events
	r.report.CounterCalls = r.world.Counter.Calls
	r.report.complete()
}
