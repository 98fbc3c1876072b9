package main

import (
	"crypto/sha256"
	"fmt"
)

const (
	// apiKey is the key by which checks name the account.
	apiKey = "demo"
	// customerID is the account's customer, by which RESP2 requests name it.
	customerID = "00000000b4d65521"
)

// yieldWithoutLease is a line of a plan: a gateway that the others can't reach keeps no part of the ceiling.
const yieldWithoutLease = "when_cut_off = \"yield\"\n"

// configFormat is a gateway's configuration file. Its arguments are those of gatewayConfig in their order, the customer
// and the hash of the key.
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

// gatewayConfig is what differs between the configuration files of gateways.
type gatewayConfig struct {
	// name is the gateway's name.
	name string
	// discoveryAddress is that of the discovery agent.
	discoveryAddress string
	// counterAddress is that of the counter; empty: there is none.
	counterAddress string
	// planLines are further lines of the plan.
	planLines string
	// resp2Address is where the RESP2 listener listens.
	resp2Address string
	// checkAddress is where the listener for checks listens.
	checkAddress string
}

// text is the configuration file.
func (c *gatewayConfig) text() string {
	return fmt.Sprintf(configFormat, c.name, c.discoveryAddress, c.counterAddress, c.planLines, c.resp2Address,
		c.checkAddress, customerID, sha256.Sum256([]byte(apiKey)))
}
