package balancer

import (
	"cmp"
	"time"

	"gapgap/internal/balancer/ceilinglease"
	"gapgap/internal/balancer/costmodel"
)

// minMeanLatency is the lower bound, in seconds, of the assumed latency of a class without answers.
const minMeanLatency = 0.001

// applySettings applies the initial or reloaded settings. For each class, evidenceFrom holds the index of the previous
// class whose estimates it inherits, or -1. Classes beyond the end of evidenceFrom start without estimates.
func (b *Balancer) applySettings(settings Settings, evidenceFrom []int) {
	b.settings = settings
	b.applyLeaseTerms()
	former := b.latency.classes
	b.latency.classes = make([]classEstimate, len(settings.Classes))
	b.maxClassWeight = 0
	b.maxPriorityWeight = 0
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
			b.maxPriorityWeight = max(b.maxPriorityWeight, class.PriorityWeight*plan.PriorityFactor)
		}
	}
}

// applyLeaseTerms computes the terms on which the ceiling of each plan is leased, and the longest time that such a
// ceiling takes to fill.
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
		b.leaseTerms[i], _ = ceilinglease.NewTerms(plan.Rate, plan.Burst, plan.CeilingRate, plan.CeilingBurst, 1)
		fillTime := time.Duration(plan.CeilingBurst / plan.CeilingRate * float64(time.Second))
		b.longestCeilingFill = max(b.longestCeilingFill, fillTime)
	}
}

// newClassEstimate returns the initial estimates of a class without answers.
func newClassEstimate(settings *Settings, class *Class) classEstimate {
	timeLimit := cmp.Or(class.LatencyObjective, class.ClientTimeout).Seconds()
	return classEstimate{
		meanLatency: max(minMeanLatency, timeLimit*initialLatencyFraction),
		costProfile: costmodel.New(settings.MaxRequestUnits),
	}
}
