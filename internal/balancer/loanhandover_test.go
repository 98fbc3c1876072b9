package balancer

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// childVariable has the test binary play the case in a process of its own: a stack overflow can't be recovered.
const childVariable = "GAPGAP_TEST_LOAN_ENDS_DURING_HANDOVER"

// A gateway hands its state over, a loan that it borrowed ends meanwhile, and it takes the state back: its next request
// must be decided.
func TestLoanEndsDuringAbortedHandover(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		playLoanEndsDuringHandover(t)
		return
	}
	command := exec.Command(os.Args[0], "-test.run=^TestLoanEndsDuringAbortedHandover$")
	command.Env = append(os.Environ(), childVariable+"=1")
	if err := command.Run(); err != nil {
		t.Errorf("the process that decides the request: %v", err)
	}
}

// playLoanEndsDuringHandover is the case.
func playLoanEndsDuringHandover(t *testing.T) {
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
