package rig

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// maxDelayed bounds the datagrams that a line delays at once; further ones are dropped.
	maxDelayed = 4096
	// maxDatagramBytes is the size of the largest datagram.
	maxDatagramBytes = 64 << 10
	// lineStream is the random stream of a line's seed.
	lineStream = 3
)

// Fault is what a line does to datagrams. The zero value carries each one at once.
type Fault struct {
	// Cut drops all.
	Cut bool
	// Loss is the fraction that is dropped.
	Loss float64
	// Delay is the least delay of each.
	Delay time.Duration
	// Jitter bounds a random delay on top, by which datagrams overtake each other.
	Jitter time.Duration
	// Double is the fraction that is delivered twice.
	Double float64
}

// Line carries the datagrams from one gateway to another, and answers to their source back. What it does by chance is
// determined by its seed and the order of the datagrams. It is safe for concurrent use.
type Line struct {
	// near receives from the one gateway, far sends to the other.
	near *net.UDPConn
	far  *net.UDPConn

	// mu guards the fields below.
	mu    sync.Mutex
	fault Fault
	rng   *rand.Rand
	// target is where the other gateway listens; nil: not known yet.
	target *net.UDPAddr
	// source is who sent last.
	source *net.UDPAddr
	// observer sees each datagram that passes; nil: none does.
	observer func([]byte)
	// delayed is the number of datagrams that are delayed now.
	delayed int

	// waitGroup counts the goroutines of both directions.
	waitGroup sync.WaitGroup
}

// newLine starts a line without a target.
func newLine(seed uint64) (*Line, error) {
	near, err := listenUDP()
	if err != nil {
		return nil, err
	}
	far, err := listenUDP()
	if err != nil {
		_ = near.Close() // nothing has used it
		return nil, err
	}
	l := &Line{near: near, far: far, rng: rand.New(rand.NewPCG(seed, lineStream))}
	l.waitGroup.Go(l.carryForward)
	l.waitGroup.Go(l.carryBack)
	return l, nil
}

// listenUDP listens on a free port of loopback.
func listenUDP() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// Addr returns the host and port that the one gateway sends to.
func (l *Line) Addr() string { return l.near.LocalAddr().String() }

// Set replaces the fault, for the datagrams that come from now on.
func (l *Line) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Keep has a function see each datagram that passes, which it may keep to replay it with Send. It is called on the
// line's goroutine.
func (l *Line) Keep(f func([]byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observer = f
}

// Send sends a datagram to the other gateway, whatever the fault.
func (l *Line) Send(b []byte) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	if target != nil {
		_, _ = l.far.WriteToUDP(b, target) // a datagram may be lost
	}
}

// setTarget sets where the other gateway listens. An address that is malformed changes nothing.
func (l *Line) setTarget(address string) {
	target, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// carryForward carries datagrams to the other gateway until the line is closed.
func (l *Line) carryForward() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, source, err := l.near.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a gateway is down
		}
		delays, observer := l.receive(source)
		datagram := bytes.Clone(buffer[:n])
		if observer != nil && len(delays) > 0 {
			observer(datagram)
		}
		for _, delay := range delays {
			l.sendAfter(datagram, delay)
		}
	}
}

// receive notes who sent a datagram, and draws with which delay each of its copies is sent: none, one or two.
func (l *Line) receive(source *net.UDPAddr) (delays []time.Duration, observer func([]byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.source = source
	copies := 1
	if l.fault.Cut || l.rng.Float64() < l.fault.Loss {
		copies = 0
	} else if l.rng.Float64() < l.fault.Double {
		copies = 2
	}
	for range copies {
		delay := l.fault.Delay
		if l.fault.Jitter > 0 {
			delay += time.Duration(l.rng.Int64N(int64(l.fault.Jitter)))
		}
		delays = append(delays, delay)
	}
	return delays, l.observer
}

// sendAfter sends a datagram after a delay, or drops it if too many are delayed already.
func (l *Line) sendAfter(datagram []byte, delay time.Duration) {
	if delay == 0 {
		l.Send(datagram)
		return
	}
	if !l.reserveDelayed() {
		return
	}
	time.AfterFunc(delay, func() {
		l.Send(datagram)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.delayed--
	})
}

// reserveDelayed counts one more delayed datagram, unless there are too many.
func (l *Line) reserveDelayed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.delayed >= maxDelayed {
		return false
	}
	l.delayed++
	return true
}

// carryBack carries what is sent to the source that the line's datagrams seem to have, until the line is closed.
func (l *Line) carryBack() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := l.far.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a gateway is down
		}
		l.mu.Lock()
		source, isCut := l.source, l.fault.Cut
		l.mu.Unlock()
		if source != nil && !isCut {
			_, _ = l.near.WriteToUDP(buffer[:n], source) // a datagram may be lost
		}
	}
}

// close ends both directions and waits for that.
func (l *Line) close() {
	_ = l.near.Close() // nothing is kept in it
	_ = l.far.Close()
	l.waitGroup.Wait()
}
