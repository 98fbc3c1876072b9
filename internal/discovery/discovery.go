// Package discovery follows the list of backends at the platform's agent, over HTTP.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"gapgap/internal/backoff"
	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
)

// Times of a watch. Whatever goes wrong with one call, the next has the list within 6 s of discovery having it and being reachable, which is when a
// change counts as told. The longest that can add up after a watch has fallen silent is
//
//	signWithin + the pause + listWithin = 3 s + 0.3 s + 1.3 s = 4.6 s
//
// and what a call waits in discovery's queue, where lists are asked for: up to 2 s, which count for nobody. After a call that was turned away it is
// turnedAwayMost*1.5 + listWithin = 4.6 s, after one that was swallowed answerWithin + the pause + listWithin = 3.8 s, and where lists are pushed
// pushedMost + listWithin = 1.9 s. TestWithinSixSeconds plays each of these.
const (
	signWithin   = 3 * time.Second         // a watch gives a sign every 2 s; one silent for so long is dead
	answerWithin = 2200 * time.Millisecond // from asking for a watch until its answer begins: discovery may let a call wait for 2 s
	dialWithin   = time.Second             // of that, to connect
	listWithin   = 1300 * time.Millisecond // from the first byte of a list to its last ...
	listMost     = 4 * time.Second         // ... and up to this while none has come whole in time: the agent may be slow
	mostList     = 1 << 20                 // bytes of a list

	rewatchFirst   = 100 * time.Millisecond // mean pauses: with few front doors, as the agent is on this machine and asking it costs nothing ...
	rewatchMost    = 500 * time.Millisecond
	rewatchGrow    = 1.5
	rewatchesAll   = 20.0                   // ... but behind the agents is one discovery, which should answer no more than so many a second
	endedMost      = 200 * time.Millisecond // the longest mean pause after a watch that ended or never began
	turnedAwayMost = 2200 * time.Millisecond

	// Where lists are pushed a drain binds a quarter of a second after the agent has it, heard or not, and an agent that was silent with
	// discovery gets all at once: while a call is not answered further ones are made beside it, so that the first after its return is soon.
	// An agent that answered the last watch at once is asked again each pushedEvery. One that has answered none may have a queue in front of it: the calls to
	// it come further and further apart and stay open for longer, as one that is given up has cost its turn all the same.
	pushedPause = 30 * time.Millisecond
	pushedEvery = 150 * time.Millisecond
	pushedGrow  = 1.3
	pushedMost  = 600 * time.Millisecond  // apart at most
	pushedCalls = 6                       // at once: the oldest gives way
	pushedWaits = 2500 * time.Millisecond // ... as does one that has waited for so long
	beginsTimes = 4                       // as what the last watch took to begin, calls are apart
)

// apart is how far apart calls are that are made beside each other.
type apart struct {
	now   time.Duration
	known bool // a watch has begun
}

func newApart() apart { return apart{now: pushedEvery} }

// next is the time to the call after the one that is made.
func (a *apart) next() time.Duration {
	d := a.now
	if !a.known {
		a.now = min(pushedMost, time.Duration(pushedGrow*float64(a.now)))
	}
	return d
}

// took says that the last watch took so long to begin.
func (a *apart) took(d time.Duration) {
	a.known, a.now = true, min(pushedMost, max(pushedEvery, beginsTimes*d))
}

// Members is a list of backends, or changes of it, in discovery's form.
type Members struct {
	Index     int64
	Snapshot  bool
	Endpoints []Endpoint
}

// Endpoint is one backend in discovery's form.
type Endpoint struct {
	Name    string
	Address string
	Zone    string
	Type    string
	Group   int
	Status  string
	Weight  float64
	SinceMS int64 `json:"since_ms"`
}

var statuses = map[string]balancer.EndpointState{"SERVING": balancer.Serving, "DRAINING": balancer.Draining,
	"DELETED": balancer.Removed}

