package rig

import (
	"crypto/sha256"
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// Accounts of the gateways' files and their keys.
const (
	// Customer is the account of the clients that ask as fast as they are answered.
	Customer = "00000000b4d65521"
	// Key is Customer's key for checks.
	Key = "rig"

	calmCustomer = "00000000b4d65522"
	calmKey      = "calm"

	// changeCustomer is the account of changes.
	changeCustomer = "00000000b4d65000"
	// firstCalmAccount is the number of the first of Config.Calm accounts.
	firstCalmAccount = 0x00000000b4d66000
)

// dedupWindow is the time in which endpoints drop repeats of a key, unless their power is cut.
const dedupWindow = 30 * time.Second

// configFileName is the name of a gateway's file in its directory.
const configFileName = "gapgapd.toml"

// ownAddress stands for a gateway's own address in its list of gateways, where it is not read.
const ownAddress = "127.0.0.1:1"

// evaluateTables are the limits and the class of requests that are idempotent.
const evaluateTables = `[limits]
retry_after = "5s"
[[class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "1s"
give_up = "2s"
`

// listenerTables are the listeners for RESP2 and for checks.
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

// changeTables are the class of changes, up to the lines of Config.Change, with its window.
const changeTables = `[[class]]
name = "change"
effect = "keyed"
worth = 1.0
aim = "1s"
give_up = "2s"
window = %q
`

// changePlanTable is a plan whose quota the changes do not reach.
const changePlanTable = `[[plan]]
name = "trade"
rate = 2000.0
burst = 4000.0
`

// File returns the text of a gateway's configuration file.
func (r *Rig) File(n int) string {
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

// writeNode writes the table of the gateway itself.
func (r *Rig) writeNode(text *strings.Builder, n int) {
	fmt.Fprintf(text, "[node]\nname = %q\ndiscovery = %q\ncounter = %q\n",
		r.Doors[n].Name, r.agent.Addr(), r.Counter.Addr())
	fmt.Fprintf(text, "doors = %d\nrank = %d\n%s\n", r.Config.Doors, n, r.Node)
}

// writeAccounts writes the tables of all accounts.
func (r *Rig) writeAccounts(text *strings.Builder) {
	writeKeyedAccount(text, "acme", Customer, Key)
	writeKeyedAccount(text, "calm", calmCustomer, calmKey)
	if r.Change != "" {
		fmt.Fprintf(text, "[[account]]\nname = \"trade\"\ncustomer = %q\nplan = \"trade\"\n", changeCustomer)
	}
	for i := range r.Config.Calm {
		fmt.Fprintf(text, "[[account]]\nname = \"calm-%d\"\ncustomer = \"%016x\"\nplan = \"business\"\n",
			i, firstCalmAccount+i)
	}
}

// writeKeyedAccount writes the table of an account that has a key for checks.
func writeKeyedAccount(text *strings.Builder, name, customer, key string) {
	fmt.Fprintf(text, "[[account]]\nname = %q\ncustomer = %q\nplan = \"business\"\nkeys = [\"%x\"]\n",
		name, customer, sha256.Sum256([]byte(key)))
}

// writeCluster writes the tables of the cluster. The address of another gateway is that of the line to it.
func (r *Rig) writeCluster(text *strings.Builder, n int) {
	gateway := r.Doors[n]
	fmt.Fprintf(text, "[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = %q\nstate_dir = %q\ncontrol = %q\n%s\n",
		r.clusterKeyPath(), gateway.Dir, gateway.Socket, r.InFleet)
	for to, other := range r.Doors {
		address := ownAddress
		if to != n {
			address = r.Line(n, to).Addr()
		}
		fmt.Fprintf(text, "[[fleet.door]]\nname = %q\naddress = %q\n", other.Name, address)
	}
}

// configPath returns the path of the gateway's file.
func (d *Door) configPath() string { return filepath.Join(d.Dir, configFileName) }
