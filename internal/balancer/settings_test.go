package balancer

import (
	"testing"
)

// invalidSettingsCases are changes that make the test settings invalid.
var invalidSettingsCases = []struct {
	name   string
	change func(*Settings)
}{
	{"no gateways", func(s *Settings) { s.Gateways = 0 }},
	{"no classes", func(s *Settings) { s.Classes = nil }},
	{"no plans", func(s *Settings) { s.Plans = nil }},
	{"no attempts", func(s *Settings) { s.MaxAttempts = 0 }},
	{"negative rate", func(s *Settings) { s.Plans[0].Rate = -1 }},
	{"negative latency objective", func(s *Settings) { s.Classes[0].LatencyObjective = -1 }},
	{"negative overload window", func(s *Settings) { s.OverloadWindow = -1 }},
}

// Validate and New accept the test settings and reject invalid ones.
func TestValidate(t *testing.T) {
	settings := testSettings()
	if err := settings.Validate(); err != nil {
		t.Fatal(err)
	}
	if _, err := New(settings, 1); err != nil {
		t.Fatal(err)
	}
	for _, c := range invalidSettingsCases {
		t.Run(c.name, func(t *testing.T) {
			invalid := testSettings()
			c.change(&invalid)
			if invalid.Validate() == nil {
				t.Error("Validate returns no error")
			}
			if _, err := New(invalid, 1); err == nil {
				t.Error("New returns no error")
			}
		})
	}
}
