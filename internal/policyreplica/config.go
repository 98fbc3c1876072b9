package policyreplica

import (
	"log/slog"
	"time"

	"gapgap/internal/policy"
	"gapgap/internal/vfs"
)

const (
	// minGatewaysForThreeVoters and minGatewaysForFiveVoters are fleet sizes from which on more voters fail alone.
	minGatewaysForThreeVoters = 3
	minGatewaysForFiveVoters  = 20
)

// Host decides requests by a policy version. The replica's goroutine calls all methods but Build.
type Host interface {
	// Build reads a document and makes all that deciding by it needs. Its error says what is wrong, with the line.
	// Another goroutine calls it, once at a time.
	Build(document []byte) (any, error)
	// StopDeciding ends the right to decide. Nothing is decided after it has returned.
	StopDeciding()
	// SwitchTo makes all later decisions go by a version; built is what Build returned for its document.
	SwitchTo(version uint64, built any) error
	// SetDecisionDeadline sets until when requests may be decided, by the clock Config.Now.
	SetDecisionDeadline(deadline time.Duration)
}

// Config configures a replica.
type Config struct {
	// Name is this gateway's name, the author of an initial policy.
	Name string
	// Index is this gateway's index in Gateways.
	Index int
	// Gateways are the names of all gateways.
	Gateways []string
	// FS has the state directory Dir.
	FS  vfs.FS
	Dir string
	// Now reads a clock that runs on while the process is stopped.
	Now func() time.Duration
	Log *slog.Logger
	// Send sends a datagram to another gateway. It returns at once, and the datagram may be lost.
	Send func(to int, datagram []byte)
	// Process returns the identity of this process, which changes if its disk turns out to have lost its incarnation.
	Process func() policy.Process
	// InitialPolicy returns the document that this gateway proposes where the fleet has no policy yet.
	InitialPolicy func() ([]byte, error)
	// AbortAfter is how long a change may wait for gateways; zero: policy.DefaultAbortTimeout.
	AbortAfter time.Duration
	// Fence makes policy.Fence the mode of an initial policy.
	Fence bool
	// StoredVersionDelay is how long after the start a gateway that no majority answers decides by the version that
	// its disk has; zero: never.
	StoredVersionDelay time.Duration
	// Host decides requests.
	Host Host
}

// Voters returns the indices of the gateways that are voters, of so many gateways.
func Voters(gateways int) (indices []int) {
	voters := 5
	switch {
	case gateways < minGatewaysForThreeVoters:
		voters = 1
	case gateways < minGatewaysForFiveVoters:
		voters = 3
	}
	for index := range min(voters, gateways) {
		indices = append(indices, index)
	}
	return indices
}
