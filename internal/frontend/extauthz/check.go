package extauthz

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gapgap/internal/account"
	"gapgap/internal/decisioncache"
	"gapgap/internal/proxy"
	"gapgap/internal/route"
)

// target is the end client's request as the proxy tells of it.
type target struct {
	method, scheme, host, uri string
}

// route finds the route of a request; for Envoy also the target's URI, which is what follows the prefix.
func (fr *Front) route(r *http.Request) (*Route, string) {
	var best *Route
	rest := ""
	for i := range fr.cfg.Routes {
		rt := &fr.cfg.Routes[i]
		if rt.Dialect != Envoy {
			if r.URL.Path == rt.Path {
				return rt, ""
			}
			continue
		}
		after, ok := strings.CutPrefix(r.RequestURI, strings.TrimSuffix(rt.Path, "/"))
		if ok && (after == "" || after[0] == '/' || after[0] == '?') && (best == nil || len(rt.Path) > len(best.Path)) {
			best, rest = rt, after
		}
	}
	if best != nil && (rest == "" || rest[0] == '?') {
		rest = "/" + rest
	}
	return best, rest
}

// one returns the only value of a header field; the name is in canonical form. More than one is an error: which of them
// another program heeds is not known.
func one(h http.Header, name string) (string, error) {
	switch vs := h[name]; len(vs) {
	case 0:
		return "", nil
	case 1:
		return vs[0], nil
	}
	return "", fmt.Errorf("%s %w", name, errTwice)
}

// headers reads the fields that tell of the target into their places.
func headers(h http.Header, fields ...field) error {
	for _, f := range fields {
		v, err := one(h, f.name)
		if err != nil {
			return err
		}
		if v == "" && f.needed {
			return errors.New(f.name + " is missing")
		}
		*f.to = v
	}
	return nil
}

type field struct {
	name   string
	needed bool
	to     *string
}

