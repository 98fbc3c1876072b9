package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// isSpoilt draws which answers come spoilt: one in n, by the id of the request.
func isSpoilt(id string, n uint32) bool {
	h := fnv.New32a()
	io.WriteString(h, id)
	return h.Sum32()%n == 0
}

// playTail plays backends of which some answers come spoilt: an array of three items is announced, the value comes
// whole, and then nothing. The connection stays open. Each request that the front door has taken must be answered while
// its client waits. The requests whose own answer came spoilt are not judged.
func playTail(w *world) (broken bool, err error) {
	const size = 100 << 10
	const spoiltOneIn = 10
	reply := func(conn net.Conn, id string) bool {
		if w.trouble && isSpoilt(id, spoiltOneIn) {
			w.rec.line("spoilt answer to %s: *3, the value, then nothing", id)
			io.WriteString(conn, "*3\r\n"+bulk(valueFor(id, size)))
			return false
		}
		io.WriteString(conn, "*3\r\n"+bulk(valueFor(id, size))+"$-1\r\n$-1\r\n")
		return true
	}
	if err := w.start(2, 10, func(int) replier { return reply }); err != nil {
		return false, err
	}
	var counts [len2]atomic.Int64
	var spoilt, lost atomic.Int64
	var wait sync.WaitGroup
	began := time.Now()
	for k := range 6 {
		wait.Go(func() {
			name := fmt.Sprintf("client %d", k)
			var c *connection
			for n := 0; time.Since(began) < 25*time.Second; n++ {
				if c == nil {
					var err error
					if c, err = dial(w.doors[k%2], name, w.rec); err != nil {
						w.rec.line("%s can't connect: %v", name, err)
						return
					}
				}
				id := fmt.Sprintf("%08x%08x", 0x9b1f0000+k, n)
				const patience = 2500 * time.Millisecond // between 50 and 100 % of 3 s
				sent := time.Now()
				c.SetWriteDeadline(sent.Add(time.Second))
				if _, err := c.Write(ask(k, id, patience)); err != nil {
					w.rec.line("%s can't send %s: %v", name, id, err)
					c.Close()
					c = nil
					continue
				}
				w.rec.line("%s sends %s on %s", name, id, c.LocalAddr())
				got := c.answer(id, size, sent.Add(patience+answerSlack))
				w.rec.line("%s has %s: %s", name, id, got)
				own := w.trouble && isSpoilt(id, spoiltOneIn)
				if own {
					spoilt.Add(1)
				} else {
					counts[got].Add(1)
					if w.rec.isLost(id, got) {
						lost.Add(1)
					}
				}
				if got > failed {
					c.Close()
					c = nil
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	report(w, "requests whose own answer was not spoilt", &counts)
	w.rec.line("requests whose own answer was spoilt (not judged): %d", spoilt.Load())
	return lost.Load() > 0, nil
}

// len2 is the number of outcomes.
const len2 = int(silent) + 1

// report writes how often each outcome was seen.
func report(w *world, what string, counts *[len2]atomic.Int64) {
	for o := range counts {
		if n := counts[o].Load(); n > 0 {
			w.rec.line("%s: %s %d", what, outcome(o), n)
			fmt.Printf("%s: %s %d\n", what, outcome(o), n)
		}
	}
}
