// Package hosted puts the service gapgapd together: one core, several listeners of several protocols, and accounts, out
// of one strictly checked TOML file.
package hosted

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gapgap/internal/account"
	"gapgap/internal/balancer"
	parting "gapgap/internal/balancer/quotashare"
	"gapgap/internal/decisioncache"
	"gapgap/internal/frontend/extauthz"
	"gapgap/internal/peer"
	"gapgap/internal/route"
	"gapgap/internal/service"
	"gapgap/internal/tomlfile"
	"gapgap/internal/vfs"
	"gapgap/internal/wire"
)

// configFile is the form of the configuration file. deploy/gapgapd.toml explains each key.
type configFile struct {
	Node struct {
		Name, Seed, Discovery, Counter string
		Zone                           string
		MemoryMB                       int `toml:"memory_mb"`
		Sockets                        int
		MostOpen                       int `toml:"most_open"`
		Doors, Rank                    int
		DefaultPool                    string `toml:"default_pool"`
		ShareProcessor                 *bool  `toml:"share_processor"`
		Ceilings                       string // demand or even
		Allow                          []string
	}
	Fleet *peer.FileSettings
	poolParts
	Pool []struct {
		Name, Discovery, Counter, Zone, Seed string
		CounterSpace                         *string `toml:"counter_space"`
		MostOpen                             int     `toml:"most_open"`
		Weight, Guarantee                    *float64
		ServerConnections                    int `toml:"server_connections"`
		poolParts
	}
	Route []struct {
		Name, Listener, Host, Path, Kind string
		Methods                          []string
		Headers                          map[string]string
		Class, Account                   string
		To                               []struct {
			Pool   string
			Weight *float64
		}
	}
	Verdicts struct {
		Keep       Duration
		Most       int
		PerAccount int `toml:"per_account"`
		Repeats    int
		Holds      int
	}
	Listener []fileListener
	Account  []struct {
		Name, Customer, Plan string
		Keys, Certificates   []string
		Classes              []string
		Doors                int
		Hold                 Duration
	}
}

// fileListener is one listener as it stands in the file.
type fileListener struct {
	Name, Address, Protocol string
	Trusted                 []string
	TrustedCertificates     []string `toml:"trusted_certificates"`
	EndPath                 string   `toml:"end_path"`
	MaxHeaderBytes          int      `toml:"max_header_bytes"`
	MaxHeaders              int      `toml:"max_headers"`
	MaxBody                 int64    `toml:"max_body"`
	HeaderTimeout           Duration `toml:"header_timeout"`
	IdleTimeout             Duration `toml:"idle_timeout"`
	MaxStreams              int      `toml:"max_streams"`
	TLS                     *struct {
		Certificate, Key string
		ClientCA         string `toml:"client_ca"`
	} `toml:"tls"`
	Check []struct {
		Path, Dialect     string
		Identify          []string
		KeyHeader         *string `toml:"key_header"`
		AccountHeader     string  `toml:"account_header"`
		CertificateHeader string  `toml:"certificate_header"`
		Repeat            string
		RequestIDHeader   string   `toml:"request_id_header"`
		NonceHeader       string   `toml:"nonce_header"`
		UnitsHeader       string   `toml:"units_header"`
		DefaultClass      string   `toml:"default_class"`
		Within            Duration `toml:"within"`
		Undecided         string
	}
}

// poolParts are what each pool has of its own. Without pools they stand at the top of the file.
type poolParts struct {
	Limits struct {
		MaxAttempts    int      `toml:"max_attempts"`
		DialTimeout    Duration `toml:"dial_timeout"`
		ConnIdle       Duration `toml:"conn_idle"`
		Cancel         *bool
		Probe          bool
		RetryAfter     Duration `toml:"retry_after"`
		CounterTimeout Duration `toml:"counter_timeout"`
		MaxUnits       float64  `toml:"max_units"`
	}
	Obligations struct {
		StopSending  Duration `toml:"stop_sending_within"`
		FallMultiple float64  `toml:"fall_multiple"`
		FallWindow   Duration `toml:"fall_window"`
		ColdFrom     float64  `toml:"cold_from"`
		WarmWithin   Duration `toml:"warm_within"`
	}
	Class []struct {
		Name, Effect, Group string
		Remember            string // disk: keys are claimed over all doors, durably
		Worth               float64
		LateWorth           float64 `toml:"late_worth"`
		Aim                 Duration
		GiveUp              Duration `toml:"give_up"`
		Window              Duration
	}
	Plan []struct {
		Name                string
		Rate, Burst, Factor float64
		AtOnce              int     `toml:"at_once"`
		OverWorth           float64 `toml:"over_worth"`
		OverCost            float64 `toml:"over_cost"`
		CeilingRate         float64 `toml:"ceiling_rate"`
		CeilingDepth        float64 `toml:"ceiling_depth"`
		WhenCutOff          string  `toml:"when_cut_off"` // keep, quota or yield
	}
	Rule []struct {
		Host, Path, Class string
		Methods           []string
		Units             float64
	}
}

