package extauthz

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"

	"gapgap/internal/account"
	"gapgap/internal/decisioncache"
	"gapgap/internal/proxy"
)

// SharedConfig configures what all listeners of a process share.
type SharedConfig struct {
	// Decisions bounds the decision cache of each pool.
	Decisions decisioncache.Config
	// MaxTrackedInFlight is the number of admitted requests of each pool whose end calls are awaited. Further requests
	// are admitted too, but no end call can end them: they count as in flight for their whole HoldFor.
	MaxTrackedInFlight int
}

// Shared is what all listeners of a process have in common. Any goroutine may use it.
type Shared struct {
	// Stats counts what the listeners did.
	Stats Stats

	config SharedConfig
	env    *proxy.Env
	// identities is what credentials are known by, whatever the pool.
	identities atomic.Pointer[account.Table]
	// pools is replaced as a whole. mu is held for that.
	pools atomic.Pointer[map[*proxy.Proxy]*pool]
	mu    sync.Mutex

	requestIDPrefix string
	lastRequestID   atomic.Uint64

	start sync.Once
	stop  chan struct{}
	ended sync.WaitGroup
	// fronts is set by Begin.
	fronts []*Front
	// tick is closed and replaced at each tick.
	tick atomic.Pointer[chan struct{}]
}

// NewShared returns a Shared without pools. Its error is a [*decisioncache.ConfigError].
func NewShared(env *proxy.Env, config SharedConfig) (*Shared, error) {
	if err := config.Decisions.Validate(); err != nil {
		return nil, err
	}
	s := &Shared{
		config:          config,
		env:             env,
		requestIDPrefix: newRequestIDPrefix(),
		stop:            make(chan struct{}),
	}
	s.pools.Store(&map[*proxy.Proxy]*pool{})
	tick := make(chan struct{})
	s.tick.Store(&tick)
	return s, nil
}

// Begin starts the ticker for all listeners. Further calls do nothing.
func (s *Shared) Begin(fronts ...*Front) {
	s.start.Do(func() {
		s.fronts = fronts
		s.ended.Add(1)
		go s.runTicker()
	})
}

// Close ends what Begin started and waits for it. It must be called once only.
func (s *Shared) Close() {
	close(s.stop)
	s.ended.Wait()
}

// Add adds a pool with its accounts, or replaces the accounts of a pool that is known. Checks that were read before go
// by the old ones.
func (s *Shared) Add(p *proxy.Proxy, accounts *account.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pools := *s.pools.Load()
	if known := pools[p]; known != nil {
		known.accounts.Store(accounts)
		return
	}
	added := &pool{
		proxy:     p,
		shared:    s,
		decisions: s.newDecisionCache(),
		inFlight:  newInFlightTable(s.config.MaxTrackedInFlight),
	}
	added.accounts.Store(accounts)
	next := maps.Clone(pools)
	next[p] = added
	s.pools.Store(&next)
}

// newDecisionCache returns the decision cache of a pool.
func (s *Shared) newDecisionCache() *decisioncache.Cache[decision, *check] {
	cache, err := decisioncache.NewCache[decision, *check](s.config.Decisions)
	if err != nil {
		panic(fmt.Errorf("configuration that NewShared has validated: %w", err))
	}
	return cache
}

// Remove forgets a pool that no request has acquired any more.
func (s *Shared) Remove(p *proxy.Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(*s.pools.Load())
	delete(next, p)
	s.pools.Store(&next)
}

// Len returns the number of pools.
func (s *Shared) Len() int {
	return len(*s.pools.Load())
}

// poolOf returns the pool of a proxy, or nil.
func (s *Shared) poolOf(p *proxy.Proxy) *pool {
	return (*s.pools.Load())[p]
}

// SetIdentities replaces the accounts that credentials are known by.
func (s *Shared) SetIdentities(accounts *account.Table) {
	s.identities.Store(accounts)
}

// Account returns a customer's account in a pool, or nil.
func (s *Shared) Account(p *proxy.Proxy, customer string) *account.Account {
	known := s.poolOf(p)
	if known == nil {
		return nil
	}
	return known.accounts.Load().ByCustomer(customer)
}
