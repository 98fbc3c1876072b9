package membership

// Number of receivers of one round of heartbeats.
const (
	// fanout is the number of gateways that receive a heartbeat in each round.
	fanout = 8
	// minAbsentTargets is the minimum number of receivers that are not present, so that new gateways and the other side
	// of a partition are discovered.
	minAbsentTargets = fanout / 4
	// extraTargets is the number of random receivers in addition to the hubs, in a large cluster.
	extraTargets = 2
)

// isHub reports whether this gateway is a hub of a large cluster.
func (d *Detector) isHub() bool { return d.config.Index < d.config.Hubs }

// targets returns the gateways that receive a heartbeat in this round: all of them if they are few or this gateway is
// leaving, otherwise a random choice.
func (d *Detector) targets() []int {
	if d.isLarge() && d.phase != Leaving {
		return d.largeClusterTargets()
	}
	var present, absent []int
	for i := range d.members {
		switch {
		case i == d.config.Index:
		case d.members[i].State.IsPresent():
			present = append(present, i)
		default:
			absent = append(absent, i)
		}
	}
	if d.phase == Leaving || len(present)+len(absent) <= fanout {
		return append(present, absent...)
	}
	wantAbsent := max(minAbsentTargets, fanout-len(present))
	chosen := d.sample(present, fanout-min(wantAbsent, len(absent)))
	return append(chosen, d.sample(absent, wantAbsent)...)
}

// largeClusterTargets returns all hubs and some random gateways. At a hub it also returns every second gateway,
// alternating between even and odd indexes each round.
func (d *Detector) largeClusterTargets() []int {
	var targets []int
	for i := range d.members {
		isInTurn := d.isHub() && (i+d.heartbeatsSent)%2 == 0
		if i != d.config.Index && (i < d.config.Hubs || isInTurn) {
			targets = append(targets, i)
		}
	}
	for range extraTargets {
		if i := d.rng.IntN(d.config.Gateways); i != d.config.Index {
			targets = append(targets, i)
		}
	}
	return targets
}

// sample returns n random elements, or all if there are fewer. It reorders its argument.
func (d *Detector) sample(indexes []int, n int) []int {
	d.rng.Shuffle(len(indexes), func(i, j int) { indexes[i], indexes[j] = indexes[j], indexes[i] })
	return indexes[:min(n, len(indexes))]
}