// poolFile is one pool as it stands in the file.
type poolFile struct {
	poolParts
	name, discovery, counter, zone, seed, space string
	mostOpen, serverConnections                 int
	weight, guarantee                           float64
	prefix, node                                string // of the keys of its parts, and of its own
}

// Pool is one pool as configured.
type Pool struct {
	Node   *service.Config // its core and sides
	Space  string          // keeps its numbers on the counter apart
	Weight float64         // of its part of the processor, to compare with other pools'

	Guarantee         float64 // part of memory, clients' connections and sockets that nobody else can have
	ServerConnections int     // to one server at most, over all pools that have it; 0: not bounded

	Accounts *account.Table // with the plans and classes of the pool
	text     string         // all of it but the accounts, rules and what plans give: a change of it makes a new pool
	plans    string         // what plans give: the pool goes on with a change of it
}

// Listener is one listener as configured.
type Listener struct {
	Name, Address string
	RESP2         bool
	Metrics       bool // figures by GET /metrics, for whoever reaches the address
	Authz         extauthz.Config
	TLS           *TLSFiles
}

// TLSFiles name the files of a listener with TLS.
type TLSFiles struct{ Certificate, Key, ClientCA string }

// Config is a checked configuration.
type Config struct {
	Node      *service.Config // of the first pool, with what the process has
	Pools     []Pool          // one at least
	Routes    *route.Table
	Gated     bool // pools share the processor by their weights
	Several   bool // the file has pools, though it may be one
	Listeners []Listener
	Accounts  *account.Table // by whose credentials checks are known
	Fleet     *peer.Settings // nil: this door stands alone
	Shared    extauthz.SharedConfig
	Disk      vfs.FS // that states are kept on; nil: the operating system's. Tests set it

	Ahead time.Duration // by how much the clock goes ahead of the machine's. Tests set it

	file string // its name ...
	text []byte // ... and what it says
}

// Load reads and checks a file. An error is an *[Error].
func Load(name string) (*Config, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &Error{File: name, Err: err}
	}
	return Parse(name, data)
}

// Parse is Load of what is read already.
func Parse(name string, data []byte) (*Config, error) {
	var f configFile
	if err := tomlfile.Decode(name, data, &f); err != nil {
		return nil, err
	}
	c, err := f.config()
	var field *extauthz.Fault
	if errors.As(err, &field) {
		return nil, &Error{File: name, Line: tomlfile.LineOf(tomlfile.Lines(data), field.Field), Key: field.Field, Err: field.Err}
	} else if err != nil {
		return nil, &Error{File: name, Err: err}
	}
	c.file, c.text = name, data
	return c, nil
}

func fault(key, format string, args ...any) error {
	return &extauthz.Fault{Field: key, Err: fmt.Errorf(format, args...)}
}

