package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/quota"
)

const (
	// flagServers is the number of endpoints.
	flagServers = 2
	// flagServerDelay is the time that an endpoint takes for an answer, beside Config.Work.
	flagServerDelay = time.Millisecond

	clusterKeyFile = "key"
	clusterKey     = "rig rig rig rig rig rig rig rig \n"
)

// Config sets what is started.
type Config struct {
	// Program is the path of gapgapd.
	Program string
	// Dir is an existing directory for the files of the gateways.
	Dir string
	// Doors is the number of gateways.
	Doors int
	// Fleet makes the gateways a cluster: their files have a [fleet].
	Fleet bool
	// Node holds further lines of [node].
	Node string
	// Plan holds the lines of the [[plan]] "business" after its name.
	Plan string
	// InFleet holds further lines of [fleet].
	InFleet string
	// Own returns further tables of one gateway's file; nil: none.
	Own func(n int) string
	// Seed seeds what the lines do by chance.
	Seed uint64
	// Change holds lines of a class "change", which is idempotent with a key, after its window; empty: there is no
	// such class.
	Change string
	// Calm is the number of further accounts, for [Rig.Calm].
	Calm int
	// Work is the time that a command takes of an endpoint, one after another; 0: any number run at once.
	Work time.Duration
	// Record says that Program is a test build that records what gateways do to their disks, which [Door.Leave]
	// needs.
	Record bool
}

// Plan is a plan with a ceiling of 10 units a second and 20 at once, for [Config.Plan].
const Plan = "rate = 5.0\nburst = 10.0\nover_worth = 0.2\nceiling_rate = 10.0\nceiling_depth = 20.0\n"

// Rig is a running set of gateways with the fakes around it.
type Rig struct {
	Config

	// Doors are the gateways, by their index.
	Doors []*Door
	// Counter is the shared counter.
	Counter *quota.Counter
	// Servers are the endpoints.
	Servers []*flagserver.Server
	// Group is the deduplication scope of all endpoints.
	Group *flagserver.Group

	agent     *catalog.Agent
	endpoints []catalog.Endpoint
	lines     map[lineKey]*Line
	// poweredOnAt is when PowerOn was called, each time.
	poweredOnAt []time.Time
}

// Start starts all gateways at once and waits until each serves. After an error nothing is left running.
func Start(cfg Config) (_ *Rig, err error) {
	r := &Rig{
		Config: cfg,
		Group:  flagserver.NewGroup(dedupWindow),
		lines:  map[lineKey]*Line{},
	}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	if err := r.startFakes(); err != nil {
		return nil, err
	}
	if err := r.makeGateways(); err != nil {
		return nil, err
	}
	if err := os.WriteFile(r.clusterKeyPath(), []byte(clusterKey), 0o600); err != nil {
		return nil, err
	}
	if err := r.startGateways(); err != nil {
		return nil, err
	}
	return r, nil
}

// startFakes starts the endpoints, the discovery agent and the counter.
func (r *Rig) startFakes() (err error) {
	for i := range flagServers {
		server, err := flagserver.Start(flagserver.Config{
			Keep:   true,
			Delay:  flagServerDelay,
			Group:  r.Group,
			Work:   r.Work,
			From:   coldFraction,
			Within: warmUpDuration,
		})
		if err != nil {
			return err
		}
		r.Servers = append(r.Servers, server)
		r.endpoints = append(r.endpoints, catalog.Serving(fmt.Sprint("s-", i), server.Addr()))
	}
	if r.agent, err = catalog.Start(r.endpoints...); err != nil {
		return err
	}
	r.Counter, err = quota.Start()
	return err
}

// makeGateways makes the gateways, their directories and the lines between them. It starts no process.
func (r *Rig) makeGateways() error {
	count := r.Config.Doors
	for from := range count {
		name := fmt.Sprint("n", from)
		gateway := newGateway(r, from, name, filepath.Join(r.Dir, name))
		if err := os.MkdirAll(gateway.Dir, 0o700); err != nil {
			return err
		}
		r.Doors = append(r.Doors, gateway)
		for to := range count {
			if from == to || !r.Fleet {
				continue
			}
			line, err := newLine(r.Seed + uint64(from*count+to))
			if err != nil {
				return err
			}
			r.lines[lineKey{from: from, to: to}] = line
		}
	}
	return nil
}

// startGateways starts all gateways and waits until each serves.
func (r *Rig) startGateways() error {
	for _, gateway := range r.Doors {
		if err := gateway.Begin(); err != nil {
			return err
		}
	}
	for _, gateway := range r.Doors {
		if err := gateway.Ready(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) clusterKeyPath() string { return filepath.Join(r.Dir, clusterKeyFile) }

// Close kills the gateways and closes all else.
func (r *Rig) Close() {
	for _, gateway := range r.Doors {
		gateway.Kill()
	}
	for _, line := range r.lines {
		line.close()
	}
	if r.Counter != nil {
		r.Counter.Close()
	}
	if r.agent != nil {
		r.agent.Close()
	}
	for _, server := range r.Servers {
		server.Close()
	}
}
