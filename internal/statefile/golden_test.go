package statefile

import (
	"reflect"
	"testing"

	"gapgap/internal/golden"
)

// TestGoldenEnvelope holds the bytes of a state file and that recorded ones are read into an equal value.
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
		t.Errorf("read as %v, %v", got, err)
	}
}
