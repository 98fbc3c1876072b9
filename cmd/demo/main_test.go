package main

import (
	"context"
	"fmt"
	"strings"
	"testing"
)

// The main job runs on a new machine: a front door with both fronts and stand-ins serves a check and a request.
func TestForwardAuthTryout(t *testing.T) {
	var out strings.Builder
	if err := run(context.Background(), "127.0.0.1:0", "127.0.0.1:0", 1, true, &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "curl -i") || !strings.Contains(out.String(), `answered 200, the request "$`) {
		t.Error(out.String())
	}
	if err := run(context.Background(), "127.0.0.1:0", "nowhere", 1, true, &out); err == nil {
		t.Error("a bad address is no error")
	}
}

// Three doors that know each other, one of which leaves: from the third second on the others have its part.
func TestMembersTryout(t *testing.T) {
	var out strings.Builder
	if err := run(context.Background(), "", "", 3, true, &out); err != nil {
		t.Fatal(err)
	}
	sum, seconds := 0, 0
	for _, l := range strings.Split(out.String(), "\n") {
		var a, b, c int
		if i := strings.Index(l, "["); strings.HasPrefix(l, "n2 has left") {
			if _, err := fmt.Sscanf(l[i:], "[%d %d %d]", &a, &b, &c); err != nil || c > 0 && seconds > 0 {
				t.Errorf("%q: %v", l, err)
			}
			if seconds++; seconds > 2 {
				sum += a + b
			}
		}
	}
	if seconds != 6 || sum < 28 || sum > 48 { // 10 a second in four seconds
		t.Errorf("%d let through in the last four of %d seconds:\n%s", sum, seconds, out.String())
	}
}
