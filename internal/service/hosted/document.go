package hosted

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"gapgap/internal/frontend/extauthz"
	"gapgap/internal/peer"
	"gapgap/internal/tomlfile"
)

// A configuration file has two parts: what is the node's own (addresses, memory, name, keys), and the policy, which may be one document of a
// whole fleet (docs/design/policy.md).

// policyKeys are the tables that make up the policy; nodeKeys are the node's.
var (
	policyKeys = []string{"limits", "obligations", "class", "plan", "rule", "pool", "route", "account"}
	nodeKeys   = []string{"node", "fleet", "listener", "verdicts"}
)

// policyOf takes the policy out of a file, as a document of its own.
func policyOf(file []byte) ([]byte, error) {
	var all map[string]any
	if err := toml.Unmarshal(file, &all); err != nil {
		return nil, err
	}
	for key := range all {
		if !slices.Contains(policyKeys, key) {
			delete(all, key)
		}
	}
	var b bytes.Buffer
	err := toml.NewEncoder(&b).SetIndentTables(false).Encode(all)
	return b.Bytes(), err
}

// ParseWith is [Parse] of the node's part of a file and of a policy in the place of its own. An error names the policy's line where it is
// the policy's fault.
func ParseWith(name string, file []byte, policy string, doc []byte) (*Config, error) {
	var own, common configFile
	if err := tomlfile.Decode(name, file, &own); err != nil {
		return nil, err
	}
	var keys map[string]any
	if err := toml.Unmarshal(doc, &keys); err == nil {
		for _, k := range nodeKeys {
			if _, there := keys[k]; there {
				return nil, &Error{File: policy, Line: tomlfile.LineOf(tomlfile.Lines(doc), k), Key: k, Err: errors.New("is each node's own and not part of the policy")}
			}
		}
	}
	if err := tomlfile.Decode(policy, doc, &common); err != nil {
		return nil, err
	}
	f := &own
	f.poolParts, f.Pool, f.Route, f.Account = common.poolParts, common.Pool, common.Route, common.Account
	c, err := f.config()
	var field *extauthz.Fault
	switch {
	case errors.As(err, &field):
		root, _, _ := strings.Cut(field.Field, ".")
		root, _, _ = strings.Cut(root, "[")
		if slices.Contains(policyKeys, root) {
			return nil, &Error{File: policy, Line: tomlfile.LineOf(tomlfile.Lines(doc), field.Field), Key: field.Field, Err: field.Err}
		}
		return nil, &Error{File: name, Line: tomlfile.LineOf(tomlfile.Lines(file), field.Field), Key: field.Field, Err: field.Err}
	case err != nil:
		return nil, &Error{File: policy, Err: err}
	}
	c.file, c.text = name, file
	return c, c.fits(doc)
}

// documentPart is the part of node.memory_mb that a policy document may have: read and compiled it takes some eight times its length, twice
// during a change.
const documentPart = 1.0 / 32

// fits says whether there is room for a document.
func (c *Config) fits(doc []byte) error {
	if mb := c.Node.MemoryMB; mb > 0 && float64(len(doc)) > documentPart*float64(mb)*(1<<20) {
		return fmt.Errorf("a policy of %d bytes is over a %.0fth of node.memory_mb, %d", len(doc), 1/documentPart, mb)
	}
	return nil
}

// policyOn says that the fleet has one policy.
func policyOn(s *peer.Settings) bool { return s != nil && s.Policy != nil }
