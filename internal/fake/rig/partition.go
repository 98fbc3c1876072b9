package rig

// lineKey identifies a line by the indexes of the gateways at its ends.
type lineKey struct {
	from int
	to   int
}

// Line returns the line from one gateway to another, or nil if there is none.
func (r *Rig) Line(from, to int) *Line { return r.lines[lineKey{from: from, to: to}] }

// Each sets the fault of every line for which a condition returns true.
func (r *Rig) Each(when func(from, to int) bool, f Fault) {
	for key, line := range r.lines {
		if when(key.from, key.to) {
			line.Set(f)
		}
	}
}

// Heal removes the faults of all lines.
func (r *Rig) Heal() { r.Each(func(int, int) bool { return true }, Fault{}) }

// Split cuts every line between a group of gateways and the others.
func (r *Rig) Split(group ...int) {
	isInGroup := map[int]bool{}
	for _, n := range group {
		isInGroup[n] = true
	}
	r.Each(func(from, to int) bool { return isInGroup[from] != isInGroup[to] }, Fault{Cut: true})
}