// read reads the target by the dialect.
func (rt *Route) read(r *http.Request, rest string) (t target, err error) {
	switch rt.Dialect {
	case Envoy:
		t = target{method: r.Method, host: r.Host, uri: rest}
		err = headers(r.Header, field{"X-Forwarded-Proto", false, &t.scheme})
	case Nginx:
		var full string
		err = headers(r.Header, field{"X-Original-Method", true, &t.method}, field{"X-Original-Url", false, &full},
			field{"X-Original-Uri", false, &t.uri}, field{"X-Original-Host", false, &t.host},
			field{"X-Original-Proto", false, &t.scheme})
		switch {
		case err != nil:
		case full != "" && t.uri != "":
			err = errors.New("X-Original-Url and X-Original-Uri exclude each other")
		case full != "":
			err = t.split(full)
		case t.uri == "":
			err = errors.New("X-Original-Uri is missing")
		}
	default:
		err = headers(r.Header, field{"X-Forwarded-Method", true, &t.method}, field{"X-Forwarded-Uri", true, &t.uri},
			field{"X-Forwarded-Host", true, &t.host}, field{"X-Forwarded-Proto", false, &t.scheme})
	}
	if err == nil && (t.method == "" || strings.Trim(t.method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" || len(t.method) > 32) {
		err = errors.New("the method can't be read")
	}
	return t, err
}

// split reads an absolute URL.
func (t *target) split(full string) error {
	u, err := url.Parse(full)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil {
		return errors.New("X-Original-Url can't be read")
	}
	t.scheme, t.host, t.uri = u.Scheme, u.Host, u.RequestURI()
	return nil
}

var errUnknown = errors.New("unknown credential")

// identify finds the account by the first way for which something is there.
func (rt *Route) identify(t *account.Table, h http.Header) (*account.Account, error) {
	for _, id := range rt.Identify {
		var a *account.Account
		v, err := "", error(nil)
		switch id {
		case ByKey:
			if v, err = key(h, rt.KeyHeader); v != "" {
				a = t.ByKey(v)
			}
		case ByHeader:
			if v, err = one(h, rt.AccountHeader); v != "" {
				a = t.ByName(v)
			}
		case ByCertificate:
			if v, err = one(h, rt.CertificateHeader); v != "" {
				a = t.ByCertificate(v)
			}
		}
		switch {
		case err != nil:
			return nil, err
		case a != nil:
			return a, nil
		case v != "":
			return nil, errUnknown
		}
	}
	return nil, errUnknown
}

// key finds the API key: Authorization with the scheme Bearer (RFC 6750, 2.1), else the key header.
func key(h http.Header, name string) (string, error) {
	auth, err := one(h, "Authorization")
	if err != nil {
		return "", err
	}
	const scheme = "bearer "
	if len(auth) > len(scheme) && strings.EqualFold(auth[:len(scheme)], scheme) {
		return strings.TrimSpace(auth[len(scheme):]), nil
	}
	if name == "" {
		return "", nil
	}
	return one(h, name)
}

// discard reads a body away, up to the bound. A request whose body has not come whole is not taken.
func (fr *Front) discard(w http.ResponseWriter, r *http.Request) (int, string) {
	if r.Body == nil || r.Body == http.NoBody {
		return 0, ""
	}
	const long = "The body is longer than is read here."
	if r.ContentLength > fr.cfg.MaxBody {
		return http.StatusRequestEntityTooLarge, long
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(fr.cfg.HeaderTimeout))
	defer rc.SetReadDeadline(time.Time{})
	switch _, err := io.CopyN(io.Discard, r.Body, fr.cfg.MaxBody+1); {
	case err == nil:
		return http.StatusRequestEntityTooLarge, long
	case errors.Is(err, io.EOF):
		return 0, ""
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "The body has not come in time."
	}
	return http.StatusBadRequest, "The body can't be read."
}

// check answers one check.
func (fr *Front) check(a answer, from *conn, r *http.Request, rest string) {
	k, p := fr.read(a, from, r, rest)
	if k == nil {
		return
	}
	o, ok := fr.decide(k)
	a.acct, a.plans = k.acct, p.core.Rules().Settings.Plans
	switch {
	case o.shut:
		a.undecided("policy")
	case !ok || o.verdict != proxy.Admitted && o.verdict != proxy.Rejected:
		a.undecided("core")
	case o.verdict == proxy.Admitted:
		fr.s.Figures.Allowed.Add(1)
		a.allowed(o)
	default:
		fr.s.Figures.Refused.Add(1)
		a.refused(o)
	}
}

// read reads a check, in a turn of the pool that its connection asked last, and finds its pool, which it acquires. A nil
// check has been answered.
func (fr *Front) read(a answer, from *conn, r *http.Request, rest string) (*check, *pool) {
	rt, s := a.rt, fr.s
	turn := from.gate()
	began := turn.Enter()
	defer turn.Leave(began)
	tg, err := rt.read(r, rest)
	var host, path string
	if err == nil {
		host, path, err = account.Target(tg.host, tg.uri)
	}
	if err != nil {
		s.Figures.Bad.Add(1)
		a.problem(http.StatusBadRequest, "target", err.Error())
		return nil, nil
	}
	// Credentials are the process's, and which pool they lead to may hang on the account; its plan there is the pool's.
	acct, err := rt.identify(s.identities(), r.Header)
	if err != nil {
		if !errors.Is(err, errUnknown) {
			s.Figures.Bad.Add(1)
			a.problem(http.StatusBadRequest, "credential", err.Error())
			return nil, nil
		}
		s.Figures.Unauthenticated.Add(1)
		a.unauthenticated()
		return nil, nil
	}
	k := &check{done: make(chan outcome, 1)}
	k.query = route.Query{Listener: fr.cfg.Name, Host: host, Path: path, Method: tg.method, Account: acct.Customer, Header: r.Header}
	c := fr.env.Router.Route(&k.query)
	p := s.of(c)
	if p == nil {
		if c != nil {
			c.Release()
		}
		s.Figures.Forbidden.Add(1)
		a.problem(http.StatusForbidden, "no-route", "No service stands behind this.")
		return nil, nil
	}
	if !from.join(c) {
		c.Release()
		s.Figures.NoRoom.Add(1)
		a.w.Header().Set("Connection", "close")
		a.undecided("connections")
		return nil, nil
	}
	if !a.held.move(c.Memory) {
		c.Release()
		s.Figures.NoRoom.Add(1)
		a.undecided("memory")
		return nil, nil
	}
	if !fr.checkIn(p, a, k, r, tg) {
		p.core.Release()
		return nil, nil
	}
	return k, p
}

// checkIn reads a check as its pool has it. false: it has been answered, and the pool is to be released.
func (fr *Front) checkIn(p *pool, a answer, c *check, r *http.Request, tg target) (good bool) {
	rt := a.rt
	s, table, err := fr.s, p.table.Load(), error(nil)
	acct := table.ByCustomer(c.query.Account)
	if acct == nil {
		s.Figures.Forbidden.Add(1)
		a.problem(http.StatusForbidden, "not-entitled", "The account has no plan here.")
		return false
	}
	c.acct, a.acct, a.plans = acct, acct, p.core.Rules().Settings.Plans
	class, units, ok := table.Match(c.query.Host, tg.method, c.query.Path)
	if !ok && rt.DefaultClass != "" {
		class, units = slices.Index(p.core.Rules().Classes, rt.DefaultClass), 1
		ok = class >= 0
	}
	if !ok || !acct.Entitled(class) {
		s.Figures.Forbidden.Add(1)
		a.problem(http.StatusForbidden, "not-entitled", "The account is not entitled to this.")
		return false
	}
	if rt.UnitsHeader != "" {
		v, err := one(r.Header, rt.UnitsHeader)
		if err == nil && v != "" {
			if units, ok = table.Units(v); !ok {
				err = errors.New(rt.UnitsHeader + " can't be read")
			}
		}
		if err != nil {
			s.Figures.Bad.Add(1)
			a.problem(http.StatusBadRequest, "units", err.Error())
			return false
		}
	}
	c.p = p
	c.Request = proxy.Request{Client: c, Class: class, Plan: acct.Plan, Customer: acct.Customer, At: fr.env.Now(),
		Timeout: rt.within(r.Header), Units: units, Gateways: acct.Doors, AdmitOnly: true}
	if a.plans[acct.Plan].MaxInFlight > 0 {
		c.HoldFor = acct.Hold
	}
	if c.watch, err = rt.sameness(c, acct, tg, r.Header); err != nil {
		s.Figures.Bad.Add(1)
		a.problem(http.StatusBadRequest, "request-id", err.Error())
		return false
	}
	return true
}

// within is the time for a check's answer. Envoy tells how long it waits.
func (rt *Route) within(h http.Header) time.Duration {
	if rt.Dialect == Envoy {
		if v := h["X-Envoy-Expected-Rq-Timeout-Ms"]; len(v) == 1 {
			if ms, err := strconv.ParseUint(v[0], 10, 31); err == nil && ms > 0 {
				return min(rt.Within, time.Duration(ms)*time.Millisecond)
			}
		}
	}
	return rt.Within
}

// sameness makes the key by which a repeat of a check is known; false: it has none. What an end client can choose is
// never all of it: account, method, host and URI are part of it, and the memory bounds how often one is told.
func (rt *Route) sameness(c *check, acct *account.Account, tg target, h http.Header) (bool, error) {
	name := ""
	switch rt.Repeat {
	case Never:
		return false, nil
	case ByRequestID:
		name = rt.RequestIDHeader
	case ByNonce:
		name = rt.NonceHeader
	}
	id, err := one(h, name)
	if id == "" || err != nil {
		return false, err
	}
	var room [512]byte
	b := room[:0]
	for _, part := range [...]string{acct.Customer, tg.method, tg.scheme, tg.host, tg.uri, id} {
		b = strconv.AppendInt(b, int64(len(part)), 10) // lengths, so that no two lists of parts look the same
		b = append(b, ':')
		b = append(b, part...)
	}
	b = strconv.AppendFloat(b, c.Units, 'g', -1, 64)
	b = strconv.AppendInt(append(b, ' '), int64(c.Class), 10)
	sum := sha256.Sum256(b)
	c.key = decisioncache.Key(sum[:16])
	return true, nil
}
