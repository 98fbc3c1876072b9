package extauthz

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
)

const (
	askCost     = 3 << 10                // bytes of a check beside its headers
	answerGrace = 100 * time.Millisecond // beyond a check's time, for the core's own last answer
)

// Front answers checks on one listener.
type Front struct {
	env     *proxy.Env
	s       *Shared
	cfg     Config
	log     *slog.Logger
	ln      net.Listener
	tls     *tls.Config
	srv     *http.Server
	drained chan struct{} // closed when a shutdown is complete; nil: none has begun
}

// New makes a front on a listener, which it closes. With a TLS configuration it speaks TLS, else plain HTTP/1.1 and
// HTTP/2 (with prior knowledge, RFC 9113, 3.3). The Config must have passed its Check.
func New(s *Shared, cfg Config, ln net.Listener, tlsConfig *tls.Config, log *slog.Logger) *Front {
	fr := &Front{env: s.env, s: s, cfg: cfg, log: log.With("listener", cfg.Name), ln: ln, tls: tlsConfig}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	fr.srv = &http.Server{Handler: fr, TLSConfig: tlsConfig, Protocols: protocols,
		MaxHeaderBytes: cfg.MaxHeaderBytes, // times are the connections' own, see conn.late
		HTTP2:          &http.HTTP2Config{MaxConcurrentStreams: cfg.MaxStreams},
		ErrorLog:       slog.NewLogLogger(fr.log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, own(nc))
		}}
	return fr
}

type connKey struct{}

// own finds our connection under net/http's.
func own(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// Addr is where the front listens.
func (fr *Front) Addr() net.Addr { return fr.ln.Addr() }

// Serve implements [proxy.Front].
func (fr *Front) Serve() {
	l := &listener{Listener: fr.ln, fr: fr}
	if fr.tls != nil {
		go fr.srv.ServeTLS(l, "", "")
		return
	}
	l.full = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	go fr.srv.Serve(l)
}

// endLate ends the connections whose time is over.
func (fr *Front) endLate() {
	now := fr.env.Now()
	for _, c := range resourcelimit.ConnectionsOf[*conn](fr.env.Conns) {
		if c.fr == fr && c.late(now) {
			c.Close()
		}
	}
}

// CloseListeners implements [proxy.Front].
func (fr *Front) CloseListeners() { fr.ln.Close() }

// Drain implements [proxy.Front]: connections between two checks are closed, the others with their last answer.
func (fr *Front) Drain() bool {
	if fr.drained == nil {
		fr.drained = make(chan struct{})
		go func() {
			defer close(fr.drained)
			fr.srv.Shutdown(context.Background())
		}()
	}
	for _, c := range resourcelimit.ConnectionsOf[*conn](fr.env.Conns) {
		if c.fr == fr {
			c.CloseWhenIdle() // those on which nothing whole was asked: net/http would wait for them
		}
	}
	select {
	case <-fr.drained:
		return true
	default:
		return false
	}
}

// Close ends everything at once.
func (fr *Front) Close() { fr.srv.Close() }

// mayAsk says whether a request comes from a proxy that is listed.
func (fr *Front) mayAsk(c *conn, r *http.Request) bool {
	if c.trusted {
		return true
	}
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return false
	}
	cert := r.TLS.VerifiedChains[0][0]
	for _, name := range fr.cfg.TrustedCertificates {
		if cert.Subject.CommonName == name || slices.Contains(cert.DNSNames, name) {
			return true
		}
	}
	return false
}

