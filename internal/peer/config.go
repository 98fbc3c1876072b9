package peer

import (
	"log/slog"
	"sync/atomic"
	"time"

	"gapgap/internal/cluster"
)

// Gateway is one gateway of the list.
type Gateway struct {
	Name string `toml:"name"`
	// Address is its IP address and port for datagrams.
	Address string `toml:"address"`
}

// Config is a gateway's part in a cluster. Its functions are called by the event loop and must return at once.
type Config struct {
	// Name is that of this gateway, one of the list.
	Name string
	// Listen is the IP address and port to receive datagrams at.
	Listen string
	// Gateways is the list, the same in the same order at all gateways.
	Gateways []Gateway
	// Key is the shared key.
	Key      []byte
	Identity *IdentityStore
	// Now is the monotonic clock that the users of the common quotas have, too.
	Now func() time.Duration
	Log *slog.Logger

	// ApplyLease hands a changed share lease to the users of the common quotas, which apply it soon after.
	ApplyLease func(cluster.ShareLease)
	// AppliedEpoch returns the epoch that all of them have applied.
	AppliedEpoch func() uint64
	// SetClockWrong is called whenever this gateway's clock turns out to be wrong, or right again.
	SetClockWrong func(isWrong bool)

	// HandleLoanRequest and HandleLoan take what other gateways send of loans.
	HandleLoanRequest func(from int, request LoanRequest)
	HandleLoan        func(from int, loan Loan)
	// HandlePolicy and HandleKeys take what other gateways send of policy and of idempotency keys; nil ignores it.
	HandlePolicy func(from int, payload []byte)
	HandleKeys   func(from int, payload []byte)
	// RecoveryStep returns how far this gateway's recovery has come, for operators; nil means that it is not shown.
	RecoveryStep func() string
}

// Stats count datagrams and transitions.
type Stats struct {
	Sent          atomic.Uint64
	SentBytes     atomic.Uint64
	Received      atomic.Uint64
	ReceivedBytes atomic.Uint64
	// Rejected counts datagrams that were malformed or not authentic.
	Rejected atomic.Uint64
	// Dropped counts datagrams that were received, or queued to be sent, while the event loop was behind.
	Dropped atomic.Uint64
	// Transitions counts changes of members' states.
	Transitions atomic.Uint64
}
