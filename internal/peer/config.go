package peer

import (
	"log/slog"
	"sync/atomic"
	"time"

	"gapgap/internal/cluster"
)

// Gateway is an entry of the list of gateways.
type Gateway struct {
	Name string `toml:"name"`
	// Address is the IP address and port that it receives datagrams at.
	Address string `toml:"address"`
}

// Config configures a [Transport]. The event loop calls its functions, which must not block.
type Config struct {
	// Name is this gateway's name in the list.
	Name string
	// Listen is the IP address and port that datagrams are received at.
	Listen string
	// Gateways is the list of all gateways. Every gateway must have the same list in the same order.
	Gateways []Gateway
	// Key is the shared key.
	Key      []byte
	Identity *IdentityStore
	// Now is the monotonic clock. The users of the shared quotas must use the same one.
	Now func() time.Duration
	Log *slog.Logger

	// ApplyLease passes a changed share lease to the users of the shared quotas, which apply it asynchronously.
	ApplyLease func(cluster.ShareLease)
	// AppliedEpoch returns the epoch of the share lease that all of these users have applied.
	AppliedEpoch func() uint64
	// SetClockWrong is called when this gateway's clock is found to be wrong, and when it is right again.
	SetClockWrong func(isWrong bool)

	// HandleLoanRequest and HandleLoan receive loan requests and loans from other gateways.
	HandleLoanRequest func(from int, request LoanRequest)
	HandleLoan        func(from int, loan Loan)
	// HandlePolicy and HandleKeys receive other gateways' messages on the policy and on idempotency keys. If nil, such
	// messages are ignored.
	HandlePolicy func(from int, payload []byte)
	HandleKeys   func(from int, payload []byte)
	// RecoveryStep returns the step that this gateway's startup is at, to be shown to operators; nil means that none is
	// shown.
	RecoveryStep func() string
}

// Stats has counters of datagrams and membership transitions.
type Stats struct {
	Sent          atomic.Uint64
	SentBytes     atomic.Uint64
	Received      atomic.Uint64
	ReceivedBytes atomic.Uint64
	// Rejected counts datagrams that were malformed or not authentic.
	Rejected atomic.Uint64
	// Dropped counts received and outgoing messages that were dropped because a queue of the event loop was full.
	Dropped atomic.Uint64
	// Transitions counts changes of gateways' membership states.
	Transitions atomic.Uint64
}
