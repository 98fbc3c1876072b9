// Package account holds who may ask and what a check costs: credentials to accounts, and host, method and path to
// classes. A [Table] is compiled once from a checked configuration, never changes, and is swapped whole. It does no
// input or output.
package account

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Spec describes one account as it is configured.
type Spec struct {
	Name         string        // for people and for the account header
	Customer     string        // 16 hex digits, a number below 2^33; what RESP2 calls the customer
	Plan         string        // its name
	Keys         []string      // SHA-256 of each API key, in hex
	Certificates []string      // names of client certificates
	Classes      []string      // that it is entitled to; none given: all
	Doors        int           // front doors through which its requests come; 0: all
	Hold         time.Duration // how long a grant counts as under way without an end call, where the plan bounds that
}

// Rule gives a check its class and units. All of its parts that are given must match.
type Rule struct {
	Host    string   // exact, or *.suffix; empty: any
	Methods []string // none: any
	Path    string   // a prefix by whole segments; empty: any
	Class   string
	Units   float64 // 0: 1
}

// Names are those of the module's classes and plans, in the order of their indices.
type Names struct {
	Classes, Plans []string
	Policies       map[string][]string // by plan: the field that tells of its quota; nil: none
	Several        bool                // of one pool of several: an account whose plan is another pool's has none here
}

// Account is a compiled Spec.
type Account struct {
	Name, Customer, PlanName string
	Plan, Doors              int
	Hold                     time.Duration
	classes                  []bool // by index; nil: all

	// Said are header values that answers repeat for the account.
	Said struct{ Name, Plan, Policy []string }
}

// Entitled says whether the account may use a class.
func (a *Account) Entitled(class int) bool { return a.classes == nil || a.classes[class] }

type keyed struct {
	hash    [sha256.Size]byte
	account *Account
}

type rule struct {
	host, suffix string
	methods      []string
	path         string
	class        int
	units        float64
}

// Table is what a configuration of accounts compiles to.
type Table struct {
	names  map[string]*Account
	byID   map[string]*Account
	certs  map[string]*Account
	keys   map[uint64][]keyed // by the first bytes of the hash
	rules  []rule
	maxima float64
}

// Error is a fault of one field of a configuration.
type Error struct {
	Field string // such as account[2].keys[0]
	Err   error
}

