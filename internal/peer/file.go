package peer

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"gapgap/internal/idempotency"
	"gapgap/internal/tomlfile"
)

// FileSettings is the section [fleet] of a configuration.
type FileSettings struct {
	Listen   string // address and port for datagrams of the other doors
	KeyFile  string `toml:"key_file"`
	StateDir string `toml:"state_dir"`
	Control  string // path of the operators' Unix socket; empty: none
	Door     []Gateway
	Policy   *PolicyFileSettings // there is one policy for all doors; left out: each has its file's own
	Remember *struct {           // classes may have their keys remembered over a power loss; left out: none
		For  tomlfile.Duration
		Most int // keys that a voter remembers
	}
}

// KeyRetention is a checked [fleet.remember].
type KeyRetention struct {
	Duration time.Duration
	MaxKeys  int
}

// What [fleet.remember] has where it names nothing.
const (
	rememberUsual = 10 * time.Minute
	rememberMost  = 500_000
)

// PolicyFileSettings is the section [fleet.policy].
type PolicyFileSettings struct {
	Mode          string            // wait or fence
	GiveUp        tomlfile.Duration `toml:"give_up"`
	WithoutQuorum string            `toml:"without_quorum"` // refuse or last
	After         tomlfile.Duration // with "last": when a door that has started goes by what its disk has
}

// PolicySettings is a checked [fleet.policy].
type PolicySettings struct {
	Fence         bool
	GiveUp, After time.Duration
	UseLastKnown  bool
}

// MaxGateways is how many doors a list may have.
const MaxGateways = 1000

// mostPath is what a Unix socket's path may have.
const mostPath = 100

// FieldError says which field is wrong.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return e.Field + " " + e.Err.Error() }
func (e *FieldError) Unwrap() error { return e.Err }

func wrong(field, format string, args ...any) error {
	return &FieldError{field, fmt.Errorf(format, args...)}
}

// Settings is a checked [fleet].
type Settings struct {
	Listen, StateDir, Control string
	Gateways                  []Gateway
	Index                     int
	Key                       []byte
	Policy                    *PolicySettings // nil: each door has its file's own
	KeyRetention              *KeyRetention   // nil: no class's keys are
}

// Check checks what stands in the file for the door of a name. Given says whether an address may be listened on, and plain whether a
// name is one. The error is a *FieldError.
func (f *FileSettings) Check(name string, given func(netip.Addr) bool, plain func(string) bool) (*Settings, error) {
	s := &Settings{Listen: f.Listen, StateDir: f.StateDir, Control: f.Control, Gateways: f.Door, Index: -1}
	at, err := netip.ParseAddrPort(f.Listen)
	if err != nil {
		return nil, wrong("listen", "%q is no address and port", f.Listen)
	}
	if !given(at.Addr()) {
		return nil, wrong("listen", "%s is neither loopback nor in node.allow", at.Addr())
	}
	if len(f.Door) == 0 || len(f.Door) > MaxGateways {
		return nil, wrong("door", "has %d doors, not 1 to %d", len(f.Door), MaxGateways)
	}
	named, addressed := map[string]int{}, map[netip.AddrPort]int{}
	for i, d := range f.Door {
		key := func(k string) string { return fmt.Sprintf("door[%d].%s", i, k) }
		if _, twice := named[d.Name]; twice || !plain(d.Name) {
			return nil, wrong(key("name"), "%q is no name, or stands twice", d.Name)
		}
		named[d.Name] = i
		if d.Name == name {
			s.Index = i
		}
		a, err := netip.ParseAddrPort(d.Address)
		if err != nil || a.Port() == 0 {
			return nil, wrong(key("address"), "%q is no address and port", d.Address)
		}
		if j, twice := addressed[a]; twice {
			return nil, wrong(key("address"), "%s is that of door[%d] too", a, j)
		}
		addressed[a] = i
	}
	if s.Index < 0 {
		return nil, wrong("door", "none is named %q, as node.name", name)
	}
	if f.StateDir == "" {
		return nil, wrong("state_dir", "is missing: a door's incarnation must outlive its process")
	}
	if i, err := os.Stat(f.StateDir); err != nil || !i.IsDir() {
		return nil, wrong("state_dir", "%q is no directory", f.StateDir)
	}
	if len(f.Control) > mostPath {
		return nil, wrong("control", "has %d bytes, %d at most", len(f.Control), mostPath)
	}
	if f.Control != "" && !filepath.IsAbs(f.Control) {
		return nil, wrong("control", "%q is no absolute path", f.Control)
	}
	if f.KeyFile == "" {
		return nil, wrong("key_file", "is missing")
	}
	if s.Key, err = ReadKey(f.KeyFile); err != nil {
		return nil, &FieldError{"key_file", err}
	}
	if s.Policy, err = f.Policy.check(); err != nil {
		return nil, err
	}
	if r := f.Remember; r != nil {
		s.KeyRetention = &KeyRetention{cmp.Or(time.Duration(r.For), rememberUsual), cmp.Or(r.Most, rememberMost)}
		switch {
		case s.KeyRetention.Duration < idempotency.MinRetention || s.KeyRetention.Duration > idempotency.MaxRetention:
			return nil, wrong("remember.for", "is not from %v to %v", idempotency.MinRetention, idempotency.MaxRetention)
		case s.KeyRetention.MaxKeys < 1 || s.KeyRetention.MaxKeys > idempotency.MaxKeys:
			return nil, wrong("remember.most", "is not from 1 to %d", idempotency.MaxKeys)
		}
	}
	return s, nil
}

