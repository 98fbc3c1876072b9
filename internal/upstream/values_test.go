package upstream

import (
	"fmt"
	"strings"
	"testing"

	"snowhall"
	"snowhall/internal/budget"
	"snowhall/internal/standin/peer"
)

// longAnswer is an answer whose value has so many bytes.
func longAnswer(n int) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", n, strings.Repeat("v", n))
}

// Long values come through within a budget that all connections share and give back. Where it has no room the attempt fails, which
// may have run, and the server is not held to have broken the connection.
func TestLongValuesStayWithinABudget(t *testing.T) {
	for name, c := range map[string]struct {
		value int
		room  int64
		want  snowhall.Status
	}{
		"as long as seen":     {376 << 10, 1 << 20, snowhall.OK},
		"no room":             {376 << 10, 100 << 10, snowhall.Failed},
		"longer than allowed": {mostValue + 1, 8 << 20, snowhall.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			f := idle(t, ln.Addr().String())
			f.pool.cfg.Values = budget.NewBytes(c.room)
			try(t, f)
			b := peer.Accept(t, ln)
			go b.NC.Write([]byte(longAnswer(c.value))) // it ends when the other side closes
			peer.Pump(t, f.Loop, func() bool { return len(f.events) > 0 })
			wantOutcome(t, f, c.want)
			peer.Pump(t, f.Loop, func() bool { return f.pool.cfg.Values.Held() == 0 })
		})
	}
}