func (e *Error) Error() string { return e.Field + ": " + e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

func fault(err error, format string, args ...any) error {
	return &Error{fmt.Sprintf(format, args...), err}
}

// Compile checks accounts and rules and makes a Table. An error is an *[Error]. Units is the most a check may take.
func Compile(specs []Spec, rules []Rule, names Names, units float64) (*Table, error) {
	t := &Table{names: map[string]*Account{}, byID: map[string]*Account{}, certs: map[string]*Account{},
		keys: map[uint64][]keyed{}, maxima: cmp.Or(units, 1e9)}
	for i, s := range specs {
		if err := t.add(i, s, names); err != nil {
			return nil, err
		}
	}
	for i, r := range rules {
		c, err := t.rule(i, r, names)
		if err != nil {
			return nil, err
		}
		t.rules = append(t.rules, c)
	}
	return t, nil
}

func (t *Table) add(i int, s Spec, names Names) error {
	if s.Name == "" || strings.Trim(s.Name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._") != "" {
		return fault(errors.New("wants letters, digits, '-', '.' and '_'"), "account[%d].name", i)
	}
	if t.names[s.Name] != nil {
		return fault(fmt.Errorf("%q stands twice", s.Name), "account[%d].name", i)
	}
	id, err := Customer(s.Customer)
	if err != nil {
		return fault(err, "account[%d].customer", i)
	}
	if o := t.byID[id]; o != nil {
		return fault(fmt.Errorf("is that of account %q too", o.Name), "account[%d].customer", i)
	}
	if names.Several && !slices.Contains(names.Plans, s.Plan) {
		t.credentials(s, &Account{Name: s.Name, Customer: id, Plan: -1})
		return nil
	}
	a := &Account{Name: s.Name, Customer: id, PlanName: s.Plan, Doors: s.Doors, Hold: s.Hold}
	a.Said.Name, a.Said.Plan = []string{s.Name}, []string{s.Plan}
	if p := names.Policies; p != nil && s.Plan != "" {
		a.Said.Policy = p[s.Plan]
	}
	if a.Plan = slices.Index(names.Plans, s.Plan); a.Plan < 0 {
		return fault(fmt.Errorf("no plan is named %q", s.Plan), "account[%d].plan", i)
	}
	if s.Doors < 0 {
		return fault(errors.New("is negative"), "account[%d].doors", i)
	}
	if s.Hold < 0 {
		return fault(errors.New("is negative"), "account[%d].hold", i)
	}
	if len(s.Classes) > 0 {
		a.classes = make([]bool, len(names.Classes))
		for j, c := range s.Classes {
			k := slices.Index(names.Classes, c)
			if k < 0 && names.Several {
				continue
			}
			if k < 0 {
				return fault(fmt.Errorf("no class is named %q", c), "account[%d].classes[%d]", i, j)
			}
			a.classes[k] = true
		}
	}
	for j, k := range s.Keys {
		raw, err := hex.DecodeString(k)
		if err != nil || len(raw) != sha256.Size {
			return fault(errors.New("is not the 64 hex digits of a SHA-256"), "account[%d].keys[%d]", i, j)
		}
		h := [sha256.Size]byte(raw)
		if o := t.byHash(h); o != nil {
			return fault(fmt.Errorf("is a key of account %q too", o.Name), "account[%d].keys[%d]", i, j)
		}
		at := binary.BigEndian.Uint64(h[:])
		t.keys[at] = append(t.keys[at], keyed{h, a})
	}
	for j, c := range s.Certificates {
		if c == "" {
			return fault(errors.New("is empty"), "account[%d].certificates[%d]", i, j)
		}
		if o := t.certs[c]; o != nil {
			return fault(fmt.Errorf("%q is that of account %q too", c, o.Name), "account[%d].certificates[%d]", i, j)
		}
		t.certs[c] = a
	}
	t.names[a.Name], t.byID[a.Customer] = a, a
	return nil
}

// credentials keeps an account that has no plan here known by what it shows.
func (t *Table) credentials(s Spec, a *Account) {
	for _, k := range s.Keys {
		if raw, err := hex.DecodeString(k); err == nil && len(raw) == sha256.Size {
			h := [sha256.Size]byte(raw)
			t.keys[binary.BigEndian.Uint64(h[:])] = append(t.keys[binary.BigEndian.Uint64(h[:])], keyed{h, a})
		}
	}
	for _, c := range s.Certificates {
		t.certs[c] = a
	}
	t.names[a.Name] = a
}

// Customer reads a customer's number as the protocol writes it: 16 hex digits, below 2^33; and returns it in lower case.
func Customer(s string) (string, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 || n >= 1<<33 {
		return "", errors.New("is not 16 hex digits of a number below 2^33")
	}
	return strings.ToLower(s), nil
}

func (t *Table) rule(i int, r Rule, names Names) (rule, error) {
	c := rule{units: cmp.Or(r.Units, 1)}
	if c.class = slices.Index(names.Classes, r.Class); c.class < 0 {
		return c, fault(fmt.Errorf("no class is named %q", r.Class), "rule[%d].class", i)
	}
	if !(c.units > 0 && c.units <= t.maxima) {
		return c, fault(fmt.Errorf("is not above 0 and at most %v", t.maxima), "rule[%d].units", i)
	}
	host := strings.ToLower(strings.TrimSuffix(r.Host, "."))
	if rest, ok := strings.CutPrefix(host, "*."); ok {
		c.suffix = "." + rest
		host = rest
	} else {
		c.host = host
	}
	if strings.ContainsAny(host, "*/: \t") {
		return c, fault(errors.New("wants a name without port, or *. and a name"), "rule[%d].host", i)
	}
	for j, m := range r.Methods {
		if m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
			return c, fault(errors.New("wants capital letters"), "rule[%d].methods[%d]", i, j)
		}
	}
	c.methods = r.Methods
	if r.Path != "" {
		if !strings.HasPrefix(r.Path, "/") || path.Clean(r.Path) != strings.TrimSuffix(r.Path, "/") && r.Path != "/" {
			return c, fault(errors.New("wants a clean path that begins with '/'"), "rule[%d].path", i)
		}
		c.path = strings.TrimSuffix(r.Path, "/")
	}
	return c, nil
}

