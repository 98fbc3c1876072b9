package balancer

import (
	"errors"
	"testing"
)

// invalidSettingsCases are changes that make the settings invalid.
var invalidSettingsCases = []struct {
	name       string
	invalidate func(*Settings)
}{
	{"no gateway", func(s *Settings) { s.Gateways = 0 }},
	{"no class", func(s *Settings) { s.Classes = nil }},
	{"no plan", func(s *Settings) { s.Plans = nil }},
	{"no attempt", func(s *Settings) { s.MaxAttempts = 0 }},
	{"negative rate", func(s *Settings) { s.Plans[0].Rate = -1 }},
	{"negative latency objective", func(s *Settings) { s.Classes[0].LatencyObjective = -1 }},
	{"negative overload window", func(s *Settings) { s.OverloadWindow = -1 }},
}

// TestNewRejectsInvalidSettings verifies that New returns ErrInvalidSettings for invalid settings.
func TestNewRejectsInvalidSettings(t *testing.T) {
	for _, c := range invalidSettingsCases {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			c.invalidate(&settings)
			if _, err := New(settings, 1); !errors.Is(err, ErrInvalidSettings) {
				t.Errorf("got error %v, want ErrInvalidSettings", err)
			}
		})
	}
}

// TestValidate verifies that Validate accepts valid settings and returns ErrInvalidSettings for invalid ones.
func TestValidate(t *testing.T) {
	settings := testSettings()
	if err := settings.Validate(); err != nil {
		t.Fatal(err)
	}
	for _, c := range invalidSettingsCases {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			c.invalidate(&settings)
			if err := settings.Validate(); !errors.Is(err, ErrInvalidSettings) {
				t.Errorf("got error %v, want ErrInvalidSettings", err)
			}
		})
	}
}
