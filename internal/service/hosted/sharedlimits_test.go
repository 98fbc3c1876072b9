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

// TestPoolsConnectionsAreGuaranteed verifies that, while a flood of one pool keeps every connection that it can get
// busy, new clients of another pool are still served, and an open connection of that pool is not closed.
func TestPoolsConnectionsAreGuaranteed(t *testing.T) {
	// 124 of the 200 sockets are for clients.
	w := startPools(t, "quiet", routeTo("loud", "loud", `host = "loud.org"`), "quiet", "loud", "sockets = 2048",
		"sockets = 200")
	w.servers["loud"].Set(flagserver.Config{Silent: true})
	persistent := peer.Dial(t, w.gateway.resp)
	if got := w.askRESP2(persistent, "first", ""); got != "from quiet" {
		t.Fatal(got)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 200 { // each keeps a request in flight, and reconnects when it is rejected
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
				// -BUSY 100 is the answer to a connection without capacity.
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
			t.Fatal("the flood does not use up the connections")
		}
	}
	const newClients = 20
	tries := 0
	for i := range newClients {
		for n := 0; ; n++ {
			if tries++; n > 100 {
				t.Fatal("a new client of the quiet pool is never served")
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
		if got := w.askRESP2(persistent, fmt.Sprint("k", i), ""); got != "from quiet" {
			t.Fatalf("the persistent connection: %q after %v %+v", got, time.Since(from), w.gateway.PoolStats())
		}
	}
	t.Logf("%d new clients were served in %d attempts", newClients, tries)
	close(stop)
	wg.Wait()
	if limit := w.gateway.Conns.Max(); w.gateway.Conns.Len() > limit {
		t.Errorf("%d connections, over the limit of %d", w.gateway.Conns.Len(), limit)
	}
}

// TestPoolsMemoryIsGuaranteed verifies that, while one pool holds all the memory that it can get in long, incomplete
// commands, long commands of another pool are read and served, and the total limit is not exceeded.
func TestPoolsMemoryIsGuaranteed(t *testing.T) {
	// 2 of the 8 MB are for clients.
	w := startPools(t, "quiet", routeTo("loud", "loud", `host = "loud.org"`), "quiet", "loud", "sockets = 2048",
		"sockets = 2048\nmemory_mb = 8")
	w.servers["loud"].Set(flagserver.Config{Silent: true})
	body := strings.Repeat("x", 40<<10)
	var all []*peer.Peer
	for i := range 100 { // incomplete commands on connections of the loud pool, 4 MB in total
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
			t.Fatal("the flood does not use up the memory")
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
	// Answers being written count without a limit.
	if limit := w.gateway.limits.memory; limit.Held() > limit.Total()+128<<10 {
		t.Errorf("%d bytes held, over the limit of %d", limit.Held(), limit.Total())
	}
	for _, p := range all {
		_ = p.NC.Close()
	}
	_ = p.NC.Close()
	for end := time.Now().Add(peer.Patient); w.gateway.limits.memory.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes remain held after all clients have disconnected: %+v", w.gateway.limits.memory.Held(),
				w.gateway.PoolStats())
		}
	}
}

// TestPoolsSocketsAreGivenBack verifies that a pool which holds all the connections to endpoints that it can borrow
// releases idle ones when another pool needs them.
func TestPoolsSocketsAreGivenBack(t *testing.T) {
	// 20 of the 72 sockets are for endpoints, and each pool is guaranteed 5.
	w := startPools(t, "quiet", routeTo("loud", "loud", `host = "loud.org"`), "quiet", "loud", "sockets = 2048",
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
		if _, highest, _ := w.servers["loud"].Conns(); highest >= 8 {
			break
		} else if i > 20 {
			t.Fatalf("the loud pool never borrows: %d connections", highest)
		}
	}
	w.servers["quiet"].Set(flagserver.Config{Value: "from quiet", Delay: 50 * time.Millisecond})
	if n := burst("quiet.org", "q", 4); n != 4 { // the balancer's initial concurrency limit of an endpoint
		t.Errorf("%d of 4 of the quiet pool served", n)
	}
	if limit := w.gateway.limits.sockets; limit.Held() > limit.Total() {
		t.Errorf("%d sockets, over the limit of %d", limit.Held(), limit.Total())
	}
}

// TestPoolsServerConnectionsAreShared verifies that two pools which send requests to one endpoint at the same time
// together keep its connection limit, and that the endpoint serves both.
func TestPoolsServerConnectionsAreShared(t *testing.T) {
	const limit = 6
	w := startPools(t, "a", routeTo("b", "b", `host = "b.org"`), "a", "b", `discovery = `,
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
				if w.askRESP2(p, fmt.Sprint(i, "-", n), []string{"", ",host=b.org"}[i%2]) == "shared" {
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
	// Connections that the gateway has closed may still count highest the endpoint for a moment.
	if _, highest, _ := shared.Conns(); highest > limit+2 {
		t.Errorf("%d concurrent connections to an endpoint with a limit of %d", highest, limit)
	}
}
