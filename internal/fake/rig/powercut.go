package rig

import (
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"gapgap/internal/fake/power"
)

// PowerCut cuts the power of everything at once: gateways die, endpoints forget which keys have run, and the
// counter's numbers are gone.
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

// isNoState reports whether a file in a gateway's directory is none that it keeps state in.
func isNoState(name string) bool {
	return name == configFileName || name == "door.lock" || name == socketName
}

// recordPath returns the path of the record of what the gateway did to its disk.
func (d *Door) recordPath() string { return d.Dir + ".record" }

// faultPath returns the path of the file that says how the gateway's disk fails.
func (d *Door) faultPath() string { return d.Dir + ".fault" }

// Leave puts onto a dead gateway's disk what a power cut may leave of it: what was synced, and of the rest what is
// drawn. It needs Config.Record.
func (d *Door) Leave(how power.How, rng *rand.Rand) error {
	record, err := os.ReadFile(d.recordPath())
	if err != nil {
		return err
	}
	return d.SetDisk(power.Replay(d.image, record).Cut(how, rng))
}

// Disk returns the image of a dead gateway's disk, for SetDisk.
func (d *Door) Disk() (map[string][]byte, error) { return power.ReadDir(d.Dir, isNoState) }

// SetDisk replaces the content of a dead gateway's disk by an image; nil: an empty disk.
func (d *Door) SetDisk(image map[string][]byte) error { return power.WriteDir(d.Dir, image, isNoState) }

// Fault makes all that the gateway writes to its disk fail, "full" or "readonly", or take its time, "slow 2s"; ""
// ends that. It needs Config.Record.
func (d *Door) Fault(what string) error {
	if what == "" {
		return os.Remove(d.faultPath())
	}
	return os.WriteFile(d.faultPath(), []byte(what), 0o600)
}
