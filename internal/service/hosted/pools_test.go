package hosted

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"snowhall/internal/standin/catalog"
	"snowhall/internal/standin/flagserver"
	"snowhall/internal/standin/peer"
)

// poolText is one pool; the arguments are its name, discovery and counter.
const poolText = `
[[pool]]
name = %q
discovery = %q
counter = %q
[pool.limits]
retry_after = "5s"
counter_timeout = "2s"
max_units = 10.0
probe = true
[[pool.class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "2s"
give_up = "3s"
[[pool.plan]]
name = "open"
[[pool.plan]]
name = "business"
rate = 20.0
burst = 20.0
over_worth = 0.2
ceiling_rate = 40.0
ceiling_depth = 40.0
[[pool.rule]]
class = "evaluate"
`

// poolsWorld is a front door with pools, each with servers of its own that say the pool's name.
type poolsWorld struct {
	*world
	agents  map[string]*catalog.Agent
	servers map[string]*flagserver.Server
	d       *door
}

// head is what stands before the pools.
const poolsHead = `
[node]
seed = "7"
sockets = 2048
%s
[[listener]]
name = "resp"
protocol = "resp2"
address = "127.0.0.1:0"
[[listener]]
name = "http"
protocol = "authz"
address = "127.0.0.1:0"
trusted = ["127.0.0.1"]
end_path = "/end"
[[listener.check]]
path = "/check"
dialect = "traefik"
repeat = "request-id"
default_class = "evaluate"
[[account]]
name = "free"
customer = "0000000000000001"
plan = "open"
keys = ["%x"]
[[account]]
name = "big"
customer = "0000000000000002"
plan = "business"
keys = ["%x"]
`

// server starts a pool's flag server and agent.
func (w *poolsWorld) server(name string) {
	w.t.Helper()
	if w.servers[name] != nil {
		return
	}
	s, err := flagserver.Start(flagserver.Config{Value: "from " + name, Keep: true})
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(s.Close)
	a, err := catalog.Start(catalog.Serving("s-"+name, s.Addr()))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(a.Close)
	w.servers[name], w.agents[name] = s, a
}

// config is a configuration with some pools and more text, such as routes.
func (w *poolsWorld) config(fallback string, more string, pools ...string) string {
	w.t.Helper()
	def := ""
	if fallback != "" {
		def = fmt.Sprintf("default_pool = %q", fallback)
	}
	text := fmt.Sprintf(poolsHead, def, sha("key-free"), sha("key-big"))
	for _, p := range pools {
		w.server(p)
		text += fmt.Sprintf(poolText, p, w.agents[p].Addr(), w.counter.Addr())
	}
	return text + more
}

// to is a route to a pool.
func to(name, pool, match string) string {
	return fmt.Sprintf("[[route]]\nname = %q\n%s\nto = [{pool = %q}]\n", name, match, pool)
}

func startPools(t testing.TB, fallback, more string, pools ...string) *poolsWorld {
	t.Helper()
	w := &poolsWorld{world: start(t, 0), agents: map[string]*catalog.Agent{}, servers: map[string]*flagserver.Server{}}
	w.d = w.run(w.config(fallback, more, pools...))
	return w
}

// resp asks over RESP2 and returns the answer.
func (w *poolsWorld) resp(p *peer.Peer, id, more string) string {
	p.Command("Q.ASK", customers["small"], id, "c=evaluate,t=open,d=3000,units=1,spread=1,first=0"+more)
	return p.Message()[0]
}

// Requests go where the table says, by both protocols, and to nothing else.
func TestPoolsRouteBothProtocols(t *testing.T) {
	w := startPools(t, "", to("flags", "flags", `host = "flags.example.org"`)+to("audit", "audit", `host = "*.audit.example.org"`)+
		to("resp", "audit", `listener = "resp"`+"\n"+`account = "free"`), "flags", "audit")
	p := peer.Dial(t, w.d.resp)
	for id, c := range map[string][2]string{"1": {"", "from audit"}, "2": {",host=flags.example.org", "from flags"}, "3": {",host=x.audit.example.org", "from audit"}} {
		if got := w.resp(p, id, c[0]); got != c[1] {
			t.Errorf("%q: %q", c[0], got)
		}
	}
	p.Command("Q.ASK", customers["big"], "4", "c=evaluate,t=business,d=300,units=1,spread=1,first=0")
	p.WantsPrefix("-ERR no route")
	for host, want := range map[string]int{"flags.example.org": 200, "x.audit.example.org:443": 200, "Flags.Example.ORG.": 200, "audit.example.org": 403, "other.org": 403} {
		code, _, body := ask(t, client(), w.d.http+"/check", append(bearer("free"), "X-Forwarded-Host", host)...)
		if code != want || want == 403 && !strings.Contains(body, "no-route") {
			t.Errorf("%s: %d %s", host, code, body)
		}
	}
}

