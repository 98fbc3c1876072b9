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
	// maxDelayed is the maximum number of datagrams that a line delays at the same time. Further ones are dropped.
	maxDelayed = 4096
	// maxDatagramBytes is the maximum size of a datagram.
	maxDatagramBytes = 64 << 10
	// lineStream is the random stream that is used with a line's seed.
	lineStream = 3
)

// Fault is what a line does to datagrams. With the zero value it forwards each one immediately.
type Fault struct {
	// Cut drops all datagrams.
	Cut bool
	// Loss is the fraction of datagrams that are dropped.
	Loss float64
	// Delay is the minimum delay of each datagram.
	Delay time.Duration
	// Jitter is the upper bound of an additional random delay, which may reorder datagrams.
	Jitter time.Duration
	// Double is the fraction of datagrams that are delivered twice.
	Double float64
}

// Line forwards datagrams from one gateway to another, and replies back to their source. Its random choices depend only
// on its seed and the order of the datagrams. It is safe for concurrent use.
type Line struct {
	// receiveConn receives from the sending gateway, sendConn sends to the other.
	receiveConn *net.UDPConn
	sendConn    *net.UDPConn

	// mu guards the fields below.
	mu    sync.Mutex
	fault Fault
	rng   *rand.Rand
	// target is the address of the other gateway. Nil means that it is not known yet.
	target *net.UDPAddr
	// source is the sender of the latest datagram.
	source *net.UDPAddr
	// observer is called with each datagram that is forwarded. It may be nil.
	observer func([]byte)
	// delayed is the number of datagrams that are currently delayed.
	delayed int

	// waitGroup tracks the goroutines of both directions.
	waitGroup sync.WaitGroup
}

// newLine starts a line without a target.
func newLine(seed uint64) (*Line, error) {
	receiveConn, err := listenUDP()
	if err != nil {
		return nil, err
	}
	sendConn, err := listenUDP()
	if err != nil {
		_ = receiveConn.Close() // it was never used
		return nil, err
	}
	l := &Line{receiveConn: receiveConn, sendConn: sendConn, rng: rand.New(rand.NewPCG(seed, lineStream))}
	l.waitGroup.Go(l.forwardDatagrams)
	l.waitGroup.Go(l.forwardReplies)
	return l, nil
}

// listenUDP listens on a free loopback port.
func listenUDP() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// Addr returns the host and port that the sending gateway uses for the other gateway.
func (l *Line) Addr() string { return l.receiveConn.LocalAddr().String() }

// Set replaces the fault for the datagrams received from now on.
func (l *Line) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Keep sets a function that is called with each datagram that is forwarded. The function may keep the datagram, to
// replay it with Send. It runs on the line's goroutine.
func (l *Line) Keep(f func([]byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observer = f
}

// Send sends a datagram to the other gateway regardless of the fault.
func (l *Line) Send(b []byte) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	if target != nil {
		_, _ = l.sendConn.WriteToUDP(b, target) // a datagram may be lost
	}
}

// setTarget sets the address of the other gateway. It ignores a malformed address.
func (l *Line) setTarget(address string) {
	target, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// forwardDatagrams forwards datagrams to the other gateway until the line is closed.
func (l *Line) forwardDatagrams() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, source, err := l.receiveConn.ReadFromUDP(buffer)
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

// receive records the source of a datagram and chooses how it is forwarded: as no copy, one or two, each with the delay
// returned for it.
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

// sendAfter sends a datagram after a delay, or drops it if maxDelayed are delayed already.
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

// reserveDelayed counts one more delayed datagram. It reports false if maxDelayed are delayed already.
func (l *Line) reserveDelayed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.delayed >= maxDelayed {
		return false
	}
	l.delayed++
	return true
}

// forwardReplies forwards replies to the source of the latest datagram until the line is closed.
func (l *Line) forwardReplies() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := l.sendConn.ReadFromUDP(buffer)
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
			_, _ = l.receiveConn.WriteToUDP(buffer[:n], source) // a datagram may be lost
		}
	}
}

// close closes both sockets and waits for the goroutines to end.
func (l *Line) close() {
	_ = l.receiveConn.Close() // nothing to flush
	_ = l.sendConn.Close()
	l.waitGroup.Wait()
}
