package decisioncache

import (
	"errors"
	"testing"
)

// TestForwardAuthBoundsAreChecked verifies that invalid limits are rejected.
func TestForwardAuthBoundsAreChecked(t *testing.T) {
	for _, bad := range []Config{
		{},
		{MaxTTL: 1, MaxEntries: 1, MaxPerAccount: 1},
		{MaxTTL: 1, MaxEntries: 1, MaxRepeats: 1},
		{MaxTTL: 1, MaxPerAccount: 2, MaxEntries: 1, MaxRepeats: 1},
		{MaxEntries: 1, MaxPerAccount: 1, MaxRepeats: 1},
	} {
		_, err := NewCache[int, int](bad)
		var configError *ConfigError
		if !errors.As(err, &configError) {
			t.Errorf("%+v is accepted: %v", bad, err)
		}
	}
}
