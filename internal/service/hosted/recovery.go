package hosted

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"gapgap/internal/proxy"
	"gapgap/internal/recovery"
)

const (
	lookEvery   = 20 * time.Millisecond  // at how far the door has come
	askSpread   = 300 * time.Millisecond // over which the doors of a fleet ask the counter whether it is there
	askEach     = 250 * time.Millisecond // and how often one asks until it answers
	askLongest  = 200 * time.Millisecond // for an answer
	trustedMost = 16                     // lines on what was trusted and what was thrown away
)

// comingBack takes this process through the steps of its recovery, and keeps clients out until the last.
type comingBack struct {
	s      *Service
	closed *proxy.StartupBarrier
	stop   chan struct{}
	ended  sync.WaitGroup

	mu      sync.Mutex
	machine *recovery.Machine
	counter bool     // it has answered
	trusted []string // what was taken from the disk, and what was not
}

// newComingBack begins it: the disk has been read.
func (s *Service) newComingBack(cfg *Config) *comingBack {
	c := &comingBack{s: s, stop: make(chan struct{})}
	c.trust(fmt.Sprintf("incarnation %d, by the disk", s.fleet.disk.Incarnation()))
	t := recovery.Config{
		Gateways:       len(cfg.Fleet.Gateways),
		HasPolicy:      s.policy != nil,
		PolicyRequired: s.policy != nil && !cfg.Fleet.Policy.UseLastKnown,
	}
	for i := range cfg.Pools {
		t.HasCounter = t.HasCounter || cfg.Pools[i].Node.Counter != ""
	}
	if s.keys != nil {
		v := s.keys.View()
		if t.HasKeys = true; v.IsVoter {
			c.trust(s.keys.DiskSummary())
		}
	}
	if s.policy != nil {
		if v := s.policy.replica.StoredVersion(); v.Number > 0 {
			c.trust(fmt.Sprintf("policy: the disk has version %d, which is gone by only if the voters say that it is present", v.Number))
		}
	}
	c.trust("thrown away by rule: shares, leases, loans, balances, what was known of servers")
	c.machine = recovery.New(s.clock.Now(), t, c.trusted[0])
	c.closed = proxy.NewStartupBarrier(c.pause)
	return c
}

func (c *comingBack) trust(line string) {
	if len(c.trusted) < trustedMost {
		c.trusted = append(c.trusted, line)
	}
}

func (c *comingBack) pause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.RetryAfter(c.s.clock.Now(), rand.Float64)
}

func (c *comingBack) begin() {
	if c == nil {
		return
	}
	c.ended.Go(c.askCounter)
	c.ended.Go(func() {
		tick := time.NewTicker(lookEvery)
		defer tick.Stop()
		for !c.look() {
			select {
			case <-tick.C:
			case <-c.stop:
				return
			}
		}
	})
}

func (c *comingBack) end() {
	if c == nil {
		return
	}
	close(c.stop)
	c.ended.Wait()
}

// look sees how things stand, and says whether clients are let in.
func (c *comingBack) look() bool {
	s := c.s
	v := s.fleet.peers.View()
	seen := recovery.Observation{HasRival: v.HasDuplicate, EndpointsServing: s.Ready()}
	for _, d := range v.Gateways {
		if d.Name != v.Name && d.IsPresent() {
			seen.PeersHeard++
		}
	}
	if s.policy != nil {
		p := s.policy.replica.View()
		seen.PolicyVersion, seen.MayDecide = p.Version.Number, p.DecidesUntil > s.clock.Now()
	}
	if s.keys != nil {
		k := s.keys.View()
		if seen.KeysReady, seen.KeysReason = s.keys.HasQuorum() && (k.Ready || !k.IsVoter), k.Reason; seen.KeysReason == "" {
			seen.KeysReason = "too few voters answer for keys: changes are refused"
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seen.CounterAnswered = c.counter
	for _, e := range c.machine.Advance(s.clock.Now(), seen) {
		s.log.Info("recovery", "step", e.Step, "is", e.State, "after", e.Since.Round(time.Millisecond), "what", e.Detail)
	}
	if !c.machine.IsOpen() {
		return false
	}
	c.closed.Open()
	s.log.Info("recovery: clients are let in", "after", c.machine.Current().Since.Round(time.Millisecond))
	return true
}

// askCounter asks each counter once it is there, at no cost to it; doors that start together do so spread out.
func (c *comingBack) askCounter() {
	c.s.mu.Lock()
	addrs := map[string]bool{}
	for i := range c.s.cfg.Pools {
		if a := c.s.cfg.Pools[i].Node.Counter; a != "" {
			addrs[a] = true
		}
	}
	c.s.mu.Unlock()
	wait := rand.N(askSpread)
	for len(addrs) > 0 {
		select {
		case <-time.After(wait):
		case <-c.stop:
			return
		}
		for a := range addrs {
			if ping(a) {
				delete(addrs, a)
			}
		}
		if wait = askEach/2 + rand.N(askEach); c.open() {
			return
		}
	}
	c.mu.Lock()
	c.counter = true
	c.mu.Unlock()
}

func (c *comingBack) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.IsOpen()
}

// ping asks a counter whether it is there.
func ping(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, askLongest)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(askLongest))
	if _, err := nc.Write([]byte("ping\r\n")); err != nil {
		return false
	}
	_, err = bufio.NewReaderSize(nc, 16).ReadSlice('\n')
	return err == nil
}

// RecoveryView is how far a door has come, as operators see it.
type RecoveryView struct {
	Name    string              `json:"name"`
	Open    bool                `json:"open"` // clients are let in
	Steps   []recovery.StepView `json:"steps"`
	Trusted []string            `json:"trusted"` // what was taken from the disk, and what was not
}

func (c *comingBack) view() RecoveryView {
	c.mu.Lock()
	defer c.mu.Unlock()
	return RecoveryView{Name: c.s.cfg.Node.Name, Open: c.machine.IsOpen(), Steps: c.machine.Steps(), Trusted: c.trusted}
}

// step is the present one in few words, for the other doors' operators.
func (c *comingBack) step() string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.machine.Current()
	if c.machine.IsOpen() {
		return "open"
	}
	return fmt.Sprintf("%s: %s", v.Step, v.Detail)
}
