package rig

import (
	"slices"
	"sync"
	"time"
)

// PowerCut cuts the power of everything at once: gateways die, endpoints forget which keys have run, and the
// counter's numbers are gone.
// The gateways' disks keep everything until [Door.Leave] takes what was not synced. [Rig.PowerOn] ends the cut.
func (r *Rig) PowerCut() {
	var kills sync.WaitGroup
	for _, gateway := range r.Doors {
		kills.Go(gateway.Kill)
	}
	for _, server := range r.Servers {
		kills.Go(server.Drop)
	}
	r.Group.Forget()
	r.Counter.Empty()
	kills.Wait()
	for _, server := range r.Servers {
		server.Drop() // connections that were accepted meanwhile
	}
	r.Group.Forget()
}

// PowerOn has the endpoints started and listed as started now, and starts the processes of the gateways with the
// given indexes, or of all. It does not wait until they serve.
func (r *Rig) PowerOn(gateways ...int) error {
	now := time.Now()
	r.poweredOnAt = append(r.poweredOnAt, now)
	for _, server := range r.Servers {
		server.Restart(now)
	}
	endpoints := slices.Clone(r.endpoints)
	for i := range endpoints {
		endpoints[i].SinceMS = now.UnixMilli()
	}
	r.agent.Set(endpoints...)
	if len(gateways) == 0 {
		for n := range r.Doors {
			gateways = append(gateways, n)
		}
	}
	for _, n := range gateways {
		if err := r.Doors[n].Begin(); err != nil {
			return err
		}
	}
	return nil
}
