// Package route selects the pool of a request. A [Table] is compiled once from rules, is immutable, and is replaced as
// a whole by its owner. The package does no I/O. A lookup allocates nothing, and its cost does not grow in proportion
// to the number of rules.
//
// Of the rules that match, the most specific one decides. Precedence follows the Kubernetes Gateway API
// (HTTPRouteRule.matches); what that does not define (templates, accounts, classes and listeners) is ordered here:
//
//  1. host: an exact name, then the longest *.suffix, then any host
//  2. path: exact, then a template (literal segments before parameters, from the left), then the longest prefix
//  3. rules with methods
//  4. rules with more header fields
//  5. rules with an account
//  6. rules with a class
//  7. rules with a listener
//  8. the order in which the rules are configured
package route

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
)

// Limits of a rule, so that no single rule makes lookups slow.
const (
	MaxSegments = 32 // segments of a template
	MaxHeaders  = 16
	MaxTargets  = 64
)

// Rule sends requests that match all of its conditions to its targets.
type Rule struct {
	Name     string
	Listener string   // empty: any
	Host     string   // exact name, or *.suffix; empty: any
	Path     string   // of the form that Kind says; empty: any
	Kind     PathKind // how Path is compared
	Methods  []string // empty: any
	Headers  []Header
	Class    string   // empty: any
	Account  string   // empty: any
	Targets  []Target // at least one
}

// PathKind is how a rule's path is compared with that of a request.
type PathKind int

// Kinds of paths.
const (
	Prefix   PathKind = iota // by whole segments: /a matches /a and /a/b, but not /ab
	Exact                    // the whole path must be equal
	Template                 // a segment in braces matches any one segment: /flags/{id}/history
)

// Header is a header field that a request must have with this value; an empty Value matches any.
type Header struct{ Name, Value string }

// Target is a pool that gets a part of the requests that match a rule.
type Target struct {
	Pool   string
	Weight float64 // relative to the other targets; 0: it gets no requests
}

// Query has the properties of a request that rules can match. Host and Path must be normalized by account.Target; they
// are empty for protocols without them.
type Query struct {
	Listener, Host, Path, Method, Class, Account string
	// Header has header fields by their names as rules spell them. A field with several values meets no condition.
	Header map[string][]string
	// StickyKey selects among several targets if there is no account: requests with the same key get the same target.
	StickyKey string
}

// Error is an error in one field of a rule.
type Error struct {
	Index int    // index of the rule; -1: the error is in the fallback
	Rule  string // name of the rule
	Field string
	Err   error
}