// config checks what was read.
func (f *configFile) config() (*Config, error) {
	c := &Config{Several: len(f.Pool) > 0, Gated: len(f.Pool) > 0 && (f.Node.ShareProcessor == nil || *f.Node.ShareProcessor)}
	allow, err := prefixes("node.allow", f.Node.Allow)
	if err != nil {
		return nil, err
	}
	if c.Fleet, err = f.fleet(allow); err != nil {
		return nil, err
	}
	pools, err := f.pools()
	if err != nil {
		return nil, err
	}
	most := time.Hour
	var classes []string
	for i := range pools {
		pf := &pools[i]
		n, err := f.node(pf)
		if err != nil {
			return nil, err
		}
		shape := n.Settings
		shape.Plans = nil
		p := Pool{Node: n, Space: pf.space, Weight: pf.weight, Guarantee: pf.guarantee, ServerConnections: pf.serverConnections,
			text:  fmt.Sprintf("%+v %+v %q %v %v %v", shape, n.Transport, pf.space, n.Counter != "", pf.weight, pf.serverConnections),
			plans: fmt.Sprintf("%+v", n.Settings.Plans)}
		if p.Accounts, err = f.accounts(n, pf, len(f.Pool) > 0); err != nil {
			return nil, err
		}
		for _, cl := range n.Settings.Classes {
			most = min(most, cl.ClientTimeout)
		}
		classes = append(classes, n.Transport.Classes...)
		c.Pools = append(c.Pools, p)
	}
	c.Node, c.Accounts = c.Pools[0].Node, c.Pools[0].Accounts
	for i, a := range f.Account {
		if !slices.ContainsFunc(c.Pools, func(p Pool) bool { return slices.Contains(p.Node.Transport.Plans, a.Plan) }) {
			return nil, fault(fmt.Sprintf("account[%d].plan", i), "no plan is named %q", a.Plan)
		}
	}
	if err := f.routes(c); err != nil {
		return nil, err
	}
	if len(f.Listener) == 0 {
		return nil, fault("listener", "there is none")
	}
	for i := range f.Listener {
		l, err := f.listener(i, c, allow, classes, most)
		if err != nil {
			return nil, err
		}
		c.Listeners = append(c.Listeners, l)
	}
	v := &f.Verdicts
	c.Shared = extauthz.SharedConfig{MostHolds: cmp.Or(v.Holds, 10_000), Memory: decisioncache.Config{
		Keep: cmp.Or(time.Duration(v.Keep), 10*time.Second), Most: cmp.Or(v.Most, 100_000),
		PerAccount: cmp.Or(v.PerAccount, 2_000), Repeats: cmp.Or(v.Repeats, 3)}}
	if err := c.Shared.Memory.Validate(); err != nil {
		return nil, &extauthz.Fault{Field: "verdicts", Err: err}
	}
	if c.Shared.MostHolds < 0 {
		return nil, fault("verdicts.holds", "is negative")
	}
	return c, nil
}

// fleet checks [fleet], and puts the number of doors and this one's rank where the rest of the file has them.
func (f *configFile) fleet(allow []netip.Prefix) (*peer.Settings, error) {
	n := &f.Node
	if f.Fleet == nil {
		return nil, nil
	}
	if n.Name == "" {
		return nil, fault("node.name", "is missing: a door of a fleet is known by it")
	}
	s, err := f.Fleet.Check(n.Name, func(a netip.Addr) bool { return isGiven(a, allow) }, plainName)
	var field *peer.FieldError
	if errors.As(err, &field) {
		return nil, fault("fleet."+field.Field, "%w", field.Err)
	} else if err != nil {
		return nil, err
	}
	if n.Doors != 0 && n.Doors != len(s.Gateways) {
		return nil, fault("node.doors", "is %d, but [fleet] has %d", n.Doors, len(s.Gateways))
	}
	if n.Rank != 0 && n.Rank != s.Index {
		return nil, fault("node.rank", "is %d, but %s is number %d of [fleet]", n.Rank, n.Name, s.Index)
	}
	n.Doors, n.Rank = len(s.Gateways), s.Index
	return s, nil
}

// isGiven says whether an address may be listened on.
func isGiven(a netip.Addr, allow []netip.Prefix) bool {
	given := a.IsLoopback()
	for _, p := range allow {
		given = given || p.Contains(a.Unmap())
	}
	return given
}

