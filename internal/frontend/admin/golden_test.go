package admin

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gapgap/internal/golden"
)

// TestGoldenAnswers verifies that the answers to operators stay the same to the byte.
func TestGoldenAnswers(t *testing.T) {
	_, addr := start(t, &fakeService{})
	_, unready := start(t, &fakeService{unready: fmt.Errorf("no backend is known yet")})
	var out bytes.Buffer
	lines := []string{
		"PING", "ping", "INFO", "info\r", "DETACH s-1", "detach  s-1 ", "ATTACH s-1", "DETACH s-2", "DETACH", "ATTACH",
		"DETACH s-1 s-2", "PING x", "", "   ", "HELLO", "PI\x01NG", strings.Repeat("x", 300),
	}
	for _, line := range lines {
		fmt.Fprintf(&out, "%q: %q\n", line, roundTrip(t, addr, line+"\n", false))
	}
	fmt.Fprintf(&out, "unready, PING: %q\n", roundTrip(t, unready, "PING\n", false))
	fmt.Fprintf(&out, "no line end, PING: %q\n", roundTrip(t, addr, "PING", true))
	golden.CheckBytes(t, "testdata/golden/answers.txt", out.Bytes())
}
