package hosted

import (
	"fmt"

	"gapgap/internal/idempotency"
	"gapgap/internal/idempotency/replica"
	"gapgap/internal/peer"
	"gapgap/internal/policyreplica"
	"gapgap/internal/proxy"
)

// openKeyReplica opens this gateway's replica for the reservation of idempotency keys.
func (s *Service) openKeyReplica(cfg *peer.Settings) (*replica.Replica, error) {
	keys, err := replica.New(replica.Config{
		Index:       cfg.Index,
		Gateways:    len(cfg.Gateways),
		Voters:      policyreplica.Voters(len(cfg.Gateways)),
		FS:          s.disk,
		Dir:         cfg.StateDir,
		Incarnation: s.cluster.identity.Incarnation(),
		Retention:   cfg.KeyRetention.Duration,
		MaxKeys:     cfg.KeyRetention.MaxKeys,
		Now:         s.clock.Now,
		Log:         s.log.With("of", "keys"),
		Send:        s.cluster.transport.SendKeys,
	})
	if err != nil {
		return nil, fmt.Errorf("fleet.remember: %w", err)
	}
	return keys, nil
}

// poolKeys reserves keys for one pool. It implements [proxy.KeyReserver].
type poolKeys struct {
	replica *replica.Replica
	// poolName is the name of the pool at all gateways.
	poolName string
}

// reservationOf maps the replica's outcomes to the proxy's.
var reservationOf = [...]proxy.Reservation{
	idempotency.Reserved:    proxy.ReservationGranted,
	idempotency.HeldByOther: proxy.ReservationHeld,
	idempotency.NoCapacity:  proxy.ReservationUnavailable,
}

// Claim implements [proxy.KeyReserver].
func (p poolKeys) Claim(class, customer, key string, done func(proxy.Reservation)) uint64 {
	return p.replica.Reserve(idempotency.KeyOf(p.poolName, class, customer, key), func(outcome idempotency.Outcome) {
		done(reservationOf[outcome])
	})
}

// End implements [proxy.KeyReserver].
func (p poolKeys) End(id uint64, mayHaveRun bool) { p.replica.Finish(id, mayHaveRun) }