// Two pools with one account share no number: what one spends of its plan and ceiling there is not missing here.
func TestPoolsKeepCountsApart(t *testing.T) {
	w := startPools(t, "a", to("b", "b", `host = "b.org"`), "a", "b")
	count := func(host string, for_ time.Duration) (n int) {
		c := client()
		for end := time.Now().Add(for_); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			if code, _, _ := ask(t, c, w.d.http+"/check", append(bearer("big"), "X-Forwarded-Host", host)...); code == 200 {
				n++
			}
		}
		return n
	}
	a := count("a.org", 1500*time.Millisecond)
	b := count("b.org", 1500*time.Millisecond)
	// Both fill at 40 a second from their start; b's had time to fill to its depth.
	if a < 40 || a > 75 || b < 75 || b > 115 {
		t.Errorf("%d and %d allowed; the second is not to feel the first", a, b)
	}
}

// A table that is swapped under load, hundreds of times and also for bad ones, loses no request, and none is answered by a
// pool that neither the old nor the new table names.
func TestPoolsSwapsUnderLoad(t *testing.T) {
	const swaps = 200
	w := startPools(t, "a", "", "a", "b", "c")
	texts := []string{w.config("a", "", "a", "b", "c"), w.config("b", to("x", "b", `host = "h"`), "a", "b"),
		w.config("a", to("x", "b", `host = "h"`), "a", "b", "c")}
	bad := []string{w.config("c", "", "a", "b"), w.config("a", to("x", "c", ""), "a", "b"), w.config("a", "wrong = 1", "a", "b")}
	var cfgs []*Config
	for _, text := range texts {
		cfg, err := Parse("x", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		cfgs = append(cfgs, cfg)
	}
	for _, text := range bad {
		var e *Error
		if _, err := Parse("x", []byte(text)); !errors.As(err, &e) || e.Line == 0 {
			t.Errorf("a bad table: %v", err)
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var answered, odd atomic.Int64
	for i := range 4 {
		wg.Go(func() {
			c, p := client(), peer.Dial(t, w.d.resp)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				got := w.resp(p, fmt.Sprint(i, "-", n), "")
				if got != "from a" && got != "from b" { // no table sends here to c
					odd.Add(1)
					t.Errorf("answered %q", got)
					return
				}
				if code, _, _, err := try(c, w.d.http+"/check", bearer("free")...); err != nil || code != 200 {
					odd.Add(1)
					t.Errorf("a check: %d %v", code, err)
					return
				}
				answered.Add(2)
			}
		})
	}
	for range swaps {
		if err := w.d.Reload(cfgs[rand.IntN(len(cfgs))]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	if odd.Load() > 0 || answered.Load() < swaps {
		t.Errorf("%d answered, %d odd", answered.Load(), odd.Load())
	}
}

// A pool that is removed answers what it took, though no route leads to it any more.
func TestPoolsRemovalAnswersWhatWasTaken(t *testing.T) {
	w := startPools(t, "a", to("b", "b", `host = "b.org"`), "a", "b")
	w.servers["b"].Set(flagserver.Config{Value: "from b", Delay: 400 * time.Millisecond})
	p := peer.Dial(t, w.d.resp)
	p.Command("Q.ASK", customers["small"], "1", "c=evaluate,t=open,d=3000,units=1,spread=1,first=0,host=b.org")
	for w.d.Pools()["b"] == 0 {
		time.Sleep(time.Millisecond)
	}
	cfg, err := Parse("x", []byte(w.config("a", "", "a")))
	if err != nil {
		t.Fatal(err)
	}
	if err := w.d.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	if _, there := w.d.Pools()["b"]; there {
		t.Error("the pool is still there")
	}
	p.Command("Q.ASK", customers["small"], "2", "c=evaluate,t=open,d=3000,units=1,spread=1,first=0,host=b.org")
	p.Wants("from b")
	p.Wants("from a")
}

// Adding and removing pools again and again leaves nothing behind: goroutines, descriptors and memory stay flat.
func TestPoolsComeAndGo(t *testing.T) {
	const times = 300 // of one pool added and one removed each; the thousand of the issue take a minute, see cmd/measure
	w := startPools(t, "a", "", "a", "b")
	one, err := Parse("x", []byte(w.config("a", "", "a")))
	if err != nil {
		t.Fatal(err)
	}
	two, err := Parse("x", []byte(w.config("a", to("b", "b", `host = "b.org"`), "a", "b")))
	if err != nil {
		t.Fatal(err)
	}
	round := func() {
		for _, cfg := range []*Config{one, two} {
			if err := w.d.Reload(cfg); err != nil {
				t.Fatal(err)
			}
		}
	}
	settled := func() (goroutines int, heap uint64) {
		w.d.leaves.Wait()
		http.DefaultClient.CloseIdleConnections()
		for last := -1; ; time.Sleep(20 * time.Millisecond) {
			if goroutines = runtime.NumGoroutine(); goroutines == last {
				break
			}
			last = goroutines
		}
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return goroutines, m.HeapAlloc
	}
	for range 20 {
		round()
	}
	before, heap := settled()
	for range times {
		round()
	}
	after, now := settled()
	if after > before+20 || now > heap+4<<20 {
		t.Errorf("%d goroutines and %d KB before, %d and %d after %d rounds", before, heap>>10, after, now>>10, times)
	}
	if n := w.d.Shared.Len(); n != 2 {
		t.Errorf("%d pools are kept", n)
	}
}

// One pool is overwhelmed while another is quiet: by a flood, by servers that all fall silent, and by clients that ask for
// values of 60 MB. Every request of the quiet one is served, in time.
func TestPoolsQuietBesideOverwhelmed(t *testing.T) {
	for name, trouble := range map[string]func(w *poolsWorld, stop chan struct{}, wg *sync.WaitGroup){
		"flood": func(w *poolsWorld, stop chan struct{}, wg *sync.WaitGroup) { w.flood(stop, wg, 16) },
		"silent servers": func(w *poolsWorld, stop chan struct{}, wg *sync.WaitGroup) {
			w.servers["loud"].Set(flagserver.Config{Silent: true})
			w.flood(stop, wg, 16)
		},
		"60 MB": func(w *poolsWorld, stop chan struct{}, wg *sync.WaitGroup) {
			for range 8 {
				wg.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						nc, err := net.Dial("tcp", w.d.resp)
						if err != nil {
							continue
						}
						fmt.Fprintf(nc, "*2\r\n$4\r\nPING\r\n$60000000\r\n%s", strings.Repeat("x", 1<<20))
						nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
						nc.Read(make([]byte, 100))
						nc.Close()
					}
				})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := startPools(t, "quiet", to("loud", "loud", `host = "loud.org"`), "quiet", "loud")
			stop := make(chan struct{})
			var wg sync.WaitGroup
			trouble(w, stop, &wg)
			p, c := peer.Dial(t, w.d.resp), client()
			served, took := 0, time.Duration(0)
			for i := range 100 {
				from := time.Now()
				if w.resp(p, fmt.Sprint("q", i), "") == "from quiet" {
					served++
				}
				if code, _, _ := ask(t, c, w.d.http+"/check", bearer("free")...); code == 200 {
					served++
				}
				took = max(took, time.Since(from))
				time.Sleep(5 * time.Millisecond)
			}
			close(stop)
			wg.Wait()
			if served < 198 || took > 2*time.Second { // the aim
				t.Errorf("%d of 200 served, the longest in %v", served, took)
			}
		})
	}
}

// flood asks the loud pool from many connections, as fast as answers come and with more than one open on each.
func (w *poolsWorld) flood(stop chan struct{}, wg *sync.WaitGroup, conns int) {
	for i := range conns {
		wg.Go(func() {
			nc, err := net.Dial("tcp", w.d.resp)
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
				nc.Write([]byte(peer.Command("Q.ASK", customers["small"], fmt.Sprint("f", i, "-", n), "c=evaluate,t=open,d=500,units=1,spread=1,first=0,host=loud.org")))
			}
		})
	}
}

