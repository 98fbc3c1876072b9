// Package deployment starts together what a gateway needs around it, as fakes on loopback: flag servers, the discovery
// agent that lists them, and the counter.
package deployment

import (
	"fmt"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/quota"
)

// Config says what to start.
type Config struct {
	// FlagServers has the behaviour of each flag server to start; their names are s-0, s-1 and so on.
	FlagServers []flagserver.Config
	// HasCounter tells whether a counter is started.
	HasCounter bool
}

// Deployment is a set of running fakes. It is for one goroutine.
type Deployment struct {
	// FlagServers are in the order of the configuration.
	FlagServers []*flagserver.Server
	// Endpoints are the flag servers as discovery lists them.
	Endpoints []catalog.Endpoint

	discovery *catalog.Agent
	counter   *quota.Counter
}

// Start starts all that the configuration has. If one fails to start, those started before it are closed.
func Start(cfg Config) (*Deployment, error) {
	deployment := &Deployment{}
	if err := deployment.start(cfg); err != nil {
		deployment.Close()
		return nil, err
	}
	return deployment, nil
}

// start starts the fakes one after the other. The caller closes them, also those started before an error.
func (d *Deployment) start(cfg Config) error {
	for index, serverConfig := range cfg.FlagServers {
		server, err := flagserver.Start(serverConfig)
		if err != nil {
			return err
		}
		d.FlagServers = append(d.FlagServers, server)
		d.Endpoints = append(d.Endpoints, catalog.Serving(fmt.Sprint("s-", index), server.Addr()))
	}
	var err error
	if d.discovery, err = catalog.Start(d.Endpoints...); err != nil {
		return err
	}
	if cfg.HasCounter {
		d.counter, err = quota.Start()
	}
	return err
}

// DiscoveryAddress is where the discovery agent listens.
func (d *Deployment) DiscoveryAddress() string { return d.discovery.Addr() }

// CounterAddress is where the counter listens; empty: there is none.
func (d *Deployment) CounterAddress() string {
	if d.counter == nil {
		return ""
	}
	return d.counter.Addr()
}

// Close ends all fakes and their connections.
func (d *Deployment) Close() {
	if d.counter != nil {
		d.counter.Close()
	}
	if d.discovery != nil {
		d.discovery.Close()
	}
	for _, server := range d.FlagServers {
		server.Close()
	}
}
