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

// Limits of settings.
const (
	// MaxGateways is the maximum length of the list of gateways.
	MaxGateways = 1000
	// MaxProposalWait is the longest time that a caller may wait for the result of a policy proposal.
	MaxProposalWait = 15 * time.Minute

	// maxSocketPathBytes is the maximum length of the path of a Unix socket.
	maxSocketPathBytes = 100
	// maxSharedKeyBytes is the maximum length of the shared key.
	maxSharedKeyBytes = 4096

	minGiveUp = time.Second
	maxGiveUp = 10 * time.Minute
)

// Defaults of settings that a file omits.
const (
	defaultGiveUp        = 30 * time.Second
	defaultLastKnownWait = 10 * time.Second
	defaultKeyRetention  = 10 * time.Minute
	defaultMaxKeys       = 500_000
)

// Values of the settings mode and without_quorum. Empty means the first one of each.
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
	// StateDir is the directory that stores the gateway's identity.
	StateDir string `toml:"state_dir"`
	// Control is the path of the control socket, a Unix socket for operators; empty means none.
	Control  string    `toml:"control"`
	Gateways []Gateway `toml:"door"`
	// Policy is set if all gateways share one policy; nil means that each applies the policy of its own file.
	Policy *PolicyFileSettings `toml:"policy"`
	// KeyRetention is set if classes may keep their idempotency keys over a power loss; nil means that none do.
	KeyRetention *KeyRetentionFileSettings `toml:"remember"`
}

// PolicyFileSettings is the section [fleet.policy].
type PolicyFileSettings struct {
	// Mode is "wait" or "fence".
	Mode   string            `toml:"mode"`
	GiveUp tomlfile.Duration `toml:"give_up"`
	// WithoutQuorum is "refuse" or "last".
	WithoutQuorum string `toml:"without_quorum"`
	// LastKnownWait is the time after a start without a quorum at which a gateway applies the policy on its disk. It
	// requires that WithoutQuorum is "last".
	LastKnownWait tomlfile.Duration `toml:"after"`
}

// KeyRetentionFileSettings is the section [fleet.remember].
type KeyRetentionFileSettings struct {
	Duration tomlfile.Duration `toml:"for"`
	MaxKeys  int               `toml:"most"`
}

// FieldError reports an invalid field of the section [fleet].
type FieldError struct {
	// Field is the key in the file, without "fleet.".
	Field string
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + " " + e.Err.Error() }

// Unwrap returns the error without the field.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldErrorf returns a *FieldError.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// Check validates the settings of the gateway with a name. The function isAllowed reports whether the gateway may
// listen on an address, and isValidName whether a text is a valid gateway name. The error is a *FieldError.
func (f *FileSettings) Check(
	name string, isAllowed func(netip.Addr) bool, isValidName func(string) bool,
) (*Settings, error) {
	if err := f.checkListen(isAllowed); err != nil {
		return nil, err
	}
	if err := checkGateways(f.Gateways, isValidName); err != nil {
		return nil, err
	}
	index := slices.IndexFunc(f.Gateways, func(gateway Gateway) bool { return gateway.Name == name })
	if index < 0 {
		return nil, fieldErrorf("door", "none is named %q, the value of node.name", name)
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

// checkListen checks the address to receive datagrams at.
func (f *FileSettings) checkListen(isAllowed func(netip.Addr) bool) error {
	address, err := netip.ParseAddrPort(f.Listen)
	if err != nil {
		return fieldErrorf("listen", "%q is not an IP address and port", f.Listen)
	}
	if !isAllowed(address.Addr()) {
		return fieldErrorf("listen", "%s is neither loopback nor in node.allow", address.Addr())
	}
	return nil
}

// checkGateways checks that the list's names and addresses are valid and unique.
func checkGateways(gateways []Gateway, isValidName func(string) bool) error {
	if len(gateways) == 0 || len(gateways) > MaxGateways {
		return fieldErrorf("door", "has %d entries, must have 1 to %d", len(gateways), MaxGateways)
	}
	byName, byAddress := map[string]int{}, map[netip.AddrPort]int{}
	for i, gateway := range gateways {
		field := func(key string) string { return fmt.Sprintf("door[%d].%s", i, key) }
		if _, isTaken := byName[gateway.Name]; isTaken || !isValidName(gateway.Name) {
			return fieldErrorf(field("name"), "%q is not a valid name or is used twice", gateway.Name)
		}
		byName[gateway.Name] = i
		address, err := netip.ParseAddrPort(gateway.Address)
		if err != nil || address.Port() == 0 {
			return fieldErrorf(field("address"), "%q is not an IP address and port", gateway.Address)
		}
		if other, isTaken := byAddress[address]; isTaken {
			return fieldErrorf(field("address"), "%s is also the address of door[%d]", address, other)
		}
		byAddress[address] = i
	}
	return nil
}

// checkPaths checks the paths. It does not read the key file.
func (f *FileSettings) checkPaths() error {
	if f.StateDir == "" {
		return fieldErrorf("state_dir", "is missing: the gateway's incarnation must survive restarts")
	}
	if info, err := os.Stat(f.StateDir); err != nil || !info.IsDir() {
		return fieldErrorf("state_dir", "%q is not a directory", f.StateDir)
	}
	if len(f.Control) > maxSocketPathBytes {
		return fieldErrorf("control", "has %d bytes, must have at most %d", len(f.Control), maxSocketPathBytes)
	}
	if f.Control != "" && !filepath.IsAbs(f.Control) {
		return fieldErrorf("control", "%q is not an absolute path", f.Control)
	}
	if f.KeyFile == "" {
		return fieldErrorf("key_file", "is missing")
	}
	return nil
}

// check validates the section and returns its settings, or nil if the section is missing.
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
		return nil, fieldErrorf("policy.mode", "%q is neither wait nor fence", f.Mode)
	case p.GiveUp < minGiveUp || p.GiveUp > maxGiveUp:
		return nil, fieldErrorf("policy.give_up", "must be from %v to %v", minGiveUp, maxGiveUp)
	case !slices.Contains([]string{"", withoutQuorumRefuse, withoutQuorumLast}, f.WithoutQuorum):
		return nil, fieldErrorf("policy.without_quorum", "%q is neither refuse nor last", f.WithoutQuorum)
	case f.LastKnownWait != 0 && !p.UseLastKnown:
		return nil, fieldErrorf("policy.after", "requires without_quorum = \"last\"")
	case p.LastKnownWait < 0:
		return nil, fieldErrorf("policy.after", "is negative")
	}
	return p, nil
}

// check validates the section and returns its settings, or nil if the section is missing.
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
		return nil, fieldErrorf("remember.for", "must be from %v to %v",
			idempotency.MinRetention, idempotency.MaxRetention)
	case retention.MaxKeys < 1 || retention.MaxKeys > idempotency.MaxKeys:
		return nil, fieldErrorf("remember.most", "must be from 1 to %d", idempotency.MaxKeys)
	}
	return retention, nil
}

// ReadKey reads the shared key from a file. Leading and trailing white space is not part of the key.
func ReadKey(path string) ([]byte, error) {
	contents, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key := bytes.TrimSpace(contents)
	if len(key) < minSharedKeyBytes || len(key) > maxSharedKeyBytes {
		return nil, fmt.Errorf("%s has a key of %d bytes, must have %d to %d",
			path, len(key), minSharedKeyBytes, maxSharedKeyBytes)
	}
	return key, nil
}
