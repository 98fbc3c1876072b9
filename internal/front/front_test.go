package front

import (
	"bufio"
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
	"time"
)

// patient bounds every wait of these tests; none is expected to take a noticeable part of it.
const patient = 20 * time.Second

var discard = slog.New(slog.NewTextHandler(io.Discard, nil))

const settingsJSON = `{"peers-total":1,"rank":0,"resolution-us":4000,"discovery":"pushed","areas":["dc1"],"kinds":["std"],
"limits":{"max-attempts":3,"cancel":true,"may-probe":true,"retry-after":true,"max-retry-after-us":1000000,
 "dial-timeout-us":%d,"conn-idle-us":30000000,"open-cap":1000,"second-copies":false},
"obligations":{"stop-sending-within-us":250000,"fall-multiple":3.0,"fall-us":3000000,"cold-from":0.26,"warm-within-us":15000000},
"specifics":{"shared-counter":%v,"counter-timeout-us":50000,"max-units":1,"meter-us":2000000},
"classes":[{"name":"evaluate","effect":"safe","worth":1.0,"target-us":10000000,"give-up-us":30000000},
 {"name":"change","effect":"keyed","group":"all","window-us":12000000,"worth":5.0,"target-us":6000000,"give-up-us":20000000},
 {"name":"once","effect":"unsafe","worth":5.0,"target-us":6000000,"give-up-us":20000000}],
"tiers-of-service":[{"name":"open","value-factor":1.0},
 {"name":"starter","value-factor":1.0,"units-per-s":2.5,"most-at-once":10,"over-cost":1.2}]}`

// world is a front door with what stands round it, all on loopback.
type world struct {
	t       *testing.T
	f       *Front
	addr    string
	stop    context.CancelFunc
	news    chan Members // to the watch
	watches chan string  // index each watch asked for
}

type option func(*Config, *testing.T)

// start runs a front door that knows the given backends.
func start(t *testing.T, addrs []string, options ...option) *world {
	t.Helper()
	w := &world{t: t, news: make(chan Members), watches: make(chan string, 16)}
	disco := httptest.NewServer(http.HandlerFunc(w.serveWatch))
	cfg := config(t, false, 5_000_000)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	cfg.Known = members(1, addrs...)
	for _, o := range options {
		o(cfg, t)
	}
	f, err := New(cfg, discard)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ln := listen(t)
	w.f, w.addr, w.stop = f, ln.Addr().String(), stop
	go f.Run(ctx, ln)
	t.Cleanup(func() {
		stop()
		<-f.done
		disco.CloseClientConnections()
		disco.Close()
	})
	return w
}

func config(t *testing.T, counter bool, dialUS int) *Config {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"127.0.0.1:1","settings":`+settingsJSON+`}`, dialUS, counter)
	cfg, err := ReadConfig(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// freeAddr is an address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	defer ln.Close()
	return ln.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func members(index int64, addrs ...string) Members {
	m := Members{Index: index, Snapshot: true}
	for i, a := range addrs {
		m.Endpoints = append(m.Endpoints, Endpoint{Name: fmt.Sprint("s-", i), Address: a, Zone: "dc1", Type: "std",
			Status: "SERVING", Weight: 1})
	}
	return m
}

func (w *world) serveWatch(rw http.ResponseWriter, r *http.Request) {
	select {
	case w.watches <- r.URL.Query().Get("index"):
	default:
	}
	rw.WriteHeader(http.StatusOK)
	rw.(http.Flusher).Flush()
	for {
		select {
		case m := <-w.news:
			if m.Index < 0 { // the test ends this watch
				return
			}
			json.NewEncoder(rw).Encode(lower(m))
			rw.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// lower gives a list discovery's own names.
func lower(m Members) map[string]any {
	list := []map[string]any{}
	for _, e := range m.Endpoints {
		list = append(list, map[string]any{"name": e.Name, "address": e.Address, "zone": e.Zone, "type": e.Type,
			"group": e.Group, "status": e.Status, "weight": e.Weight, "since_ms": e.SinceMS})
	}
	return map[string]any{"index": m.Index, "snapshot": m.Snapshot, "endpoints": list}
}

// peer is one end of a connection that speaks RESP, a client's or a backend's.
type peer struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
}

func newPeer(t *testing.T, nc net.Conn) *peer {
	nc.SetDeadline(time.Now().Add(patient))
	t.Cleanup(func() { nc.Close() })
	return &peer{t, nc, bufio.NewReader(nc)}
}

// dial connects a client.
func (w *world) dial() *peer {
	w.t.Helper()
	nc, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	return newPeer(w.t, nc)
}

func (p *peer) write(s string) {
	p.t.Helper()
	if _, err := io.WriteString(p.nc, s); err != nil {
		p.t.Fatal(err)
	}
}

func (p *peer) command(args ...string) {
	p.t.Helper()
	p.write(command(args...))
}

func command(args ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(args))
	for _, a := range args {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return s
}

// message reads one RESP message: its parts, a line that is no length being one of its own.
func (p *peer) message() []string {
	p.t.Helper()
	m, err := p.try()
	if err != nil {
		p.t.Fatal(err)
	}
	return m
}

func (p *peer) try() ([]string, error) {
	line, err := p.in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	n := 0
	switch line[0] {
	case '*':
		fmt.Sscan(line[1:], &n)
		var all []string
		for range n {
			m, err := p.try()
			if err != nil {
				return nil, err
			}
			all = append(all, m...)
		}
		return all, nil
	case '$':
		fmt.Sscan(line[1:], &n)
		b := make([]byte, n+2)
		_, err := io.ReadFull(p.in, b)
		return []string{string(b[:n])}, err
	}
	return []string{line}, nil
}

// wants reads one answer and compares it.
func (p *peer) wants(want string) {
	p.t.Helper()
	if m := p.message(); len(m) != 1 || m[0] != want {
		p.t.Fatalf("got %q, want %q", m, want)
	}
}

// wantsPrefix reads one answer and compares its beginning.
func (p *peer) wantsPrefix(want string) {
	p.t.Helper()
	if m := p.message(); len(m) != 1 || !strings.HasPrefix(m[0], want) {
		p.t.Fatalf("got %q, want %s...", m, want)
	}
}

// wantsEnd reads up to the end of the connection and fails if anything comes before it.
func (p *peer) wantsEnd() {
	p.t.Helper()
	if m, err := p.try(); err == nil {
		p.t.Fatalf("got %q, want the end of the connection", m)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		p.t.Fatal("the connection stays open")
	}
}

const (
	customer = "00000000b4d65521"
	list     = "c=evaluate,t=open,d=20000,units=1,spread=1,first=0"
	keyed    = "c=change,t=open,d=20000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0,x=new"
	unsafe   = "c=once,t=open,d=20000,units=1,spread=1,first=0"
)

// accept takes the next connection of a backend.
func accept(t *testing.T, ln net.Listener) *peer {
	t.Helper()
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(patient))
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return newPeer(t, nc)
}
