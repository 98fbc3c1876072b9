package hosted

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gapgap/internal/proxy"
)

// metrics are the figures that a listener of the protocol "metrics" shows, in Prometheus' text form. Each process has its
// own registry. Labels are names out of the configuration only, so their number is bounded by it.
type metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.HistogramVec
	s        *Service
}

// latencies are the upper bounds of the histogram's buckets in seconds: 100 us to 5 s, about three to each decade.
var latencies = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

var verdicts = [...]string{proxy.Served: "served", proxy.Rejected: "refused", proxy.Failed: "failed", proxy.TimedOut: "overdue",
	proxy.Duplicate: "duplicate", proxy.Admitted: "granted"}

func newMetrics(s *Service) *metrics {
	m := &metrics{registry: prometheus.NewRegistry(), s: s, answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "gapgap", Name: "answer_seconds", Buckets: latencies,
		Help: "Time from a request's last byte to its final answer."}, []string{"pool", "class", "verdict"})}
	m.registry.MustRegister(m.answers, m)
	return m
}

// observer takes the answers of a pool; its series are made now, so that a request looks nothing up.
func (m *metrics) observer(pool string, classes []string) func(class int, v proxy.Outcome, took time.Duration) {
	all := make([][len(verdicts)]prometheus.Observer, len(classes))
	for i, class := range classes {
		for v, name := range verdicts {
			all[i][v] = m.answers.WithLabelValues(pool, class, name)
		}
	}
	return func(class int, v proxy.Outcome, took time.Duration) { all[class][v].Observe(took.Seconds()) }
}

// forget takes the series of a pool away that is no longer there.
func (m *metrics) forget(pool string) { m.answers.DeletePartialMatch(prometheus.Labels{"pool": pool}) }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("gapgap_"+name, help, labels, nil)
}

var (
	descOpen      = desc("requests_open", "Requests that hold the pool now.", "pool")
	descHeld      = desc("held", "What a pool holds: bytes of clients (memory), connections to servers (sockets), clients' connections (clients).", "pool", "of")
	descGuarantee = desc("guarantee", "What of it is guaranteed.", "pool", "of")
	descRefused   = desc("refused_takes_total", "Takes that got nothing, the pool having borrowed what there was.", "pool", "of")
	descReclaims  = desc("reclaims_total", "Times that the pool was asked to give back what it borrowed.", "pool", "of")
	descChecks    = desc("checks_total", "HTTP authorization checks by what became of them.", "outcome")
	descClients   = desc("client_connections", "Clients' connections of all fronts.")
	descMost      = desc("client_connections_most", "How many may be held.")
	descDoors     = desc("fleet_doors", "Doors of the fleet by how this one sees them.", "state")
	descPart      = desc("fleet_part", "Part of what the fleet shares by leases that this door holds.")
	descClock     = desc("fleet_clock_wrong", "1 where this door's clock is not the others': it asks the counter for nothing and takes no share of ceilings; else 0.")
	descMoves     = desc("fleet_transitions_total", "Times that a door was seen to change.")
	descDatagrams = desc("fleet_datagrams_total", "Datagrams between doors; odd ones were not understood or not of the fleet.", "what")
	descBytes     = desc("fleet_bytes_total", "Their bytes.", "what")
	descVersion   = desc("policy_version", "Version of the fleet's policy that this door goes by; 0: none yet.")
	descDecides   = desc("policy_decides", "1 where this door may decide requests by it, else 0.")
	descPending   = desc("policy_change_pending", "1 where a change of the fleet's policy is being decided, as far as this door knows, else 0.")
	descPolicyOdd = desc("policy_messages_dropped_total", "Messages of policy that were not understood or had no place.")
	descOpened    = desc("recovery_open", "1 where clients are let in after the start, else 0.")
	descKeyClaims = desc("key_claims_total", "Claims of keys of changes by what became of them; away: refused as too few voters answer.", "outcome")
	descKeyReach  = desc("keys_reachable", "1 where enough voters answer for keys, else 0.")
	descKeyVoter  = desc("keys_voter_speaks", "1 where this door votes on keys and may speak of them, else 0.")
	descKeys      = desc("keys_remembered", "Keys that this door's voter remembers.")
	descKeySyncs  = desc("keys_syncs_total", "Syncs of the voter's log of keys.")
	descKeyBytes  = desc("keys_bytes_total", "Bytes of records written to it.")
	descRules     = desc("route_rules", "Rules of the routing table.")
)

