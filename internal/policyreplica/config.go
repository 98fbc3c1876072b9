package policyreplica

import (
	"log/slog"
	"time"

	"gapgap/internal/policy"
	"gapgap/internal/vfs"
)

const (
	// minGatewaysForThreeVoters and minGatewaysForFiveVoters are the smallest fleets that have that many voters.
	// More voters make a majority survive more failures: one of three voters may fail, and two of five.
	minGatewaysForThreeVoters = 3
	minGatewaysForFiveVoters  = 20
)

// Host decides requests by a policy version. All methods but Build are called by the replica's goroutine.
type Host interface {
	// Build parses a document and builds everything that is needed to decide by it. Its error says what is wrong, and
	// in which line. It is called by another goroutine; calls do not overlap.
	Build(document []byte) (any, error)
	// StopDeciding revokes the right to decide. No request is decided after it has returned.
	StopDeciding()
	// SwitchTo makes all later decisions use a version. built is what Build returned for its document.
	SwitchTo(version uint64, built any) error
	// SetDecisionDeadline sets the time, on the clock Config.Now, until which requests may be decided.
	SetDecisionDeadline(deadline time.Duration)
}

// Config configures a replica.
type Config struct {
	// Name is this gateway's name. It is recorded as the author of an initial policy.
	Name string
	// Index is this gateway's index in Gateways.
	Index int
	// Gateways are the names of all gateways.
	Gateways []string
	// FS is the file system that contains the state directory Dir.
	FS  vfs.FS
	Dir string
	// Now reads a clock that continues to run while the process is stopped.
	Now func() time.Duration
	Log *slog.Logger
	// Send sends a datagram to another gateway without blocking. The datagram may be lost.
	Send func(to int, datagram []byte)
	// Process returns the identity of this process, which changes if the disk is found to have lost its incarnation.
	Process func() policy.Process
	// InitialPolicy returns the document that this gateway proposes if the fleet has no policy yet.
	InitialPolicy func() ([]byte, error)
	// AbortAfter is how long a change may wait for gateways. Zero means policy.DefaultAbortTimeout.
	AbortAfter time.Duration
	// Fence sets the mode of an initial policy to policy.Fence.
	Fence bool
	// StoredVersionDelay is how long after its start a gateway without an answer from a majority of the voters begins
	// to decide by the version on its disk. Zero means never.
	StoredVersionDelay time.Duration
	// Host decides requests by the versions that the replica gives it.
	Host Host
}

// Voters returns the indices of the gateways that are voters in a fleet of the given size.
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
