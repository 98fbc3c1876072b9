package hosted

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gapgap/internal/proxy"
)

// metrics are what a listener of the protocol "metrics" shows, in Prometheus' text format. Each process has its own
// registry. Labels are names out of the configuration only, so their number is bounded by it.
type metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.HistogramVec
	service  *Service
}

// answerBuckets are the upper bounds of the histogram's buckets in seconds, about three to each decade.
var answerBuckets = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// outcomeNames are the values of the label "verdict".
var outcomeNames = [...]string{
	proxy.Served:    "served",
	proxy.Rejected:  "refused",
	proxy.Failed:    "failed",
	proxy.TimedOut:  "overdue",
	proxy.Duplicate: "duplicate",
	proxy.Admitted:  "granted",
}

// newMetrics returns the metrics of a service, in a registry of their own.
func newMetrics(s *Service) *metrics {
	answers := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "gapgap",
		Name:      "answer_seconds",
		Buckets:   answerBuckets,
		Help:      "Time from a request's last byte to its final answer.",
	}, []string{"pool", "class", "verdict"})
	m := &metrics{
		registry: prometheus.NewRegistry(),
		answers:  answers,
		service:  s,
	}
	m.registry.MustRegister(m.answers, m)
	return m
}

// answerObserver returns what takes the answers of a pool. Its series are made now, so that a request looks nothing up.
func (m *metrics) answerObserver(
	pool string, classes []string,
) func(class int, outcome proxy.Outcome, took time.Duration) {
	series := make([][len(outcomeNames)]prometheus.Observer, len(classes))
	for i, class := range classes {
		for outcome, name := range outcomeNames {
			series[i][outcome] = m.answers.WithLabelValues(pool, class, name)
		}
	}
	return func(class int, outcome proxy.Outcome, took time.Duration) {
		series[class][outcome].Observe(took.Seconds())
	}
}

// forget removes the series of a pool that there is no longer.
func (m *metrics) forget(pool string) { m.answers.DeletePartialMatch(prometheus.Labels{"pool": pool}) }