// ByName finds an account by its name; nil: there is none.
func (t *Table) ByName(name string) *Account { return t.names[name] }

// ByCustomer finds an account by its customer's number in lower case.
func (t *Table) ByCustomer(id string) *Account { return t.byID[id] }

// ByCertificate finds an account by the name of a client's certificate.
func (t *Table) ByCertificate(name string) *Account { return t.certs[name] }

// ByKey finds an account by an API key. Only hashes are kept, and they are compared in constant time.
func (t *Table) ByKey(key string) *Account { return t.byHash(sha256.Sum256([]byte(key))) }

func (t *Table) byHash(h [sha256.Size]byte) *Account {
	var found *Account
	for _, k := range t.keys[binary.BigEndian.Uint64(h[:])] {
		if subtle.ConstantTimeCompare(k.hash[:], h[:]) == 1 {
			found = k.account
		}
	}
	return found
}

// Match gives the class and units of a check by the first rule that fits; the host and path as [Target] made them.
// false: none does.
func (t *Table) Match(host, method, path string) (class int, units float64, ok bool) {
	for i := range t.rules {
		if r := &t.rules[i]; r.fits(host, method, path) {
			return r.class, r.units, true
		}
	}
	return 0, 0, false
}

func (r *rule) fits(host, method, path string) bool {
	if r.host != "" && r.host != host || r.suffix != "" && !strings.HasSuffix(host, r.suffix) {
		return false
	}
	if len(r.methods) > 0 && !slices.Contains(r.methods, method) {
		return false
	}
	return r.path == "" || strings.HasPrefix(path, r.path) && (len(path) == len(r.path) || path[len(r.path)] == '/')
}

// Units checks the units that a trusted proxy names.
func (t *Table) Units(s string) (float64, bool) {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v > 0 && v <= t.maxima
}

// Errors of Target.
var (
	ErrHost = errors.New("the host can't be read")
	ErrPath = errors.New("the path can't be read")
)

// Target brings the host and the URI of a check into the one form that rules match: the host in lower case without
// port and final dot; the path with its escapes taken away once, empty and dot segments resolved (RFC 3986, 5.2.4),
// without query. What a service might read otherwise, such as a NUL or a backslash, is an error.
func Target(host, uri string) (string, string, error) {
	h, err := cleanHost(host)
	if err != nil {
		return "", "", err
	}
	p, err := cleanPath(uri)
	return h, p, err
}

func cleanHost(host string) (string, error) {
	if strings.HasPrefix(host, "[") { // an IPv6 literal
		end := strings.IndexByte(host, ']')
		if end < 0 || !validPort(host[end+1:]) {
			return "", ErrHost
		}
		host = host[:end+1]
		if strings.Trim(host[1:end], "0123456789abcdefABCDEF:.") != "" || end == 1 {
			return "", ErrHost
		}
		return strings.ToLower(host), nil
	}
	if i := strings.IndexByte(host, ':'); i >= 0 {
		if !validPort(host[i:]) {
			return "", ErrHost
		}
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	lower := false
	for i := range len(host) {
		switch c := host[i]; {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-', c == '_':
		case c >= 'A' && c <= 'Z':
			lower = true
		case c == '.' && i > 0 && host[i-1] != '.':
		default:
			return "", ErrHost
		}
	}
	if lower {
		host = strings.ToLower(host)
	}
	return host, nil
}

func validPort(s string) bool {
	return s == "" || s[0] == ':' && len(s) <= 6 && strings.Trim(s[1:], "0123456789") == ""
}

func cleanPath(uri string) (string, error) {
	if i := strings.IndexAny(uri, "?#"); i >= 0 {
		uri = uri[:i]
	}
	if uri == "" || uri == "*" {
		return "/", nil
	}
	if uri[0] != '/' {
		return "", ErrPath
	}
	if strings.IndexByte(uri, '%') >= 0 {
		un, err := url.PathUnescape(uri)
		if err != nil {
			return "", ErrPath
		}
		uri = un
	}
	dots := false
	for i := range len(uri) {
		c := uri[i]
		if c < ' ' || c == 0x7f || c == '\\' {
			return "", ErrPath
		}
		dots = dots || c == '/' && (i+1 < len(uri) && (uri[i+1] == '.' || uri[i+1] == '/'))
	}
	if dots {
		uri = path.Clean(uri)
	}
	return uri, nil
}
