package rig

import (
	"slices"
	"sync"
	"time"
)

// PowerCut simulates a power cut of everything at the same time: gateways are killed, endpoints close their connections
// and forget which keys have run, and the counter loses its totals. The gateways' disks keep everything until
// [Door.Leave] removes unsynced data. [Rig.PowerOn] ends the power cut.
func (r *Rig) PowerCut() {
	var kills sync.WaitGroup
	for _, gateway := range r.Doors {
		kills.Go(gateway.Kill)
	}
	for _, server := range r.Servers {
		kills.Go(server.CloseConns)
	}
	r.DedupScope.ForgetKeys()
	r.Counter.Reset()
	kills.Wait()
	for _, server := range r.Servers {
		server.CloseConns() // closes connections accepted in the meantime
	}
	r.DedupScope.ForgetKeys()
}

// PowerOn restarts the endpoints, lists them as started now, and starts the processes of the gateways with the given
// indexes, or of all gateways if none are given. It does not wait until they serve.
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
