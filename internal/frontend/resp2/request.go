package resp2

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"gapgap/internal/balancer"
	"gapgap/internal/proxy"
	"gapgap/internal/resp"
	"gapgap/internal/route"
	"gapgap/internal/socket"
)

// lateAsk is how much longer than its class's time a client may say that it waits.
const lateAsk = time.Second

// ask is a client's request as its connection read it.
type ask struct {
	proxy.Request
	pool     *proxy.Proxy
	conn     *client
	slot     *slot
	args     [][]byte // the command as it came
	list     int      // the argument that holds names and values
	waitFrom int      // where the figure of d stands in it ...
	waitTo   int      // ... and ends
}

// arguments returns a copy of the bulk strings of a command.
func arguments(m redcon.RESP) ([][]byte, bool) {
	if m.Type != redcon.Array || m.Count < 1 {
		return nil, false
	}
	raw := bytes.Clone(m.Data)
	args := make([][]byte, 0, m.Count)
	for range m.Count {
		n, e := redcon.ReadNextRESP(raw)
		if e.Type != redcon.Bulk || e.Data == nil {
			return nil, false
		}
		args = append(args, e.Data)
		raw = raw[n:]
	}
	return args, true
}

// printable makes what a client sent fit for an error line.
func printable(b []byte) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, string(b))
}

// parse reads a request. What it can't read goes nowhere.
func (fr *Front) parse(pool *proxy.Proxy, name string, args [][]byte, at time.Duration) (*ask, error) {
	if len(args) != 4 && len(args) != 5 {
		return nil, fmt.Errorf("wrong number of arguments for '%s'", name)
	}
	customer, err := strconv.ParseUint(string(args[1]), 16, 64)
	if err != nil || len(args[1]) != 16 || customer >= 1<<33 {
		return nil, errors.New("the customer is not 16 hex digits")
	}
	if len(args[2]) == 0 {
		return nil, errors.New("the id is empty")
	}
	a := &ask{pool: pool, args: args, list: 3}
	a.Client, a.ID, a.At = a, string(args[2]), at
	a.Class, a.Plan, a.Customer = -1, -1, strings.ToLower(string(args[1]))
	rules := pool.Rules()
	key, first := false, false
	var seen [16]string
	fields := seen[:0]
	for at, list := 0, string(args[3]); at <= len(list); {
		item, _, _ := strings.Cut(list[at:], ",")
		k, v, _ := strings.Cut(item, "=")
		if slices.Contains(fields, k) { // a backend may read the other one
			return nil, fmt.Errorf("%s is given twice", printable([]byte(k)))
		}
		fields = append(fields, k)
		ok := true
		switch k {
		case "c":
			a.Class = slices.Index(rules.Classes, v)
			ok = a.Class >= 0 && v != ""
		case "t":
			a.Plan = slices.Index(rules.Plans, v)
			ok = a.Plan >= 0 && v != ""
		case "d":
			ms, err := strconv.ParseUint(v, 10, 31)
			ok = err == nil && ms > 0
			a.Timeout = time.Duration(ms) * time.Millisecond
			a.waitFrom, a.waitTo = at+2, at+len(item)
		case "k":
			ok = v != ""
			key, a.Key = true, v
		case "r":
			a.ClientRetry = v == "1"
			ok = v == "1" || v == "0"
		case "units":
			a.Units, ok = resp.ParseDecimal(v)
			ok = ok && a.Units > 0 && a.Units <= cmp.Or(rules.Settings.MaxRequestUnits, 1e9)
		case "spread":
			n, err := strconv.ParseUint(v, 10, 31)
			ok = err == nil && n > 0 && int(n) <= rules.Settings.Gateways
			a.Gateways = int(n)
		case "first":
			n, err := strconv.ParseUint(v, 10, 31)
			ok = err == nil && int(n) < rules.Settings.Gateways
			first = true
		}
		if !ok {
			return nil, fmt.Errorf("ill-formed or unknown %s", printable([]byte(k)))
		}
		at += len(item) + 1
	}
	switch {
	case a.Class < 0, a.Plan < 0, a.Timeout == 0, a.Units == 0, a.Gateways == 0, !first:
		return nil, errors.New("one of c, t, d, units, spread and first is missing")
	}
	if err := fr.configured(a); err != nil {
		return nil, err
	}
	// A request and its timers are kept for as long as the client says that it waits.
	class := &rules.Settings.Classes[a.Class]
	if class.ClientTimeout > 0 && a.Timeout > class.ClientTimeout+lateAsk {
		return nil, errors.New("ill-formed or unknown d")
	}
	switch effect := class.Idempotency; {
	case (effect == balancer.Idempotent) != (name == "Q.ASK"):
		return nil, fmt.Errorf("class not served by %s", name)
	case (effect == balancer.IdempotentByKey || class.KeyReserved) && !key:
		return nil, errors.New("k is missing")
	}
	return a, nil
}

// pool finds where a command leads, by what it names: its class, its customer and, where it has one, its host.
func (fr *Front) pool(args [][]byte) *proxy.Proxy {
	if !fr.cfg.Routes {
		return fr.env.Router.Route(fr.plain)
	}
	q := route.Query{Listener: fr.cfg.Listener}
	if len(args) > 3 {
		q.Account = strings.ToLower(string(args[1]))
		for item := range bytes.SplitSeq(args[3], []byte{','}) {
			if v, ok := bytes.CutPrefix(item, []byte("c=")); ok {
				q.Class = string(v)
			} else if v, ok := bytes.CutPrefix(item, []byte("host=")); ok {
				q.Host = strings.ToLower(string(v))
			}
		}
	}
	return fr.env.Router.Route(&q)
}

// configured holds a request to what is configured for its customer: one plan and one set of front doors over all
// fronts, as the quota and the ceiling are one.
func (fr *Front) configured(a *ask) error {
	if fr.cfg.Accounts == nil {
		return nil
	}
	acct := fr.cfg.Accounts(a.pool, a.Customer)
	if acct == nil {
		return nil
	}
	switch {
	case acct.Plan != a.Plan:
		return errors.New("the plan is not that of the account")
	case !acct.Entitled(a.Class):
		return errors.New("the account is not entitled to the class")
	}
	a.Gateways = acct.Doors
	return nil
}

// Forward implements [proxy.Caller]. The command for a backend is as it came but for d, which tells how long this front door will wait.
func (a *ask) Forward(wait time.Duration) []byte {
	b := redcon.AppendArray(nil, len(a.args))
	for i, arg := range a.args {
		if i == a.list {
			list := append([]byte(nil), arg[:a.waitFrom]...)
			list = strconv.AppendInt(list, max(1, wait.Milliseconds()), 10)
			arg = append(list, arg[a.waitTo:]...)
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}

// HasDisconnected implements [proxy.DisconnectDetector]. The connection of a client that has left is closed, or who waits on it would wait on.
func (a *ask) HasDisconnected() bool {
	if !socket.HasPeerClosed(a.conn.nc) {
		return false
	}
	a.conn.mu.Lock()
	a.conn.close()
	a.conn.mu.Unlock()
	return true
}

var (
	_ proxy.Client             = (*ask)(nil)
	_ proxy.DisconnectDetector = (*ask)(nil)
	_ proxy.Streamer           = (*ask)(nil)
)
