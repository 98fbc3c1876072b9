package statefile

import (
	"reflect"
	"testing"

	"gapgap/internal/golden"
)

// TestGoldenEnvelope verifies that a state is encoded to the recorded bytes and that these decode to an equal value.
func TestGoldenEnvelope(t *testing.T) {
	want := state{Names: []string{"backend-1", "ä", ""}}
	b, err := testFormat.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	const path = "testdata/golden/state.json"
	golden.CheckBytes(t, path, b)
	var got state
	if err := testFormat.Decode(golden.Read(t, path), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %v, %v", got, err)
	}
}
