package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
)

// TestPoolsAnswersBehindASlowOne guards against answers that are lost, or memory that one pool is charged for and
// another gets back, because a connection moves between pools while answers wait behind a slow one.
func TestPoolsAnswersBehindASlowOne(t *testing.T) {
	const size, behind = 60 << 10, 20
	two := routeTo("one", "one", `host = "one.org"`) + routeTo("two", "two", `host = "two.org"`)
	w := startPools(t, "one", two, "one", "two")
	first := peer.Dial(t, w.gateway.resp)
	for k := range behind { // a gateway rejects some of a burst before its first answers
		for _, host := range []string{"one", "two"} {
			if got := w.askRESP2(first, fmt.Sprint(host, k), ",host="+host+".org"); got != "from "+host {
				t.Fatalf("%q", got)
			}
		}
	}
	value := map[string]string{"one": strings.Repeat("1", size), "two": strings.Repeat("2", size)}
	w.servers["one"].Set(flagserver.Config{Delay: 500 * time.Millisecond, Keep: true})
	c := peer.Dial(t, w.gateway.resp)
	forwarded := len(w.servers["one"].Sent())
	c.Command("Q.ASK", customers["small"], "slow", "c=evaluate,t=open,d=3000,units=1,spread=1,first=0,host=one.org")
	w.waitSent("one", forwarded+1)
	forwarded = len(w.servers["two"].Sent())
	for _, name := range []string{"one", "two"} {
		w.servers[name].Set(flagserver.Config{Value: value[name], Keep: true})
	}
	var hosts []string
	for k := range behind {
		host := []string{"two", "two", "one"}[k%3]
		hosts = append(hosts, host)
		c.Command("Q.ASK", customers["small"], fmt.Sprint("behind", k),
			"c=evaluate,t=open,d=3000,units=1,spread=1,first=0,host="+host+".org")
	}
	w.waitSent("two", forwarded+behind/3)
	if got := c.Message()[0]; got != "Q.ASK slow" && got != value["one"] { // the second if it was sent again
		t.Errorf("the first answer is %.40q", got)
	}
	served := 0
	for k, host := range hosts {
		switch got := c.Message()[0]; {
		case got == value[host]:
			served++
		case !strings.HasPrefix(got, "-BUSY"): // some may be rejected while an endpoint is slow
			t.Fatalf("answer %d of pool %s is %.40q", k, host, got)
		}
	}
	if served < behind/2 {
		t.Errorf("%d of %d requests were served", served, behind)
	}
	for limit := time.Now().Add(peer.Patient); w.gateway.limits.memory.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d bytes of memory are still reserved", w.gateway.limits.memory.Held())
		}
	}
	for _, pool := range w.gateway.PoolStats() {
		if pool.Memory.Held != 0 {
			t.Errorf("pool %s is charged for %d bytes", pool.Name, pool.Memory.Held)
		}
	}
}

// waitSent waits until an endpoint has received a number of requests.
func (w *poolsEnv) waitSent(name string, requests int) {
	w.t.Helper()
	for limit := time.Now().Add(peer.Patient); len(w.servers[name].Sent()) < requests; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			w.t.Fatalf("%s received %d requests, want %d", name, len(w.servers[name].Sent()), requests)
		}
	}
}