// pools gathers the pools; without any the whole file is one.
func (f *configFile) pools() ([]poolFile, error) {
	n := &f.Node
	if len(f.Pool) == 0 {
		return []poolFile{{poolParts: f.poolParts, name: cmp.Or(n.Name, "gapgapd"), discovery: n.Discovery, counter: n.Counter, zone: n.Zone,
			seed: n.Seed, mostOpen: n.MostOpen, node: "node."}}, nil
	}
	for _, k := range []struct {
		key   string
		there bool
	}{{"class", len(f.Class) > 0}, {"plan", len(f.Plan) > 0}, {"rule", len(f.Rule) > 0}, {"node.discovery", n.Discovery != ""},
		{"node.counter", n.Counter != ""}, {"limits", f.Limits != (poolParts{}).Limits}, {"obligations", f.Obligations != (poolParts{}).Obligations}} {
		if k.there {
			return nil, fault(k.key, "belongs into a pool, where there are pools")
		}
	}
	var all []poolFile
	sum := 0.0
	for i, p := range f.Pool {
		prefix := fmt.Sprintf("pool[%d].", i)
		if !plainName(p.Name) || slices.ContainsFunc(all, func(o poolFile) bool { return o.name == p.Name }) {
			return nil, fault(prefix+"name", "%q is no name, or stands twice", p.Name)
		}
		weight := 1.0
		if p.Weight != nil {
			if weight = *p.Weight; !(weight > 0 && weight <= 1000) {
				return nil, fault(prefix+"weight", "is not above 0 and up to 1000")
			}
		}
		part := guaranteedUsual / float64(len(f.Pool))
		if p.Guarantee != nil {
			part = *p.Guarantee
		}
		if sum += part; !(part >= 0) || sum > guaranteed+1e-9 {
			return nil, fault(prefix+"guarantee", "is negative, or the pools' guarantees are over %.1f together", guaranteed)
		}
		if p.ServerConnections < 0 {
			return nil, fault(prefix+"server_connections", "is negative")
		}
		space := p.Name
		if p.CounterSpace != nil {
			space = *p.CounterSpace
		}
		all = append(all, poolFile{poolParts: p.poolParts, name: p.Name, discovery: p.Discovery, counter: p.Counter, zone: p.Zone,
			seed: p.Seed, mostOpen: cmp.Or(p.MostOpen, n.MostOpen), space: space, weight: weight, guarantee: part,
			serverConnections: p.ServerConnections, prefix: prefix, node: prefix})
	}
	return all, nil
}

// guaranteedUsual is what pools are guaranteed together where the file does not say.
const guaranteedUsual = 0.5

var kinds = map[string]route.PathKind{"": route.Prefix, "prefix": route.Prefix, "exact": route.Exact, "template": route.Template}

// routes compiles the routing table.
func (f *configFile) routes(c *Config) (err error) {
	var names []string
	for _, p := range c.Pools {
		names = append(names, p.Node.Name)
	}
	fallback := f.Node.DefaultPool
	if len(f.Pool) == 0 {
		if fallback != "" {
			return fault("node.default_pool", "there are no pools")
		}
		fallback = names[0]
	}
	var rules []route.Rule
	for i, r := range f.Route {
		key := func(k string) string { return fmt.Sprintf("route[%d].%s", i, k) }
		kind, ok := kinds[r.Kind]
		if !ok {
			return fault(key("kind"), "%q is not prefix, exact or template", r.Kind)
		}
		out := route.Rule{Name: r.Name, Listener: r.Listener, Host: r.Host, Path: r.Path, Kind: kind, Methods: r.Methods, Class: r.Class}
		if r.Listener != "" && !slices.ContainsFunc(f.Listener, func(l fileListener) bool { return l.Name == r.Listener }) {
			return fault(key("listener"), "no listener is named %q", r.Listener)
		}
		if r.Account != "" {
			a := c.Accounts.ByName(r.Account)
			if a == nil {
				return fault(key("account"), "no account is named %q", r.Account)
			}
			out.Account = a.Customer // as all protocols know it
		}
		for name, v := range r.Headers {
			out.Headers = append(out.Headers, route.Header{Name: http.CanonicalHeaderKey(name), Value: v})
		}
		slices.SortFunc(out.Headers, func(a, b route.Header) int { return cmp.Compare(a.Name, b.Name) })
		for _, g := range r.To {
			w := 1.0
			if g.Weight != nil {
				w = *g.Weight
			}
			out.Targets = append(out.Targets, route.Target{Pool: g.Pool, Weight: w})
		}
		rules = append(rules, out)
	}
	c.Routes, err = route.Compile(rules, fallback, names)
	var e *route.Error
	if errors.As(err, &e) {
		if e.Index < 0 {
			return &extauthz.Fault{Field: "node.default_pool", Err: e.Err}
		}
		field := e.Field
		if field == "targets" {
			field = "to"
		}
		return &extauthz.Fault{Field: fmt.Sprintf("route[%d].%s", e.Index, field), Err: fmt.Errorf("rule %q: %w", e.Rule, e.Err)}
	}
	return err
}

var cutOffs = map[string]parting.PartitionPolicy{"keep": parting.KeepAll, "quota": parting.KeepQuota, "yield": parting.KeepNone}
var effects = map[string]balancer.Idempotency{"safe": balancer.Idempotent, "keyed": balancer.IdempotentByKey, "unsafe": balancer.NonIdempotent}
var groups = map[string]balancer.DedupScope{"": balancer.DedupAll, "all": balancer.DedupAll, "zone": balancer.DedupZone,
	"cell": balancer.DedupCell}

