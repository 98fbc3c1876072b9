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

// File is the section [fleet] of a configuration.
type File struct {
	Listen   string // address and port for datagrams of the other doors
	KeyFile  string `toml:"key_file"`
	StateDir string `toml:"state_dir"`
	Control  string // path of the operators' Unix socket; empty: none
	Door     []Door
	Policy   *PolicyFile // there is one policy for all doors; left out: each has its file's own
	Remember *struct {   // classes may have their keys remembered over a power loss; left out: none
		For  tomlfile.Duration
		Most int // keys that a voter remembers
	}
}

// Remember is a checked [fleet.remember].
type Remember struct {
	For  time.Duration
	Most int
}

// What [fleet.remember] has where it names nothing.
const (
	rememberUsual = 10 * time.Minute
	rememberMost  = 500_000
)

// PolicyFile is the section [fleet.policy].
type PolicyFile struct {
	Mode          string            // wait or fence
	GiveUp        tomlfile.Duration `toml:"give_up"`
	WithoutQuorum string            `toml:"without_quorum"` // refuse or last
	After         tomlfile.Duration // with "last": when a door that has started goes by what its disk has
}

// Policy is a checked [fleet.policy].
type Policy struct {
	Fence         bool
	GiveUp, After time.Duration
	Last          bool
}

// Most is how many doors a list may have.
const Most = 1000

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

// Section is a checked [fleet].
type Section struct {
	Listen, StateDir, Control string
	Doors                     []Door
	Rank                      int
	Key                       []byte
	Policy                    *Policy   // nil: each door has its file's own
	Remember                  *Remember // nil: no class's keys are
}

// Check checks what stands in the file for the door of a name. Given says whether an address may be listened on, and plain whether a
// name is one. The error is a *FieldError.
func (f *File) Check(name string, given func(netip.Addr) bool, plain func(string) bool) (*Section, error) {
	s := &Section{Listen: f.Listen, StateDir: f.StateDir, Control: f.Control, Doors: f.Door, Rank: -1}
	at, err := netip.ParseAddrPort(f.Listen)
	if err != nil {
		return nil, wrong("listen", "%q is no address and port", f.Listen)
	}
	if !given(at.Addr()) {
		return nil, wrong("listen", "%s is neither loopback nor in node.allow", at.Addr())
	}
	if len(f.Door) == 0 || len(f.Door) > Most {
		return nil, wrong("door", "has %d doors, not 1 to %d", len(f.Door), Most)
	}
	named, addressed := map[string]int{}, map[netip.AddrPort]int{}
	for i, d := range f.Door {
		key := func(k string) string { return fmt.Sprintf("door[%d].%s", i, k) }
		if _, twice := named[d.Name]; twice || !plain(d.Name) {
			return nil, wrong(key("name"), "%q is no name, or stands twice", d.Name)
		}
		named[d.Name] = i
		if d.Name == name {
			s.Rank = i
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
	if s.Rank < 0 {
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
		s.Remember = &Remember{cmp.Or(time.Duration(r.For), rememberUsual), cmp.Or(r.Most, rememberMost)}
		switch {
		case s.Remember.For < idempotency.MinRetention || s.Remember.For > idempotency.MaxRetention:
			return nil, wrong("remember.for", "is not from %v to %v", idempotency.MinRetention, idempotency.MaxRetention)
		case s.Remember.Most < 1 || s.Remember.Most > idempotency.MaxKeys:
			return nil, wrong("remember.most", "is not from 1 to %d", idempotency.MaxKeys)
		}
	}
	return s, nil
}

// MostWait bounds how long a proposal's caller waits.
const MostWait = 15 * time.Minute

// Times that a policy's file may name, and what holds where it names none.
const (
	giveUpUsual, giveUpLeast, giveUpMost = 30 * time.Second, time.Second, 10 * time.Minute
	afterUsual                           = 10 * time.Second
)

func (f *PolicyFile) check() (*Policy, error) {
	if f == nil {
		return nil, nil
	}
	p := &Policy{Fence: f.Mode == "fence", GiveUp: cmp.Or(time.Duration(f.GiveUp), giveUpUsual), Last: f.WithoutQuorum == "last", After: cmp.Or(time.Duration(f.After), afterUsual)}
	switch {
	case f.Mode != "" && f.Mode != "wait" && f.Mode != "fence":
		return nil, wrong("policy.mode", "%q is not wait or fence", f.Mode)
	case p.GiveUp < giveUpLeast || p.GiveUp > giveUpMost:
		return nil, wrong("policy.give_up", "is not from %v to %v", giveUpLeast, giveUpMost)
	case f.WithoutQuorum != "" && f.WithoutQuorum != "refuse" && f.WithoutQuorum != "last":
		return nil, wrong("policy.without_quorum", "%q is not refuse or last", f.WithoutQuorum)
	case f.After != 0 && !p.Last:
		return nil, wrong("policy.after", "wants without_quorum = \"last\"")
	case p.After < 0:
		return nil, wrong("policy.after", "is negative")
	}
	return p, nil
}

// Same says whether two sections are of one fleet and door: a change wants a restart.
func (s *Section) Same(o *Section) bool {
	if s == nil || o == nil {
		return s == o
	}
	if len(s.Doors) != len(o.Doors) || (s.Policy == nil) != (o.Policy == nil) || s.Policy != nil && *s.Policy != *o.Policy ||
		(s.Remember == nil) != (o.Remember == nil) || s.Remember != nil && *s.Remember != *o.Remember {
		return false
	}
	for i := range s.Doors {
		if s.Doors[i] != o.Doors[i] {
			return false
		}
	}
	return cmp.Or(cmp.Compare(s.Listen, o.Listen), cmp.Compare(s.StateDir, o.StateDir), cmp.Compare(s.Control, o.Control), cmp.Compare(s.Rank, o.Rank),
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