// ServeHTTP implements [http.Handler].
func (fr *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		http.Error(w, "no connection", http.StatusInternalServerError)
		return
	}
	came := c.handled(r.ProtoMajor > 1)
	defer c.open.Add(-1)
	if c.leave.Load() {
		w.Header().Set("Connection", "close")
	}
	rt, target := fr.route(r)
	a := answer{w: w, fr: fr, rt: rt}
	if !fr.mayAsk(c, r) {
		fr.s.Figures.Untrusted.Add(1)
		a.problem(http.StatusForbidden, "untrusted", "This address is not one that may ask.")
		return
	}
	cost, n := askCost+2*came, len(r.Header)
	if r.ProtoMajor > 1 || n > fr.cfg.MaxHeaders/2 { // compressed, or there may be too many
		cost, n = weigh(r.Header)
	}
	if n > fr.cfg.MaxHeaders {
		fr.s.Figures.TooLarge.Add(1)
		a.problem(http.StatusRequestHeaderFieldsTooLarge, "headers", "There are more header fields than are read here.")
		return
	}
	if !fr.env.Memory.TryReserve(cost) {
		fr.s.Figures.NoRoom.Add(1)
		a.undecided("memory")
		return
	}
	held := &charge{fr.env.Memory, cost}
	defer held.end()
	a.held = held
	if code, why := fr.discard(w, r); code != 0 {
		fr.s.Figures.TooLarge.Add(1)
		w.Header().Set("Connection", "close")
		a.problem(code, "body", why)
		return
	}
	if fr.cfg.EndPath != "" && r.URL.Path == fr.cfg.EndPath {
		fr.end(a, r)
		return
	}
	if rt == nil {
		fr.s.Figures.Bad.Add(1)
		a.problem(http.StatusNotFound, "path", "No check is asked at this path.")
		return
	}
	fr.check(a, c, r, target)
}

// charge is what a check costs in bytes, and who bears it: the process until its pool is known.
type charge struct {
	mem  *resourcelimit.Bytes
	cost int64
}

// move lets a pool's part bear it, if that has room; nil: the process goes on bearing it.
func (c *charge) move(to *resourcelimit.Bytes) bool {
	if to == nil || to == c.mem {
		return true
	}
	if !to.TryReserve(c.cost) {
		return false
	}
	c.mem.Release(c.cost)
	c.mem = to
	return true
}

func (c *charge) end() { c.mem.Release(c.cost) }

// weigh sums up the bytes and the number of header fields.
func weigh(h http.Header) (cost int64, n int) {
	cost = askCost
	for k, vs := range h {
		for _, v := range vs {
			cost += int64(len(k) + len(v))
			n++
		}
	}
	return cost, n
}

// end takes an end call.
func (fr *Front) end(a answer, r *http.Request) {
	if r.Method != http.MethodPost {
		a.w.Header().Set("Allow", http.MethodPost)
		a.problem(http.StatusMethodNotAllowed, "method", "An end is told with POST.")
		return
	}
	n, ok := fr.s.number(r.URL.Query().Get("id"))
	if ok {
		ok = false
		for _, p := range *fr.s.pools.Load() { // the id does not say whose it is; end calls are few
			found := make(chan bool, 1)
			if !fr.post(p.core, func() { found <- p.end(n) }, fr.env.Now()+answerGrace) {
				continue
			}
			select {
			case ok = <-found:
			case <-p.core.Done():
			}
			if ok {
				break
			}
		}
	}
	if !ok {
		a.problem(http.StatusNotFound, "id", "No grant of that id is held.")
		return
	}
	a.w.WriteHeader(http.StatusNoContent)
}

// post hands a pool's loop a task, unless it takes none until then.
func (fr *Front) post(c *proxy.Proxy, task func(), until time.Duration) bool {
	for {
		pulse := *fr.s.pulse.Load()
		if c.PostUntil(task, pulse) {
			return true
		}
		select {
		case <-c.Done():
			return false
		default:
		}
		if fr.env.Now() >= until {
			return false
		}
	}
}

// decide asks the core. false: it gave no answer in time.
func (fr *Front) decide(c *check) (outcome, bool) {
	until := c.At + c.Timeout + answerGrace
	if !fr.post(c.p.core, c.arrive, until) {
		c.p.core.Release()
		return outcome{}, false
	}
	for {
		pulse := *fr.s.pulse.Load()
		select {
		case o := <-c.done:
			return o, true
		case <-pulse:
			if fr.env.Now() >= until {
				return outcome{}, false
			}
		case <-c.p.core.Done():
			select { // it may have been the last one answered
			case o := <-c.done:
				return o, true
			default:
				return outcome{}, false
			}
		}
	}
}
