package main

import (
	"context"
	"strings"
	"testing"
)

// The main job runs on a new machine: a front door with both fronts and stand-ins serves a check and a request.
func TestForwardAuthTryout(t *testing.T) {
	var out strings.Builder
	if err := run(context.Background(), "127.0.0.1:0", "127.0.0.1:0", true, &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "curl -i") || !strings.Contains(out.String(), `answered 200, the request "$`) {
		t.Error(out.String())
	}
	if err := run(context.Background(), "127.0.0.1:0", "nowhere", true, &out); err == nil {
		t.Error("a bad address is no error")
	}
}
