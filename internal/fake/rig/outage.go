package rig

import (
	"slices"
	"time"
)

// outage is a time in which a gateway could not be reached: it was killed, stopped or not ready yet.
type outage struct {
	from time.Time
	// to is zero while the outage lasts.
	to time.Time
}

// overlaps reports whether any of the outage lies between two times.
func (o outage) overlaps(from, to time.Time) bool {
	return o.from.Before(to) && (o.to.IsZero() || from.Before(o.to))
}

// Away reports whether the gateway could not be reached at any time between two. A client that was connected then may
// have had no answer.
func (d *Door) Away(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.outages, func(o outage) bool { return o.overlaps(from, to) })
}

// beginOutage notes that the gateway can't be reached from now on.
func (d *Door) beginOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.outages); n == 0 || !d.outages[n-1].to.IsZero() {
		d.outages = append(d.outages, outage{from: time.Now()})
	}
}

// endOutage notes that the gateway can be reached again.
func (d *Door) endOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.outages); n > 0 && d.outages[n-1].to.IsZero() {
		d.outages[n-1].to = time.Now()
	}
}
