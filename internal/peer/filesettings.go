package peer

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gapgap/internal/idempotency"
	"gapgap/internal/tomlfile"
)

// Bounds of settings.
const (
	// MaxGateways is how many gateways a list may have.
	MaxGateways = 1000
	// MaxProposalWait bounds how long the caller that proposes a policy waits.
	MaxProposalWait = 15 * time.Minute

	// maxSocketPathBytes bounds the path of a Unix socket.
	maxSocketPathBytes = 100
	// maxSharedKeyBytes bounds the shared key.
	maxSharedKeyBytes = 4096

	minGiveUp = time.Second
	maxGiveUp = 10 * time.Minute
)

// What holds where a file names nothing.
const (
	defaultGiveUp        = 30 * time.Second
	defaultLastKnownWait = 10 * time.Second
	defaultKeyRetention  = 10 * time.Minute
	defaultMaxKeys       = 500_000
)

// The values of settings that name one of several rules; empty means the first.
const (
	policyModeWait      = "wait"
	policyModeFence     = "fence"
	withoutQuorumRefuse = "refuse"
	withoutQuorumLast   = "last"
)

// FileSettings is the section [fleet] of a configuration file.
type FileSettings struct {
	// Listen is the IP address and port for datagrams of the other gateways.
	Listen string `toml:"listen"`
	// KeyFile is the path of the shared key.
	KeyFile string `toml:"key_file"`
	// StateDir is the directory of the gateway's identity.
	StateDir string `toml:"state_dir"`
	// Control is the path of the operators' Unix socket; empty means none.
	Control  string    `toml:"control"`
	Gateways []Gateway `toml:"door"`
	// Policy says that there is one policy for all gateways; nil means that each applies that of its own file.
	Policy *PolicyFileSettings `toml:"policy"`
	// KeyRetention lets classes have their keys kept over a power loss; nil means that none are.
	KeyRetention *KeyRetentionFileSettings `toml:"remember"`
}

// PolicyFileSettings is the section [fleet.policy].
type PolicyFileSettings struct {
	// Mode is wait or fence.
	Mode   string            `toml:"mode"`
	GiveUp tomlfile.Duration `toml:"give_up"`
	// WithoutQuorum is refuse or last.
	WithoutQuorum string `toml:"without_quorum"`
	// LastKnownWait is, with last, after how long a gateway that has started applies the policy on its disk.
	LastKnownWait tomlfile.Duration `toml:"after"`
}

// KeyRetentionFileSettings is the section [fleet.remember].
type KeyRetentionFileSettings struct {
	Duration tomlfile.Duration `toml:"for"`
	MaxKeys  int               `toml:"most"`
}

// FieldError says which field of [fleet] is wrong.
type FieldError struct {
	// Field is the key in the file, without "fleet.".
	Field string
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + " " + e.Err.Error() }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldErrorf returns a *FieldError.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// Check checks the settings of the gateway of a name. IsAllowed reports whether an address may be listened on, and
// isName whether a text may be a gateway's name. The error is a *FieldError.
func (f *FileSettings) Check(
	name string, isAllowed func(netip.Addr) bool, isName func(string) bool,
) (*Settings, error) {
	if err := f.checkListen(isAllowed); err != nil {
		return nil, err
	}
	if err := checkList(f.Gateways, isName); err != nil {
		return nil, err
	}
	index := slices.IndexFunc(f.Gateways, func(gateway Gateway) bool { return gateway.Name == name })
	if index < 0 {
		return nil, fieldErrorf("door", "none is named %q, as node.name", name)
	}
	if err := f.checkPaths(); err != nil {
		return nil, err
	}
	key, err := ReadKey(f.KeyFile)
	if err != nil {
		return nil, &FieldError{Field: "key_file", Err: err}
	}
	policy, err := f.Policy.check()
	if err != nil {
		return nil, err
	}
	retention, err := f.KeyRetention.check()
	if err != nil {
		return nil, err
	}
	return &Settings{
		Listen:       f.Listen,
		StateDir:     f.StateDir,
		Control:      f.Control,
		Gateways:     f.Gateways,
		Index:        index,
		Key:          key,
		Policy:       policy,
		KeyRetention: retention,
	}, nil
}

// checkListen checks the address for datagrams.
func (f *FileSettings) checkListen(isAllowed func(netip.Addr) bool) error {
	address, err := netip.ParseAddrPort(f.Listen)
	if err != nil {
		return fieldErrorf("listen", "%q is no address and port", f.Listen)
	}
	if !isAllowed(address.Addr()) {
		return fieldErrorf("listen", "%s is neither loopback nor in node.allow", address.Addr())
	}
	return nil
}