// node checks what concerns the core and its sides.
func (f *configFile) node(pf *poolFile) (*service.Config, error) {
	n := &f.Node
	if !slices.Contains([]string{"", "demand", "even"}, n.Ceilings) {
		return nil, fault("node.ceilings", "%q is not demand or even", n.Ceilings)
	}
	lend := n.Ceilings == "demand" || n.Ceilings == "" && f.Fleet != nil
	set := balancer.Settings{LeaseCeilings: lend && pf.counter != "", LeasedShares: f.Fleet != nil,
		Gateways: cmp.Or(n.Doors, 1), Index: n.Rank, MaxAttempts: cmp.Or(pf.Limits.MaxAttempts, 3),
		AllowCancel: pf.Limits.Cancel == nil || *pf.Limits.Cancel, AllowHealthChecks: pf.Limits.Probe,
		SendRetryAfter: pf.Limits.RetryAfter > 0, MaxRetryAfter: time.Duration(pf.Limits.RetryAfter),
		DrainGrace:       cmp.Or(time.Duration(pf.Obligations.StopSending), 250*time.Millisecond),
		OverloadMultiple: cmp.Or(pf.Obligations.FallMultiple, 3), OverloadWindow: cmp.Or(time.Duration(pf.Obligations.FallWindow), 3*time.Second),
		SlowStartCapacity: cmp.Or(pf.Obligations.ColdFrom, 0.26), SlowStartDuration: cmp.Or(time.Duration(pf.Obligations.WarmWithin), 15*time.Second),
		UseCounter: pf.counter != "", CounterTimeout: cmp.Or(time.Duration(pf.Limits.CounterTimeout), 50*time.Millisecond),
		MaxRequestUnits: cmp.Or(pf.Limits.MaxUnits, 1), Resolution: 2 * time.Millisecond}
	tr := wire.Transport{DialTimeout: cmp.Or(time.Duration(pf.Limits.DialTimeout), 250*time.Millisecond),
		ConnIdle: cmp.Or(time.Duration(pf.Limits.ConnIdle), 30*time.Second), MostOpen: cmp.Or(pf.mostOpen, 10_000),
		Zones: []string{pf.zone}, Kinds: []string{""}}
	for _, d := range []struct {
		key string
		bad bool
	}{{"node.memory_mb", n.MemoryMB < 0}, {"node.sockets", n.Sockets < 0}, {pf.node + "most_open", pf.mostOpen < 0},
		{"node.doors", n.Doors < 0}, {pf.prefix + "limits.max_attempts", pf.Limits.MaxAttempts < 0},
		{pf.prefix + "limits.dial_timeout", pf.Limits.DialTimeout < 0}, {pf.prefix + "limits.conn_idle", pf.Limits.ConnIdle < 0},
		{pf.prefix + "limits.retry_after", pf.Limits.RetryAfter < 0}, {pf.prefix + "limits.counter_timeout", pf.Limits.CounterTimeout < 0},
		{pf.prefix + "limits.max_units", pf.Limits.MaxUnits < 0}, {pf.prefix + "obligations.stop_sending_within", pf.Obligations.StopSending < 0},
		{pf.prefix + "obligations.fall_multiple", pf.Obligations.FallMultiple < 0}, {pf.prefix + "obligations.fall_window", pf.Obligations.FallWindow < 0},
		{pf.prefix + "obligations.cold_from", pf.Obligations.ColdFrom < 0}, {pf.prefix + "obligations.warm_within", pf.Obligations.WarmWithin < 0}} {
		if d.bad {
			return nil, fault(d.key, "is negative")
		}
	}
	if n.Rank < 0 || n.Rank >= set.Gateways {
		return nil, fault("node.rank", "is not from 0 to %d, under node.doors", set.Gateways-1)
	}
	for _, a := range []struct {
		key, addr string
		needed    bool
	}{{pf.node + "discovery", pf.discovery, true}, {pf.node + "counter", pf.counter, false}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil && (a.needed || a.addr != "") {
			return nil, fault(a.key, "is no host:port")
		}
	}
	if len(pf.Class) == 0 {
		return nil, fault(pf.prefix+"class", "there is none")
	}
	for i, cl := range pf.Class {
		key := func(k string) string { return fmt.Sprintf("%sclass[%d].%s", pf.prefix, i, k) }
		effect, ok := effects[cl.Effect]
		group, known := groups[cl.Group]
		switch {
		case !plainName(cl.Name) || slices.Contains(tr.Classes, cl.Name):
			return nil, fault(key("name"), "%q is no name, or stands twice", cl.Name)
		case !ok:
			return nil, fault(key("effect"), "%q is not safe, keyed or unsafe", cl.Effect)
		case !known:
			return nil, fault(key("group"), "%q is not all, zone or cell", cl.Group)
		case cl.GiveUp <= 0:
			return nil, fault(key("give_up"), "is not above 0")
		case cl.Aim < 0 || cl.Aim > cl.GiveUp:
			return nil, fault(key("aim"), "is negative or over give_up")
		case cl.Worth < 0 || cl.LateWorth < 0:
			return nil, fault(key("worth"), "or late_worth is negative")
		case effect == balancer.IdempotentByKey && cl.Window <= 0:
			return nil, fault(key("window"), "is not above 0, but the class is keyed")
		case cl.Remember != "" && cl.Remember != "disk":
			return nil, fault(key("remember"), "%q is not disk", cl.Remember)
		case cl.Remember != "" && effect != balancer.IdempotentByKey:
			return nil, fault(key("remember"), "wants a keyed class")
		case cl.Remember != "" && (f.Fleet == nil || f.Fleet.Remember == nil):
			return nil, fault(key("remember"), "wants [fleet.remember]")
		}
		if cl.Remember != "" { // what servers remember of keys is lost with their power
			effect = balancer.NonIdempotent
		}
		tr.Classes = append(tr.Classes, cl.Name)
		set.Classes = append(set.Classes, balancer.Class{PriorityWeight: cl.Worth, LateWeightFraction: cl.LateWorth, LatencyObjective: time.Duration(cl.Aim),
			ClientTimeout: time.Duration(cl.GiveUp), Idempotency: effect, DedupScope: group, DedupWindow: time.Duration(cl.Window),
			KeyReserved: cl.Remember != ""})
	}
	if len(pf.Plan) == 0 {
		return nil, fault(pf.prefix+"plan", "there is none")
	}
	for i, p := range pf.Plan {
		key := func(k string) string { return fmt.Sprintf("%splan[%d].%s", pf.prefix, i, k) }
		switch {
		case !plainName(p.Name) || slices.Contains(tr.Plans, p.Name):
			return nil, fault(key("name"), "%q is no name, or stands twice", p.Name)
		case p.Rate < 0:
			return nil, fault(key("rate"), "is negative")
		case p.Burst < 0 || p.Rate > 0 && p.Burst == 0:
			return nil, fault(key("burst"), "is negative, or missing where there is a rate")
		case p.AtOnce < 0:
			return nil, fault(key("at_once"), "is negative")
		case p.Factor < 0 || p.OverWorth < 0 || p.OverCost < 0:
			return nil, fault(key("factor"), "or over_worth or over_cost is negative")
		case p.CeilingRate < 0:
			return nil, fault(key("ceiling_rate"), "is negative")
		case p.WhenCutOff != "" && f.Fleet == nil:
			return nil, fault(key("when_cut_off"), "wants [fleet]")
		case !slices.Contains([]string{"", "keep", "quota", "yield"}, p.WhenCutOff):
			return nil, fault(key("when_cut_off"), "%q is not keep, quota or yield", p.WhenCutOff)
		case p.CeilingDepth < 0 || p.CeilingRate > 0 && p.CeilingDepth == 0:
			return nil, fault(key("ceiling_depth"), "is negative, or missing where there is a ceiling_rate")
		}
		tr.Plans = append(tr.Plans, p.Name)
		set.Plans = append(set.Plans, balancer.Plan{Rate: p.Rate, Burst: p.Burst, MaxInFlight: p.AtOnce, PriorityFactor: cmp.Or(p.Factor, 1),
			OverQuotaWeight: p.OverWorth, OverQuotaCost: p.OverCost, CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingDepth, PartitionPolicy: cutOffs[p.WhenCutOff]})
	}
	c := &service.Config{Name: pf.name, Discovery: pf.discovery, Counter: pf.counter, MemoryMB: n.MemoryMB,
		Sockets: n.Sockets, Settings: set, Transport: tr}
	if pf.seed == "" {
		var b [8]byte
		rand.Read(b[:])
		c.Seed = binary.BigEndian.Uint64(b[:])
		return c, nil
	}
	var err error
	if c.Seed, err = strconv.ParseUint(pf.seed, 16, 64); err != nil {
		return nil, fault(pf.node+"seed", "is not up to 16 hex digits")
	}
	return c, nil
}

