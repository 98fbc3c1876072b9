package front

import (
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientShare = 0.62                   // of the sockets that may be held, for clients
	nearCap     = 0.9                    // of those: from here on idle connections are closed
	idleAfter   = 2 * time.Second        // a connection with no open request may be closed after this ...
	silentAfter = 500 * time.Millisecond // ... and, where there is no such, one on which nothing was ever asked
	crowdAfter  = 250 * time.Millisecond // with no place left at all, any one after this: the newcomer has a request
	comeBack    = 100 * time.Millisecond // what a client is told for which there is no room
	memoryShare = 0.25                   // of the memory limit, for what clients have sent and not yet read
)

// clients takes connections and reads requests from them.
type clients struct {
	f         *Front
	most      int64
	count     atomic.Int64
	memory    *budget
	lingering atomic.Int64 // connections on which only the rest of what was refused is awaited

	mu  sync.Mutex
	all map[*client]bool
}

func newClients(f *Front) *clients {
	most := int64(float64(f.cfg.Sockets) * clientShare)
	if most <= 0 {
		most = 400
	}
	memory := float64(f.cfg.MemoryMB<<20) * memoryShare
	if memory <= 0 {
		memory = 32 << 20
	}
	return &clients{f: f, most: most, all: map[*client]bool{}, memory: newBudget(int64(memory))}
}

// accept takes connections until the listener is closed.
func (cs *clients) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: what was taken goes on meanwhile
			cs.f.log.Warn("accept", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if n := cs.count.Load(); float64(n) >= nearCap*float64(cs.most) && !cs.makeRoom(n >= cs.most) && n >= cs.most {
			nc.SetWriteDeadline(time.Now().Add(time.Second))
			nc.Write(busyAnswer(comeBack)) // nothing was read, so nothing has run
			nc.Close()
			continue
		}
		c := newClient(cs, nc)
		cs.count.Add(1)
		cs.mu.Lock()
		cs.all[c] = true
		cs.mu.Unlock()
		go c.read()
	}
}

// makeRoom closes the connection that has stood idle longest, if that may be. Clients that ask once, or never, and
// keep their connections would else fill the share, and the usual ones be turned away.
func (cs *clients) makeRoom(full bool) bool {
	now := cs.f.now()
	var best *client
	var since time.Duration
	cs.mu.Lock()
	for c := range cs.all {
		at := time.Duration(c.idle.Load())
		if at == 0 {
			continue
		}
		switch idle := now - at; {
		case idle >= idleAfter:
		case idle >= silentAfter && !c.spoken.Load():
			at += idleAfter // after those that have been idle for long
		case full && idle >= crowdAfter:
			at += 2 * idleAfter // and last those that may be asked again soon
		default:
			continue
		}
		if best == nil || at < since {
			best, since = c, at
		}
	}
	cs.mu.Unlock()
	if best == nil {
		return false
	}
	best.mu.Lock()
	best.last = true
	best.closeIfIdle()
	best.mu.Unlock()
	runtime.Gosched() // its reader gives the descriptor back
	return true
}

// drain closes the connections that stand between two requests, and the others with their last answer. It
// says whether none is left.
func (cs *clients) drain() bool {
	cs.mu.Lock()
	all := make([]*client, 0, len(cs.all))
	for c := range cs.all {
		all = append(all, c)
	}
	cs.mu.Unlock()
	for _, c := range all { // all first, so that no client finds one closed and turns to another
		c.mu.Lock()
		c.last = true
		c.mu.Unlock()
	}
	for _, c := range all {
		c.mu.Lock()
		c.closeIfIdle()
		c.mu.Unlock()
	}
	return len(all) == 0
}
