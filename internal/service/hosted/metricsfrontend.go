package hosted

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gapgap/internal/proxy"
)

const (
	// metricsTimeout bounds each request for metrics.
	metricsTimeout = 5 * time.Second
	// metricsWriteTimeout is longer, so that a request that times out still gets an error response.
	metricsWriteTimeout = 2 * metricsTimeout
	// maxScrapes bounds the number of concurrent requests.
	maxScrapes = 4
	// maxMetricsHeaderBytes bounds a request's header.
	maxMetricsHeaderBytes = 8 << 10
)

// metricsFrontend serves the metrics. It sends no requests to pools.
type metricsFrontend struct {
	listener net.Listener
	server   *http.Server
}

var _ proxy.Frontend = (*metricsFrontend)(nil)

// newMetricsFrontend returns a frontend that serves GET /metrics on a listener.
func newMetricsFrontend(m *metrics, listener net.Listener) *metricsFrontend {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxScrapes,
		Timeout:             metricsTimeout,
	}))
	return &metricsFrontend{
		listener: listener,
		server: &http.Server{
			Handler:        mux,
			ReadTimeout:    metricsTimeout,
			WriteTimeout:   metricsWriteTimeout,
			IdleTimeout:    metricsTimeout,
			MaxHeaderBytes: maxMetricsHeaderBytes,
		},
	}
}

// Serve implements [proxy.Frontend].
func (f *metricsFrontend) Serve() {
	go func() {
		_ = f.server.Serve(f.listener) // returns after Drain
	}()
}

// CloseListeners implements [proxy.Frontend].
func (f *metricsFrontend) CloseListeners() {
	_ = f.listener.Close() // may be closed already
}

// Drain implements [proxy.Frontend]. It closes all connections at once, since no client request waits on them.
func (f *metricsFrontend) Drain() proxy.DrainStatus {
	_ = f.server.Close() // no data can be lost
	return proxy.Drained
}