// A server that stands in two pools, under two names: a drain or a removal told to one pool stops both within the 250 ms,
// also if the other pool's source goes on listing it; told in service again by its own source, a pool takes it up.
func TestPoolsSharedServerDrains(t *testing.T) {
	w := startPools(t, "a", to("b", "b", `host = "b.org"`), "a", "b")
	shared, err := flagserver.Start(flagserver.Config{Value: "shared", Keep: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(shared.Close)
	own := func(pool string) catalog.Endpoint { return catalog.Serving("s-"+pool, w.servers[pool].Addr()) }
	at := func(name, status string) catalog.Endpoint {
		e := catalog.Serving(name, shared.Addr())
		e.Status = status
		return e
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			p := peer.Dial(t, w.d.resp)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				w.resp(p, fmt.Sprint(i, "-", n), []string{"", ",host=b.org"}[i%2])
			}
		})
	}
	// sends counts what comes to the shared server while something is looked at, a grace after it is told.
	sends := func(grace, while time.Duration) int {
		time.Sleep(grace)
		before := len(shared.Sent())
		time.Sleep(while)
		return len(shared.Sent()) - before
	}
	both := func() {
		t.Helper()
		for end := time.Now().Add(peer.Patient); sends(0, 100*time.Millisecond) == 0; {
			if time.Now().After(end) {
				t.Fatal("the server is never used")
			}
		}
	}
	w.agents["a"].Set(own("a"), at("x", "SERVING"))
	w.agents["b"].Set(own("b"), at("y", "SERVING"))
	both()
	w.agents["a"].Set(own("a"), at("x", "DRAINING"))
	if n := sends(250*time.Millisecond, 300*time.Millisecond); n > 0 {
		t.Errorf("%d sends after a drain told to one pool", n)
	}
	w.agents["b"].Set(own("b"), at("y", "SERVING")) // it goes on listing it
	if n := sends(250*time.Millisecond, 200*time.Millisecond); n > 0 {
		t.Errorf("%d sends to a server that drains for another pool", n)
	}
	w.agents["a"].Set(own("a"), at("x", "SERVING"))
	both()
	w.agents["a"].Set(own("a")) // removed from one
	if n := sends(250*time.Millisecond, 300*time.Millisecond); n > 0 {
		t.Errorf("%d sends after a removal told to one pool", n)
	}
	w.agents["b"].Set(own("b"), at("y", "SERVING"))
	both() // its own source insists
	close(stop)
	wg.Wait()
}
