package policyreplica

import (
	"bytes"
	"testing"
)

// TestSplitMessageRoundTrip verifies that fragments that arrive in reverse order are joined to the original message.
func TestSplitMessageRoundTrip(t *testing.T) {
	cases := []struct {
		name      string
		size      int
		fragments int
	}{
		{"one byte more than a fragment", fragmentBytes + 1, 2},
		{"whole fragments", 3 * fragmentBytes, 3},
		{"longest that is received", maxFragments * fragmentBytes, maxFragments},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			encoded := make([]byte, c.size)
			for i := range encoded {
				encoded[i] = byte(i / 7)
			}
			fragments := splitMessage(5, encoded)
			if len(fragments) != c.fragments {
				t.Fatalf("%d fragments, want %d", len(fragments), c.fragments)
			}
			var r reassembly
			for i := len(fragments) - 1; i > 0; i-- {
				if got := r.add(&fragments[i]); got != nil {
					t.Fatalf("complete with %d fragments missing", i)
				}
			}
			if got := r.add(&fragments[0]); !bytes.Equal(got, encoded) {
				t.Errorf("%d bytes differ from the %d that were split", len(got), len(encoded))
			}
		})
	}
}

// TestReassemblyRejectsInvalidFragments verifies that a fragment with an invalid index or count leaves no state behind.
func TestReassemblyRejectsInvalidFragments(t *testing.T) {
	cases := []struct {
		name     string
		fragment fragment
	}{
		{"no fragments", fragment{MessageID: 1, Data: []byte("x")}},
		{"index beyond the count", fragment{MessageID: 1, Index: 1, Count: 1, Data: []byte("x")}},
		{"too many fragments", fragment{MessageID: 1, Count: maxFragments + 1, Data: []byte("x")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r reassembly
			if got := r.add(&c.fragment); got != nil || r.fragments != nil {
				t.Errorf("added: %q, %+v", got, r)
			}
		})
	}
}
