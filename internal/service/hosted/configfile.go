package hosted

import (
	"gapgap/internal/peer"
	"gapgap/internal/tomlfile"
)

// configFile is the format of the configuration file; deploy/gapgapd.toml documents each key.
//
// Most tables are aliases of unnamed struct types: with a defined type, the error of [tomlfile.Decode] for a value in
// the place of a table would not say that a table is expected.
type configFile struct {
	Node  nodeTable          `toml:"node"`
	Fleet *peer.FileSettings `toml:"fleet"`
	poolTables
	Pools     []poolTable     `toml:"pool"`
	Routes    []routeTable    `toml:"route"`
	Decisions decisionsTable  `toml:"verdicts"`
	Listeners []listenerTable `toml:"listener"`
	Accounts  []accountTable  `toml:"account"`
}

// nodeTable is [node]: the settings of the process.
type nodeTable = struct {
	Name        string `toml:"name"`
	Seed        string `toml:"seed"`
	Discovery   string `toml:"discovery"`
	Counter     string `toml:"counter"`
	Zone        string `toml:"zone"`
	MemoryMB    int    `toml:"memory_mb"`
	Sockets     int    `toml:"sockets"`
	MaxInFlight int    `toml:"most_open"`
	Gateways    int    `toml:"doors"`
	// Index is this gateway's index among all gateways, from 0.
	Index       int    `toml:"rank"`
	DefaultPool string `toml:"default_pool"`
	ShareCPU    *bool  `toml:"share_processor"`
	// Ceilings is demand, even or empty.
	Ceilings string   `toml:"ceilings"`
	Allow    []string `toml:"allow"`
}

// poolTables has the tables that each pool has. Without [[pool]] tables they are at the top level of the file.
type poolTables struct {
	Limits      limitsTable      `toml:"limits"`
	Obligations obligationsTable `toml:"obligations"`
	Classes     []classTable     `toml:"class"`
	Plans       []planTable      `toml:"plan"`
	Rules       []ruleTable      `toml:"rule"`
}

// poolTable is [[pool]]: one pool.
type poolTable = struct {
	Name                 string   `toml:"name"`
	Discovery            string   `toml:"discovery"`
	Counter              string   `toml:"counter"`
	Zone                 string   `toml:"zone"`
	Seed                 string   `toml:"seed"`
	CounterSpace         *string  `toml:"counter_space"`
	MaxInFlight          int      `toml:"most_open"`
	Weight               *float64 `toml:"weight"`
	Guarantee            *float64 `toml:"guarantee"`
	MaxServerConnections int      `toml:"server_connections"`
	poolTables
}

// limitsTable is [limits]: bounds on attempts, connections and units.
type limitsTable = struct {
	MaxAttempts    int               `toml:"max_attempts"`
	DialTimeout    tomlfile.Duration `toml:"dial_timeout"`
	IdleTimeout    tomlfile.Duration `toml:"conn_idle"`
	AllowCancel    *bool             `toml:"cancel"`
	HealthChecks   bool              `toml:"probe"`
	MaxRetryAfter  tomlfile.Duration `toml:"retry_after"`
	CounterTimeout tomlfile.Duration `toml:"counter_timeout"`
	MaxUnits       float64           `toml:"max_units"`
}

// obligationsTable is [obligations]: the values that the contract with the platform sets.
type obligationsTable = struct {
	DrainGrace        tomlfile.Duration `toml:"stop_sending_within"`
	OverloadMultiple  float64           `toml:"fall_multiple"`
	OverloadWindow    tomlfile.Duration `toml:"fall_window"`
	SlowStartCapacity float64           `toml:"cold_from"`
	SlowStartDuration tomlfile.Duration `toml:"warm_within"`
}

// classTable is [[class]]: one class of requests.
type classTable = struct {
	Name string `toml:"name"`
	// Effect is safe, keyed or unsafe.
	Effect string `toml:"effect"`
	// Group is the dedup scope: all, zone or cell; empty means all.
	Group string `toml:"group"`
	// Remember is disk if keys are durably reserved across all gateways; otherwise it is empty.
	Remember           string            `toml:"remember"`
	PriorityWeight     float64           `toml:"worth"`
	LateWeightFraction float64           `toml:"late_worth"`
	LatencyObjective   tomlfile.Duration `toml:"aim"`
	ClientTimeout      tomlfile.Duration `toml:"give_up"`
	DedupWindow        tomlfile.Duration `toml:"window"`
}

