package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// playPipeline plays a client that sends many commands at once on one connection and reads the answers as they come.
// Each request that the front door has taken must be answered.
func playPipeline(w *world) (broken bool, err error) {
	const size = 60 << 10
	const atOnce = 40
	reply := func(conn net.Conn, id string) bool {
		_, err := io.WriteString(conn, "*3\r\n"+bulk(valueFor(id, size))+"$-1\r\n$-1\r\n")
		return err == nil
	}
	if err := w.start(2, 10, func(int) replier { return reply }); err != nil {
		return false, err
	}
	var counts [len2]atomic.Int64
	var lost, closedUnsent int
	rounds := 20
	if !w.trouble {
		rounds = 8
	}
	for round := range rounds {
		const patience = 3 * time.Second
		c, err := dial(w.doors[round%2], "client", w.rec)
		if err != nil {
			return false, err
		}
		id := func(k int) string { return fmt.Sprintf("%08x%08x", 0x9b1f0000+round, k) }
		var all []byte
		for k := range atOnce {
			text := ask(k%8, id(k), patience)
			if !w.trouble {
				c.Write(text)
				got := c.answer(id(k), size, time.Now().Add(patience+answerSlack))
				w.rec.line("client has %s: %s", id(k), got)
				counts[got].Add(1)
				if w.rec.isLost(id(k), got) {
					lost++
				}
			}
			all = append(all, text...)
		}
		if w.trouble {
			sent := time.Now()
			if _, err := c.Write(all); err != nil {
				return false, err
			}
			w.rec.line("client sends %s to %s at once on %s", id(0), id(atOnce-1), c.LocalAddr())
			for k := range atOnce {
				got := c.answer(id(k), size, sent.Add(patience+answerSlack+time.Second))
				w.rec.line("client has %s: %s", id(k), got)
				counts[got].Add(1)
				if w.rec.isLost(id(k), got) {
					lost++
				} else if got == closed {
					closedUnsent++
				}
			}
		}
		c.Close()
	}
	report(w, "requests", &counts)
	w.rec.line("lost: %d; closed and not sent on, which is not judged: %d", lost, closedUnsent)
	fmt.Printf("lost: %d; closed and not sent on, which is not judged: %d\n", lost, closedUnsent)
	return lost > 0, nil
}
