package main

import (
	"crypto/sha256"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
)

// poolsConfig has so many pools, the first being the default, and says whether they share the processor.
func poolsConfig(agent string, n int, share bool) string {
	s := fmt.Sprintf(`
[node]
sockets = 8192
default_pool = "p0"
share_processor = %v
[[listener]]
name = "resp2"
protocol = "resp2"
address = "127.0.0.1:0"
[[listener]]
name = "http"
protocol = "authz"
address = "127.0.0.1:0"
trusted = ["127.0.0.1"]
[[listener.check]]
path = "/check"
dialect = "traefik"
default_class = "evaluate"
[[account]]
name = "a"
customer = "0000000000000001"
plan = "wide"
keys = ["%x"]
`, share, sha256.Sum256([]byte("key")))
	for i := range n {
		s += fmt.Sprintf("[[pool]]\nname = \"p%d\"\ndiscovery = %q\n[[pool.class]]\nname = \"evaluate\"\neffect = \"safe\"\nworth = 1.0\naim = \"1s\"\ngive_up = \"3s\"\n[[pool.plan]]\nname = \"wide\"\n", i, agent)
		if i > 0 {
			s += fmt.Sprintf("[[route]]\nname = \"r%d\"\nhost = \"p%d.org\"\nto = [{pool = \"p%d\"}]\n", i, i, i)
		}
	}
	return s
}

// poolAsk is a request to a pool.
func poolAsk(pool, conn, n int) []byte {
	s := "*4\r\n"
	for _, a := range []string{"Q.ASK", "0000000000000001", strconv.Itoa(pool) + "-" + strconv.Itoa(conn) + "-" + strconv.Itoa(n),
		"c=evaluate,t=wide,d=3000,units=1,spread=1,first=0,host=p" + strconv.Itoa(pool) + ".org"} {
		s += "$" + strconv.Itoa(len(a)) + "\r\n" + a + "\r\n"
	}
	return []byte(s)
}

// pools measures a quiet pool beside a flooded one, with and without the gate, and what pools cost.
func pools(lasts time.Duration, rounds int) error {
	server, err := flagserver.Start(flagserver.Config{Value: "value"})
	if err != nil {
		return err
	}
	defer server.Close()
	agent, err := catalog.Start(catalog.Serving("s-0", server.Addr()))
	if err != nil {
		return err
	}
	defer agent.Close()
	dir, err := os.MkdirTemp("", "benchmark")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	door := func(n int, share bool) (*child, error) {
		file := filepath.Join(dir, fmt.Sprint(n, share, ".toml"))
		if err := os.WriteFile(file, []byte(poolsConfig(agent.Addr(), n, share)), 0o600); err != nil {
			return nil, err
		}
		return spawn("serve-door", file)
	}
	fmt.Printf("machine: %d cores; the door has one; %v a stretch, %d rounds\n", runtime.NumCPU(), lasts, rounds)
	for _, share := range []bool{true, false} {
		d, err := door(2, share)
		if err != nil {
			return err
		}
		var ratios []float64
		for range rounds {
			quiet := func() (load, error) {
				return drive(8, d.addr["resp2"], func(conn, n int) []byte { return poolAsk(0, conn, n) }, readRESP, 200, lasts)
			}
			alone, err := quiet()
			if err != nil {
				return err
			}
			loud, err := spawn("flood", d.addr["resp2"]) // apart, so as not to hold up the quiet pool's own client
			if err != nil {
				return err
			}
			time.Sleep(200 * time.Millisecond)
			beside, err := quiet()
			loud.end()
			if err != nil {
				return err
			}
			time.Sleep(500 * time.Millisecond)
			fmt.Printf("shared by weight %v: quiet p50 %v alone, %v beside; p99 %v and %v; not served %d of %d and %d of %d\n", share, alone.quantile(.5),
				beside.quantile(.5), alone.quantile(.99), beside.quantile(.99), alone.odd, alone.done, beside.odd, beside.done)
			ratios = append(ratios, beside.quantile(.99).Seconds()/alone.quantile(.99).Seconds())
		}
		fmt.Printf("a quiet pool's p99 beside a flooded one, processor shared by weight %v: %.2f\n", share, median(ratios))
		d.end()
	}
	for _, n := range []int{1, 10, 100} {
		d, err := door(n, true)
		if err != nil {
			return err
		}
		before, err := d.use()
		if err != nil {
			return err
		}
		l, err := drive(conns, d.addr["resp2"], func(conn, k int) []byte { return poolAsk((conn+k)%n, conn, k) }, readRESP, 0, lasts)
		if err != nil {
			return err
		}
		after, err := d.use()
		if err != nil {
			return err
		}
		fmt.Printf("%3d pools: %.1f MB at the start, %.1f MB after; %.0f/s, %.1f us a request, %.3f served\n", n, float64(before.rss)/(1<<20), float64(after.rss)/(1<<20),
			float64(l.done)/lasts.Seconds(), (after.cpu-before.cpu).Seconds()*1e6/float64(l.done), 1-float64(l.odd)/float64(l.done))
		d.end()
	}
	return nil
}

// serveFlood floods the second pool from 64 connections until its parent closes the pipe.
func serveFlood(addr string) error {
	stop, done := make(chan struct{}), sync.WaitGroup{}
	for c := range 64 {
		done.Go(func() { flood(addr, c, stop) })
	}
	answerUse()
	close(stop)
	done.Wait()
	return nil
}

// flood writes requests to the second pool as fast as they are taken, and reads what comes away.
func flood(addr string, c int, stop chan struct{}) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer nc.Close()
	go func() {
		b := make([]byte, 64<<10)
		for {
			if _, err := nc.Read(b); err != nil {
				return
			}
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		nc.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		nc.Write(poolAsk(1, c, n))
	}
}
