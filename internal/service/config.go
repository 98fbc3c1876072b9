package service

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/discovery"
	"gapgap/internal/wire"
)

// Config is what a front door is told at its start.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Control   string // where operators call; empty: nowhere
	Discovery string
	Counter   string // empty where there is none
	Seed      uint64
	MemoryMB  int
	Sockets   int
	Settings  balancer.Settings
	Transport wire.Transport
	Known     discovery.EndpointList // the list of backends as last had, maybe old
	Dir       string                 // outlives the process where the platform upgrades it; empty: nothing does
	Stall     time.Duration          // a long value of which nothing comes or is taken for so long is given up; 0: 5 s
	Trace     io.Writer              // what becomes of each request and why; nil: not written

	keys map[string]bool // the paths of all keys that were given
}

const mostConfig = 4 << 20 // bytes of a file

// ReadConfig reads the JSON form of a Config.
func ReadConfig(r io.Reader) (*Config, error) {
	var raw struct {
		Name, Listen, Control, Discovery, Counter, Seed string
		Limits                                          struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    discovery.EndpointList
		Settings map[string]any
	}
	text, err := io.ReadAll(io.LimitReader(r, mostConfig+1))
	switch {
	case err != nil:
		return nil, err
	case len(text) > mostConfig:
		return nil, fmt.Errorf("longer than %d bytes", mostConfig)
	case len(bytes.TrimSpace(text)) == 0:
		return nil, errors.New("empty")
	}
	var all any
	for _, to := range []any{&raw, &all} {
		dec := json.NewDecoder(bytes.NewReader(text))
		dec.UseNumber()
		if err := dec.Decode(to); err != nil {
			return nil, fmt.Errorf("not the expected JSON: %w", err)
		}
		if _, err := dec.Token(); err != io.EOF {
			return nil, errors.New("not the expected JSON: something follows it")
		}
	}
	if err := checkNumbers(raw.Settings); err != nil {
		return nil, err
	}
	c := &Config{Name: raw.Name, Listen: raw.Listen, Control: raw.Control, Discovery: raw.Discovery, Counter: raw.Counter,
		MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets, Known: raw.Known}
	c.keys = map[string]bool{}
	keysOf(c.keys, "", all)
	for path := range c.keys {
		if strings.HasPrefix(path, "known.") { // what the list holds may well differ
			delete(c.keys, path)
		}
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	flat := map[string]string{}
	flatten(flat, "", raw.Settings)
	if c.Settings, err = wire.Settings(flat); err != nil {
		return nil, err
	}
	if c.Transport, err = wire.ReadTransport(flat); err != nil {
		return nil, err
	}
	return c, nil
}

// Check says what a front door could not run with. It stands apart from ReadConfig because the environment may
// name addresses too.
func (c *Config) Check() error {
	for _, a := range []struct{ what, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery},
		{"counter", c.Counter}, {"control", c.Control}} {
		if a.addr == "" && (a.what == "counter" && !c.Settings.UseCounter || a.what == "control") {
			continue
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.what, err)
		}
	}
	if c.Transport.DialTimeout <= 0 {
		return errors.New("settings: limits.dial-timeout-us is not above 0")
	}
	return nil
}

// flatten turns nested settings into the paths of the simulator's wire: objects and lists of objects by dots,
// a list of objects also with its length under .count, a list of plain values joined with commas.
func flatten(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			flatten(out, strings.TrimPrefix(path+"."+k, "."), e)
		}
	case []any:
		var plain []string
		objects := 0
		for _, e := range v {
			if _, ok := e.(map[string]any); ok {
				flatten(out, fmt.Sprintf("%s.%d", path, objects), e)
				objects++
			} else {
				plain = append(plain, plainText(e))
			}
		}
		if objects > 0 {
			out[path+".count"] = strconv.Itoa(objects)
		} else {
			out[path] = strings.Join(plain, ",")
		}
	default:
		out[path] = plainText(v)
	}
}

func plainText(v any) string {
	if v == nil {
		return "-"
	}
	var b bytes.Buffer
	fmt.Fprint(&b, v)
	return b.String()
}
