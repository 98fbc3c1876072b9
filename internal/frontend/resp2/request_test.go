package resp2

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/eventloop"
	"gapgap/internal/fake/peer"
	"gapgap/internal/proxy"
)

// newParser returns a frontend and a pool with one class and one plan, for parseRequest.
func newParser(t testing.TB) (*Frontend, *proxy.Proxy) {
	t.Helper()
	rules := proxy.Rules{
		Classes: []string{"evaluate"},
		Plans:   []string{"open"},
		Settings: balancer.Settings{
			Gateways:    1,
			MaxAttempts: 1,
			Classes:     []balancer.Class{{PriorityWeight: 1, ClientTimeout: 30 * time.Second}},
			Plans:       []balancer.Plan{{PriorityFactor: 1}},
		},
	}
	loop := eventloop.New()
	t.Cleanup(loop.Close)
	pool, err := proxy.New(loop, proxy.Config{Start: rules}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return &Frontend{}, pool
}

// listWith returns the key=value list of a valid request with so many names. Those that it adds are unknown.
func listWith(names, nameBytes int) []byte {
	list := []byte(peer.List)
	for n := bytes.Count(list, []byte{'='}); n < names; n++ {
		list = fmt.Appendf(list, ",%0*x", nameBytes, n)
	}
	return list
}

// parse parses a Q.ASK with a list.
func parse(fr *Frontend, pool *proxy.Proxy, list []byte) (*request, error) {
	return fr.parseRequest(pool, "Q.ASK", [][]byte{[]byte("Q.ASK"), []byte(peer.Customer), []byte("1"), list}, 0)
}

// TestNamesOfARequestAreBounded guards against commands that name thousands of keys: a list has a bound on its names,
// and the error says so.
func TestNamesOfARequestAreBounded(t *testing.T) {
	fr, pool := newParser(t)
	for names, wantError := range map[int]bool{
		maxListNames - 1: false,
		maxListNames:     false,
		maxListNames + 1: true,
		15000:            true,
	} {
		_, err := parse(fr, pool, listWith(names, 4))
		if (err != nil) != wantError {
			t.Errorf("%d names: error %v, want one %v", names, err, wantError)
		}
		if err != nil && !strings.Contains(err.Error(), fmt.Sprint(maxListNames)) {
			t.Errorf("%d names: the error %q does not name the bound", names, err)
		}
	}
}

// TestRepeatedNamesAreRejected verifies that a name that is given twice is rejected wherever it stands, known or not,
// and that the error line stays short however long the name is.
func TestRepeatedNamesAreRejected(t *testing.T) {
	fr, pool := newParser(t)
	long := strings.Repeat("n", 20000)
	for _, list := range []string{
		peer.List + ",d=5",
		peer.List + ",x=1,x=1",
		peer.List + ",,",
		string(listWith(maxListNames-1, 4)) + ",first=0",
		peer.List + "," + long + "," + long,
	} {
		_, err := parse(fr, pool, []byte(list))
		if err == nil || !strings.Contains(err.Error(), "given twice") {
			t.Errorf("%.200q: error %v", list, err)
			continue
		}
		if n := len(err.Error()); n > 100 {
			t.Errorf("an error line of %d bytes", n)
		}
	}
}

// fastestOf returns the shortest of many times that each of two functions takes, in turns.
func fastestOf(f, g func()) (shortestOfF, shortestOfG time.Duration) {
	shortestOfF, shortestOfG = math.MaxInt64, math.MaxInt64
	for range 60 {
		began := time.Now()
		f()
		between := time.Now()
		g()
		shortestOfF = min(shortestOfF, between.Sub(began))
		shortestOfG = min(shortestOfG, time.Since(between))
	}
	return shortestOfF, shortestOfG
}

// TestParsingTakesLinearTime guards against a command whose cost grows with the square of its length: a list of four
// times as many names, or of names or a value four times as long, takes about four times as long, not sixteen times.
func TestParsingTakesLinearTime(t *testing.T) {
	fr, pool := newParser(t)
	for name, lists := range map[string][2][]byte{
		"names":          {listWith(3500, 4), listWith(14000, 4)},
		"long names":     {listWith(maxListNames, 200), listWith(maxListNames, 800)},
		"one long value": {listWith(10, 10000), listWith(10, 40000)},
	} {
		t.Run(name, func(t *testing.T) {
			once, fourTimes := fastestOf(
				func() { _, _ = parse(fr, pool, lists[0]) },
				func() { _, _ = parse(fr, pool, lists[1]) },
			)
			if ratio := float64(fourTimes) / float64(max(once, 10*time.Microsecond)); ratio > 10 {
				t.Errorf("four times the input takes %.1f times as long (%v, %v)", ratio, once, fourTimes)
			}
		})
	}
}

// BenchmarkParseRequest measures the parser by the number of names in the list.
func BenchmarkParseRequest(b *testing.B) {
	fr, pool := newParser(b)
	for _, names := range []int{6, 100, 1000, 15000} {
		list := listWith(names, 3)
		b.Run(fmt.Sprint(names), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = parse(fr, pool, list)
			}
		})
	}
}
