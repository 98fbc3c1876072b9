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

const (
	// maxListNames is how many names the key=value list of a request may have.
	maxListNames = 64
	// maxPrintedBytes is how much of a client's input an error line repeats.
	maxPrintedBytes = 40
)

// timeoutTolerance is how far the timeout that a client sends may exceed that of the request's class.
const timeoutTolerance = time.Second

// request is a request read from a client connection.
type request struct {
	proxy.Request
	pool   *proxy.Proxy
	client *client
	slot   *slot
	// args are the arguments of the command as received.
	args [][]byte
	// listIndex is the index of the argument that has the key=value list.
	listIndex int
	// timeoutStart and timeoutEnd delimit the value of the key d in that argument.
	timeoutStart int
	timeoutEnd   int
}

// commandArguments returns a copy of the bulk strings of a command, or false for any other message.
func commandArguments(m redcon.RESP) ([][]byte, bool) {
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

// printable returns the beginning of a client's input for an error line. It replaces the bytes that must not appear in
// one.
func printable(b []byte) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, string(b[:min(len(b), maxPrintedBytes)]))
}

// parseRequest parses and validates a request. Nothing is forwarded of a request that it rejects.
func (fr *Frontend) parseRequest(pool *proxy.Proxy, name string, args [][]byte, at time.Duration) (*request, error) {
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
	req := &request{pool: pool, args: args, listIndex: 3}
	req.Client, req.ID, req.At = req, string(args[2]), at
	req.Class, req.Plan, req.Customer = -1, -1, strings.ToLower(string(args[1]))
	rules := pool.Rules()
	key, first := false, false
	var seen [16]string
	fields := seen[:0]
	for at, list := 0, string(args[3]); at <= len(list); {
		if len(fields) == maxListNames {
			return nil, fmt.Errorf("the list has more than %d names", maxListNames)
		}
		item, _, _ := strings.Cut(list[at:], ",")
		k, v, _ := strings.Cut(item, "=")
		if slices.Contains(fields, k) { // a backend may use the other value
			return nil, fmt.Errorf("%s is given twice", printable([]byte(k)))
		}
		fields = append(fields, k)
		ok := true
		switch k {
		case "c":
			req.Class = slices.Index(rules.Classes, v)
			ok = req.Class >= 0 && v != ""
		case "t":
			req.Plan = slices.Index(rules.Plans, v)
			ok = req.Plan >= 0 && v != ""
		case "d":
			ms, err := strconv.ParseUint(v, 10, 31)
			ok = err == nil && ms > 0
			req.Timeout = time.Duration(ms) * time.Millisecond
			req.timeoutStart, req.timeoutEnd = at+2, at+len(item)
		case "k":
			ok = v != ""
			key, req.Key = true, v
		case "r":
			req.ClientRetry = v == "1"
			ok = v == "1" || v == "0"
		case "units":
			req.Units, ok = resp.ParseDecimal(v)
			ok = ok && req.Units > 0 && req.Units <= cmp.Or(rules.Settings.MaxRequestUnits, 1e9)
		case "spread":
			n, err := strconv.ParseUint(v, 10, 31)
			ok = err == nil && n > 0 && int(n) <= rules.Settings.Gateways
			req.Gateways = int(n)
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
	case req.Class < 0, req.Plan < 0, req.Timeout == 0, req.Units == 0, req.Gateways == 0, !first:
		return nil, errors.New("one of c, t, d, units, spread and first is missing")
	}
	if err := fr.applyAccount(req); err != nil {
		return nil, err
	}
	// The client's timeout is limited, as a request and its timers are kept that long.
	class := &rules.Settings.Classes[req.Class]
	if class.ClientTimeout > 0 && req.Timeout > class.ClientTimeout+timeoutTolerance {
		return nil, errors.New("ill-formed or unknown d")
	}
	switch effect := class.Idempotency; {
	case (effect == balancer.Idempotent) != (name == "Q.ASK"):
		return nil, fmt.Errorf("class not served by %s", name)
	case (effect == balancer.IdempotentByKey || class.KeyReserved) && !key:
		return nil, errors.New("k is missing")
	}
	return req, nil
}

// route returns the pool for a command by its class, its customer and its host, if it has one; nil: no route fits.
func (fr *Frontend) route(args [][]byte) *proxy.Proxy {
	if !fr.cfg.Routes {
		return fr.env.Router.Route(fr.defaultQuery)
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

// applyAccount checks a request against the account of its customer and sets its number of gateways. A customer has one
// plan and one set of gateways for all frontends, as there is one quota and one ceiling.
func (fr *Frontend) applyAccount(req *request) error {
	if fr.cfg.Accounts == nil {
		return nil
	}
	acct := fr.cfg.Accounts(req.pool, req.Customer)
	if acct == nil {
		return nil
	}
	switch {
	case acct.Plan != req.Plan:
		return errors.New("the plan is not that of the account")
	case !acct.Entitled(req.Class):
		return errors.New("the account is not entitled to the class")
	}
	req.Gateways = acct.Gateways
	return nil
}

// Forward implements [proxy.Client]. The command for a backend is the client's with another value of d, which tells how
// long this gateway will wait.
func (req *request) Forward(wait time.Duration) []byte {
	b := redcon.AppendArray(nil, len(req.args))
	for i, arg := range req.args {
		if i == req.listIndex {
			list := append([]byte(nil), arg[:req.timeoutStart]...)
			list = strconv.AppendInt(list, max(1, wait.Milliseconds()), 10)
			arg = append(list, arg[req.timeoutEnd:]...)
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}

// HasDisconnected implements [proxy.DisconnectDetector]. It closes the connection of a client that has disconnected, as
// goroutines that wait on it would not end otherwise.
func (req *request) HasDisconnected() bool {
	if !socket.HasPeerClosed(req.client.conn) {
		return false
	}
	req.client.mu.Lock()
	req.client.close()
	req.client.mu.Unlock()
	return true
}

var (
	_ proxy.Client             = (*request)(nil)
	_ proxy.DisconnectDetector = (*request)(nil)
	_ proxy.Streamer           = (*request)(nil)
)
