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

// overloadResponse is sent on connections without TLS that exceed the connection limit.
const overloadResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Retry-After: 1\r\n" +
	"Content-Length: 0\r\n" +
	"Connection: close\r\n\r\n"

// Frontend answers checks on one listener. It must be made by New.
type Frontend struct {
	env      *proxy.Env
	shared   *Shared
	config   Config
	log      *slog.Logger
	listener net.Listener
	// tls is nil for a listener without TLS.
	tls    *tls.Config
	server *http.Server
	// drained is closed once the shutdown is complete. It is nil until Drain is called.
	drained chan struct{}
}

var _ proxy.Frontend = (*Frontend)(nil)

// New returns a frontend on a listener, which it closes. With a TLS configuration it serves HTTP/1.1 and HTTP/2 over
// TLS; without one, HTTP/1.1 and HTTP/2 with prior knowledge over TCP (RFC 9113, section 3.3). config.Check must have
// returned nil.
func New(shared *Shared, config Config, ln net.Listener, tlsConfig *tls.Config, log *slog.Logger) *Frontend {
	f := &Frontend{
		env:      shared.env,
		shared:   shared,
		config:   config,
		log:      log.With("listener", config.Name),
		listener: ln,
		tls:      tlsConfig,
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	f.server = &http.Server{
		Handler:   f,
		TLSConfig: tlsConfig,
		Protocols: protocols,
		// The server has no timeouts of its own: see conn.isOverdue.
		MaxHeaderBytes: config.MaxHeaderBytes,
		HTTP2:          &http.HTTP2Config{MaxConcurrentStreams: config.MaxStreams},
		ErrorLog:       slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, netConn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, unwrapConn(netConn))
		},
	}
	return f
}

// Addr returns the address of the listener.
func (f *Frontend) Addr() net.Addr {
	return f.listener.Addr()
}

// Serve implements [proxy.Frontend].
func (f *Frontend) Serve() {
	// Serving ends only when the listener is closed: listener.Accept handles all other errors.
	if f.tls != nil {
		l := &listener{Listener: f.listener, front: f}
		go func() { _ = f.server.ServeTLS(l, "", "") }()
		return
	}
	l := &listener{
		Listener:         f.listener,
		front:            f,
		overloadResponse: []byte(overloadResponse),
	}
	go func() { _ = f.server.Serve(l) }()
}

// CloseListeners implements [proxy.Frontend].
func (f *Frontend) CloseListeners() {
	_ = f.listener.Close() // fails only if it is already closed
}

// Drain implements [proxy.Frontend]. Idle connections are closed at once, others with their next answer. Answers are
// short, so none counts as a transfer.
func (f *Frontend) Drain() proxy.DrainStatus {
	if f.drained == nil {
		f.drained = make(chan struct{})
		go func() {
			defer close(f.drained)
			_ = f.server.Shutdown(context.Background()) // its error is that of closing the listener
		}()
	}
	// Shutdown would also wait for connections that have not sent a complete request.
	for _, c := range f.connections() {
		c.CloseWhenIdle()
	}
	select {
	case <-f.drained:
		return proxy.Drained
	default:
		return proxy.AwaitingAnswers
	}
}

// Close closes the listener and all connections at once.
func (f *Frontend) Close() {
	_ = f.server.Close() // its error is that of closing the listener
}

// closeOverdue closes the connections that have exceeded a timeout.
func (f *Frontend) closeOverdue() {
	for _, c := range f.connections() {
		c.closeIfOverdue()
	}
}

// connections returns the open connections of this listener.
func (f *Frontend) connections() []*conn {
	all := resourcelimit.ConnectionsOf[*conn](f.env.Conns)
	return slices.DeleteFunc(all, func(c *conn) bool { return c.front != f })
}

// post queues a task for the event loop of a pool. It returns false if the loop has ended, or if its queue is full
// until the deadline, which is on the loop's clock.
func (f *Frontend) post(p *proxy.Proxy, task func(), deadline time.Duration) bool {
	for {
		if p.PostUntil(task, f.shared.nextTick()) {
			return true
		}
		select {
		case <-p.Done():
			return false
		default:
		}
		if f.env.Now() >= deadline {
			return false
		}
	}
}
