package rig

import (
	"crypto/sha256"
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// Customers in the gateways' configuration files, and their keys for checks.
const (
	// Customer is the customer of the clients that send requests as fast as they are answered.
	Customer = "00000000b4d65521"
	// Key is the key of Customer for checks.
	Key = "rig"

	inQuotaCustomer = "00000000b4d65522"
	inQuotaKey      = "calm"

	// changeCustomer is the customer of the clients that make changes.
	changeCustomer = "00000000b4d65000"
	// firstInQuotaAccount is the customer number of the first of the Config.Calm accounts.
	firstInQuotaAccount = 0x00000000b4d66000
)

// dedupWindow is how long endpoints ignore repeats of a key. A power cut ends it.
const dedupWindow = 30 * time.Second

// configFileName is the name of a gateway's configuration file in its directory.
const configFileName = "gapgapd.toml"

// selfAddress is the placeholder for a gateway's own address in its list of gateways, which the gateway ignores.
const selfAddress = "127.0.0.1:1"

// evaluateTables holds the limits and the class "evaluate" of idempotent requests.
const evaluateTables = `[limits]
retry_after = "5s"
[[class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "1s"
give_up = "2s"
`

// listenerTables holds the listeners for RESP2 and for checks.
const listenerTables = `[[listener]]
name = "resp2"
protocol = "resp2"
address = "127.0.0.1:0"
[[listener]]
name = "checks"
protocol = "authz"
address = "127.0.0.1:0"
trusted = ["127.0.0.0/8"]
[[listener.check]]
path = "/check"
dialect = "traefik"
repeat = "nonce"
default_class = "evaluate"
`

// changeTables holds the class "change", with the dedup window to fill in. The lines of Config.Change follow it.
const changeTables = `[[class]]
name = "change"
effect = "keyed"
worth = 1.0
aim = "1s"
give_up = "2s"
window = %q
`

// changePlanTable is the plan of changeCustomer. Its quota is too large for the changes to reach.
const changePlanTable = `[[plan]]
name = "trade"
rate = 2000.0
burst = 4000.0
`

// ConfigText returns the content of a gateway's configuration file.
func (r *Rig) ConfigText(n int) string {
	var text strings.Builder
	r.writeNode(&text, n)
	text.WriteString(evaluateTables)
	if r.Change != "" {
		fmt.Fprintf(&text, changeTables, dedupWindow.String())
		fmt.Fprintf(&text, "%s\n%s", r.Change, changePlanTable)
	}
	fmt.Fprintf(&text, "[[plan]]\nname = \"business\"\n%s", r.Plan)
	text.WriteString(listenerTables)
	r.writeAccounts(&text)
	if r.Own != nil {
		text.WriteString(r.Own(n))
	}
	if r.Fleet {
		r.writeCluster(&text, n)
	}
	return text.String()
}

// writeNode writes the [node] table of a gateway.
func (r *Rig) writeNode(text *strings.Builder, n int) {
	fmt.Fprintf(text, "[node]\nname = %q\ndiscovery = %q\ncounter = %q\n",
		r.Doors[n].Name, r.agent.Addr(), r.Counter.Addr())
	fmt.Fprintf(text, "doors = %d\nrank = %d\n%s\n", r.Config.Doors, n, r.Node)
}

// writeAccounts writes the [[account]] tables.
func (r *Rig) writeAccounts(text *strings.Builder) {
	writeKeyedAccount(text, "acme", Customer, Key)
	writeKeyedAccount(text, "calm", inQuotaCustomer, inQuotaKey)
	if r.Change != "" {
		fmt.Fprintf(text, "[[account]]\nname = \"trade\"\ncustomer = %q\nplan = \"trade\"\n", changeCustomer)
	}
	for i := range r.Config.Calm {
		fmt.Fprintf(text, "[[account]]\nname = \"calm-%d\"\ncustomer = \"%016x\"\nplan = \"business\"\n",
			i, firstInQuotaAccount+i)
	}
}

// writeKeyedAccount writes the [[account]] table of an account with a key for checks.
func writeKeyedAccount(text *strings.Builder, name, customer, key string) {
	fmt.Fprintf(text, "[[account]]\nname = %q\ncustomer = %q\nplan = \"business\"\nkeys = [\"%x\"]\n",
		name, customer, sha256.Sum256([]byte(key)))
}

// writeCluster writes the [fleet] tables. The address of another gateway is that of the line to it.
func (r *Rig) writeCluster(text *strings.Builder, n int) {
	gateway := r.Doors[n]
	fmt.Fprintf(text, "[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = %q\nstate_dir = %q\ncontrol = %q\n%s\n",
		r.clusterKeyPath(), gateway.Dir, gateway.Socket, r.InFleet)
	for to, other := range r.Doors {
		address := selfAddress
		if to != n {
			address = r.Line(n, to).Addr()
		}
		fmt.Fprintf(text, "[[fleet.door]]\nname = %q\naddress = %q\n", other.Name, address)
	}
}

// configPath returns the path of the gateway's configuration file.
func (d *Door) configPath() string { return filepath.Join(d.Dir, configFileName) }
