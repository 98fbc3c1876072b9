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

	"snowhall"
	"snowhall/internal/account"
	"snowhall/internal/front/authz"
	"snowhall/internal/service"
	"snowhall/internal/verdict"
	"snowhall/internal/wire"
)

// file is the form of the configuration file. deploy/gapgapd.toml explains each key.
type file struct {
	Node struct {
		Name, Seed, Discovery, Counter string
		Zone                           string
		MemoryMB                       int `toml:"memory_mb"`
		Sockets                        int
		MostOpen                       int `toml:"most_open"`
		Doors, Rank                    int
		Allow                          []string
	}
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
	}
	Verdicts struct {
		Keep       Duration
		Most       int
		PerAccount int `toml:"per_account"`
		Repeats    int
		Holds      int
	}
	Listener []struct {
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
	Account []struct {
		Name, Customer, Plan string
		Keys, Certificates   []string
		Classes              []string
		Doors                int
		Hold                 Duration
	}
	Rule []struct {
		Host, Path, Class string
		Methods           []string
		Units             float64
	}
}

// Listener is one listener as configured.
type Listener struct {
	Name, Address string
	RESP2         bool
	Authz         authz.Config
	TLS           *TLSFiles
}

// TLSFiles name the files of a listener with TLS.
type TLSFiles struct{ Certificate, Key, ClientCA string }

// Config is a checked configuration.
type Config struct {
	Node      *service.Config // the core and its sides
	Listeners []Listener
	Accounts  *account.Table
	Shared    authz.SharedConfig
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
	var f file
	if err := decode(name, data, &f); err != nil {
		return nil, err
	}
	c, err := f.config()
	var field *authz.Fault
	if errors.As(err, &field) {
		return nil, &Error{name, lineOf(lines(data), field.Field), field.Field, field.Err}
	} else if err != nil {
		return nil, &Error{name, 0, "", err}
	}
	return c, nil
}

func fault(key, format string, args ...any) error {
	return &authz.Fault{Field: key, Err: fmt.Errorf(format, args...)}
}

// config checks what was read.
func (f *file) config() (*Config, error) {
	c := &Config{}
	var err error
	if c.Node, err = f.node(); err != nil {
		return nil, err
	}
	names := account.Names{Classes: c.Node.Transport.Classes, Plans: c.Node.Transport.Plans,
		Policies: authz.Policies(c.Node.Transport.Plans, c.Node.Settings.Plans)}
	if err := f.accounts(c, names); err != nil {
		return nil, err
	}
	allow, err := prefixes("node.allow", f.Node.Allow)
	if err != nil {
		return nil, err
	}
	if len(f.Listener) == 0 {
		return nil, fault("listener", "there is none")
	}
	for i := range f.Listener {
		l, err := f.listener(i, c, allow)
		if err != nil {
			return nil, err
		}
		c.Listeners = append(c.Listeners, l)
	}
	v := &f.Verdicts
	c.Shared = authz.SharedConfig{MostHolds: cmp.Or(v.Holds, 10_000), Memory: verdict.Config{
		Keep: cmp.Or(time.Duration(v.Keep), 10*time.Second), Most: cmp.Or(v.Most, 100_000),
		PerAccount: cmp.Or(v.PerAccount, 2_000), Repeats: cmp.Or(v.Repeats, 3)}}
	if err := c.Shared.Memory.Check(); err != nil {
		return nil, &authz.Fault{Field: "verdicts", Err: err}
	}
	if c.Shared.MostHolds < 0 {
		return nil, fault("verdicts.holds", "is negative")
	}
	return c, nil
}

var effects = map[string]snowhall.Effect{"safe": snowhall.Safe, "keyed": snowhall.Keyed, "unsafe": snowhall.Unsafe}
var groups = map[string]snowhall.Group{"": snowhall.GroupAll, "all": snowhall.GroupAll, "zone": snowhall.GroupZone,
	"cell": snowhall.GroupCell}