func (e *Error) Error() string {
	return fmt.Sprintf("route[%d] %q: %s: %v", e.Index, e.Rule, e.Field, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// compiledRule is a checked Rule. Its Host is empty if the rule has a suffix.
type compiledRule struct {
	Rule
	rank     int      // position in the order of precedence
	suffix   string   // what follows "*." in the host
	segments []string // segments of a template; a parameter is an empty string
}

// Table is a compiled list of rules. Any goroutine may use it.
type Table struct {
	rules    []*compiledRule // in order of precedence
	exact    map[string]*hostNode
	suffixes map[string]*hostNode // by what follows "*."
	any      *hostNode            // rules without a host
	fallback string               // the pool of requests that no rule matches
}

// hostNode holds the rules of one host.
type hostNode struct {
	exact     map[string]*bucket
	template  *segmentNode       // root of the templates
	prefix    map[string]*bucket // by prefix without the final slash; "" matches all paths
	maxPrefix int                // length of the longest prefix
}

// segmentNode is a node of the trie of templates.
type segmentNode struct {
	literal map[string]*segmentNode
	param   *segmentNode
	leaf    *bucket // rules whose template ends here
}

// bucket holds the rules of one host and path. It indexes them by account or header value, so that thousands of rules
// that differ only in these are not scanned. Lists are in order of precedence.
type bucket struct {
	byAccount map[string][]*compiledRule
	byHeader  []headerIndex
	rest      []*compiledRule
}

// headerIndex has the rules that require a header field, by its value.
type headerIndex struct {
	name   string
	values map[string][]*compiledRule
}

// Compile checks rules and returns a Table of them. Requests that no rule matches go to the pool fallback; if it is
// empty, to none. pools are the names that targets may have; nil: any. Its error is an *[Error].
func Compile(rules []Rule, fallback string, pools []string) (*Table, error) {
	t := &Table{exact: map[string]*hostNode{}, suffixes: map[string]*hostNode{}, any: newHostNode(), fallback: fallback}
	if fallback != "" && pools != nil && !slices.Contains(pools, fallback) {
		return nil, &Error{-1, "", "default", fmt.Errorf("pool %q does not exist", fallback)}
	}
	names := map[string]bool{}
	for i, r := range rules {
		c, field, err := compileRule(r, pools)
		if err == nil && names[r.Name] {
			field, err = "name", errors.New("is used by another rule")
		}
		if err != nil {
			return nil, &Error{i, r.Name, field, err}
		}
		names[r.Name] = true
		c.rank = i
		t.rules = append(t.rules, c)
	}
	sort.SliceStable(t.rules, func(i, j int) bool { return compareRules(t.rules[i], t.rules[j]) < 0 })
	for i, r := range t.rules {
		r.rank = i
		t.add(r)
	}
	return t, nil
}

// compileRule checks and compiles a rule. With an error it returns the name of the invalid field.
func compileRule(r Rule, pools []string) (*compiledRule, string, error) {
	c := &compiledRule{Rule: r}
	if r.Name == "" {
		return nil, "name", errors.New("must not be empty")
	}
	host := strings.ToLower(strings.TrimSuffix(r.Host, "."))
	if rest, ok := strings.CutPrefix(host, "*."); ok {
		c.suffix, host = rest, rest
		if rest == "" {
			return nil, "host", errors.New(`must have a name after "*."`)
		}
	}
	if strings.ContainsAny(host, "*/ \t") || strings.Contains(host, ":") && !strings.HasPrefix(host, "[") ||
		strings.Contains(host, "..") || strings.HasPrefix(host, ".") {
		return nil, "host", errors.New("must be a host name without port, or *. and a host name")
	}
	if c.Host = host; c.suffix != "" {
		c.Host = ""
	}
	if r.Path != "" {
		if r.Path[0] != '/' || strings.Contains(r.Path, "//") || strings.Contains(r.Path+"/", "/./") ||
			strings.Contains(r.Path+"/", "/../") || strings.ContainsAny(r.Path, "?#\\") {
			return nil, "path", errors.New("must be a normalized path beginning with '/'")
		}
		if r.Kind == Prefix {
			c.Path = strings.TrimSuffix(r.Path, "/")
		}
	} else if r.Kind != Prefix {
		return nil, "path", errors.New("must not be empty for this kind")
	}
	if r.Kind < Prefix || r.Kind > Template {
		return nil, "kind", errors.New("is unknown")
	}
	if braces := strings.ContainsAny(r.Path, "{}"); braces && r.Kind != Template {
		return nil, "path", errors.New("must not have braces unless it is a template")
	} else if r.Kind == Template {
		for _, s := range strings.Split(r.Path[1:], "/") {
			switch inner := strings.TrimSuffix(strings.TrimPrefix(s, "{"), "}"); {
			case strings.HasPrefix(s, "{") && strings.HasSuffix(s, "}") && inner != "" &&
				!strings.ContainsAny(inner, "{}"):
				s = ""
			case s == "" || strings.ContainsAny(s, "{}"):
				return nil, "path", errors.New("must consist of segments that are literal or a name in braces")
			}
			c.segments = append(c.segments, s)
		}
		if len(c.segments) > MaxSegments {
			return nil, "path", fmt.Errorf("has more than %d segments", MaxSegments)
		}
	}
	for _, m := range r.Methods {
		if m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
			return nil, "methods", fmt.Errorf("%q must be in capital letters", m)
		}
	}
	if len(r.Headers) > MaxHeaders {
		return nil, "headers", fmt.Errorf("must be at most %d", MaxHeaders)
	}
	for i, h := range r.Headers {
		if h.Name == "" || slices.ContainsFunc(r.Headers[:i], func(o Header) bool { return o.Name == h.Name }) {
			return nil, "headers", fmt.Errorf("name %q is empty or a duplicate", h.Name)
		}
	}
	total := 0.0
	for i, target := range r.Targets {
		switch {
		case target.Pool == "" ||
			slices.ContainsFunc(r.Targets[:i], func(o Target) bool { return o.Pool == target.Pool }):
			return nil, "targets", fmt.Errorf("pool %q is empty or a duplicate", target.Pool)
		case pools != nil && !slices.Contains(pools, target.Pool):
			return nil, "targets", fmt.Errorf("pool %q does not exist", target.Pool)
		case !(target.Weight >= 0) || target.Weight > 1e9:
			return nil, "targets", fmt.Errorf("weight of pool %q must be from 0 to 1e9", target.Pool)
		}
		total += target.Weight
	}
	if len(r.Targets) == 0 || len(r.Targets) > MaxTargets || total == 0 {
		return nil, "targets", fmt.Errorf("must be 1 to %d, one of them with a weight above 0", MaxTargets)
	}
	return c, "", nil
}

// compareRules returns a negative number if a takes precedence over b, and a positive one if b does over a.
func compareRules(a, b *compiledRule) int {
	trueFirst := func(ofA, ofB bool) int {
		switch {
		case ofA == ofB:
			return 0
		case ofA:
			return -1
		}
		return 1
	}
	for _, c := range []int{
		trueFirst(a.Host != "", b.Host != ""), len(b.suffix) - len(a.suffix),
		trueFirst(a.Kind == Exact, b.Kind == Exact), trueFirst(a.Kind == Template, b.Kind == Template),
		compareSegments(a.segments, b.segments), prefixLen(b) - prefixLen(a),
		trueFirst(len(a.Methods) > 0, len(b.Methods) > 0), len(b.Headers) - len(a.Headers),
		trueFirst(a.Account != "", b.Account != ""), trueFirst(a.Class != "", b.Class != ""),
		trueFirst(a.Listener != "", b.Listener != ""),
	} {
		if c != 0 {
			return c
		}
	}
	return 0 // the stable sort keeps the configured order
}

// prefixLen returns the length of a rule's prefix, or 0 if it has none.
func prefixLen(r *compiledRule) int {
	if r.Kind == Prefix {
		return len(r.Path)
	}
	return 0
}

// compareSegments orders templates: from the left, a literal segment goes before a parameter. Templates of different
// lengths never match the same path.
func compareSegments(a, b []string) int {
	for i := range min(len(a), len(b)) {
		switch {
		case a[i] != "" && b[i] == "":
			return -1
		case a[i] == "" && b[i] != "":
			return 1
		}
	}
	return 0
}

// newHostNode returns a hostNode without rules.
func newHostNode() *hostNode {
	return &hostNode{exact: map[string]*bucket{}, template: &segmentNode{}, prefix: map[string]*bucket{}}
}

// add adds a rule to the index. Rules must be added in order of precedence.
func (t *Table) add(r *compiledRule) {
	h := t.any
	getOrAdd := func(m map[string]*hostNode, key string) *hostNode {
		if m[key] == nil {
			m[key] = newHostNode()
		}
		return m[key]
	}
	if r.Host != "" {
		h = getOrAdd(t.exact, r.Host)
	} else if r.suffix != "" {
		h = getOrAdd(t.suffixes, r.suffix)
	}
	var b **bucket
	switch r.Kind {
	case Template:
		n := h.template
		for _, s := range r.segments {
			next := &n.param
			if s != "" {
				if n.literal == nil {
					n.literal = map[string]*segmentNode{}
				}
				child := n.literal[s]
				next = &child
			}
			if *next == nil {
				*next = &segmentNode{}
			}
			if s != "" {
				n.literal[s] = *next
			}
			n = *next
		}
		b = &n.leaf
	default:
		m := h.exact
		if r.Kind == Prefix {
			m = h.prefix
			h.maxPrefix = max(h.maxPrefix, len(r.Path))
		}
		found := m[r.Path]
		if found == nil {
			found = &bucket{}
			m[r.Path] = found
		}
		b = &found
	}
	if *b == nil {
		*b = &bucket{}
	}
	(*b).add(r)
}

// add adds a rule to the index of its account or else of its first header field with a value, or to the rest.
func (b *bucket) add(r *compiledRule) {
	if r.Account != "" {
		if b.byAccount == nil {
			b.byAccount = map[string][]*compiledRule{}
		}
		b.byAccount[r.Account] = append(b.byAccount[r.Account], r)
		return
	}
	for _, h := range r.Headers {
		if h.Value == "" {
			continue
		}
		i := slices.IndexFunc(b.byHeader, func(x headerIndex) bool { return x.name == h.Name })
		if i < 0 {
			b.byHeader = append(b.byHeader, headerIndex{h.Name, map[string][]*compiledRule{}})
			i = len(b.byHeader) - 1
		}
		b.byHeader[i].values[h.Value] = append(b.byHeader[i].values[h.Value], r)
		return
	}
	b.rest = append(b.rest, r)
}

// Match is the result of a lookup.
type Match struct {
	Rule string // name of the rule that decided; empty: no rule matched, and the fallback applies
	Pool string // empty: no pool serves the request
}

// Match returns the pool of a request.
func (t *Table) Match(q *Query) Match {
	r := t.find(q)
	if r == nil {
		return Match{"", t.fallback}
	}
	return Match{r.Name, r.pickTarget(q)}
}

// find returns the matching rule with the highest precedence, or nil.
func (t *Table) find(q *Query) *compiledRule {
	if q.Host != "" {
		if h := t.exact[q.Host]; h != nil {
			if r := h.find(q); r != nil {
				return r
			}
		}
		if len(t.suffixes) > 0 {
			for rest := q.Host; ; { // longest suffix first
				i := strings.IndexByte(rest, '.')
				if i < 0 {
					break
				}
				if rest = rest[i+1:]; rest == "" {
					break
				}
				if h := t.suffixes[rest]; h != nil {
					if r := h.find(q); r != nil {
						return r
					}
				}
			}
		}
	}
	return t.any.find(q)
}

// find returns the first rule of the host that matches, or nil.
func (h *hostNode) find(q *Query) *compiledRule {
	if b := h.exact[q.Path]; b != nil && q.Path != "" {
		if r := b.find(q); r != nil {
			return r
		}
	}
	if len(q.Path) > 0 && (h.template.literal != nil || h.template.param != nil) {
		if r := h.template.find(q, q.Path[1:]); r != nil {
			return r
		}
	}
	for p := q.Path; len(h.prefix) > 0; { // longest prefix first, down to the empty one
		if len(p) <= h.maxPrefix {
			if b := h.prefix[p]; b != nil {
				if r := b.find(q); r != nil {
					return r
				}
			}
		}
		if p == "" {
			break
		}
		p = p[:strings.LastIndexByte(p, '/')]
	}
	return nil
}

// find returns the first rule below the node that matches the rest of a path, or nil. Literal segments are tried before
// parameters.
func (n *segmentNode) find(q *Query, path string) *compiledRule {
	segment, rest, more := strings.Cut(path, "/")
	for _, next := range [2]*segmentNode{n.literal[segment], n.param} {
		switch {
		case next == nil || segment == "":
		case more:
			if r := next.find(q, rest); r != nil {
				return r
			}
		case next.leaf != nil:
			if r := next.leaf.find(q); r != nil {
				return r
			}
		}
	}
	return nil
}

// find returns the rule of the bucket with the highest precedence that matches, or nil.
func (b *bucket) find(q *Query) *compiledRule {
	best := firstMatch(b.rest, nil, q)
	if q.Account != "" && b.byAccount != nil {
		best = firstMatch(b.byAccount[q.Account], best, q)
	}
	for i := range b.byHeader {
		if v := q.Header[b.byHeader[i].name]; len(v) == 1 {
			best = firstMatch(b.byHeader[i].values[v[0]], best, q)
		}
	}
	return best
}

// firstMatch returns the first rule of a list that matches if it takes precedence over the best so far, else the best.
func firstMatch(list []*compiledRule, best *compiledRule, q *Query) *compiledRule {
	for _, r := range list {
		if best != nil && r.rank > best.rank {
			break
		}
		if r.mismatch(q) == "" {
			return r
		}
	}
	return best
}

// mismatch returns the first condition that a request does not meet, or an empty string. It leaves out host and path,
// by which the index has found the rule: see hostPathMismatch.
func (r *compiledRule) mismatch(q *Query) string {
	switch {
	case r.Listener != "" && r.Listener != q.Listener:
		return "listener"
	case r.Account != "" && r.Account != q.Account:
		return "account"
	case r.Class != "" && r.Class != q.Class:
		return "class"
	case len(r.Methods) > 0 && !slices.Contains(r.Methods, q.Method):
		return "method"
	}
	for _, h := range r.Headers {
		if v := q.Header[h.Name]; len(v) != 1 || h.Value != "" && v[0] != h.Value {
			return "headers"
		}
	}
	return ""
}

// hostPathMismatch returns "host" or "path" if a request does not meet that condition, or an empty string.
func (r *compiledRule) hostPathMismatch(q *Query) string {
	if r.Host != "" && r.Host != q.Host || r.suffix != "" && !strings.HasSuffix(q.Host, "."+r.suffix) {
		return "host"
	}
	ok := true
	switch {
	case r.Path == "":
	case r.Kind == Exact:
		ok = q.Path == r.Path
	case r.Kind == Prefix:
		ok = strings.HasPrefix(q.Path, r.Path) && (len(q.Path) == len(r.Path) || q.Path[len(r.Path)] == '/')
	default:
		segments := strings.Split(strings.TrimPrefix(q.Path, "/"), "/")
		ok = len(segments) == len(r.segments) && q.Path != ""
		for i := 0; ok && i < len(segments); i++ {
			ok = segments[i] != "" && (r.segments[i] == "" || r.segments[i] == segments[i])
		}
	}
	if !ok {
		return "path"
	}
	return ""
}

// pickTarget selects a target by weight. An account always gets the same target, and a change of weights moves as few
// accounts as possible (weighted rendezvous hashing: Schindelhauer and Schomaker, 2005).
func (r *compiledRule) pickTarget(q *Query) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	key := q.Account
	if key == "" {
		key = q.StickyKey
	}
	best, bestScore := "", math.Inf(-1)
	for i := range r.Targets {
		target := &r.Targets[i]
		if target.Weight == 0 {
			continue
		}
		u := (float64(hash(key, target.Pool)>>11) + 0.5) / (1 << 53) // uniform, above 0 and below 1
		if score := -target.Weight / math.Log(u); score > bestScore {
			best, bestScore = target.Pool, score
		}
	}
	return best
}