// checkList checks that names and addresses are valid and unique.
func checkList(gateways []Gateway, isName func(string) bool) error {
	if len(gateways) == 0 || len(gateways) > MaxGateways {
		return fieldErrorf("door", "has %d doors, not 1 to %d", len(gateways), MaxGateways)
	}
	byName, byAddress := map[string]int{}, map[netip.AddrPort]int{}
	for i, gateway := range gateways {
		field := func(key string) string { return fmt.Sprintf("door[%d].%s", i, key) }
		if _, isTaken := byName[gateway.Name]; isTaken || !isName(gateway.Name) {
			return fieldErrorf(field("name"), "%q is no name, or stands twice", gateway.Name)
		}
		byName[gateway.Name] = i
		address, err := netip.ParseAddrPort(gateway.Address)
		if err != nil || address.Port() == 0 {
			return fieldErrorf(field("address"), "%q is no address and port", gateway.Address)
		}
		if other, isTaken := byAddress[address]; isTaken {
			return fieldErrorf(field("address"), "%s is that of door[%d] too", address, other)
		}
		byAddress[address] = i
	}
	return nil
}

// checkPaths checks the paths but for the key's contents.
func (f *FileSettings) checkPaths() error {
	if f.StateDir == "" {
		return fieldErrorf("state_dir", "is missing: a door's incarnation must outlive its process")
	}
	if info, err := os.Stat(f.StateDir); err != nil || !info.IsDir() {
		return fieldErrorf("state_dir", "%q is no directory", f.StateDir)
	}
	if len(f.Control) > maxSocketPathBytes {
		return fieldErrorf("control", "has %d bytes, %d at most", len(f.Control), maxSocketPathBytes)
	}
	if f.Control != "" && !filepath.IsAbs(f.Control) {
		return fieldErrorf("control", "%q is no absolute path", f.Control)
	}
	if f.KeyFile == "" {
		return fieldErrorf("key_file", "is missing")
	}
	return nil
}

// check returns the checked section, or nil if there is none.
func (f *PolicyFileSettings) check() (*PolicySettings, error) {
	if f == nil {
		return nil, nil
	}
	p := &PolicySettings{
		Fence:         f.Mode == policyModeFence,
		GiveUp:        cmp.Or(time.Duration(f.GiveUp), defaultGiveUp),
		LastKnownWait: cmp.Or(time.Duration(f.LastKnownWait), defaultLastKnownWait),
		UseLastKnown:  f.WithoutQuorum == withoutQuorumLast,
	}
	switch {
	case !slices.Contains([]string{"", policyModeWait, policyModeFence}, f.Mode):
		return nil, fieldErrorf("policy.mode", "%q is not wait or fence", f.Mode)
	case p.GiveUp < minGiveUp || p.GiveUp > maxGiveUp:
		return nil, fieldErrorf("policy.give_up", "is not from %v to %v", minGiveUp, maxGiveUp)
	case !slices.Contains([]string{"", withoutQuorumRefuse, withoutQuorumLast}, f.WithoutQuorum):
		return nil, fieldErrorf("policy.without_quorum", "%q is not refuse or last", f.WithoutQuorum)
	case f.LastKnownWait != 0 && !p.UseLastKnown:
		return nil, fieldErrorf("policy.after", "wants without_quorum = \"last\"")
	case p.LastKnownWait < 0:
		return nil, fieldErrorf("policy.after", "is negative")
	}
	return p, nil
}

// check returns the checked section, or nil if there is none.
func (f *KeyRetentionFileSettings) check() (*KeyRetention, error) {
	if f == nil {
		return nil, nil
	}
	retention := &KeyRetention{
		Duration: cmp.Or(time.Duration(f.Duration), defaultKeyRetention),
		MaxKeys:  cmp.Or(f.MaxKeys, defaultMaxKeys),
	}
	switch {
	case retention.Duration < idempotency.MinRetention || retention.Duration > idempotency.MaxRetention:
		return nil, fieldErrorf("remember.for", "is not from %v to %v",
			idempotency.MinRetention, idempotency.MaxRetention)
	case retention.MaxKeys < 1 || retention.MaxKeys > idempotency.MaxKeys:
		return nil, fieldErrorf("remember.most", "is not from 1 to %d", idempotency.MaxKeys)
	}
	return retention, nil
}

// ReadKey reads the shared key: the contents of a file without spaces around them.
func ReadKey(path string) ([]byte, error) {
	contents, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key := bytes.TrimSpace(contents)
	if len(key) < minSharedKeyBytes || len(key) > maxSharedKeyBytes {
		return nil, fmt.Errorf("%s holds a key of %d bytes, not %d to %d",
			path, len(key), minSharedKeyBytes, maxSharedKeyBytes)
	}
	return key, nil
}
