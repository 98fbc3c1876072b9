package hosted

import (
	"errors"
	"os"
	"time"

	"gapgap/internal/account"
	"gapgap/internal/frontend/extauthz"
	"gapgap/internal/peer"
	"gapgap/internal/route"
	"gapgap/internal/service"
	"gapgap/internal/tomlfile"
	"gapgap/internal/vfs"
)

// Error is an error in a configuration file, with its place there.
type Error = tomlfile.Error

// Config is a checked configuration.
type Config struct {
	// Node is the configuration of the first pool's proxy. Its memory and sockets are those of the process, and
	// its name is used as the gateway's.
	Node *service.Config
	// Pools has one at least.
	Pools  []Pool
	Routes *route.Table
	// SharesCPU tells whether pools share the processor by their weights.
	SharesCPU bool
	// GatewayName is node.name, by which the other gateways of a fleet know this one; a fleet's file must have it. A
	// pool has a name of its own.
	GatewayName string
	// HasPools tells whether the file has [[pool]] tables, though it may be one. Without any the whole file is one
	// pool.
	HasPools  bool
	Listeners []Listener
	// Accounts are those by whose credentials authorization checks are recognized.
	Accounts *account.Table
	// Fleet is nil if this gateway stands alone.
	Fleet  *peer.Settings
	Shared extauthz.SharedConfig
	// Disk is the file system that state is kept on; nil means the operating system's. Tests set it.
	Disk vfs.FS
	// Ahead is by how much the clock goes ahead of the machine's. Tests set it.
	Ahead time.Duration

	// file is the name of the file, and text its contents.
	file string
	text []byte
}

// Pool is one pool as configured.
type Pool struct {
	// Node is the configuration of its proxy.
	Node *service.Config
	// CounterSpace keeps its numbers on the counter apart from those of other pools.
	CounterSpace string
	// Weight is its part of the processor, relative to other pools' weights.
	Weight float64
	// Guarantee is the part, from 0 to 1, of memory, clients' connections and sockets that no other pool can have.
	Guarantee float64
	// MaxServerConnections bounds the connections to one endpoint, over all pools that have it; 0 means no bound.
	MaxServerConnections int
	// Accounts have the plans and classes of the pool.
	Accounts *account.Table

	// shape describes the classes, the limits, the names of plans, the counter space, whether there is a counter, the
	// weight and MaxServerConnections. A reload that changes it replaces the pool by a new one.
	shape string
	// plans describes what plans give. A reload that changes it only updates the pool.
	plans string
}

// Listener is one listener as configured. It speaks RESP2, or shows metrics, or else takes authorization checks.
type Listener struct {
	Name    string
	Address string
	RESP2   bool
	// Metrics tells that it serves GET /metrics to whoever reaches the address.
	Metrics bool
	// Authz is set if it takes authorization checks.
	Authz extauthz.Config
	// TLS is nil if it speaks without TLS.
	TLS *TLSFiles
}

// Load reads and checks a file. An error is an *[Error].
func Load(name string) (*Config, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &Error{File: name, Err: err}
	}
	return Parse(name, data)
}

// Parse checks the contents of a file. An error is an *[Error].
func Parse(name string, data []byte) (*Config, error) {
	var file configFile
	if err := tomlfile.Decode(name, data, &file); err != nil {
		return nil, err
	}
	c, err := file.config()
	var field *extauthz.Fault
	if errors.As(err, &field) {
		return nil, fieldErrorAt(name, data, field)
	}
	if err != nil {
		return nil, &Error{File: name, Err: err}
	}
	c.file = name
	c.text = data
	return c, nil
}

// config checks the file and returns what it configures. An error of one field is an *[extauthz.Fault].
func (f *configFile) config() (*Config, error) {
	hasPools := len(f.Pools) > 0
	c := &Config{
		GatewayName: f.Node.Name,
		HasPools:    hasPools,
		SharesCPU:   hasPools && valueOr(f.Node.ShareCPU, true),
	}
	allowed, err := parsePrefixes("node.allow", f.Node.Allow)
	if err != nil {
		return nil, err
	}
	if c.Fleet, err = f.fleet(allowed); err != nil {
		return nil, err
	}
	if c.Pools, err = f.pools(); err != nil {
		return nil, err
	}
	c.Node = c.Pools[0].Node
	c.Accounts = c.Pools[0].Accounts
	if err := f.checkAccountPlans(c.Pools); err != nil {
		return nil, err
	}
	if c.Routes, err = f.routes(c); err != nil {
		return nil, err
	}
	if c.Listeners, err = f.listeners(c.Pools, allowed); err != nil {
		return nil, err
	}
	if c.Shared, err = f.sharedConfig(); err != nil {
		return nil, err
	}
	return c, nil
}

// fieldErrorAt returns the error of a field with its line in a file.
func fieldErrorAt(file string, data []byte, field *extauthz.Fault) *Error {
	return &Error{
		File: file,
		Line: tomlfile.LineOf(tomlfile.Lines(data), field.Field),
		Key:  field.Field,
		Err:  field.Err,
	}
}
