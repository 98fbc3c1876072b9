package hosted

import (
	"cmp"
	"time"

	"gapgap/internal/decisioncache"
	"gapgap/internal/frontend/extauthz"
)

// Defaults of [verdicts].
const (
	defaultDecisionRetention = 10 * time.Second
	defaultMaxDecisions      = 100_000
	defaultMaxPerAccount     = 2_000
	defaultMaxRepeats        = 3
	defaultMaxReservations   = 10_000
)

// sharedConfig checks [verdicts].
func (f *configFile) sharedConfig() (extauthz.SharedConfig, error) {
	table := &f.Decisions
	shared := extauthz.SharedConfig{
		MostHolds: cmp.Or(table.MaxReservations, defaultMaxReservations),
		Memory: decisioncache.Config{
			Keep:       cmp.Or(time.Duration(table.Retention), defaultDecisionRetention),
			Most:       cmp.Or(table.MaxEntries, defaultMaxDecisions),
			PerAccount: cmp.Or(table.MaxPerAccount, defaultMaxPerAccount),
			Repeats:    cmp.Or(table.MaxRepeats, defaultMaxRepeats),
		},
	}
	if err := shared.Memory.Validate(); err != nil {
		return extauthz.SharedConfig{}, &extauthz.Fault{Field: "verdicts", Err: err}
	}
	if shared.MostHolds < 0 {
		return extauthz.SharedConfig{}, fieldErrorf("verdicts.holds", "is negative")
	}
	return shared, nil
}
