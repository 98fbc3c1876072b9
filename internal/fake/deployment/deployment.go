// Package deployment starts the fakes that a gateway depends on, on loopback: flag servers, the discovery agent that
// lists them, and optionally the counter.
package deployment

import (
	"fmt"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/quota"
)

// Config selects what to start.
type Config struct {
	// FlagServers holds the configuration of each flag server to start. They are named s-0, s-1 and so on.
	FlagServers []flagserver.Config
	// HasCounter makes Start start a counter too.
	HasCounter bool
}

// Deployment is a set of running fakes. It is not safe for concurrent use.
type Deployment struct {
	// FlagServers are the flag servers, in the order of Config.FlagServers.
	FlagServers []*flagserver.Server
	// Endpoints are the flag servers as the discovery agent lists them.
	Endpoints []catalog.Endpoint

	discovery *catalog.Agent
	counter   *quota.Counter
}

// Start starts the fakes that the configuration selects. If one fails to start, the ones already started are closed.
func Start(cfg Config) (*Deployment, error) {
	deployment := &Deployment{}
	if err := deployment.start(cfg); err != nil {
		deployment.Close()
		return nil, err
	}
	return deployment, nil
}

// start starts the fakes one after another. After an error the caller must close the ones already started.
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

// DiscoveryAddress returns the address of the discovery agent.
func (d *Deployment) DiscoveryAddress() string { return d.discovery.Addr() }

// CounterAddress returns the address of the counter, or "" if there is none.
func (d *Deployment) CounterAddress() string {
	if d.counter == nil {
		return ""
	}
	return d.counter.Addr()
}

// Close stops all fakes and closes their connections.
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
