package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
)

// A flood takes every connection that it can get and keeps it busy: who comes anew to the quiet pool is served all the
// same, and a connection that it has is never taken away.
func TestPoolsConnectionsAreGuaranteed(t *testing.T) {
	// 124 for clients
	w := startPools(t, "quiet", to("loud", "loud", `host = "loud.org"`), "quiet", "loud", "sockets = 2048",
		"sockets = 200")
	w.servers["loud"].Set(flagserver.Config{Silent: true})
	keeps := peer.Dial(t, w.gateway.resp)
	if got := w.resp(keeps, "first", ""); got != "from quiet" {
		t.Fatal(got)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 200 { // each keeps a request open, and comes back when it is sent away
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				nc, err := net.Dial("tcp", w.gateway.resp)
				if err != nil {
					return
				}
				in := bufio.NewReader(nc)
				// the pause for want of a place
				for line := ""; err == nil && !strings.HasPrefix(line, "-BUSY 100"); n++ {
					select {
					case <-stop:
						err = io.EOF
					default:
						_, _ = nc.Write([]byte(peer.Command("Q.ASK", customers["small"], fmt.Sprint("f", i, "-", n),
							"c=evaluate,t=open,d=500,units=1,spread=1,first=0,host=loud.org")))
						line, err = in.ReadString('\n')
					}
				}
				_ = nc.Close()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	full := func() bool {
		for _, f := range w.gateway.PoolStats() {
			if f.Name == "loud" && f.Refused > 0 {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(peer.Patient); !full(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the flood never filled the places")
		}
	}
	const newcomers = 20
	tries := 0
	for i := range newcomers {
		for n := 0; ; n++ {
			if tries++; n > 100 {
				t.Fatal("a newcomer of the quiet pool is never served")
			}
			nc, err := net.Dial("tcp", w.gateway.resp)
			if err != nil {
				t.Fatal(err)
			}
			p := peer.New(t, nc)
			_, _ = fmt.Fprint(nc, peer.Command("Q.ASK", customers["small"], fmt.Sprint("n", i, "-", n),
				"c=evaluate,t=open,d=3000,units=1,spread=1,first=0"))
			m, err := p.Try()
			if err == nil && m[0] == "from quiet" {
				break
			}
			_ = nc.Close()
		}
		from := time.Now()
		if got := w.resp(keeps, fmt.Sprint("k", i), ""); got != "from quiet" {
			t.Fatalf("the kept connection: %q after %v %+v", got, time.Since(from), w.gateway.PoolStats())
		}
	}
	t.Logf("%d newcomers came in with %d tries", newcomers, tries)
	close(stop)
	wg.Wait()
	if most := w.gateway.Conns.Max(); w.gateway.Conns.Len() > most {
		t.Errorf("%d connections of %d", w.gateway.Conns.Len(), most)
	}
}

// A flood whose servers are silent holds all the memory that it can get, in long commands that wait: the quiet pool's
// long commands are read and served, and the whole is never passed.
func TestPoolsMemoryIsGuaranteed(t *testing.T) {
	// 2 MB for clients
	w := startPools(t, "quiet", to("loud", "loud", `host = "loud.org"`), "quiet", "loud", "sockets = 2048",
		"sockets = 2048\nmemory_mb = 8")
	w.servers["loud"].Set(flagserver.Config{Silent: true})
	body := strings.Repeat("x", 40<<10)
	var all []*peer.Peer
	for i := range 100 { // what has begun to come and is not whole, 4 MB of it, on connections of the loud pool
		p := peer.Dial(t, w.gateway.resp)
		p.Command("Q.ASK", customers["small"], fmt.Sprint("l", i),
			"c=evaluate,t=open,d=30,units=1,spread=1,first=0,host=loud.org")
		p.Message()
		whole := peer.Command("Q.ASK", customers["small"], fmt.Sprint("m", i), "c=evaluate", body)
		_, _ = io.WriteString(p.NC, strings.TrimSuffix(whole, "xx\r\n"))
		all = append(all, p)
	}
	refused := func() uint64 {
		for _, f := range w.gateway.PoolStats() {
			if f.Name == "loud" {
				return f.Memory.Refused
			}
		}
		return 0
	}
	for end := time.Now().Add(peer.Patient); refused() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the flood never filled the memory")
		}
	}
	p := peer.Dial(t, w.gateway.resp)
	for i := range 10 {
		p.Command("Q.ASK", customers["small"], fmt.Sprint("q", i), "c=evaluate,t=open,d=3000,units=1,spread=1,first=0",
			body)
		if got := p.Message()[0]; got != "from quiet" {
			t.Fatalf("a long command of the quiet pool: %q", got)
		}
	}
	// answers on their way are counted whatever there is
	if limit := w.gateway.limits.memory; limit.Held() > limit.Total()+128<<10 {
		t.Errorf("%d bytes held of %d", limit.Held(), limit.Total())
	}
	for _, p := range all {
		_ = p.NC.Close()
	}
	_ = p.NC.Close()
	for end := time.Now().Add(peer.Patient); w.gateway.limits.memory.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes stay held when all clients have gone: %+v", w.gateway.limits.memory.Held(),
				w.gateway.PoolStats())
		}
	}
}

