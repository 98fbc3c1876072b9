package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// digestBytes is the length of the digest of a trace, in bytes.
const digestBytes = 8

// Report is the result of a run.
type Report struct {
	Script string `json:"script"`
	Seed   uint64 `json:"seed"`
	// Driver names the kind of time of the run.
	Driver string `json:"driver"`
	// Service is [Tally.Service] of Totals, but 0 if there were no requests.
	Service float64 `json:"service"`
	Totals  Tally   `json:"totals"`
	Seconds []Tally `json:"seconds"`
	// Breakdowns are the requests by class, by plan and by group of accounts.
	Breakdowns []Breakdown `json:"parts"`
	// Trace lists the events of the script in order. Each line begins with the time in seconds.
	Trace []string `json:"trace"`
	// Digest is a hash of Trace: equal digests mean the same events at the same times with the same targets. It does
	// not cover the outcomes of requests.
	Digest string `json:"digest"`
	// Violations are the rule violations, each with its details: none if all rules were kept, at most maxViolations.
	Violations []string `json:"broken"`
	// Events counts the events processed by the simulator.
	Events       int `json:"events"`
	CounterCalls int `json:"calls"`
	// Elapsed is the wall-clock time of the run.
	Elapsed time.Duration `json:"-"`
}

// Tally counts requests by outcome. Retries belong to their request, which counts in the second in which it was first
// sent.
type Tally struct {
	Requests int `json:"asked"`
	// InTime counts answers within the latency objective, Late answers after it.
	InTime   int `json:"served"`
	Late     int `json:"late"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
	// Lost counts requests without an answer by the client's deadline. Unless a violation was reported, their gateway
	// was killed or the run ended while they were open.
	Lost int `json:"lost"`
	// RequestedWeight is the sum of the priority weights of all requests, ServedWeight that of the requests in time.
	RequestedWeight float64 `json:"worth"`
	ServedWeight    float64 `json:"got"`
	// Held is the number of requests held by all endpoints at the end of the second. It is 0 in sums.
	Held int `json:"queue"`
}

// Breakdown is the tally of one class, plan or group of accounts.
type Breakdown struct {
	// Kind is class, plan or accounts.
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Totals Tally  `json:"totals"`
}

// Service returns the weight of the requests answered within the latency objective as a fraction of the weight of all
// requests; 1 if there were none.
func (t *Tally) Service() float64 {
	if t.RequestedWeight == 0 {
		return 1
	}
	return t.ServedWeight / t.RequestedWeight
}

// add adds another tally, except for Held.
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

// digest returns a truncated SHA-256 of a trace, in hexadecimal.
func digest(trace []string) string {
	var text strings.Builder
	for _, line := range trace {
		text.WriteString(line + "\n")
	}
	sum := sha256.Sum256([]byte(text.String()))
	return hex.EncodeToString(sum[:digestBytes])
}
