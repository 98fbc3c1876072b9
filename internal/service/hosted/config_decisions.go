package hosted

import (
	"cmp"
	"time"

	"gapgap/internal/decisioncache"
	"gapgap/internal/frontend/extauthz"
)

// Defaults for [verdicts], which configures the decision cache and the tracking of admitted requests.
const (
	defaultDecisionRetention  = 10 * time.Second
	defaultMaxDecisions       = 100_000
	defaultMaxPerAccount      = 2_000
	defaultMaxRepeats         = 3
	defaultMaxTrackedInFlight = 10_000
)

// sharedConfig validates [verdicts] and returns its settings.
func (f *configFile) sharedConfig() (extauthz.SharedConfig, error) {
	table := &f.Decisions
	shared := extauthz.SharedConfig{
		MaxTrackedInFlight: cmp.Or(table.MaxTrackedInFlight, defaultMaxTrackedInFlight),
		Decisions: decisioncache.Config{
			MaxTTL:        cmp.Or(time.Duration(table.Retention), defaultDecisionRetention),
			MaxEntries:    cmp.Or(table.MaxEntries, defaultMaxDecisions),
			MaxPerAccount: cmp.Or(table.MaxPerAccount, defaultMaxPerAccount),
			MaxRepeats:    cmp.Or(table.MaxRepeats, defaultMaxRepeats),
		},
	}
	if err := shared.Decisions.Validate(); err != nil {
		return extauthz.SharedConfig{}, &extauthz.Fault{Field: "verdicts", Err: err}
	}
	if shared.MaxTrackedInFlight < 0 {
		return extauthz.SharedConfig{}, fieldErrorf("verdicts.holds", "is negative")
	}
	return shared, nil
}
