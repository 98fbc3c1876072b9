package hosted

import (
	"bufio"
	"math/rand/v2"
	"net"
	"time"
)

const (
	// counterPingSpread is the time over which gateways that start together spread their first pings of a counter.
	counterPingSpread = 300 * time.Millisecond
	// counterPingInterval is the mean time between pings until a counter answers.
	counterPingInterval = 250 * time.Millisecond
	// counterPingTimeout bounds one ping.
	counterPingTimeout = 200 * time.Millisecond
	// maxPongBytes bounds the answer to a ping.
	maxPongBytes = 16
)

// awaitCounters pings the pools' counters, without changing any counter value, until each has answered once or the
// recovery is finished or stopped.
func (r *startupRecovery) awaitCounters() {
	missing := r.service.counterAddresses()
	wait := rand.N(counterPingSpread)
	for len(missing) > 0 {
		select {
		case <-time.After(wait):
		case <-r.stopped:
			return
		}
		for address := range missing {
			if pingCounter(address) {
				delete(missing, address)
			}
		}
		wait = counterPingInterval/2 + rand.N(counterPingInterval)
		if r.isOpen() {
			return
		}
	}
	r.mu.Lock()
	r.hasCounterAnswered = true
	r.mu.Unlock()
}

// counterAddresses returns the addresses of all pools' counters.
func (s *Service) counterAddresses() map[string]struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := map[string]struct{}{}
	for i := range s.cfg.Pools {
		if address := s.cfg.Pools[i].Node.Counter; address != "" {
			addresses[address] = struct{}{}
		}
	}
	return addresses
}

// pingCounter reports whether a counter answers.
func pingCounter(address string) bool {
	conn, err := net.DialTimeout("tcp", address, counterPingTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // no data can be lost
	if err := conn.SetDeadline(time.Now().Add(counterPingTimeout)); err != nil {
		return false
	}
	if _, err := conn.Write([]byte("ping\r\n")); err != nil {
		return false
	}
	_, err = bufio.NewReaderSize(conn, maxPongBytes).ReadSlice('\n')
	return err == nil
}
