package rig

import (
	"slices"
	"time"
)

// outage is a period in which a gateway was unreachable: it was killed, stopped or not yet ready.
type outage struct {
	from time.Time
	// to is zero while the outage lasts.
	to time.Time
}

// overlaps reports whether the outage overlaps a time range.
func (o outage) overlaps(from, to time.Time) bool {
	return o.from.Before(to) && (o.to.IsZero() || from.Before(o.to))
}

// WasUnreachable reports whether the gateway was unreachable at any time in a time range. A client that was connected
// then may have had no answer.
func (d *Door) WasUnreachable(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.outages, func(o outage) bool { return o.overlaps(from, to) })
}

// beginOutage records that the gateway is unreachable from now on.
func (d *Door) beginOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.outages); n == 0 || !d.outages[n-1].to.IsZero() {
		d.outages = append(d.outages, outage{from: time.Now()})
	}
}

// endOutage records that the gateway is reachable again.
func (d *Door) endOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.outages); n > 0 && d.outages[n-1].to.IsZero() {
		d.outages[n-1].to = time.Now()
	}
}
