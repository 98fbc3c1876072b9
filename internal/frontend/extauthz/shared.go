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

// SharedConfig configures the state that all listeners of a process share.
type SharedConfig struct {
	// Decisions has the limits of each pool's decision cache.
	Decisions decisioncache.Config
	// MaxTrackedInFlight is the maximum number of admitted requests in each pool that are tracked for their end calls.
	// Further requests are admitted, but end calls can't end them: they count as in flight for their whole HoldFor.
	MaxTrackedInFlight int
}

// Shared is the state that all listeners of a process share. Any goroutine may use it.
type Shared struct {
	// Stats are the statistics of all listeners.
	Stats Stats

	config SharedConfig
	env    *proxy.Env
	// identities has the accounts of all pools, for looking up credentials.
	identities atomic.Pointer[account.Table]
	// pools is replaced as a whole, with mu held.
	pools atomic.Pointer[map[*proxy.Proxy]*pool]
	mu    sync.Mutex

	requestIDPrefix string
	lastRequestID   atomic.Uint64

	start sync.Once
	stop  chan struct{}
	ended sync.WaitGroup
	// fronts is set by Begin.
	fronts []*Frontend
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

// Begin starts the ticker for all listeners. Only the first call has an effect.
func (s *Shared) Begin(fronts ...*Frontend) {
	s.start.Do(func() {
		s.fronts = fronts
		s.ended.Add(1)
		go s.runTicker()
	})
}

// Close stops the ticker and waits until it has ended. It must be called only once.
func (s *Shared) Close() {
	close(s.stop)
	s.ended.Wait()
}

// Add adds a pool with its accounts, or replaces the accounts of a known pool. Checks that have already been read keep
// the old accounts.
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
		panic(fmt.Errorf("decision cache configuration, validated by NewShared: %w", err))
	}
	return cache
}

// Remove removes a pool. No request may have it acquired any more.
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

// SetIdentities replaces the accounts by which credentials are looked up.
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