// Config says where the list is and how its words become the module's numbers.
type Config struct {
	Addr         string   // host:port of the agent
	Known        Members  // the list as last had
	Zones, Kinds []string // names, in the order of the module's indices
	Gateways     int      // front doors that ask the same discovery
	Pushed       bool     // the agent has the list without being asked: what it has counts as told, and asking it costs nothing
	Seed         uint64   // for the pauses between tries

	// Dial connects to the agent; nil: over TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Watch follows the list of backends. The loop owns it; the goroutines that read are given an address.
type Watch struct {
	l      *eventloop.Loop
	log    *slog.Logger
	cfg    Config
	sink   func(endpoint.Update)
	http   *http.Client
	addr   string
	index  int64 // of the list as the loop has it
	epoch  int   // of the watch: what an older one still reads is passed over
	stop   context.CancelFunc
	ended  backoff.Policy      // pauses after a watch has ended, or has not begun
	turned backoff.Policy      // ... or was turned away
	all    map[string]Endpoint // the list as the loop has it
}

// New makes a watch that begins with Follow. The sink is called by the loop goroutine.
func New(l *eventloop.Loop, log *slog.Logger, cfg Config, sink func(endpoint.Update)) *Watch {
	turned := backoff.PolicyFor(cfg.Gateways, rewatchesAll, backoff.Policy{Initial: rewatchFirst, Max: rewatchMost, Multiplier: rewatchGrow})
	turned.Initial, turned.Max = min(turned.Initial, turnedAwayMost), min(turned.Max, turnedAwayMost)
	ended := turned
	ended.Initial, ended.Max = min(ended.Initial, endedMost), min(ended.Max, endedMost)
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialWithin}).DialContext
	}
	return &Watch{l: l, log: log, cfg: cfg, sink: sink, http: &http.Client{Transport: &http.Transport{DialContext: dial}}, addr: cfg.Addr,
		index: cfg.Known.Index, stop: func() {}, ended: ended, turned: turned, all: map[string]Endpoint{}}
}

// Addr is where the list is watched.
func (d *Watch) Addr() string { return d.addr }

// Known hands on the list as last had.
func (d *Watch) Known() { d.take(d.cfg.Known, balancer.CachedSnapshot) }

// List is the list as it is known now, in a form that Config.Known takes. Only the loop goroutine may call it.
func (d *Watch) List() Members {
	m := Members{Index: d.index, Snapshot: true, Endpoints: make([]Endpoint, 0, len(d.all))}
	for _, e := range d.all {
		m.Endpoints = append(m.Endpoints, e)
	}
	return m
}

// Stop ends the watch.
func (d *Watch) Stop() {
	d.stop()
	d.http.CloseIdleConnections()
}

// Follow begins to watch at an address, from the index known last, and leaves the watch before.
func (d *Watch) Follow(addr string) {
	d.stop()
	d.addr = addr
	d.epoch++
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go d.run(ctx, addr, d.index, d.epoch)
}

func membersURL(addr string) string { return "http://" + addr + "/catalog/members" }

