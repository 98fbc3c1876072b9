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

// Config is the configuration of one gateway process.
type Config struct {
	Name           string
	Listen         string // where clients connect
	Control        string // where operators' commands are taken; empty: nowhere
	Discovery      string
	Counter        string // empty where there is none
	Seed           uint64
	MemoryMB       int
	Sockets        int
	Settings       balancer.Settings
	Transport      wire.Transport
	KnownEndpoints discovery.EndpointList // the last known list of backends, which may be out of date
	StateDir       string                 // holds what outlives the process in an upgrade; empty: none
	StallTimeout   time.Duration          // a long value that makes no progress for so long is aborted; 0: 5 s
	Trace          io.Writer              // gets a record of each request's outcome and its reason; nil: none

	keys map[string]bool // the paths of all keys that the file has
}

const maxConfigBytes = 4 << 20

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
	text, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(text) > maxConfigBytes:
		return nil, fmt.Errorf("longer than %d bytes", maxConfigBytes)
	case len(bytes.TrimSpace(text)) == 0:
		return nil, errors.New("empty")
	}
	var tree any
	for _, target := range []any{&raw, &tree} {
		dec := json.NewDecoder(bytes.NewReader(text))
		dec.UseNumber()
		if err := dec.Decode(target); err != nil {
			return nil, fmt.Errorf("not the expected JSON: %w", err)
		}
		if _, err := dec.Token(); err != io.EOF {
			return nil, errors.New("not the expected JSON: something follows it")
		}
	}
	if err := checkNumbers(raw.Settings); err != nil {
		return nil, err
	}
	c := &Config{Name: raw.Name, Listen: raw.Listen, Control: raw.Control, Discovery: raw.Discovery,
		Counter: raw.Counter, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets,
		KnownEndpoints: raw.Known}
	c.keys = map[string]bool{}
	collectKeys(c.keys, "", tree)
	for path := range c.keys {
		if strings.HasPrefix(path, "known.") { // the listed endpoints need not have the same keys
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

// Check returns an error if a gateway could not run with the configuration. It is separate from ReadConfig because the
// environment may override addresses in between.
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

// flatten adds nested settings to out under the dotted paths of the simulator's wire format. A list of objects has one
// indexed path per object and its length under .count; a list of scalars becomes one value, joined with commas.
func flatten(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			flatten(out, strings.TrimPrefix(path+"."+k, "."), e)
		}
	case []any:
		var scalars []string
		objects := 0
		for _, e := range v {
			if _, ok := e.(map[string]any); ok {
				flatten(out, fmt.Sprintf("%s.%d", path, objects), e)
				objects++
			} else {
				scalars = append(scalars, scalarText(e))
			}
		}
		if objects > 0 {
			out[path+".count"] = strconv.Itoa(objects)
		} else {
			out[path] = strings.Join(scalars, ",")
		}
	default:
		out[path] = scalarText(v)
	}
}

func scalarText(v any) string {
	if v == nil {
		return "-"
	}
	var b bytes.Buffer
	fmt.Fprint(&b, v)
	return b.String()
}