// Describe implements [prometheus.Collector].
func (m *metrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descOpen, descHeld, descGuarantee, descRefused, descReclaims, descChecks, descClients, descMost, descRules,
		descDoors, descPart, descClock, descMoves, descDatagrams, descBytes, descVersion, descDecides, descPending, descPolicyOdd, descOpened, descKeyClaims,
		descKeyReach, descKeyVoter, descKeys, descKeySyncs, descKeyBytes} {
		out <- d
	}
}

// Collect implements [prometheus.Collector].
func (m *metrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	for _, f := range m.s.Figures() {
		gauge(descOpen, float64(f.Requests), f.Name)
		if m.s.shares == nil {
			continue
		}
		gauge(descHeld, float64(f.Memory.Held), f.Name, "memory")
		gauge(descHeld, float64(f.Places.Held), f.Name, "sockets")
		gauge(descHeld, float64(f.Clients), f.Name, "clients")
		gauge(descGuarantee, float64(f.Memory.Guarantee), f.Name, "memory")
		gauge(descGuarantee, float64(f.Places.Guarantee), f.Name, "sockets")
		counter(descRefused, f.Memory.Refused, f.Name, "memory")
		counter(descRefused, f.Places.Refused, f.Name, "sockets")
		counter(descRefused, f.Refused, f.Name, "clients")
		counter(descReclaims, f.Memory.Reclaims, f.Name, "memory")
		counter(descReclaims, f.Places.Reclaims, f.Name, "sockets")
		counter(descReclaims, f.Evicted, f.Name, "clients")
	}
	m.s.Shared.Figures.Each(func(name string, n uint64) { counter(descChecks, n, name) })
	gauge(descClients, float64(m.s.Conns.Len()))
	gauge(descMost, float64(m.s.Conns.Max()))
	gauge(descRules, float64(m.s.router.view.Load().table.Len()))
	if m.s.fleet == nil {
		return
	}
	p := m.s.fleet.peers
	v, states := p.View(), map[string]int{}
	for _, d := range v.Gateways {
		states[d.State]++
	}
	for state, n := range states {
		gauge(descDoors, float64(n), state)
	}
	gauge(descPart, v.Fraction)
	as := func(yes bool) float64 {
		if yes {
			return 1
		}
		return 0
	}
	gauge(descClock, as(v.WrongClock))
	f := &p.Stats
	counter(descMoves, f.Transitions.Load())
	counter(descDatagrams, f.Sent.Load(), "sent")
	counter(descDatagrams, f.Received.Load(), "received")
	counter(descDatagrams, f.Rejected.Load(), "odd")
	counter(descDatagrams, f.Dropped.Load(), "dropped")
	counter(descBytes, f.SentBytes.Load(), "sent")
	counter(descBytes, f.ReceivedBytes.Load(), "received")
	gauge(descOpened, as(m.s.recovery.open()))
	if k := m.s.keys; k != nil {
		f, view := &k.Stats, k.View()
		counter(descKeyClaims, f.Granted.Load(), "won")
		counter(descKeyClaims, f.HeldByOther.Load(), "lost")
		counter(descKeyClaims, f.NoCapacity.Load(), "crowded")
		counter(descKeyClaims, f.NoQuorum.Load(), "away")
		counter(descKeySyncs, f.Syncs.Load())
		counter(descKeyBytes, f.Bytes.Load())
		gauge(descKeyReach, as(k.HasQuorum()))
		gauge(descKeyVoter, as(view.Ready))
		gauge(descKeys, float64(view.Keys))
	}
	if m.s.policy == nil {
		return
	}
	how := m.s.policy.replica.View()
	gauge(descVersion, float64(how.Version.Number))
	gauge(descDecides, as(how.DecidesUntil > m.s.clock.Now()))
	gauge(descPending, as(how.PendingChange != ""))
	counter(descPolicyOdd, m.s.policy.replica.DroppedMessages())
}

// metricsFront serves the figures. It asks nothing of any pool. It implements [proxy.Front].
type metricsFront struct {
	ln  net.Listener
	srv *http.Server
}

// metricsWithin bounds each request for figures, and mostScrapes how many are answered at once.
const (
	metricsWithin = 5 * time.Second
	mostScrapes   = 4
)

func newMetricsFront(m *metrics, ln net.Listener) *metricsFront {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: mostScrapes, Timeout: metricsWithin}))
	return &metricsFront{ln, &http.Server{Handler: mux, ReadTimeout: metricsWithin, WriteTimeout: 2 * metricsWithin, IdleTimeout: metricsWithin, MaxHeaderBytes: 8 << 10}}
}

func (f *metricsFront) Serve()          { go f.srv.Serve(f.ln) }
func (f *metricsFront) CloseListeners() { f.ln.Close() }

// Drain ends it: nobody's request waits there.
func (f *metricsFront) Drain() bool {
	f.srv.Close()
	return true
}
