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

// Error is an error in a configuration file with its position.
type Error = tomlfile.Error

// Config is a validated configuration.
type Config struct {
	// Node is the configuration of the first pool's proxy. Its memory and sockets are those of the process, and its
	// name is used as the gateway's.
	Node *service.Config
	// Pools has at least one pool.
	Pools  []Pool
	Routes *route.Table
	// SharesCPU reports whether pools share the CPU by their weights.
	SharesCPU bool
	// GatewayName is node.name, which identifies this gateway in its cluster. It is required if the file has [fleet].
	// Pools have their own names.
	GatewayName string
	// HasPools reports whether the file has [[pool]] tables, possibly just one. Without any, the whole file describes
	// one pool.
	HasPools  bool
	Listeners []Listener
	// Accounts has the accounts whose credentials authorization checks are identified by.
	Accounts *account.Table
	// Fleet is nil if this gateway is not part of a cluster.
	Fleet  *peer.Settings
	Shared extauthz.SharedConfig
	// Disk is the file system that state is stored on; nil means the operating system's. Tests set it.
	Disk vfs.FS
	// Ahead is the offset of the clock from the machine's. Tests set it.
	Ahead time.Duration

	// file is the name of the file, and text has its contents.
	file string
	text []byte
}

// Pool is the configuration of one pool.
type Pool struct {
	// Node is the configuration of the pool's proxy.
	Node *service.Config
	// CounterSpace is the namespace of the pool on the counter, which separates its values from other pools' values.
	CounterSpace string
	// Weight is the pool's share of the CPU, relative to other pools' weights.
	Weight float64
	// Guarantee is the fraction, from 0 to 1, of memory, client connections and sockets that is reserved for the pool.
	Guarantee float64
	// MaxServerConnections bounds the connections to one endpoint over all pools that share it; 0 means no bound.
	MaxServerConnections int
	// Accounts has the accounts with the plans and classes of this pool.
	Accounts *account.Table

	// shape describes the classes, the limits, the names of plans, the counter space, whether there is a counter, the
	// weight and MaxServerConnections. A reload that changes it replaces the pool by a new one.
	shape string
	// plans describes the settings of the plans. A reload that changes only these updates the pool in place.
	plans string
}

// Listener is the configuration of one listener. It serves RESP2, metrics or, if neither, authorization checks.
type Listener struct {
	Name    string
	Address string
	RESP2   bool
	// Metrics is set if the listener serves GET /metrics, to any client that can reach the address.
	Metrics bool
	// Authz is set if the listener serves authorization checks.
	Authz extauthz.Config
	// TLS is nil if the listener does not use TLS.
	TLS *TLSFiles
}

// Load reads and validates a file. Its errors are of type *[Error].
func Load(name string) (*Config, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &Error{File: name, Err: err}
	}
	return Parse(name, data)
}

// Parse validates the contents of a file. Its errors are of type *[Error].
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

// config validates the file and returns the configuration. An error of a single field is an *[extauthz.Fault].
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
	if c.Fleet, err = f.clusterSettings(allowed); err != nil {
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

// fieldErrorAt returns the error of a field with the field's line in a file.
func fieldErrorAt(file string, data []byte, field *extauthz.Fault) *Error {
	return &Error{
		File: file,
		Line: tomlfile.LineOf(tomlfile.Lines(data), field.Field),
		Key:  field.Field,
		Err:  field.Err,
	}
}
