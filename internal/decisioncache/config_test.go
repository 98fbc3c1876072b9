package decisioncache

import (
	"errors"
	"testing"
)

func TestForwardAuthBoundsAreChecked(t *testing.T) {
	for _, bad := range []Config{
		{},
		{Keep: 1, Most: 1, PerAccount: 1},
		{Keep: 1, Most: 1, Repeats: 1},
		{Keep: 1, PerAccount: 2, Most: 1, Repeats: 1},
		{Most: 1, PerAccount: 1, Repeats: 1},
	} {
		_, err := NewCache[int, int](bad)
		var configError *ConfigError
		if !errors.As(err, &configError) {
			t.Errorf("%+v is accepted: %v", bad, err)
		}
	}
}
