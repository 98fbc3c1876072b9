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

// poolConfig is the configuration of one pool. Its arguments are the pool's name, discovery and counter.
const poolConfig = `
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

// poolsEnv is a gateway with pools. Each pool has its own endpoint, which answers with the pool's name.
type poolsEnv struct {
	*testEnv
	agents  map[string]*catalog.Agent
	servers map[string]*flagserver.Server
	gateway *gateway
}

// poolsConfigHead is the configuration before the pools. Its arguments are more keys of [node] and two key hashes.
const poolsConfigHead = `
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

// startServer starts the flag server and the endpoint list of a pool.
func (w *poolsEnv) startServer(name string) {
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

// configText returns a configuration with some pools and additional tables, such as routes.
func (w *poolsEnv) configText(fallback string, more string, pools ...string) string {
	w.t.Helper()
	def := ""
	if fallback != "" {
		def = fmt.Sprintf("default_pool = %q", fallback)
	}
	text := fmt.Sprintf(poolsConfigHead, def, keyHash("key-free"), keyHash("key-big"))
	for _, p := range pools {
		w.startServer(p)
		text += fmt.Sprintf(poolConfig, p, w.agents[p].Addr(), w.counter.Addr())
	}
	return text + more
}

// routeTo returns the table of a route to a pool.
func routeTo(name, pool, match string) string {
	return fmt.Sprintf("[[route]]\nname = %q\n%s\nto = [{pool = %q}]\n", name, match, pool)
}

// startPools starts a gateway with two pools. edits has pairs of old and new text in the configuration.
func startPools(t testing.TB, fallback, more, one, two string, edits ...string) *poolsEnv {
	t.Helper()
	w := &poolsEnv{
		testEnv: startEnv(t, 0),
		agents:  map[string]*catalog.Agent{},
		servers: map[string]*flagserver.Server{},
	}
	text := w.configText(fallback, more, one, two)
	for i := 0; i < len(edits); i += 2 {
		text = strings.ReplaceAll(text, edits[i], edits[i+1])
	}
	w.gateway = w.startService(text)
	return w
}

// askRESP2 sends a request over RESP2 and returns the answer.
func (w *poolsEnv) askRESP2(p *peer.Peer, id, more string) string {
	p.Command("Q.ASK", customers["small"], id, "c=evaluate,t=open,d=3000,units=1,spread=1,first=0"+more)
	return p.Message()[0]
}

// clientStats has the results of measureClient: requests over both protocols, how many of them were served within the
// latency objective, and the longest latency.
type clientStats struct {
	asked, served int
	longest       time.Duration
}

// measureClient sends requests to a pool at a low rate over both protocols, on persistent connections.
func (w *poolsEnv) measureClient(host, id, want string, times int) (f clientStats) {
	p, c := peer.Dial(w.t, w.gateway.resp), newClient()
	for i := range times {
		f.asked += 2
		from := time.Now()
		// 2 s is the latency objective.
		if w.askRESP2(p, fmt.Sprint(id, i), ",host="+host) == want && time.Since(from) < 2*time.Second {
			f.served++
		}
		f.longest = max(f.longest, time.Since(from))
		from = time.Now()
		code, _, _ := mustCheck(w.t, c, w.gateway.http+"/check", append(bearer("free"), "X-Forwarded-Host", host)...)
		if code == 200 && time.Since(from) < 2*time.Second {
			f.served++
		}
		f.longest = max(f.longest, time.Since(from))
		time.Sleep(5 * time.Millisecond)
	}
	return f
}

// flood sends requests to a pool over many connections as fast as it can, with several in flight on each. It reopens
// connections that the gateway closes.
func (w *poolsEnv) flood(stop chan struct{}, wg *sync.WaitGroup, conns int, host string, body ...string) {
	for i := range conns {
		wg.Go(func() {
			for n := 0; ; {
				nc, err := net.Dial("tcp", w.gateway.resp)
				if err != nil {
					return
				}
				disconnected := make(chan struct{})
				go func() {
					defer close(disconnected)
					b := make([]byte, 64<<10)
					for {
						if _, err := nc.Read(b); err != nil {
							return
						}
					}
				}()
				for connected := true; connected; n++ {
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
						<-disconnected
						return
					case <-disconnected:
						connected = false
					default:
					}
				}
				_ = nc.Close()
			}
		})
	}
}
