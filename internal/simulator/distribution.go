package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// DistributionKind is a family of service-time distributions. The values are the names used in scripts.
type DistributionKind string

// The kinds of distributions.
const (
	Exponential DistributionKind = "exponential"
	Fixed       DistributionKind = "fixed"
	Lognormal   DistributionKind = "lognormal"
)

// Distribution is a distribution of service times: the time that one core needs for a request at an endpoint that is
// warmed up and otherwise idle.
type Distribution struct {
	Kind DistributionKind
	// Mean is above 0.
	Mean time.Duration
	// CV is the coefficient of variation: the standard deviation divided by the mean. Only Lognormal uses it.
	CV float64
}

// Check returns an error if the distribution is not valid.
func (d Distribution) Check() error {
	switch {
	case d.Mean <= 0:
		return fmt.Errorf("mean %v must be above 0", d.Mean)
	case d.Kind == Lognormal && !(d.CV > 0):
		return fmt.Errorf("a lognormal distribution requires a cv above 0, got %v", d.CV)
	case d.Kind != Exponential && d.Kind != Fixed && d.Kind != Lognormal:
		return fmt.Errorf("unknown distribution %q: must be exponential, fixed or lognormal", d.Kind)
	}
	return nil
}

// Draw returns a random service time. The distribution must be valid according to Check.
func (d Distribution) Draw(rng *rand.Rand) time.Duration {
	switch d.Kind {
	case Exponential:
		return time.Duration(float64(d.Mean) * rng.ExpFloat64())
	case Lognormal:
		variance := math.Log1p(d.CV * d.CV) // of the logarithm
		return time.Duration(float64(d.Mean) * math.Exp(math.Sqrt(variance)*rng.NormFloat64()-variance/2))
	}
	return d.Mean
}
