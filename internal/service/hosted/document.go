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

// A configuration file has two parts: the node's own settings (addresses, memory, name, keys) and the policy. The
// policy may be replaced by one document for a whole cluster (docs/design/policy.md).

// policyKeys has the tables that make up the policy, and nodeKeys those of the node.
var (
	policyKeys = []string{"limits", "obligations", "class", "plan", "rule", "pool", "route", "account"}
	nodeKeys   = []string{"node", "fleet", "listener", "verdicts"}
)

// maxDocumentFraction is the largest size of a policy document as a fraction of node.memory_mb: a document that is
// parsed and compiled takes about eight times its size, and two are in memory during a change.
const maxDocumentFraction = 1.0 / 32

var errNodeTable = errors.New("is a table of the node and can't be part of the policy")

// DocumentTooLargeError is returned for a policy document that is too large for the node's memory.
type DocumentTooLargeError struct {
	// Bytes is the size of the document.
	Bytes int
	// MemoryMB is node.memory_mb.
	MemoryMB int
}

// Error implements error.
func (e *DocumentTooLargeError) Error() string {
	return fmt.Sprintf("a policy of %d bytes exceeds a %.0fth of node.memory_mb, %d",
		e.Bytes, 1/maxDocumentFraction, e.MemoryMB)
}

// policyOf extracts the policy of a file as a separate document.
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

// ParseWithPolicy is like [Parse], but replaces the policy of the file by another document. Its errors are of type
// *[Error], with the policy's name and line if the error is in the policy, or *[DocumentTooLargeError].
func ParseWithPolicy(name string, file []byte, policy string, document []byte) (*Config, error) {
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

// checkNoNodeTables checks that a policy has no tables of the node. It accepts a document that is not valid TOML.
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

// isPolicyField reports whether a field, such as plan[0].rate, is part of the policy.
func isPolicyField(field string) bool {
	table, _, _ := strings.Cut(field, ".")
	table, _, _ = strings.Cut(table, "[")
	return slices.Contains(policyKeys, table)
}

// checkDocumentFits checks that a policy document is small enough for the node's memory.
func (c *Config) checkDocumentFits(document []byte) error {
	memoryMB := c.Node.MemoryMB
	if memoryMB > 0 && float64(len(document)) > maxDocumentFraction*float64(memoryMB)*(1<<20) {
		return &DocumentTooLargeError{Bytes: len(document), MemoryMB: memoryMB}
	}
	return nil
}

// hasClusterPolicy reports whether the cluster has one policy for all gateways.
func hasClusterPolicy(fleet *peer.Settings) bool { return fleet != nil && fleet.Policy != nil }
