package hosted

import (
	"fmt"

	"gapgap/internal/idempotency"
	"gapgap/internal/idempotency/replica"
	"gapgap/internal/peer"
	"gapgap/internal/policyreplica"
	"gapgap/internal/proxy"
)

// newKeys opens what this door remembers of keys.
func (s *Service) newKeys(cfg *peer.Settings) (*replica.Side, error) {
	k, err := replica.New(replica.Config{Rank: cfg.Index, Doors: len(cfg.Gateways), Voters: policyreplica.Voters(len(cfg.Gateways)), FS: s.disk, Dir: cfg.StateDir,
		Inc: s.fleet.disk.Incarnation(), Keep: cfg.KeyRetention.Duration, Most: cfg.KeyRetention.MaxKeys, Now: s.clock.Now, Log: s.log.With("of", "keys"), Tell: s.fleet.peers.SendKeys})
	if err != nil {
		return nil, fmt.Errorf("fleet.remember: %w", err)
	}
	return k, nil
}

// poolKeys claims keys for one pool. It implements [proxy.Keys].
type poolKeys struct {
	side *replica.Side
	pool string // as other doors know it
}

var verdictOf = [...]proxy.Reservation{
	idempotency.Reserved:    proxy.ReservationGranted,
	idempotency.HeldByOther: proxy.ReservationHeld,
	idempotency.NoCapacity:  proxy.ReservationUnavailable,
}

func (p poolKeys) Claim(class, customer, key string, done func(proxy.Reservation)) uint64 {
	return p.side.Claim(idempotency.KeyOf(p.pool, class, customer, key), func(v idempotency.Outcome) { done(verdictOf[v]) })
}

func (p poolKeys) End(n uint64, ran bool) { p.side.End(n, ran) }
