package main

import (
	"context"
	"fmt"
	"strings"
	"testing"
)

// TestSingleGatewayServesBothProtocols verifies that a gateway with both frontends and fakes serves a check and a
// request without further setup, and that an invalid address is an error.
func TestSingleGatewayServesBothProtocols(t *testing.T) {
	var out strings.Builder
	opts := options{resp2Address: "127.0.0.1:0", checkAddress: "127.0.0.1:0", gateways: 1, once: true}
	if err := run(context.Background(), opts, &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "curl -i") ||
		!strings.Contains(out.String(), `answered 200, the request "$`) {
		t.Error(out.String())
	}
	opts.checkAddress = "nowhere"
	if err := run(context.Background(), opts, &out); err == nil {
		t.Error("an invalid address gave no error")
	}
}

// TestFleetTakesOverShareOfGatewayThatLeft verifies that when one of three gateways leaves, the others have its quota
// share from the third second on.
func TestFleetTakesOverShareOfGatewayThatLeft(t *testing.T) {
	var out strings.Builder
	if err := run(context.Background(), options{gateways: 3, once: true}, &out); err != nil {
		t.Fatal(err)
	}
	sum, seconds := 0, 0
	for _, line := range strings.Split(out.String(), "\n") {
		if !strings.HasPrefix(line, "n2 has left") {
			continue
		}
		var first, second, left int
		_, err := fmt.Sscanf(line[strings.Index(line, "["):], "[%d %d %d]", &first, &second, &left)
		if err != nil || left > 0 && seconds > 0 {
			t.Errorf("%q: %v", line, err)
		}
		if seconds++; seconds > 2 {
			sum += first + second
		}
	}
	if seconds != 6 || sum < 28 || sum > 48 { // 10 per second in four seconds
		t.Errorf("%d admitted in the last four of %d seconds:\n%s", sum, seconds, out.String())
	}
}
