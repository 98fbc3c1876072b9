package balancer

import (
	"cmp"
	"time"

	"gapgap/internal/balancer/ceilinglease"
	"gapgap/internal/balancer/costmodel"
)

// minMeanLatency is the least latency that is assumed of a class without answers, in seconds.
const minMeanLatency = 0.001

// applySettings takes settings, at the start or later. evidenceFrom gives for each class the index of the former class
// whose estimates it goes on with, or -1; a class beyond its end starts anew.
func (b *Balancer) applySettings(settings Settings, evidenceFrom []int) {
	b.settings = settings
	b.applyLeaseTerms()
	former := b.latency.classes
	b.latency.classes = make([]classEstimate, len(settings.Classes))
	b.maxClassWeight = 0
	b.maxPriority = 0
	for i, class := range settings.Classes {
		if i < len(evidenceFrom) && evidenceFrom[i] >= 0 && evidenceFrom[i] < len(former) {
			b.latency.classes[i] = former[evidenceFrom[i]]
		} else {
			b.latency.classes[i] = newClassEstimate(&settings, &class)
		}
		if class.Removed {
			continue
		}
		b.maxClassWeight = max(b.maxClassWeight, class.PriorityWeight)
		for _, plan := range settings.Plans {
			b.maxPriority = max(b.maxPriority, class.PriorityWeight*plan.PriorityFactor)
		}
	}
}

// applyLeaseTerms finds the terms on which each plan's ceiling is leased, and the longest time in which such a ceiling
// fills.
func (b *Balancer) applyLeaseTerms() {
	b.longestCeilingFill = 0
	b.leaseTerms = make([]ceilinglease.Terms, len(b.settings.Plans))
	if !b.settings.LeaseCeilings || !b.settings.UseCounter {
		return
	}
	for i, plan := range b.settings.Plans {
		if plan.CeilingRate <= 0 {
			continue
		}
		b.leaseTerms[i], _ = ceilinglease.TermsOf(plan.Rate, plan.Burst, plan.CeilingRate, plan.CeilingBurst, 1)
		fillTime := time.Duration(plan.CeilingBurst / plan.CeilingRate * float64(time.Second))
		b.longestCeilingFill = max(b.longestCeilingFill, fillTime)
	}
}

// newClassEstimate makes the estimates of a class that has no answers yet.
func newClassEstimate(settings *Settings, class *Class) classEstimate {
	timeLimit := cmp.Or(class.LatencyObjective, class.ClientTimeout).Seconds()
	return classEstimate{
		meanLatency: max(minMeanLatency, timeLimit*initialLatencyFraction),
		costProfile: costmodel.New(settings.MaxRequestUnits),
	}
}