// plainName says whether a name may stand in the RESP2 list of names and values and in a quoted header field.
func plainName(s string) bool {
	return s != "" && len(s) <= 64 &&
		strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._") == ""
}

// accounts compiles the accounts for one pool. Where there are several an account has no place in those that have not its
// plan, and its classes are those of the pools together.
func (f *configFile) accounts(n *service.Config, pf *poolFile, several bool) (*account.Table, error) {
	names := account.Names{Classes: n.Transport.Classes, Plans: n.Transport.Plans,
		Policies: extauthz.Policies(n.Transport.Plans, n.Settings.Plans), Several: several}
	var specs []account.Spec
	for i, a := range f.Account {
		if a.Doors > n.Settings.Gateways {
			return nil, fault(fmt.Sprintf("account[%d].doors", i), "is over node.doors")
		}
		specs = append(specs, account.Spec{Name: a.Name, Customer: a.Customer, Plan: a.Plan, Keys: a.Keys,
			Certificates: a.Certificates, Classes: a.Classes, Doors: a.Doors,
			Hold: cmp.Or(time.Duration(a.Hold), 30*time.Second)})
	}
	var rules []account.Rule
	for _, r := range pf.Rule {
		rules = append(rules, account.Rule{Host: r.Host, Methods: r.Methods, Path: r.Path, Class: r.Class, Units: r.Units})
	}
	t, err := account.Compile(specs, rules, names, n.Settings.MaxRequestUnits)
	var e *account.Error
	if errors.As(err, &e) && strings.HasPrefix(e.Field, "rule") {
		e.Field = pf.prefix + e.Field
	}
	return t, err
}

