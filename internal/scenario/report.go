package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// digestBytes is the length of a trace's digest.
const digestBytes = 8

// Report is the result of a run.
type Report struct {
	Script string `json:"script"`
	Seed   uint64 `json:"seed"`
	// Driver says what kind of time was played in.
	Driver string `json:"driver"`
	// Service is that of Totals; 0 if nothing was requested.
	Service float64 `json:"service"`
	Totals  Tally   `json:"totals"`
	Seconds []Tally `json:"seconds"`
	// Breakdowns are the requests by class, by plan and by group of accounts.
	Breakdowns []Breakdown `json:"parts"`
	// Trace is what the script did, in order, each line with its time in seconds.
	Trace []string `json:"trace"`
	// Digest is that of Trace: equal digests mean the same events at the same times with the same targets. It does not
	// cover what became of the requests.
	Digest string `json:"digest"`
	// Violations are broken rules, each with what was seen; none: all rules were kept.
	Violations []string `json:"broken"`
	// Events counts those of the simulator.
	Events       int `json:"events"`
	CounterCalls int `json:"calls"`
	// Elapsed is the real time that the run took.
	Elapsed time.Duration `json:"-"`
}

// Tally counts requests with their retries, by the time of their first attempt.
type Tally struct {
	Requests int `json:"asked"`
	// InTime counts answers within the latency objective, and Late those after it.
	InTime   int `json:"served"`
	Late     int `json:"late"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
	// Lost counts requests without an answer by the client's deadline. Without a violation their gateway had died, or
	// the run ended while they were open.
	Lost int `json:"lost"`
	// RequestedWeight is the priority weight of all requests, and ServedWeight that of those in time.
	RequestedWeight float64 `json:"worth"`
	ServedWeight    float64 `json:"got"`
	// Held is the number of requests at all endpoints at the end of a second. Sums have none.
	Held int `json:"queue"`
}

// Breakdown is the tally of a part of the requests.
type Breakdown struct {
	// Kind is class, plan or accounts.
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Totals Tally  `json:"totals"`
}

// Service is the weight of what was answered within the latency objective over that of all requests; 1 if there were
// none.
func (t *Tally) Service() float64 {
	if t.RequestedWeight == 0 {
		return 1
	}
	return t.ServedWeight / t.RequestedWeight
}

// add adds another tally, except for what was held.
func (t *Tally) add(other *Tally) {
	t.Requests += other.Requests
	t.InTime += other.InTime
	t.Late += other.Late
	t.Rejected += other.Rejected
	t.Failed += other.Failed
	t.Lost += other.Lost
	t.RequestedWeight += other.RequestedWeight
	t.ServedWeight += other.ServedWeight
}

// complete fills in the totals and the digest.
func (r *Report) complete() {
	for i := range r.Seconds {
		r.Totals.add(&r.Seconds[i])
	}
	if r.Totals.RequestedWeight > 0 {
		r.Service = r.Totals.Service()
	}
	r.Digest = digest(r.Trace)
}

// digest returns a short hash of a trace.
func digest(trace []string) string {
	var text strings.Builder
	for _, line := range trace {
		text.WriteString(line + "\n")
	}
	sum := sha256.Sum256([]byte(text.String()))
	return hex.EncodeToString(sum[:digestBytes])
}
