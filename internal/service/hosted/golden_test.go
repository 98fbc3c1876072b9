package hosted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"gapgap/internal/golden"
	"gapgap/internal/policy"
	"gapgap/internal/recovery"
)

// TestGoldenMetrics verifies that names, help texts and labels of metrics, which operators' dashboards depend on, do
// not change.
func TestGoldenMetrics(t *testing.T) {
	descs := make(chan *prometheus.Desc, 100)
	(&metrics{answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "gapgap", Name: "answer_seconds", Buckets: answerBuckets,
	}, []string{"pool"})}).Describe(descs)
	close(descs)
	var out bytes.Buffer
	for desc := range descs {
		fmt.Fprintln(&out, desc)
	}
	fmt.Fprintln(&out, answerBuckets)
	golden.CheckBytes(t, "testdata/golden/metrics.txt", out.Bytes())
}

// TestGoldenViews verifies that the JSON which gapgapctl reads from a process does not change.
func TestGoldenViews(t *testing.T) {
	version := policy.Version{Number: 7, Hash: policy.Hash{1, 2, 3}}
	change := &policy.Change{
		ID:         "c",
		Base:       6,
		Hash:       policy.Hash{4},
		Bytes:      10,
		Mode:       1,
		Author:     "w",
		Note:       "n",
		ProposedAt: 5,
		Source:     2,
		Initial:    true,
	}
	views := []any{
		PolicyStatus{
			Name:         "a",
			Version:      version,
			Decides:      true,
			Current:      &version,
			Mode:         "wait",
			Leader:       "b",
			Pending:      change,
			WaitingFor:   "x",
			Participants: []string{"a", "b"},
		},
		PolicyStatus{},
		PolicyResult{ID: "c", Known: true, Committed: true, Version: 7, Reason: "r", WaitingFor: "w"},
		RecoveryView{Name: "a", Open: true, Steps: []recovery.StepView{{}}, Trusted: []string{"bans"}},
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, view := range views {
		if err := encoder.Encode(view); err != nil {
			t.Fatal(err)
		}
	}
	golden.CheckBytes(t, "testdata/golden/views.jsonl", out.Bytes())
}