// hash returns the FNV-1a hash of two strings with the finalizer of splitmix64, which mixes its bits.
func hash(a, b string) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range [2]string{a, b} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
		h = (h ^ 0xff) * 1099511628211 // separates the strings: UTF-8 has no byte 0xff
	}
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Step is the result of comparing a request with one rule.
type Step struct {
	Rule  string `json:"rule"`
	Fails string `json:"fails,omitempty"` // the condition that was not met; empty: this rule decided
}

// Explain returns the rules in order of precedence up to the one that decides, with why the others do not match. It
// scans all rules, so it is not meant for serving requests.
func (t *Table) Explain(q *Query) ([]Step, Match) {
	var steps []Step
	for _, r := range t.rules {
		fails := r.hostPathMismatch(q)
		if fails == "" {
			fails = r.mismatch(q)
		}
		steps = append(steps, Step{r.Name, fails})
		if fails == "" {
			return steps, Match{r.Name, r.pickTarget(q)}
		}
	}
	return steps, Match{"", t.fallback}
}

// Pools returns the names of all pools that are targets or the fallback, sorted.
func (t *Table) Pools() []string {
	seen := map[string]bool{}
	if t.fallback != "" {
		seen[t.fallback] = true
	}
	for _, r := range t.rules {
		for _, target := range r.Targets {
			seen[target.Pool] = true
		}
	}
	all := make([]string, 0, len(seen))
	for p := range seen {
		all = append(all, p)
	}
	slices.Sort(all)
	return all
}

// Rules returns the rules with normalized hosts and paths, in order of precedence.
func (t *Table) Rules() []Rule {
	all := make([]Rule, 0, len(t.rules))
	for _, r := range t.rules {
		given := r.Rule
		if r.suffix != "" {
			given.Host = "*." + r.suffix
		}
		all = append(all, given)
	}
	return all
}

// Len returns the number of rules.
func (t *Table) Len() int { return len(t.rules) }
