package balancer

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// childProcessVariable is the environment variable that makes the test binary run the case in a child process, because
// a stack overflow cannot be recovered.
const childProcessVariable = "GAPGAP_TEST_LOAN_ENDS_DURING_HANDOVER"

// TestLoanEndsDuringAbortedHandover verifies that a gateway decides its next request after an aborted handover. The
// gateway hands its state over, a borrowed loan ends in the meantime, and the gateway takes the state back.
func TestLoanEndsDuringAbortedHandover(t *testing.T) {
	if os.Getenv(childProcessVariable) != "" {
		runLoanEndsDuringHandover(t)
		return
	}
	command := exec.Command(os.Args[0], "-test.run=^TestLoanEndsDuringAbortedHandover$")
	command.Env = append(os.Environ(), childProcessVariable+"=1")
	if err := command.Run(); err != nil {
		t.Errorf("child process that decides the request: %v", err)
	}
}

// runLoanEndsDuringHandover runs the case in the child process.
func runLoanEndsDuringHandover(t *testing.T) {
	plan := Plan{
		Rate:            5,
		Burst:           10,
		PriorityFactor:  1,
		OverQuotaWeight: 0.2,
		CeilingRate:     10,
		CeilingBurst:    20,
		PartitionPolicy: quotashare.KeepNone,
	}
	settings := Settings{
		Gateways:     2,
		MaxAttempts:  1,
		LeasedShares: true,
		Classes:      []Class{{PriorityWeight: 1, LatencyObjective: time.Second, ClientTimeout: time.Second}},
		Plans:        []Plan{plan},
	}
	b := newTestBalancer(t, settings)
	now := time.Hour
	b.Step(now, []Event{ShareUpdate{Fraction: 0.5, Until: now + time.Hour}})
	request := Request{ID: 1, Customer: "c", Units: 1, TimeLeft: time.Second, AdmitOnly: true}
	b.Step(now, []Event{request})
	b.Step(now, []Event{LoanGranted{From: 1, Customer: "c", At: now, Rate: 1, Depth: 1}})
	handover := actionsOf[HandoverReady](b.Step(now+100*time.Millisecond, []Event{BeginHandover{}}))
	b.Step(now+3*time.Second, []Event{ImportHandover{State: handover[0].State}})
	request.ID = 2
	b.Step(now+3*time.Second, []Event{request})
}
