package main

import (
	"crypto/sha256"
	"fmt"
)

const (
	// apiKey is the API key that identifies the account in checks.
	apiKey = "demo"
	// customerID is the account's customer, which identifies the account in RESP2 requests.
	customerID = "00000000b4d65521"
)

// yieldWithoutLease is a line of a plan: a gateway that is cut off from the others keeps no share of the ceiling.
const yieldWithoutLease = "when_cut_off = \"yield\"\n"

// configFormat is the format of a gateway's configuration file. Its arguments are the fields of gatewayConfig in order,
// then the customer and the hash of the API key.
const configFormat = `
[node]
name = %q
discovery = %q
counter = %q
[limits]
retry_after = "5s"
probe = true
[[class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "1s"
give_up = "3s"
[[plan]]
name = "business"
rate = 5.0
burst = 10.0
over_worth = 0.2
ceiling_rate = 10.0
ceiling_depth = 20.0
%s[[listener]]
name = "resp2"
protocol = "resp2"
address = %q
[[listener]]
name = "checks"
protocol = "authz"
address = %q
trusted = ["127.0.0.0/8"]
[[listener.check]]
path = "/check"
dialect = "traefik"
repeat = "nonce"
default_class = "evaluate"
[[account]]
name = "acme"
customer = %q
plan = "business"
keys = ["%x"]
`

// gatewayConfig has the values that differ between the gateways' configuration files.
type gatewayConfig struct {
	// name is the gateway's name.
	name string
	// discoveryAddress is the address of the discovery agent.
	discoveryAddress string
	// counterAddress is the address of the counter, or empty if there is none.
	counterAddress string
	// planLines are additional lines of the plan.
	planLines string
	// resp2Address is the address of the RESP2 listener.
	resp2Address string
	// checkAddress is the address of the listener for checks.
	checkAddress string
}

// text returns the configuration file.
func (c *gatewayConfig) text() string {
	return fmt.Sprintf(configFormat, c.name, c.discoveryAddress, c.counterAddress, c.planLines, c.resp2Address,
		c.checkAddress, customerID, sha256.Sum256([]byte(apiKey)))
}
