package main

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

const (
	// connections is the default number of connections of a load.
	connections = 32
	// accounts is the number of measured accounts.
	accounts = 100
	// floodCeiling is the ceiling of the flooding account, in units per second.
	floodCeiling = 40.0
	// floodCustomer is that account's customer, and floodKey its API key.
	floodCustomer = "00000000ffffffff"
	floodKey      = "key-loud"
)

// forwardAuthConfigFormat is the first part of a configuration file with two plans: one that never rejects the measured
// accounts and one with a ceiling. Its arguments are the addresses of discovery and the counter, the ceiling's rate and
// burst, the customer of the flooding account and the hash of its API key.
const forwardAuthConfigFormat = `
[node]
discovery = %q
counter = %q
sockets = 4096
[limits]
retry_after = "5s"
[[class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "2s"
give_up = "3s"
[[plan]]
name = "wide"
rate = 1000000.0
burst = 1000000.0
over_cost = 1.0
[[plan]]
name = "business"
rate = 20.0
burst = 20.0
over_worth = 0.2
ceiling_rate = %v
ceiling_depth = %v
[[listener]]
name = "resp2"
protocol = "resp2"
address = "127.0.0.1:0"
[[listener]]
name = "http"
protocol = "authz"
address = "127.0.0.1:0"
trusted = ["127.0.0.1"]
[[listener.check]]
path = "/check"
dialect = "traefik"
repeat = "request-id"
default_class = "evaluate"
[[rule]]
host = "flags.example.org"
class = "evaluate"
[[account]]
name = "loud"
customer = %q
plan = "business"
keys = ["%x"]
`

// accountConfigFormat is the entry of one measured account. Its arguments are its index, its customer and the hash of
// its API key.
const accountConfigFormat = `[[account]]
name = "a%d"
customer = "%016x"
plan = "wide"
keys = ["%x"]
`

// forwardAuthConfig returns the configuration file of the gateway that is compared with a bare handler.
func forwardAuthConfig(discoveryAddress, counterAddress string) string {
	var file strings.Builder
	fmt.Fprintf(&file, forwardAuthConfigFormat, discoveryAddress, counterAddress, floodCeiling, floodCeiling,
		floodCustomer, sha256.Sum256([]byte(floodKey)))
	for index := range accounts {
		fmt.Fprintf(&file, accountConfigFormat, index, index+1, sha256.Sum256([]byte(accountKey(index))))
	}
	return file.String()
}

// accountKey returns the API key of a measured account.
func accountKey(index int) string { return fmt.Sprint("key-", index) }

// poolsConfigFormat is the first part of a configuration file with pools. Its arguments are whether they share the CPU
// by weight, and the hash of the only account's API key.
const poolsConfigFormat = `
[node]
sockets = 8192
default_pool = "p0"
share_processor = %v
[[listener]]
name = "resp2"
protocol = "resp2"
address = "127.0.0.1:0"
[[listener]]
name = "http"
protocol = "authz"
address = "127.0.0.1:0"
trusted = ["127.0.0.1"]
[[listener.check]]
path = "/check"
dialect = "traefik"
default_class = "evaluate"
[[account]]
name = "a"
customer = "0000000000000001"
plan = "wide"
keys = ["%x"]
`

// poolConfigFormat is the entry of one pool. Its arguments are its index and the address of discovery.
const poolConfigFormat = `[[pool]]
name = "p%d"
discovery = %q
[[pool.class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "1s"
give_up = "3s"
[[pool.plan]]
name = "wide"
`

// poolRouteFormat is the route to a pool. Its three arguments are all the pool's index.
const poolRouteFormat = `[[route]]
name = "r%d"
host = "p%d.org"
to = [{pool = "p%d"}]
`

// poolsConfig returns the configuration file of a gateway with the given number of pools. The first is the default.
func poolsConfig(discoveryAddress string, pools int, sharesCPU bool) string {
	var file strings.Builder
	fmt.Fprintf(&file, poolsConfigFormat, sharesCPU, sha256.Sum256([]byte("key")))
	for index := range pools {
		fmt.Fprintf(&file, poolConfigFormat, index, discoveryAddress)
		if index > 0 {
			fmt.Fprintf(&file, poolRouteFormat, index, index, index)
		}
	}
	return file.String()
}
