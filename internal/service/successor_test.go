package service

import (
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/fake/peer"
)

// TestSuccessorAtAnAddressIsAnotherProcess guards against a keyed request that runs in two zones: its endpoint's process
// has gone, and another one in another zone has come up at the same address under its own name, while both are listed.
func TestSuccessorAtAnAddressIsAnotherProcess(t *testing.T) {
	ln := peer.Listen(t)
	list := endpoints(1, ln.Addr().String())
	list.Endpoints[0].Zone = "dc1"
	env := start(t, nil, func(c *Config, _ *testing.T) {
		c.KnownEndpoints = list
		c.Settings.Classes[1].DedupScope = balancer.DedupZone
	})
	c := env.dial()
	c.Command("Q.DO", peer.Customer, "1", peer.Keyed, "body")
	before := peer.Accept(t, ln)
	before.Message() // it may run

	successor := list.Endpoints[0]
	successor.Name, successor.Zone = "successor", "dc2"
	list.Index++
	list.Endpoints = append(list.Endpoints, successor)
	env.updates <- list
	for env.gateway.endpointList(t.Context()).Index < list.Index {
		time.Sleep(time.Millisecond)
	}
	_ = before.NC.Close()
	c.WantsPrefix("-ERR") // no endpoint knows its key

	c.Command("Q.DO", peer.Customer, "2", peer.Keyed, "body")
	after := peer.Accept(t, ln)
	if m := after.Message(); m[2] != "2" {
		t.Fatalf("the successor gets %q", m)
	}
	after.Write(peer.Answer("value"))
	c.Wants("value")
}
