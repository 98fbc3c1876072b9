package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// playRestart plays a planned restart while clients get long values that backends write in pieces over some seconds.
// SIGKILL follows 10 s after SIGTERM. A front door that ends by itself must have answered what it had taken.
func playRestart(w *world) (broken bool, err error) {
	const size = 1 << 20
	const piece = 32 << 10
	const pause = 150 * time.Millisecond // 32 pieces: 4.8 s
	reply := func(conn net.Conn, id string) bool {
		text := "*3\r\n" + bulk(valueFor(id, size)) + "$-1\r\n$-1\r\n"
		for text != "" {
			n := min(piece, len(text))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				w.rec.line("backend can't write the rest of the answer to %s (%d bytes): %v", id, len(text), err)
				return false
			}
			if text = text[n:]; text != "" {
				time.Sleep(pause)
			}
		}
		w.rec.line("backend has written the whole answer to %s", id)
		return true
	}
	if err := w.start(2, 10, func(int) replier { return reply }); err != nil {
		return false, err
	}
	restarted := w.doors[0]
	var counts [len2]atomic.Int64
	var wait sync.WaitGroup
	for k := range 6 {
		c, err := dial(restarted, fmt.Sprintf("client %d", k), w.rec)
		if err != nil {
			return false, err
		}
		wait.Go(func() {
			defer c.Close()
			id := fmt.Sprintf("%08x%08x", 0x9b1f0000, k)
			c.Write(ask(k, id, 3*time.Second))
			w.rec.line("%s sends %s", c.name, id)
			got := c.answer(id, size, time.Now().Add(15*time.Second))
			w.rec.line("%s has %s: %s", c.name, id, got)
			counts[got].Add(1)
		})
	}
	time.Sleep(800 * time.Millisecond)
	if w.trouble {
		w.rec.line("SIGTERM to %s", restarted.name)
		restarted.signal(syscall.SIGTERM)
		go func() {
			<-restarted.ended
			w.rec.line("%s has ended by itself", restarted.name)
		}()
		kill := time.AfterFunc(10*time.Second, func() {
			w.rec.line("SIGKILL to %s", restarted.name)
			restarted.signal(syscall.SIGKILL)
		})
		defer kill.Stop()
	}
	wait.Wait()
	report(w, "requests", &counts)
	if log, err := w.log(restarted); err == nil {
		w.rec.line("its log:\n%s", strings.TrimSpace(log))
	}
	lost := counts[wrong].Load() + counts[incomplete].Load() + counts[closed].Load() + counts[silent].Load()
	return lost > 0, nil
}
