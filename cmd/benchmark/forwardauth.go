package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/quota"
)

const (
	conns    = 32
	accounts = 100
	ceiling  = 40.0 // units a second
)

// doorConfig has plans that never refuse the measured accounts, and one with a ceiling.
func doorConfig(agent, counter string) string {
	s := fmt.Sprintf(`
[node]
discovery = %q
counter = %q
sockets = 4096
[limits]
retry_after = "5s"
[[class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "2s"
give_up = "3s"
[[plan]]
name = "wide"
rate = 1000000.0
burst = 1000000.0
over_cost = 1.0
[[plan]]
name = "business"
rate = 20.0
burst = 20.0
over_worth = 0.2
ceiling_rate = %v
ceiling_depth = %v
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
repeat = "request-id"
default_class = "evaluate"
[[rule]]
host = "flags.example.org"
class = "evaluate"
[[account]]
name = "loud"
customer = "00000000ffffffff"
plan = "business"
keys = ["%x"]
`, agent, counter, ceiling, ceiling, sha256.Sum256([]byte("key-loud")))
	for i := range accounts {
		s += fmt.Sprintf("[[account]]\nname = \"a%d\"\ncustomer = \"%016x\"\nplan = \"wide\"\nkeys = [\"%x\"]\n", i, i+1, sha256.Sum256(fmt.Append(nil, "key-", i)))
	}
	return s
}

// checkRequest is a check as Traefik asks it, with what a browser sends; the id is the proxy's.
func checkRequest(key, id string) []byte {
	return []byte("GET /check HTTP/1.1\r\nHost: auth\r\nUser-Agent: Mozilla/5.0 (X11; Linux x86_64)\r\nAccept: */*\r\nAccept-Encoding: gzip\r\n" +
		"Authorization: Bearer " + key + "\r\nX-Forwarded-Method: GET\r\nX-Forwarded-Proto: https\r\nX-Forwarded-Host: flags.example.org\r\n" +
		"X-Forwarded-Uri: /v1/flags?user=42\r\nX-Forwarded-For: 192.0.2.7\r\nX-Request-Id: " + id + "\r\n\r\n")
}

// checks makes requests that differ in account and id.
func checks(conn, n int) []byte {
	return checkRequest("key-"+strconv.Itoa((conn*7+n)%accounts), strconv.Itoa(conn)+"-"+strconv.Itoa(n)+"-"+strconv.FormatInt(runID, 36))
}

// runID keeps the ids of one stretch from being repeats of another's.
var runID int64

// readHTTP reads an answer; true: it is 200.
func readHTTP(in *bufio.Reader) (bool, error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return false, err
	}
	ok := bytes.HasPrefix(line, []byte("HTTP/1.1 200 "))
	size := 0
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return false, err
		}
		if len(line) == 2 {
			break
		}
		if v, found := bytes.CutPrefix(line, []byte("Content-Length: ")); found {
			size, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
		}
	}
	_, err = in.Discard(size)
	return ok, err
}

// asks makes requests over RESP2.
func asks(conn, n int) []byte {
	id := strconv.Itoa(conn) + "-" + strconv.Itoa(n)
	s := "*4\r\n"
	for _, a := range []string{"Q.ASK", fmt.Sprintf("%016x", (conn*7+n)%accounts+1), id, "c=evaluate,t=wide,d=3000,units=1,spread=1,first=0"} {
		s += "$" + strconv.Itoa(len(a)) + "\r\n" + a + "\r\n"
	}
	return []byte(s)
}

// readRESP reads a bulk string or a line; true: it is a value.
func readRESP(in *bufio.Reader) (bool, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return false, err
	}
	if line[0] != '$' {
		return false, nil
	}
	n, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
	_, err = io.CopyN(io.Discard, in, int64(n+2))
	return true, err
}

