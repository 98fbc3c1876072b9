package scenario

import (
	"time"

	"gapgap/internal/balancer"
)

// settings returns the settings of each gateway, without its index.
func (s *Script) settings() balancer.Settings {
	settings := balancer.Settings{
		Gateways:          s.Gateways,
		Resolution:        2 * time.Millisecond,
		MaxAttempts:       3,
		AllowCancel:       true,
		AllowHealthChecks: true,
		SendRetryAfter:    true,
		MaxRetryAfter:     5 * time.Second,
		DrainGrace:        drainGrace,
		OverloadMultiple:  3,
		OverloadWindow:    3 * time.Second,
		SlowStartCapacity: 0.26,
		SlowStartDuration: 15 * time.Second,
		UseCounter:        s.UseCounter,
		CounterTimeout:    50 * time.Millisecond,
		MaxRequestUnits:   1,
		LeaseCeilings:     s.LeaseCeilings,
	}
	// Operators would configure the slow start and overload limits that they know of their endpoints.
	if config := s.Endpoints[0].EndpointConfig; config.SlowStartCapacity > 0 && config.OverloadMultiple > 0 {
		settings.SlowStartCapacity = config.SlowStartCapacity
		settings.SlowStartDuration = config.SlowStartDuration
		settings.OverloadMultiple = config.OverloadMultiple
		settings.OverloadWindow = config.OverloadWindow
	}
	for _, class := range s.Classes {
		settings.Classes = append(settings.Classes, class.Class)
	}
	for _, plan := range s.Plans {
		settings.Plans = append(settings.Plans, plan.Plan)
	}
	return settings
}
