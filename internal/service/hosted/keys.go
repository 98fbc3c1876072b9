package hosted

import (
	"fmt"

	"gapgap/internal/idempotency"
	"gapgap/internal/idempotency/replica"
	"gapgap/internal/peer"
	"gapgap/internal/policyreplica"
	"gapgap/internal/proxy"
)

// openKeyReplica opens what this door remembers of keys.
func (s *Service) openKeyReplica(cfg *peer.Settings) (*replica.Replica, error) {
	k, err := replica.New(replica.Config{Index: cfg.Index, Gateways: len(cfg.Gateways), Voters: policyreplica.Voters(len(cfg.Gateways)), FS: s.disk, Dir: cfg.StateDir,
		Incarnation: s.fleet.disk.Incarnation(), Retention: cfg.KeyRetention.Duration, MaxKeys: cfg.KeyRetention.MaxKeys, Now: s.clock.Now, Log: s.log.With("of", "keys"), Send: s.fleet.peers.SendKeys})
	if err != nil {
		return nil, fmt.Errorf("fleet.remember: %w", err)
	}
	return k, nil
}

// poolKeys claims keys for one pool. It implements [proxy.Keys].
type poolKeys struct {
	replica  *replica.Replica
	poolName string // as other doors know it
}

var reservationOf = [...]proxy.Reservation{
	idempotency.Reserved:    proxy.ReservationGranted,
	idempotency.HeldByOther: proxy.ReservationHeld,
	idempotency.NoCapacity:  proxy.ReservationUnavailable,
}

func (p poolKeys) Claim(class, customer, key string, done func(proxy.Reservation)) uint64 {
	return p.replica.Reserve(idempotency.KeyOf(p.poolName, class, customer, key), func(v idempotency.Outcome) { done(reservationOf[v]) })
}

func (p poolKeys) End(n uint64, ran bool) { p.replica.Finish(n, ran) }