// run watches the list until the context ends.
func (d *Watch) run(ctx context.Context, addr string, index int64, epoch int) {
	ended, turned := backoff.Backoff{Policy: d.ended}, backoff.Backoff{Policy: d.turned}
	rng := rand.New(rand.NewPCG(d.cfg.Seed, uint64(epoch)))
	within, apart := listWithin, newApart()
	for ctx.Err() == nil {
		told, err := d.watch(ctx, addr, &index, epoch, within, &apart)
		switch {
		case told: // it was a watch
			ended.Reset()
			turned.Reset()
			within = listWithin
		case errors.Is(err, errHalfList):
			within = min(2*within, listMost)
		}
		pause := pushedPause
		if errors.Is(err, errTurnedAway) {
			pause = turned.Next(rng)
		} else if !d.cfg.Pushed {
			pause = ended.Next(rng)
		}
		d.log.Debug("watch ended", "error", err, "pause", pause)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// watch follows one watch to its end and keeps the index it has come to. A list may take so long from its first byte to its last. told says that one
// came whole.
func (d *Watch) watch(ctx context.Context, addr string, index *int64, epoch int, within time.Duration, apart *apart) (told bool, err error) {
	resp, cancel, err := d.begin(ctx, apart, fmt.Sprintf("%s?stream=1&index=%d", membersURL(addr), *index))
	if err != nil {
		return false, err
	}
	defer cancel()
	defer resp.Body.Close()
	dead := time.AfterFunc(signWithin, cancel) // a machine that fell silent ends no connection
	defer dead.Stop()
	var f framer
	b := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(b)
		began := f.inside()
		for rest := b[:n]; len(rest) > 0; {
			m, used, err := f.next(rest)
			if err != nil {
				return told, fmt.Errorf("watch: %w", err)
			}
			rest = rest[used:]
			if m == nil || m.Index < *index { // an older list says nothing of now
				continue
			}
			*index, told = m.Index, true
			d.l.Post(func() {
				if epoch == d.epoch { // else the next watch brings it again, from the index that the loop had
					d.discovered(*m)
				}
			})
		}
		switch {
		case f.inside() && (!began || f.fresh): // a list begins: from here on it must get on, however its bytes drip in
			dead.Reset(within)
		case n > 0 && !f.inside():
			dead.Reset(signWithin)
		}
		if err != nil && f.inside() {
			return told, fmt.Errorf("%w: %w", errHalfList, err)
		}
		if err != nil {
			return told, err
		}
	}
}

// errHalfList says that a list began and did not come to its end.
var errHalfList = errors.New("half a list")

// begin asks for a watch until one is there, and returns its answer with what ends it. Where lists are pushed, further calls are made beside one that
// is not answered, up to pushedCalls, and the first that is answered counts: it returns without one only when it is turned away or the context ends.
func (d *Watch) begin(ctx context.Context, apart *apart, url string) (*http.Response, context.CancelFunc, error) {
	type answer struct {
		call int
		resp *http.Response
		err  error
	}
	answers, over := make(chan answer), make(chan struct{})
	calls := map[int]context.CancelFunc{}
	made := map[int]time.Time{}
	defer func() {
		close(over)
		for _, cancel := range calls {
			cancel()
		}
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	for last := -1; ; {
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-next.C:
			if !d.cfg.Pushed && last >= 0 {
				return nil, nil, context.DeadlineExceeded
			}
			for call, cancel := range calls {
				if call <= last-pushedCalls+1 || time.Since(made[call]) >= pushedWaits {
					cancel()
					delete(calls, call)
					delete(made, call)
				}
			}
			last++
			call := last
			made[call] = time.Now()
			own, cancel := context.WithCancel(ctx)
			calls[call] = cancel
			go func() {
				resp, err := d.get(own, url)
				select {
				case answers <- answer{call, resp, err}:
				case <-over:
					if err == nil {
						resp.Body.Close()
					}
				}
			}()
			if d.cfg.Pushed {
				next.Reset(apart.next())
			} else {
				next.Reset(answerWithin)
			}
		case a := <-answers:
			cancel := calls[a.call]
			delete(calls, a.call)
			switch {
			case cancel == nil: // it was given up
				if a.err == nil {
					a.resp.Body.Close()
				}
			case a.err == nil:
				apart.took(time.Since(made[a.call]))
				return a.resp, cancel, nil
			default:
				cancel()
				if !d.cfg.Pushed || errors.Is(a.err, errTurnedAway) {
					return nil, nil, a.err
				}
				next.Reset(pushedPause) // it can be reached, or is about to
			}
		}
	}
}

// errTurnedAway says that discovery answers and has no place for this door's watch: the others are told the same.
var errTurnedAway = errors.New("discovery turns this door away")

func (d *Watch) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: %s", errTurnedAway, resp.Status)
	}
	return resp, nil
}

// Fetch asks for what a watch brings. Follow asks for it already and goes on until it has it: a second call at the same time
// would be one more that discovery has to answer, or to turn away.
func (d *Watch) Fetch() {}

// discovered takes news of the list. What is older than what is known changes nothing.
func (d *Watch) discovered(m Members) {
	if m.Index < d.index {
		return
	}
	scope := balancer.Delta
	if m.Snapshot {
		scope = balancer.Snapshot
	}
	d.index = m.Index
	d.take(m, scope)
}

// take reads a list or its changes and hands them on.
func (d *Watch) take(m Members, scope balancer.UpdateKind) {
	u := endpoint.Update{Kind: scope}
	if scope != balancer.Delta {
		clear(d.all)
	}
	for _, e := range m.Endpoints {
		state, ok := statuses[e.Status]
		if !ok || e.Name == "" {
			d.log.Warn("an entry of the list that makes no sense", "name", e.Name, "status", e.Status)
			continue
		}
		if d.all[e.Name] = e; state == balancer.Removed {
			delete(d.all, e.Name)
		}
		b := balancer.Endpoint{Name: e.Name, Zone: max(0, slices.Index(d.cfg.Zones, e.Zone)),
			Kind: max(0, slices.Index(d.cfg.Kinds, e.Type)), Cell: e.Group, State: state, Weight: e.Weight,
			StartedAt: time.Duration(e.SinceMS) * time.Millisecond}
		u.Entries = append(u.Entries, endpoint.Entry{Endpoint: b, Address: e.Address})
	}
	d.sink(u)
}
