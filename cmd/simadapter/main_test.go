package main

import (
	"io"
	"strings"
	"testing"
)

// TestRun verifies that batches are answered in order, that an accepted request is dispatched, and that items of an
// unknown instance, unknown items and invalid settings are errors.
func TestRun(t *testing.T) {
	start := "PROVISION door/1 5 peers-total=1 limits.max-attempts=1 classes.count=1 classes.0.target-us=500000 " +
		"classes.0.worth=1 tiers-of-service.count=1\n"
	var out strings.Builder
	err := run(strings.NewReader("CLOCK 1 1\nEOF_BATCH\nCLOCK 2 2\n"+start+"CENSUS 0 1\n"+
		"BACKEND a:1 0 0 0 in_service 1\nVIEW door/1 cached 1 0\n"+
		"ACCEPT door/1 9 0 0 u:a 2000000\nSTOP door/1\nEOF_BATCH\n"), &out)
	if err != nil || !strings.HasPrefix(out.String(), "YIELD 1\n") || !strings.HasSuffix(out.String(), "\nYIELD 2\n") {
		t.Fatalf("%v, %q", err, out.String())
	}
	if !strings.Contains(out.String(), "HAND_OFF door/1 9 ") {
		t.Errorf("the request was not dispatched: %q", out.String())
	}
	for _, bad := range []string{"REMINDER door/2 1", "WHAT door/1", "PROVISION door/1 5 peers-total=0"} {
		if err := run(strings.NewReader("CLOCK 1 1\n"+bad+"\nEOF_BATCH\n"), io.Discard); err == nil {
			t.Errorf("%q: no error", bad)
		}
	}
}
