package hosted

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gapgap/internal/proxy"
)

// metrics has the metrics that a listener of the protocol "metrics" serves in the Prometheus text format. Each service
// has its own registry. Label values come only from the configuration, which bounds the number of time series.
type metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.HistogramVec
	service  *Service
}

// answerBuckets has the upper bounds of the histogram's buckets in seconds, about three per decade.
var answerBuckets = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// outcomeNames has the values of the label "verdict".
var outcomeNames = [...]string{
	proxy.Served:    "served",
	proxy.Rejected:  "refused",
	proxy.Failed:    "failed",
	proxy.TimedOut:  "overdue",
	proxy.Duplicate: "duplicate",
	proxy.Admitted:  "granted",
}

// newMetrics returns the metrics of a service in a new registry.
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

// answerObserver returns a function that records the answers of a pool. It creates the time series in advance, so that
// no request has to look one up.
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

// deletePool deletes the time series of a removed pool.
func (m *metrics) deletePool(pool string) {
	m.answers.DeletePartialMatch(prometheus.Labels{"pool": pool})
}
