package rig

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is what a line does to datagrams. The zero value carries each one at once.
type Fault struct {
	Cut    bool          // nothing passes
	Loss   float64       // part that is dropped
	Delay  time.Duration // at least, of each ...
	Jitter time.Duration // ... and by chance up to so much more, so they overtake each other
	Double float64       // part that comes twice
}

// mostLate bounds the datagrams that a line holds back at once; further ones are dropped.
const mostLate = 4096

// Line carries datagrams one way between two doors. What it does by chance goes by its seed.
type Line struct {
	in  *net.UDPConn
	out *net.UDPConn

	mu     sync.Mutex
	fault  Fault
	rng    *rand.Rand
	target *net.UDPAddr
	late   int
	keep   func([]byte) // sees what passes; nil: nobody
	source *net.UDPAddr // who sent last: answers to where a datagram came from go there

	wg sync.WaitGroup
}

func newLine(seed uint64) (*Line, error) {
	in, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		in.Close()
		return nil, err
	}
	l := &Line{in: in, out: out, rng: rand.New(rand.NewPCG(seed, 3))}
	l.wg.Go(l.carry)
	l.wg.Go(l.back)
	return l, nil
}

// Addr is where the one door sends to.
func (l *Line) Addr() string { return l.in.LocalAddr().String() }

// Set puts a fault in the place of the one before.
func (l *Line) Set(f Fault) {
	l.mu.Lock()
	l.fault = f
	l.mu.Unlock()
}

// Keep has a function see each datagram that passes, to play it again with Send.
func (l *Line) Keep(f func([]byte)) {
	l.mu.Lock()
	l.keep = f
	l.mu.Unlock()
}

// Send puts a datagram onto the line's far end.
func (l *Line) Send(b []byte) {
	l.mu.Lock()
	to := l.target
	l.mu.Unlock()
	if to != nil {
		l.out.WriteToUDP(b, to)
	}
}

func (l *Line) to(addr string) {
	a, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.target = a
	l.mu.Unlock()
}

func (l *Line) carry() {
	buf := make([]byte, 64<<10)
	for {
		n, source, err := l.in.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue // a door is away
		}
		l.mu.Lock()
		l.source = source
		f, keep := l.fault, l.keep
		times := 1
		if f.Cut || l.rng.Float64() < f.Loss {
			times = 0
		} else if l.rng.Float64() < f.Double {
			times = 2
		}
		var waits []time.Duration
		for range times {
			wait := f.Delay
			if f.Jitter > 0 {
				wait += time.Duration(l.rng.Int64N(int64(f.Jitter)))
			}
			waits = append(waits, wait)
		}
		l.mu.Unlock()
		b := append([]byte(nil), buf[:n]...)
		if keep != nil && times > 0 {
			keep(b)
		}
		for _, wait := range waits {
			if wait == 0 {
				l.Send(b)
				continue
			}
			l.mu.Lock()
			full := l.late >= mostLate
			if !full {
				l.late++
			}
			l.mu.Unlock()
			if full {
				continue
			}
			time.AfterFunc(wait, func() {
				l.Send(b)
				l.mu.Lock()
				l.late--
				l.mu.Unlock()
			})
		}
	}
}

// back carries what is sent to where this line's datagrams seem to come from.
func (l *Line) back() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := l.out.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue // a door is away
		}
		l.mu.Lock()
		to, cut := l.source, l.fault.Cut
		l.mu.Unlock()
		if to != nil && !cut {
			l.in.WriteToUDP(buf[:n], to)
		}
	}
}

func (l *Line) close() {
	l.in.Close()
	l.out.Close()
	l.wg.Wait()
}