// MaxProposalWait bounds how long a proposal's caller waits.
const MaxProposalWait = 15 * time.Minute

// Times that a policy's file may name, and what holds where it names none.
const (
	giveUpUsual, giveUpLeast, giveUpMost = 30 * time.Second, time.Second, 10 * time.Minute
	afterUsual                           = 10 * time.Second
)

func (f *PolicyFileSettings) check() (*PolicySettings, error) {
	if f == nil {
		return nil, nil
	}
	p := &PolicySettings{Fence: f.Mode == "fence", GiveUp: cmp.Or(time.Duration(f.GiveUp), giveUpUsual), UseLastKnown: f.WithoutQuorum == "last", After: cmp.Or(time.Duration(f.After), afterUsual)}
	switch {
	case f.Mode != "" && f.Mode != "wait" && f.Mode != "fence":
		return nil, wrong("policy.mode", "%q is not wait or fence", f.Mode)
	case p.GiveUp < giveUpLeast || p.GiveUp > giveUpMost:
		return nil, wrong("policy.give_up", "is not from %v to %v", giveUpLeast, giveUpMost)
	case f.WithoutQuorum != "" && f.WithoutQuorum != "refuse" && f.WithoutQuorum != "last":
		return nil, wrong("policy.without_quorum", "%q is not refuse or last", f.WithoutQuorum)
	case f.After != 0 && !p.UseLastKnown:
		return nil, wrong("policy.after", "wants without_quorum = \"last\"")
	case p.After < 0:
		return nil, wrong("policy.after", "is negative")
	}
	return p, nil
}

// Same says whether two sections are of one fleet and door: a change wants a restart.
func (s *Settings) Same(o *Settings) bool {
	if s == nil || o == nil {
		return s == o
	}
	if len(s.Gateways) != len(o.Gateways) || (s.Policy == nil) != (o.Policy == nil) || s.Policy != nil && *s.Policy != *o.Policy ||
		(s.KeyRetention == nil) != (o.KeyRetention == nil) || s.KeyRetention != nil && *s.KeyRetention != *o.KeyRetention {
		return false
	}
	for i := range s.Gateways {
		if s.Gateways[i] != o.Gateways[i] {
			return false
		}
	}
	return cmp.Or(cmp.Compare(s.Listen, o.Listen), cmp.Compare(s.StateDir, o.StateDir), cmp.Compare(s.Control, o.Control), cmp.Compare(s.Index, o.Index),
		bytes.Compare(s.Key, o.Key)) == 0
}

// ReadKey reads the shared key: what stands in the file but for spaces about it.
func ReadKey(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if b = bytes.TrimSpace(b); len(b) < leastKey || len(b) > 4096 {
		return nil, fmt.Errorf("%s holds a key of %d bytes, not %d to 4096", path, len(b), leastKey)
	}
	return b, nil
}