// Connections to servers: a pool that holds all that it can borrow, idle, gives back when another wants them; and one
// that keeps them busy leaves the other its guarantee.
func TestPoolsSocketsAreGivenBack(t *testing.T) {
	// 20 for servers, 5 guaranteed each
	w := startPools(t, "quiet", to("loud", "loud", `host = "loud.org"`), "quiet", "loud", "sockets = 2048",
		"sockets = 72")
	burst := func(host, id string, n int) (served int) {
		var wg sync.WaitGroup
		var ok atomic.Int64
		for i := range n {
			wg.Go(func() {
				p := peer.Dial(t, w.gateway.resp)
				defer func() { _ = p.NC.Close() }()
				p.Command("Q.ASK", customers["small"], fmt.Sprint(id, i),
					"c=evaluate,t=open,d=3000,units=1,spread=1,first=0,host="+host)
				if m, err := p.Try(); err == nil && strings.HasPrefix(m[0], "from") {
					ok.Add(1)
				}
			})
		}
		wg.Wait()
		return int(ok.Load())
	}
	w.servers["loud"].Set(flagserver.Config{Value: "from loud", Delay: 100 * time.Millisecond})
	for i := 0; ; i++ {
		burst("loud.org", fmt.Sprint("l", i, "-"), 20)
		if _, most, _ := w.servers["loud"].Conns(); most >= 8 {
			break
		} else if i > 20 {
			t.Fatalf("the loud pool never borrows: %d connections", most)
		}
	}
	w.servers["quiet"].Set(flagserver.Config{Value: "from quiet", Delay: 50 * time.Millisecond})
	if n := burst("quiet.org", "q", 4); n != 4 { // as many as the module sends to a server at first
		t.Errorf("%d of 4 of the quiet pool served", n)
	}
	if limit := w.gateway.limits.sockets; limit.Held() > limit.Total() {
		t.Errorf("%d sockets of %d", limit.Held(), limit.Total())
	}
}

// A server in two pools with a cap on its connections holds no more of them than that, both pools asking at once, and
// both are served by it.
func TestPoolsServerConnectionsAreShared(t *testing.T) {
	const most = 6
	w := startPools(t, "a", to("b", "b", `host = "b.org"`), "a", "b", `discovery = `,
		"server_connections = 6\ndiscovery = ")
	shared, err := flagserver.Start(flagserver.Config{Value: "shared", Keep: true, Delay: 5 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(shared.Close)
	w.agents["a"].Set(catalog.Serving("x", shared.Addr()))
	w.agents["b"].Set(catalog.Serving("y", shared.Addr()))
	var served [2]atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			p := peer.Dial(t, w.gateway.resp)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if w.resp(p, fmt.Sprint(i, "-", n), []string{"", ",host=b.org"}[i%2]) == "shared" {
					served[i%2].Add(1)
				}
			}
		})
	}
	isServed := func() bool { return served[0].Load() >= 50 && served[1].Load() >= 50 }
	for end := time.Now().Add(peer.Patient); !isServed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("served %d and %d", served[0].Load(), served[1].Load())
		}
	}
	close(stop)
	wg.Wait()
	if _, at, _ := shared.Conns(); at > most+2 { // what was closed here may still count there for a moment
		t.Errorf("%d connections at once to a server that bears %d", at, most)
	}
}