// node checks what concerns the core and its sides.
func (f *file) node() (*service.Config, error) {
	n := &f.Node
	set := snowhall.Settings{Doors: cmp.Or(n.Doors, 1), Rank: n.Rank, MaxAttempts: cmp.Or(f.Limits.MaxAttempts, 3),
		MayCancel: f.Limits.Cancel == nil || *f.Limits.Cancel, MayProbe: f.Limits.Probe,
		RetryAfter: f.Limits.RetryAfter > 0, MaxRetryAfter: time.Duration(f.Limits.RetryAfter),
		StopSendingWithin: cmp.Or(time.Duration(f.Obligations.StopSending), 250*time.Millisecond),
		FallMultiple:      cmp.Or(f.Obligations.FallMultiple, 3), FallWindow: cmp.Or(time.Duration(f.Obligations.FallWindow), 3*time.Second),
		ColdFrom: cmp.Or(f.Obligations.ColdFrom, 0.26), WarmWithin: cmp.Or(time.Duration(f.Obligations.WarmWithin), 15*time.Second),
		Counter: n.Counter != "", CounterTimeout: cmp.Or(time.Duration(f.Limits.CounterTimeout), 50*time.Millisecond),
		MaxUnits: cmp.Or(f.Limits.MaxUnits, 1), Resolution: 2 * time.Millisecond}
	tr := wire.Transport{DialTimeout: cmp.Or(time.Duration(f.Limits.DialTimeout), 250*time.Millisecond),
		ConnIdle: cmp.Or(time.Duration(f.Limits.ConnIdle), 30*time.Second), MostOpen: cmp.Or(n.MostOpen, 10_000),
		Zones: []string{n.Zone}, Kinds: []string{""}}
	for _, d := range []struct {
		key string
		bad bool
	}{{"node.memory_mb", n.MemoryMB < 0}, {"node.sockets", n.Sockets < 0}, {"node.most_open", n.MostOpen < 0},
		{"node.doors", n.Doors < 0}, {"limits.max_attempts", f.Limits.MaxAttempts < 0},
		{"limits.dial_timeout", f.Limits.DialTimeout < 0}, {"limits.conn_idle", f.Limits.ConnIdle < 0},
		{"limits.retry_after", f.Limits.RetryAfter < 0}, {"limits.counter_timeout", f.Limits.CounterTimeout < 0},
		{"limits.max_units", f.Limits.MaxUnits < 0}, {"obligations.stop_sending_within", f.Obligations.StopSending < 0},
		{"obligations.fall_multiple", f.Obligations.FallMultiple < 0}, {"obligations.fall_window", f.Obligations.FallWindow < 0},
		{"obligations.cold_from", f.Obligations.ColdFrom < 0}, {"obligations.warm_within", f.Obligations.WarmWithin < 0}} {
		if d.bad {
			return nil, fault(d.key, "is negative")
		}
	}
	if n.Rank < 0 || n.Rank >= set.Doors {
		return nil, fault("node.rank", "is not from 0 to %d, under node.doors", set.Doors-1)
	}
	for _, a := range []struct {
		key, addr string
		needed    bool
	}{{"node.discovery", n.Discovery, true}, {"node.counter", n.Counter, false}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil && (a.needed || a.addr != "") {
			return nil, fault(a.key, "is no host:port")
		}
	}
	if len(f.Class) == 0 {
		return nil, fault("class", "there is none")
	}
	for i, cl := range f.Class {
		key := func(k string) string { return fmt.Sprintf("class[%d].%s", i, k) }
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
		case effect == snowhall.Keyed && cl.Window <= 0:
			return nil, fault(key("window"), "is not above 0, but the class is keyed")
		}
		tr.Classes = append(tr.Classes, cl.Name)
		set.Classes = append(set.Classes, snowhall.Class{Worth: cl.Worth, LateWorth: cl.LateWorth, Aim: time.Duration(cl.Aim),
			GiveUp: time.Duration(cl.GiveUp), Effect: effect, Group: group, Window: time.Duration(cl.Window)})
	}
	if len(f.Plan) == 0 {
		return nil, fault("plan", "there is none")
	}
	for i, p := range f.Plan {
		key := func(k string) string { return fmt.Sprintf("plan[%d].%s", i, k) }
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
		case p.CeilingDepth < 0 || p.CeilingRate > 0 && p.CeilingDepth == 0:
			return nil, fault(key("ceiling_depth"), "is negative, or missing where there is a ceiling_rate")
		}
		tr.Plans = append(tr.Plans, p.Name)
		set.Plans = append(set.Plans, snowhall.Plan{Rate: p.Rate, Burst: p.Burst, AtOnce: p.AtOnce, Factor: cmp.Or(p.Factor, 1),
			OverWorth: p.OverWorth, OverCost: p.OverCost, CeilingRate: p.CeilingRate, CeilingDepth: p.CeilingDepth})
	}
	c := &service.Config{Name: cmp.Or(n.Name, "gapgapd"), Discovery: n.Discovery, Counter: n.Counter, MemoryMB: n.MemoryMB,
		Sockets: n.Sockets, Settings: set, Transport: tr}
	if n.Seed == "" {
		var b [8]byte
		rand.Read(b[:])
		c.Seed = binary.BigEndian.Uint64(b[:])
		return c, nil
	}
	var err error
	if c.Seed, err = strconv.ParseUint(n.Seed, 16, 64); err != nil {
		return nil, fault("node.seed", "is not up to 16 hex digits")
	}
	return c, nil
}

// plainName says whether a name may stand in the RESP2 list of names and values and in a quoted header field.
func plainName(s string) bool {
	return s != "" && len(s) <= 64 &&
		strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._") == ""
}

