package service

import (
	"gapgap/internal/discovery"
	"gapgap/internal/fake/peer"

	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

var discard = slog.New(slog.NewTextHandler(io.Discard, nil))

const settingsJSON = `{"peers-total":1,"rank":0,"resolution-us":4000,"discovery":"pushed",` +
	`"areas":["dc1"],"kinds":["std"],
"limits":{"max-attempts":3,"cancel":true,"may-probe":true,"retry-after":true,"max-retry-after-us":1000000,
 "dial-timeout-us":%d,"conn-idle-us":30000000,"open-cap":1000,"second-copies":false},
"obligations":{"stop-sending-within-us":250000,"fall-multiple":3.0,"fall-us":3000000,` +
	`"cold-from":0.26,"warm-within-us":15000000},
"specifics":{"shared-counter":%v,"counter-timeout-us":50000,"max-units":1,"meter-us":2000000},
"classes":[{"name":"evaluate","effect":"safe","worth":1.0,"target-us":10000000,"give-up-us":30000000},
 {"name":"change","effect":"keyed","group":"all","window-us":12000000,` +
	`"worth":5.0,"target-us":6000000,"give-up-us":20000000},
 {"name":"once","effect":"unsafe","worth":5.0,"target-us":6000000,"give-up-us":20000000}],
"tiers-of-service":[{"name":"open","value-factor":1.0},
 {"name":"starter","value-factor":1.0,"units-per-s":2.5,"most-at-once":10,"over-cost":1.2}]}`

// testEnv is a gateway with discovery and an admin listener, all on loopback.
type testEnv struct {
	t       *testing.T
	gateway *Gateway
	addr    string
	stop    context.CancelFunc
	command func(string) string // sends an operator's command and returns the answer

	adminListener net.Listener
	updates       chan discovery.EndpointList // to the watch
	watches       chan string                 // the index that each watch started from
}

type option func(*Config, *testing.T)

// start runs a gateway that knows the given backends.
func start(t *testing.T, addrs []string, options ...option) *testEnv {
	t.Helper()
	env := &testEnv{t: t, updates: make(chan discovery.EndpointList), watches: make(chan string, 16)}
	disco := httptest.NewServer(http.HandlerFunc(env.serveWatch))
	cfg := config(t, false, 5_000_000)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	cfg.KnownEndpoints = endpoints(1, addrs...)
	for _, o := range options {
		o(cfg, t)
	}
	g, err := NewGateway(cfg, discard)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ln := peer.Listen(t)
	env.gateway, env.addr, env.stop = g, ln.Addr().String(), stop
	env.command = startAdmin(env)
	go g.Serve(ctx, ln, env.adminListener)
	t.Cleanup(func() {
		stop()
		<-g.Done()
		disco.CloseClientConnections()
		disco.Close()
	})
	return env
}

func config(t *testing.T, counter bool, dialUS int) *Config {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"127.0.0.1:1",`+
		`"settings":`+settingsJSON+`}`, dialUS, counter)
	cfg, err := ReadConfig(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func endpoints(index int64, addrs ...string) discovery.EndpointList {
	m := discovery.EndpointList{Index: index, Snapshot: true}
	for i, a := range addrs {
		m.Endpoints = append(m.Endpoints, discovery.Endpoint{Name: fmt.Sprint("s-", i), Address: a, Zone: "dc1",
			Type: "std", Status: "SERVING", Weight: 1})
	}
	return m
}

func (env *testEnv) serveWatch(rw http.ResponseWriter, r *http.Request) {
	select {
	case env.watches <- r.URL.Query().Get("index"):
	default:
	}
	rw.WriteHeader(http.StatusOK)
	rw.(http.Flusher).Flush()
	for {
		select {
		case m := <-env.updates:
			if m.Index < 0 { // ends this watch
				return
			}
			json.NewEncoder(rw).Encode(toJSON(m))
			rw.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// toJSON returns a list under the names of discovery's wire format.
func toJSON(m discovery.EndpointList) map[string]any {
	list := []map[string]any{}
	for _, e := range m.Endpoints {
		list = append(list, map[string]any{"name": e.Name, "address": e.Address, "zone": e.Zone, "type": e.Type,
			"group": e.Group, "status": e.Status, "weight": e.Weight, "since_ms": e.SinceMS})
	}
	return map[string]any{"index": m.Index, "snapshot": m.Snapshot, "endpoints": list}
}

// dial connects a client to the gateway.
func (env *testEnv) dial() *peer.Peer { return peer.Dial(env.t, env.addr) }