func forwardAuth(lasts time.Duration, rounds int) error {
	var list []catalog.Endpoint
	for i := range 4 {
		s, err := flagserver.Start(flagserver.Config{Value: "value"})
		if err != nil {
			return err
		}
		defer s.Close()
		list = append(list, catalog.Serving(fmt.Sprint("s-", i), s.Addr()))
	}
	agent, err := catalog.Start(list...)
	if err != nil {
		return err
	}
	defer agent.Close()
	counter, err := quota.Start()
	if err != nil {
		return err
	}
	defer counter.Close()
	dir, err := os.MkdirTemp("", "benchmark")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "gapgapd.toml")
	if err := os.WriteFile(file, []byte(doorConfig(agent.Addr(), counter.Addr())), 0o600); err != nil {
		return err
	}
	bare, err := spawn("serve-bare")
	if err != nil {
		return err
	}
	defer bare.end()
	door, err := spawn("serve-door", file)
	if err != nil {
		return err
	}
	defer door.end()
	fmt.Printf("machine: %d cores; each server has one; %d connections, %d accounts, %v a stretch, %d rounds\n", runtime.NumCPU(), conns, accounts, lasts, rounds)

	full := func(c *child, name string, next func(conn, n int) []byte, read func(*bufio.Reader) (bool, error), rate float64) (l load, perCPU, perAllocs float64, err error) {
		runID++
		before, err := c.use()
		if err != nil {
			return l, 0, 0, err
		}
		if l, err = drive(conns, c.addr[name], next, read, rate, lasts); err != nil {
			return l, 0, 0, err
		}
		after, err := c.use()
		if l.odd*1000 > l.done {
			return l, 0, 0, fmt.Errorf("%d of %d answers on %s are odd", l.odd, l.done, name)
		}
		return l, (after.cpu - before.cpu).Seconds() * 1e6 / float64(l.done), float64(after.mallocs-before.mallocs) / float64(l.done), err
	}
	var ratios, cpuRatios, p99s, respCPU, respAllocs []float64
	for range rounds {
		b, bCPU, bAllocs, err := full(bare, "http", checks, readHTTP, 0)
		if err != nil {
			return err
		}
		d, dCPU, dAllocs, err := full(door, "http", checks, readHTTP, 0)
		if err != nil {
			return err
		}
		rate := float64(d.done) / lasts.Seconds() / 2
		bh, _, _, err := full(bare, "http", checks, readHTTP, rate)
		if err != nil {
			return err
		}
		dh, _, _, err := full(door, "http", checks, readHTTP, rate)
		if err != nil {
			return err
		}
		r, rCPU, rAllocs, err := full(door, "resp2", asks, readRESP, 0)
		if err != nil {
			return err
		}
		fmt.Printf("bare %6.0f/s %5.1f us %5.1f allocs | checks %6.0f/s %5.1f us %5.1f allocs | at %5.0f/s p50 %v and %v, p99 %v and %v | RESP2 %6.0f/s %5.1f us %5.1f allocs\n",
			float64(b.done)/lasts.Seconds(), bCPU, bAllocs, float64(d.done)/lasts.Seconds(), dCPU, dAllocs, rate, bh.quantile(.5), dh.quantile(.5), bh.quantile(.99), dh.quantile(.99),
			float64(r.done)/lasts.Seconds(), rCPU, rAllocs)
		ratios = append(ratios, float64(d.done)/float64(b.done))
		cpuRatios = append(cpuRatios, bCPU/dCPU)
		p99s = append(p99s, dh.quantile(.99).Seconds()/bh.quantile(.99).Seconds())
		respCPU, respAllocs = append(respCPU, dCPU/rCPU), append(respAllocs, dAllocs/rAllocs)
	}
	u, err := door.use()
	if err != nil {
		return err
	}
	fmt.Printf("checks a second against the bare handler:     %.2f (wanted: 0.6 or more)\n", median(ratios))
	fmt.Printf("  the same by CPU a check:                    %.2f\n", median(cpuRatios))
	fmt.Printf("p99 at half that rate against the bare one:   %.2f\n", median(p99s))
	fmt.Printf("CPU a check against a RESP2 request:          %.2f; allocations: %.2f\n", median(respCPU), median(respAllocs))
	fmt.Printf("resident memory of the door after it all:     %.0f MB\n", float64(u.rss)/(1<<20))
	return floods(door, lasts, rounds)
}

// floods compares a quiet account's latency with and without another's flood, in turns.
func floods(door *child, lasts time.Duration, rounds int) error {
	const quietRate, loudRate = 200.0, 20 * ceiling
	var ratios []float64
	for range rounds {
		var p99 [2]time.Duration
		var loudDone, loudOdd int
		for i, loud := range []bool{false, true} {
			runID++
			var wg sync.WaitGroup
			var err error
			if loud { // half of it by each protocol
				wg.Go(func() {
					var l load
					l, err = drive(8, door.addr["http"], func(conn, n int) []byte { return checkRequest("key-loud", fmt.Sprint(runID, "-", conn, "-", n)) }, readHTTP, loudRate/2, lasts)
					loudDone, loudOdd = l.done, l.odd
				})
				wg.Go(func() {
					drive(64, door.addr["resp2"], func(conn, n int) []byte {
						return bytes.Replace(bytes.Replace(asks(conn, n), fmt.Appendf(nil, "%016x", (conn*7+n)%accounts+1), []byte("00000000ffffffff"), 1),
							[]byte("$50\r\nc=evaluate,t=wide"), []byte("$54\r\nc=evaluate,t=business"), 1)
					}, readRESP, loudRate/2, lasts)
				})
			}
			q, e := drive(8, door.addr["http"], checks, readHTTP, quietRate, lasts)
			wg.Wait()
			if e != nil || err != nil {
				return fmt.Errorf("flood: %w, %w", e, err)
			}
			if q.odd > 0 {
				return fmt.Errorf("%d of the quiet account's checks were not allowed", q.odd)
			}
			p99[i] = q.quantile(.99)
		}
		fmt.Printf("quiet at %v/s: p99 %v alone, %v beside %d checks of a flood (%d refused)\n", quietRate, p99[0], p99[1], loudDone, loudOdd)
		ratios = append(ratios, p99[1].Seconds()/p99[0].Seconds())
	}
	fmt.Printf("a quiet account's p99 beside a flood at %.0f times a ceiling: %.2f (wanted: 1.3 or less)\n", loudRate/ceiling, median(ratios))
	return nil
}
