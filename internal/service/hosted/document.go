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

// A configuration file has two parts: what is the node's own (addresses, memory, name, keys), and the policy, which
// may be one document of a whole fleet (docs/design/policy.md).

// policyKeys are the tables that make up the policy; nodeKeys are the node's.
var (
	policyKeys = []string{"limits", "obligations", "class", "plan", "rule", "pool", "route", "account"}
	nodeKeys   = []string{"node", "fleet", "listener", "verdicts"}
)

// maxDocumentFraction is the part of node.memory_mb that a policy document may have: read and compiled it takes some
// eight times its length, twice during a change.
const maxDocumentFraction = 1.0 / 32

var errNodeTable = errors.New("is each node's own and not part of the policy")

// DocumentTooLargeError says that a policy document has no room in the node's memory.
type DocumentTooLargeError struct {
	// Bytes is the length of the document.
	Bytes int
	// MemoryMB is node.memory_mb.
	MemoryMB int
}

// Error implements error.
func (e *DocumentTooLargeError) Error() string {
	return fmt.Sprintf("a policy of %d bytes is over a %.0fth of node.memory_mb, %d",
		e.Bytes, 1/maxDocumentFraction, e.MemoryMB)
}

// policyOf takes the policy out of a file, as a document of its own.
func policyOf(file []byte) ([]byte, error) {
	var tables map[string]any
	if err := toml.Unmarshal(file, &tables); err != nil {
		return nil, err
	}
	for key := range tables {
		if !slices.Contains(policyKeys, key) {
			delete(tables, key)
		}
	}
	var document bytes.Buffer
	err := toml.NewEncoder(&document).SetIndentTables(false).Encode(tables)
	return document.Bytes(), err
}

// ParseWith is [Parse] of the node's part of a file and of a policy in the place of its own. An error is an *[Error]
// with the policy's name and line where it is the policy's fault, or a *[DocumentTooLargeError].
func ParseWith(name string, file []byte, policy string, document []byte) (*Config, error) {
	var own, common configFile
	if err := tomlfile.Decode(name, file, &own); err != nil {
		return nil, err
	}
	if err := checkNoNodeTables(policy, document); err != nil {
		return nil, err
	}
	if err := tomlfile.Decode(policy, document, &common); err != nil {
		return nil, err
	}
	own.poolTables = common.poolTables
	own.Pools = common.Pools
	own.Routes = common.Routes
	own.Accounts = common.Accounts
	c, err := own.config()
	var field *extauthz.Fault
	if errors.As(err, &field) {
		if isPolicyField(field.Field) {
			return nil, fieldErrorAt(policy, document, field)
		}
		return nil, fieldErrorAt(name, file, field)
	}
	if err != nil {
		return nil, &Error{File: policy, Err: err}
	}
	c.file = name
	c.text = file
	return c, c.checkDocumentFits(document)
}

// checkNoNodeTables checks that a policy has no tables of the node. What is no TOML passes.
func checkNoNodeTables(policy string, document []byte) error {
	var tables map[string]any
	if err := toml.Unmarshal(document, &tables); err != nil {
		return nil
	}
	for _, key := range nodeKeys {
		if _, isSet := tables[key]; isSet {
			return &Error{
				File: policy,
				Line: tomlfile.LineOf(tomlfile.Lines(document), key),
				Key:  key,
				Err:  errNodeTable,
			}
		}
	}
	return nil
}

// isPolicyField reports whether a field such as plan[0].rate is part of the policy.
func isPolicyField(field string) bool {
	table, _, _ := strings.Cut(field, ".")
	table, _, _ = strings.Cut(table, "[")
	return slices.Contains(policyKeys, table)
}

// checkDocumentFits checks that the node's memory has room for a policy document.
func (c *Config) checkDocumentFits(document []byte) error {
	memoryMB := c.Node.MemoryMB
	if memoryMB > 0 && float64(len(document)) > maxDocumentFraction*float64(memoryMB)*(1<<20) {
		return &DocumentTooLargeError{Bytes: len(document), MemoryMB: memoryMB}
	}
	return nil
}

// hasFleetPolicy reports whether the fleet has one policy for all gateways.
func hasFleetPolicy(fleet *peer.Settings) bool { return fleet != nil && fleet.Policy != nil }