func (f *file) accounts(c *Config, names account.Names) error {
	var specs []account.Spec
	for i, a := range f.Account {
		if a.Doors > c.Node.Settings.Doors {
			return fault(fmt.Sprintf("account[%d].doors", i), "is over node.doors")
		}
		specs = append(specs, account.Spec{Name: a.Name, Customer: a.Customer, Plan: a.Plan, Keys: a.Keys,
			Certificates: a.Certificates, Classes: a.Classes, Doors: a.Doors,
			Hold: cmp.Or(time.Duration(a.Hold), 30*time.Second)})
	}
	var rules []account.Rule
	for _, r := range f.Rule {
		rules = append(rules, account.Rule{Host: r.Host, Methods: r.Methods, Path: r.Path, Class: r.Class, Units: r.Units})
	}
	var err error
	c.Accounts, err = account.Compile(specs, rules, names, c.Node.Settings.MaxUnits)
	return err
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
func (f *file) listener(i int, c *Config, allow []netip.Prefix) (Listener, error) {
	in := &f.Listener[i]
	base := fmt.Sprintf("listener[%d]", i)
	key := func(k string) string { return base + "." + k }
	l := Listener{Name: cmp.Or(in.Name, fmt.Sprint(in.Protocol, "-", i)), Address: in.Address}
	addr, err := netip.ParseAddrPort(in.Address)
	if err != nil {
		return l, fault(key("address"), "%q is no address and port", in.Address)
	}
	given := addr.Addr().IsLoopback()
	for _, p := range allow {
		given = given || p.Contains(addr.Addr().Unmap())
	}
	if !given {
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
	case "authz":
	default:
		return l, fault(key("protocol"), "%q is not resp2 or authz", in.Protocol)
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
	a := authz.Config{Name: l.Name, EndPath: in.EndPath, Trusted: trusted, TrustedCertificates: in.TrustedCertificates,
		MaxHeaderBytes: cmp.Or(in.MaxHeaderBytes, authz.DefaultMaxHeaderBytes), MaxHeaders: cmp.Or(in.MaxHeaders, authz.DefaultMaxHeaders),
		MaxBody: cmp.Or(in.MaxBody, authz.DefaultMaxBody), HeaderTimeout: cmp.Or(time.Duration(in.HeaderTimeout), authz.DefaultHeaderTimeout),
		IdleTimeout: cmp.Or(time.Duration(in.IdleTimeout), authz.DefaultIdleTimeout), MaxStreams: cmp.Or(in.MaxStreams, authz.DefaultMaxStreams)}
	for j, r := range in.Check {
		at := func(k string) string { return fmt.Sprintf("%s.check[%d].%s", base, j, k) }
		dialect, ok := authz.Dialects[r.Dialect]
		if !ok {
			return l, fault(at("dialect"), "%q is not nginx, traefik, caddy or envoy", r.Dialect)
		}
		repeat, ok := authz.Repeats[cmp.Or(r.Repeat, "never")]
		if !ok {
			return l, fault(at("repeat"), "%q is not never, request-id or nonce", r.Repeat)
		}
		rt := authz.Route{Path: r.Path, Dialect: dialect, Repeat: repeat, KeyHeader: authz.DefaultKeyHeader,
			AccountHeader: http.CanonicalHeaderKey(r.AccountHeader), CertificateHeader: http.CanonicalHeaderKey(r.CertificateHeader),
			RequestIDHeader: http.CanonicalHeaderKey(cmp.Or(r.RequestIDHeader, authz.DefaultRequestID)),
			NonceHeader:     http.CanonicalHeaderKey(cmp.Or(r.NonceHeader, authz.DefaultNonce)),
			UnitsHeader:     http.CanonicalHeaderKey(r.UnitsHeader), DefaultClass: -1,
			Within: cmp.Or(time.Duration(r.Within), authz.DefaultWithin)}
		if r.KeyHeader != nil {
			rt.KeyHeader = http.CanonicalHeaderKey(*r.KeyHeader)
		}
		for k, id := range r.Identify {
			v, ok := authz.Identities[id]
			if !ok {
				return l, fault(fmt.Sprintf("%s[%d]", at("identify"), k), "%q is not key, header or certificate", id)
			}
			rt.Identify = append(rt.Identify, v)
		}
		if len(r.Identify) == 0 {
			rt.Identify = []authz.Identity{authz.ByKey}
		}
		if r.DefaultClass != "" {
			if rt.DefaultClass = slices.Index(c.Node.Transport.Classes, r.DefaultClass); rt.DefaultClass < 0 {
				return l, fault(at("default_class"), "no class is named %q", r.DefaultClass)
			}
		}
		for _, cl := range c.Node.Settings.Classes {
			if rt.Within > cl.GiveUp {
				return l, fault(at("within"), "%v is over a class's give_up, %v", rt.Within, cl.GiveUp)
			}
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
		var e *authz.Fault
		errors.As(err, &e)
		return l, &authz.Fault{Field: key(e.Field), Err: e.Err}
	}
	l.Authz = a
	return l, nil
}
