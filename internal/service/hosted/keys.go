package hosted

import (
	"fmt"

	"gapgap/internal/claims"
	"gapgap/internal/claimside"
	"gapgap/internal/core"
	"gapgap/internal/peers"
	"gapgap/internal/policyside"
)

// newKeys opens what this door remembers of keys.
func (s *Service) newKeys(cfg *peers.Section) (*claimside.Side, error) {
	k, err := claimside.New(claimside.Config{Rank: cfg.Rank, Doors: len(cfg.Doors), Voters: policyside.Voters(len(cfg.Doors)), FS: s.disk, Dir: cfg.StateDir,
		Inc: s.fleet.disk.Incarnation(), Keep: cfg.Remember.For, Most: cfg.Remember.Most, Now: s.clock.Now, Log: s.log.With("of", "keys"), Tell: s.fleet.peers.TellKeys})
	if err != nil {
		return nil, fmt.Errorf("fleet.remember: %w", err)
	}
	return k, nil
}

// poolKeys claims keys for one pool. It implements [core.Keys].
type poolKeys struct {
	side *claimside.Side
	pool string // as other doors know it
}

var verdictOf = [...]core.Claim{claims.Won: core.Won, claims.Lost: core.Held, claims.Crowded: core.Crowded}

func (p poolKeys) Claim(class, customer, key string, done func(core.Claim)) uint64 {
	return p.side.Claim(claims.KeyOf(p.pool, class, customer, key), func(v claims.Verdict) { done(verdictOf[v]) })
}

func (p poolKeys) End(n uint64, ran bool) { p.side.End(n, ran) }
