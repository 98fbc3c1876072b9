package balancer

import (
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"doors": func(s *Settings) { s.Gateways = 0 }, "classes": func(s *Settings) { s.Classes = nil },
		"plans": func(s *Settings) { s.Plans = nil }, "attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"rate": func(s *Settings) { s.Plans[0].Rate = -1 }, "aim": func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"window": func(s *Settings) { s.OverloadWindow = -1 },
	} {
		settings := testSettings()
		if spoil(&settings); true {
			if _, err := New(settings, 1); err == nil {
				t.Errorf("%s: no error", name)
			}
		}
	}
}

func TestValidate(t *testing.T) {
	settings := testSettings()
	if err := settings.Validate(); err != nil {
		t.Fatal(err)
	}
	for i, spoil := range []func(*Settings){
		func(s *Settings) { s.Gateways = 0 }, func(s *Settings) { s.Classes = nil }, func(s *Settings) { s.Plans = nil },
		func(s *Settings) { s.MaxAttempts = 0 }, func(s *Settings) { s.OverloadWindow = -1 },
	} {
		bad := testSettings()
		spoil(&bad)
		if bad.Validate() == nil {
			t.Errorf("%d passes", i)
		}
	}
}
