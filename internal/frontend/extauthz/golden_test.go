package extauthz

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/golden"
)

// TestGoldenAnswers verifies that the form of header values and problem bodies in answers does not change.
func TestGoldenAnswers(t *testing.T) {
	var out bytes.Buffer
	pauses := []time.Duration{
		0, 1, time.Millisecond, 999 * time.Millisecond, 1001 * time.Millisecond, time.Minute,
	}
	for _, pause := range pauses {
		header := http.Header{}
		setRetryAfter(header, pause)
		fmt.Fprintln(&out, pause, header)
	}
	plans := []balancer.Plan{{Rate: 5, Burst: 20}, {}, {Rate: 100, Burst: 10}}
	fmt.Fprintln(&out, Policies([]string{"a", "b", "c"}, plans))
	body, err := json.Marshal(problemDetails{
		Type:   "urn:gapgap:over-quota",
		Title:  "Too Many Requests",
		Status: 429,
		Detail: "d",
	})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "%s\n", body)
	fmt.Fprintln(&out, HeaderAccount, HeaderPlan, HeaderRetryAfterMS)
	golden.CheckBytes(t, "testdata/golden/answers.txt", out.Bytes())
}
