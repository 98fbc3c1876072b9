package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// playLeak plays clients that ask once and keep their connection, and whose answers come spoilt as in playTail. Then
// other clients ask.
func playLeak(w *world) (broken bool, err error) {
	const size = 100 << 10
	var spoil atomic.Bool
	spoil.Store(w.trouble)
	reply := func(conn net.Conn, id string) bool {
		if spoil.Load() {
			io.WriteString(conn, "*3\r\n"+bulk(valueFor(id, size)))
			return false
		}
		io.WriteString(conn, "*3\r\n"+bulk(valueFor(id, size))+"$-1\r\n$-1\r\n")
		return true
	}
	if err := w.start(2, 10, func(int) replier { return reply }); err != nil {
		return false, err
	}
	var kept [len2]atomic.Int64
	for k := range 320 {
		c, err := dial(w.doors[0], "once", w.rec)
		if err != nil {
			return false, err
		}
		defer c.Close()
		id := fmt.Sprintf("%08x%08x", 0x9b200000, k)
		c.Write(ask(k, id, 3*time.Second))
		got := c.answer(id, size, time.Now().Add(4*time.Second))
		kept[got].Add(1)
		w.rec.line("once %d: %s", k, got)
	}
	report(w, "clients that ask once", &kept)
	spoil.Store(false)
	var counts [len2]atomic.Int64
	var lost atomic.Int64
	var wait sync.WaitGroup
	for k := range 6 {
		wait.Go(func() { w.playUsualClient(0, k, size, 20*time.Second, &counts, &lost) })
	}
	wait.Wait()
	report(w, "usual clients", &counts)
	info, _ := w.doors[0].call("INFO")
	w.rec.line("%s", info)
	fmt.Println(info)
	return false, nil
}
