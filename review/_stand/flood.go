package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// badClients is the number of bad clients at the first front door.
	badClients = 60
	// badListBytes is the length of the list of names in a bad command: below the 64 KiB that a value may hold.
	badListBytes = 60000
	// badCommands is how many commands a bad client sends at once on a connection.
	badCommands = 100
)

// playFlood plays bad clients at the first of two front doors: each sends commands whose list holds thousands of names
// that don't exist, reads what it is sent, and connects again as soon as it is turned away. The usual clients of both
// front doors are judged: each of their requests must get its final answer. With TROUBLE=plain the bad commands are as
// long, but their list holds one name.
func playFlood(w *world) (broken bool, err error) {
	const size = 200
	reply := func(conn net.Conn, id string) bool {
		_, err := io.WriteString(conn, "*3\r\n"+bulk(valueFor(id, size))+"$-1\r\n$-1\r\n")
		return err == nil
	}
	if err := w.start(2, 10, func(int) replier { return reply }); err != nil {
		return false, err
	}
	var names []string
	for n := range badListBytes / 3 {
		names = append(names, strconv.FormatInt(int64(1000+n), 36))
	}
	text := strings.Join(names, ",")[:badListBytes]
	if os.Getenv("TROUBLE") == "plain" {
		text = strings.Repeat("x", badListBytes)
	}
	text += ",c=nope,t=nope" // a class and a plan that don't exist
	var end atomic.Bool
	var turnedAway atomic.Int64
	if w.trouble {
		w.rec.line("%d bad clients begin at %s", badClients, w.doors[0].name)
		for k := range badClients {
			go func() {
				for !end.Load() {
					playBadClient(w.doors[0], k, text)
					turnedAway.Add(1)
				}
			}()
		}
	}
	var lost atomic.Int64
	var counts [2][len2]atomic.Int64
	var wait sync.WaitGroup
	for d := range w.doors {
		for k := range 6 {
			wait.Go(func() { w.playUsualClient(d, k, size, 20*time.Second, &counts[d], &lost) })
		}
	}
	wait.Wait()
	end.Store(true)
	for d := range w.doors {
		report(w, "requests to "+w.doors[d].name, &counts[d])
	}
	w.rec.line("bad clients were turned away %d times", turnedAway.Load())
	return lost.Load() > 0, nil
}

// playBadClient plays one connection of a bad client.
func playBadClient(d *door, number int, text string) {
	c, err := net.DialTimeout("tcp", d.listen, time.Second)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(6 * time.Second))
	go func() {
		for n := range badCommands {
			if _, err := c.Write(command("Q.ASK", customer(0), fmt.Sprintf("bad%d-%d", number, n), text)); err != nil {
				return
			}
		}
	}()
	io.Copy(io.Discard, c)
}

// playUsualClient plays a client that sends one request after another and keeps its connection while it is answered.
func (w *world) playUsualClient(doorIndex, number, size int, during time.Duration, counts *[len2]atomic.Int64,
	lost *atomic.Int64) {
	d := w.doors[doorIndex]
	rng := rand.New(rand.NewPCG(uint64(number), uint64(doorIndex)))
	var c *connection
	for n, began := 0, time.Now(); time.Since(began) < during; n++ {
		if c == nil {
			var err error
			if c, err = dial(d, fmt.Sprintf("client %d of %s", number, d.name), w.rec); err != nil {
				w.rec.line("can't connect to %s: %v", d.name, err)
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%04x%04x%08x", 0x9b10+doorIndex, number, n)
		patience := 1500*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond))) // 50 to 100 % of 3 s
		sent := time.Now()
		c.SetWriteDeadline(sent.Add(time.Second))
		c.Write(ask(number+6*doorIndex, id, patience))
		w.rec.line("%s sends %s, d=%d", c.name, id, patience.Milliseconds())
		got := c.answer(id, size, sent.Add(patience+answerSlack))
		w.rec.line("%s has %s: %s after %d ms", c.name, id, got, time.Since(sent).Milliseconds())
		counts[got].Add(1)
		if w.rec.isLost(id, got) {
			lost.Add(1)
		}
		if got > failed {
			c.Close()
			c = nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
}