// planTable is [[plan]]: one plan.
type planTable = struct {
	Name            string  `toml:"name"`
	Rate            float64 `toml:"rate"`
	Burst           float64 `toml:"burst"`
	PriorityFactor  float64 `toml:"factor"`
	MaxInFlight     int     `toml:"at_once"`
	OverQuotaWeight float64 `toml:"over_worth"`
	OverQuotaCost   float64 `toml:"over_cost"`
	CeilingRate     float64 `toml:"ceiling_rate"`
	CeilingBurst    float64 `toml:"ceiling_depth"`
	// PartitionPolicy is keep, quota, yield or empty.
	PartitionPolicy string `toml:"when_cut_off"`
}

// ruleTable is [[rule]]: the class and units of the requests that it matches.
type ruleTable = struct {
	Host    string   `toml:"host"`
	Path    string   `toml:"path"`
	Class   string   `toml:"class"`
	Methods []string `toml:"methods"`
	Units   float64  `toml:"units"`
}

// routeTable is [[route]]: one rule of the routing table.
type routeTable = struct {
	Name     string `toml:"name"`
	Listener string `toml:"listener"`
	Host     string `toml:"host"`
	Path     string `toml:"path"`
	// Kind is how Path matches: prefix, exact or template; empty means prefix.
	Kind    string             `toml:"kind"`
	Methods []string           `toml:"methods"`
	Headers map[string]string  `toml:"headers"`
	Class   string             `toml:"class"`
	Account string             `toml:"account"`
	Targets []routeTargetTable `toml:"to"`
}

// routeTargetTable is one target of a route.
type routeTargetTable = struct {
	Pool string `toml:"pool"`
	// Weight is relative to the other targets' weights; nil means 1.
	Weight *float64 `toml:"weight"`
}

// decisionsTable is [verdicts]: the decision cache of authorization checks.
type decisionsTable = struct {
	Retention          tomlfile.Duration `toml:"keep"`
	MaxEntries         int               `toml:"most"`
	MaxPerAccount      int               `toml:"per_account"`
	MaxRepeats         int               `toml:"repeats"`
	MaxTrackedInFlight int               `toml:"holds"`
}

// listenerTable is [[listener]]: one listener.
type listenerTable struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	// Protocol is resp2, authz or metrics.
	Protocol            string            `toml:"protocol"`
	Trusted             []string          `toml:"trusted"`
	TrustedCertificates []string          `toml:"trusted_certificates"`
	EndPath             string            `toml:"end_path"`
	MaxHeaderBytes      int               `toml:"max_header_bytes"`
	MaxHeaders          int               `toml:"max_headers"`
	MaxBody             int64             `toml:"max_body"`
	HeaderTimeout       tomlfile.Duration `toml:"header_timeout"`
	IdleTimeout         tomlfile.Duration `toml:"idle_timeout"`
	MaxStreams          int               `toml:"max_streams"`
	TLS                 *tlsTable         `toml:"tls"`
	Checks              []checkTable      `toml:"check"`
}

// tlsTable is [listener.tls]: the files for TLS.
type tlsTable = struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	ClientCA    string `toml:"client_ca"`
}

// checkTable is [[listener.check]]: one path for authorization checks.
type checkTable = struct {
	Path string `toml:"path"`
	// Dialect is a key of [extauthz.Dialects].
	Dialect string `toml:"dialect"`
	// Identify lists keys of [extauthz.Identities].
	Identify          []string `toml:"identify"`
	KeyHeader         *string  `toml:"key_header"`
	AccountHeader     string   `toml:"account_header"`
	CertificateHeader string   `toml:"certificate_header"`
	// Repeat is a key of [extauthz.Repeats]; empty means never.
	Repeat          string            `toml:"repeat"`
	RequestIDHeader string            `toml:"request_id_header"`
	NonceHeader     string            `toml:"nonce_header"`
	UnitsHeader     string            `toml:"units_header"`
	DefaultClass    string            `toml:"default_class"`
	Within          tomlfile.Duration `toml:"within"`
	// Undecided is deny or allow; empty means deny.
	Undecided string `toml:"undecided"`
}

// accountTable is [[account]]: one account.
type accountTable = struct {
	Name         string   `toml:"name"`
	Customer     string   `toml:"customer"`
	Plan         string   `toml:"plan"`
	Keys         []string `toml:"keys"`
	Certificates []string `toml:"certificates"`
	Classes      []string `toml:"classes"`
	Gateways     int      `toml:"doors"`
	// HoldTimeout is how long an admitted request may last.
	HoldTimeout tomlfile.Duration `toml:"hold"`
}
