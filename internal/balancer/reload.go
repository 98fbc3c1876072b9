package balancer

import (
	"cmp"
	"time"

	"gapgap/internal/balancer/ceilinglease"
	"gapgap/internal/balancer/costmodel"
)

// applySettings takes settings, at the start or later. Evidence is kept by class and goes on as told.
func (b *Balancer) applySettings(settings Settings, from []int) {
	b.settings, b.longestCeilingFill, b.maxClassWeight, b.maxPriority = settings, 0, 0, 0
	b.leaseTerms = make([]ceilinglease.Terms, len(settings.Plans))
	for i, plan := range settings.Plans {
		if settings.LeaseCeilings && settings.UseCounter && plan.CeilingRate > 0 {
			b.leaseTerms[i], _ = ceilinglease.TermsOf(plan.Rate, plan.Burst, plan.CeilingRate, plan.CeilingBurst, 1)
			b.longestCeilingFill = max(
				b.longestCeilingFill,
				time.Duration(plan.CeilingBurst/plan.CeilingRate*float64(time.Second)),
			)
		}
	}
	old := b.latency.classes
	b.latency.classes = make([]classEstimate, len(settings.Classes))
	for i, c := range settings.Classes {
		if i < len(from) && from[i] >= 0 && from[i] < len(old) {
			b.latency.classes[i] = old[from[i]]
		} else {
			b.latency.classes[i] = classEstimate{
				meanLatency: max(0.001, cmp.Or(c.LatencyObjective, c.ClientTimeout).Seconds()*initialLatencyFraction),
				costProfile: costmodel.New(settings.MaxRequestUnits),
			}
		}
		if c.Removed {
			continue
		}
		b.maxClassWeight = max(b.maxClassWeight, c.PriorityWeight)
		for _, plan := range settings.Plans {
			b.maxPriority = max(b.maxPriority, c.PriorityWeight*plan.PriorityFactor)
		}
	}
}
