package hosted

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
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

// poolsWorld is a gateway with pools, each with servers of its own that say the pool's name.
type poolsWorld struct {
	*world
	agents  map[string]*catalog.Agent
	servers map[string]*flagserver.Server
	gateway *gateway
}

// poolsHead is what stands before the pools.
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

// startPools runs a gateway with two pools. The edits change the text of its configuration, in pairs of old and new.
func startPools(t testing.TB, fallback, more, one, two string, edits ...string) *poolsWorld {
	t.Helper()
	w := &poolsWorld{world: start(t, 0), agents: map[string]*catalog.Agent{}, servers: map[string]*flagserver.Server{}}
	text := w.config(fallback, more, one, two)
	for i := 0; i < len(edits); i += 2 {
		text = strings.ReplaceAll(text, edits[i], edits[i+1])
	}
	w.gateway = w.run(text)
	return w
}

// resp asks over RESP2 and returns the answer.
func (w *poolsWorld) resp(p *peer.Peer, id, more string) string {
	p.Command("Q.ASK", customers["small"], id, "c=evaluate,t=open,d=3000,units=1,spread=1,first=0"+more)
	return p.Message()[0]
}

// clientStats is what a pool's client sees of its service: requests by both protocols, of which so many were served
// within the aim, and the longest time.
type clientStats struct {
	asked, served int
	longest       time.Duration
}

// quiet asks a pool now and then by both protocols, over connections that it keeps.
func (w *poolsWorld) quiet(host, id, want string, times int) (f clientStats) {
	p, c := peer.Dial(w.t, w.gateway.resp), client()
	for i := range times {
		f.asked += 2
		from := time.Now()
		if w.resp(p, fmt.Sprint(id, i), ",host="+host) == want && time.Since(from) < 2*time.Second { // the aim
			f.served++
		}
		f.longest = max(f.longest, time.Since(from))
		from = time.Now()
		code, _, _ := ask(w.t, c, w.gateway.http+"/check", append(bearer("free"), "X-Forwarded-Host", host)...)
		if code == 200 && time.Since(from) < 2*time.Second {
			f.served++
		}
		f.longest = max(f.longest, time.Since(from))
		time.Sleep(5 * time.Millisecond)
	}
	return f
}

// flood asks a pool from many connections, as fast as answers come and with more than one open on each. One that is
// sent away comes back.
func (w *poolsWorld) flood(stop chan struct{}, wg *sync.WaitGroup, conns int, host string, body ...string) {
	for i := range conns {
		wg.Go(func() {
			for n := 0; ; {
				nc, err := net.Dial("tcp", w.gateway.resp)
				if err != nil {
					return
				}
				gone := make(chan struct{})
				go func() {
					defer close(gone)
					b := make([]byte, 64<<10)
					for {
						if _, err := nc.Read(b); err != nil {
							return
						}
					}
				}()
				for here := true; here; n++ {
					args := []string{
						"Q.ASK",
						customers["small"],
						fmt.Sprint("f", i, "-", n),
						"c=evaluate,t=open,d=500,units=1,spread=1,first=0,host=" + host,
					}
					args = append(args, body...)
					_ = nc.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
					_, _ = nc.Write([]byte(peer.Command(args...)))
					select {
					case <-stop:
						_ = nc.Close()
						<-gone
						return
					case <-gone:
						here = false
					default:
					}
				}
				_ = nc.Close()
			}
		})
	}
}
