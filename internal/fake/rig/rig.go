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
	// flagServerDelay is the delay of an endpoint's answer, in addition to Config.Work.
	flagServerDelay = time.Millisecond

	clusterKeyFile = "key"
	clusterKey     = "rig rig rig rig rig rig rig rig \n"
)

// Config selects what is started.
type Config struct {
	// Program is the path of the gapgapd binary.
	Program string
	// Dir is an existing directory for the gateways' files.
	Dir string
	// Doors is the number of gateways.
	Doors int
	// Fleet makes the gateways a cluster: their configuration files have a [fleet] table.
	Fleet bool
	// Node holds additional lines of the [node] table.
	Node string
	// Plan holds the lines of the [[plan]] table "business" after its name.
	Plan string
	// InFleet holds additional lines of the [fleet] table.
	InFleet string
	// Own returns additional tables of the configuration file of one gateway. It may be nil.
	Own func(n int) string
	// Seed seeds the random choices of the lines.
	Seed uint64
	// Change holds the lines of the [[class]] table "change" after its window. The class is idempotent through an
	// idempotency key. If Change is empty, there is no such class.
	Change string
	// Calm is the number of additional accounts, for [Rig.Calm].
	Calm int
	// Work is the time that an endpoint takes for one request. Requests are served one after another. 0 means that any
	// number of requests are served concurrently.
	Work time.Duration
	// Record reports that Program is a test build that records the gateways' changes to their disks, as [Door.Leave]
	// requires.
	Record bool
}

// Plan is a value for Config.Plan: a plan with a ceiling of 10 units per second and a burst of 20 units.
const Plan = "rate = 5.0\nburst = 10.0\nover_worth = 0.2\nceiling_rate = 10.0\nceiling_depth = 20.0\n"

// Rig is a set of running gateways and the fakes that they depend on.
type Rig struct {
	Config

	// Doors are the gateways by index.
	Doors []*Door
	// Counter is the shared counter.
	Counter *quota.Counter
	// Servers are the endpoints.
	Servers []*flagserver.Server
	// DedupScope is the dedup scope of all endpoints.
	DedupScope *flagserver.DedupScope

	agent     *catalog.Agent
	endpoints []catalog.Endpoint
	lines     map[lineKey]*Line
	// poweredOnAt are the times of the calls of PowerOn.
	poweredOnAt []time.Time
}

// Start starts all gateways concurrently and waits until each serves. After an error nothing is left running.
func Start(cfg Config) (_ *Rig, err error) {
	r := &Rig{
		Config:     cfg,
		DedupScope: flagserver.NewDedupScope(dedupWindow),
		lines:      map[lineKey]*Line{},
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
			Keep:            true,
			Delay:           flagServerDelay,
			DedupScope:      r.DedupScope,
			ServiceTime:     r.Work,
			InitialCapacity: initialCapacity,
			WarmUpDuration:  warmUpDuration,
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

// makeGateways creates the gateways, their directories and the lines between them. It starts no process.
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

// Close kills the gateways and closes the lines and fakes.
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
