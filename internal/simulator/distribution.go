package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// DistributionKind is a family of distributions of service times. Scripts use the same words.
type DistributionKind string

// The kinds of distributions.
const (
	Exponential DistributionKind = "exponential"
	Fixed       DistributionKind = "fixed"
	Lognormal   DistributionKind = "lognormal"
)

// Distribution is a distribution of service times: the time that one core needs at an endpoint that is warm and does
// nothing else.
type Distribution struct {
	Kind DistributionKind
	// Mean is above 0.
	Mean time.Duration
	// CV is the coefficient of variation, the standard deviation over the mean. Only Lognormal uses it.
	CV float64
}

// Check returns what is wrong with a distribution; nil: nothing.
func (d Distribution) Check() error {
	switch {
	case d.Mean <= 0:
		return fmt.Errorf("the mean %v is not above 0", d.Mean)
	case d.Kind == Lognormal && !(d.CV > 0):
		return fmt.Errorf("a lognormal work wants a cv above 0, not %v", d.CV)
	case d.Kind != Exponential && d.Kind != Fixed && d.Kind != Lognormal:
		return fmt.Errorf("%q is not exponential, fixed or lognormal", d.Kind)
	}
	return nil
}

// Draw draws one service time of a distribution that Check accepts.
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
