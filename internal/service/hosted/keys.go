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
func (s *Service) newKeys(cfg *peer.Settings) (*replica.Replica, error) {
	k, err := replica.New(replica.Config{Index: cfg.Index, Gateways: len(cfg.Gateways), Voters: policyreplica.Voters(len(cfg.Gateways)), FS: s.disk, Dir: cfg.StateDir,
		Incarnation: s.fleet.disk.Incarnation(), Retention: cfg.KeyRetention.Duration, MaxKeys: cfg.KeyRetention.MaxKeys, Now: s.clock.Now, Log: s.log.With("of", "keys"), Send: s.fleet.peers.SendKeys})
	if err != nil {
		return nil, fmt.Errorf("fleet.remember: %w", err)
	}
	return k, nil
}

// poolKeys claims keys for one pool. It implements [proxy.Keys].
type poolKeys struct {
	side *replica.Replica
	pool string // as other doors know it
}

var verdictOf = [...]proxy.Reservation{
	idempotency.Reserved:    proxy.ReservationGranted,
	idempotency.HeldByOther: proxy.ReservationHeld,
	idempotency.NoCapacity:  proxy.ReservationUnavailable,
}

func (p poolKeys) Claim(class, customer, key string, done func(proxy.Reservation)) uint64 {
	return p.side.Reserve(idempotency.KeyOf(p.pool, class, customer, key), func(v idempotency.Outcome) { done(verdictOf[v]) })
}

func (p poolKeys) End(n uint64, ran bool) { p.side.Finish(n, ran) }