// prefixes reads addresses, single ones or whole networks.
func prefixes(key string, list []string) (all []netip.Prefix, err error) {
	for i, s := range list {
		p, err := netip.ParsePrefix(s)
		if err != nil {
			a, err := netip.ParseAddr(s)
			if err != nil {
				return nil, fault(fmt.Sprintf("%s[%d]", key, i), "%q is no address or network", s)
			}
			p = netip.PrefixFrom(a.Unmap(), a.Unmap().BitLen())
		}
		all = append(all, p.Masked())
	}
	return all, nil
}

// listener checks one listener.
func (f *configFile) listener(i int, c *Config, allow []netip.Prefix, classes []string, most time.Duration) (Listener, error) {
	in := &f.Listener[i]
	base := fmt.Sprintf("listener[%d]", i)
	key := func(k string) string { return base + "." + k }
	l := Listener{Name: cmp.Or(in.Name, fmt.Sprint(in.Protocol, "-", i)), Address: in.Address}
	addr, err := netip.ParseAddrPort(in.Address)
	if err != nil {
		return l, fault(key("address"), "%q is no address and port", in.Address)
	}
	if !isGiven(addr.Addr(), allow) {
		return l, fault(key("address"), "%s is neither loopback nor in node.allow", addr.Addr())
	}
	for j := range i {
		if o, _ := netip.ParseAddrPort(f.Listener[j].Address); o == addr && addr.Port() != 0 {
			return l, fault(key("address"), "%s is that of listener[%d] too", addr, j)
		}
		if c.Listeners[j].Name == l.Name {
			return l, fault(key("name"), "%q is that of listener[%d] too", l.Name, j)
		}
	}
	switch in.Protocol {
	case "resp2":
		l.RESP2 = true
		if in.TLS != nil {
			return l, fault(key("tls"), "is not spoken with resp2")
		}
		if len(in.Check) > 0 || len(in.Trusted) > 0 || len(in.TrustedCertificates) > 0 || in.EndPath != "" {
			return l, fault(key("protocol"), "resp2 has no check, trusted, trusted_certificates or end_path")
		}
		return l, nil
	case "metrics":
		l.Metrics = true
		if in.TLS != nil || len(in.Check) > 0 || len(in.Trusted) > 0 || len(in.TrustedCertificates) > 0 || in.EndPath != "" {
			return l, fault(key("protocol"), "metrics has no tls, check, trusted, trusted_certificates or end_path")
		}
		return l, nil
	case "authz":
	default:
		return l, fault(key("protocol"), "%q is not resp2, authz or metrics", in.Protocol)
	}
	if in.TLS != nil {
		l.TLS = &TLSFiles{in.TLS.Certificate, in.TLS.Key, in.TLS.ClientCA}
		if _, err := l.TLS.load(); err != nil {
			return l, fault(key("tls"), "%w", err)
		}
	}
	if len(in.TrustedCertificates) > 0 && (in.TLS == nil || in.TLS.ClientCA == "") {
		return l, fault(key("trusted_certificates"), "wants tls with client_ca")
	}
	trusted, err := prefixes(key("trusted"), in.Trusted)
	if err != nil {
		return l, err
	}
	a := extauthz.Config{Name: l.Name, EndPath: in.EndPath, Trusted: trusted, TrustedCertificates: in.TrustedCertificates,
		MaxHeaderBytes: cmp.Or(in.MaxHeaderBytes, extauthz.DefaultMaxHeaderBytes), MaxHeaders: cmp.Or(in.MaxHeaders, extauthz.DefaultMaxHeaders),
		MaxBody: cmp.Or(in.MaxBody, extauthz.DefaultMaxBody), HeaderTimeout: cmp.Or(time.Duration(in.HeaderTimeout), extauthz.DefaultHeaderTimeout),
		IdleTimeout: cmp.Or(time.Duration(in.IdleTimeout), extauthz.DefaultIdleTimeout), MaxStreams: cmp.Or(in.MaxStreams, extauthz.DefaultMaxStreams)}
	for j, r := range in.Check {
		at := func(k string) string { return fmt.Sprintf("%s.check[%d].%s", base, j, k) }
		dialect, ok := extauthz.Dialects[r.Dialect]
		if !ok {
			return l, fault(at("dialect"), "%q is not nginx, traefik, caddy or envoy", r.Dialect)
		}
		repeat, ok := extauthz.Repeats[cmp.Or(r.Repeat, "never")]
		if !ok {
			return l, fault(at("repeat"), "%q is not never, request-id or nonce", r.Repeat)
		}
		rt := extauthz.Route{Path: r.Path, Dialect: dialect, Repeat: repeat, KeyHeader: extauthz.DefaultKeyHeader,
			AccountHeader: http.CanonicalHeaderKey(r.AccountHeader), CertificateHeader: http.CanonicalHeaderKey(r.CertificateHeader),
			RequestIDHeader: http.CanonicalHeaderKey(cmp.Or(r.RequestIDHeader, extauthz.DefaultRequestID)),
			NonceHeader:     http.CanonicalHeaderKey(cmp.Or(r.NonceHeader, extauthz.DefaultNonce)),
			UnitsHeader:     http.CanonicalHeaderKey(r.UnitsHeader), DefaultClass: r.DefaultClass,
			Within: cmp.Or(time.Duration(r.Within), extauthz.DefaultWithin)}
		if r.KeyHeader != nil {
			rt.KeyHeader = http.CanonicalHeaderKey(*r.KeyHeader)
		}
		for k, id := range r.Identify {
			v, ok := extauthz.Identities[id]
			if !ok {
				return l, fault(fmt.Sprintf("%s[%d]", at("identify"), k), "%q is not key, header or certificate", id)
			}
			rt.Identify = append(rt.Identify, v)
		}
		if len(r.Identify) == 0 {
			rt.Identify = []extauthz.Identity{extauthz.ByKey}
		}
		if r.DefaultClass != "" && !slices.Contains(classes, r.DefaultClass) {
			return l, fault(at("default_class"), "no class is named %q", r.DefaultClass)
		}
		if rt.Within > most {
			return l, fault(at("within"), "%v is over a class's give_up, %v", rt.Within, most)
		}
		switch r.Undecided {
		case "", "deny":
		case "allow":
			rt.AllowUndecided = true
		default:
			return l, fault(at("undecided"), "%q is not deny or allow", r.Undecided)
		}
		a.Routes = append(a.Routes, rt)
	}
	if err := a.Check(); err != nil {
		var e *extauthz.Fault
		errors.As(err, &e)
		return l, &extauthz.Fault{Field: key(e.Field), Err: e.Err}
	}
	l.Authz = a
	return l, nil
}
