package scenario

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// maxTargetsListed is how many targets of an event the trace names.
const maxTargetsListed = 12

// candidate is something that an event may choose as a target.
type candidate[T any] struct {
	target T
	// rank is random; the lowest are chosen.
	rank uint64
	// position is that among all that could be targets.
	position int
}

// chooseTargets chooses the targets of an event, in the order of from. The choice depends on the script's seed, the
// event's name and the names of the candidates.
func chooseTargets[T any](r *run, event Event, from []T, identify func(T) (name, group string)) []T {
	var candidates []candidate[T]
	for position, target := range from {
		name, group := identify(target)
		if event.Group == "" || event.Group == group {
			candidates = append(candidates, candidate[T]{
				target:   target,
				rank:     r.world.Rand("pick", event.Name, name).Uint64(),
				position: position,
			})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate[T]) int { return cmp.Compare(a.rank, b.rank) })
	candidates = candidates[:event.targetCount(len(candidates))]
	slices.SortFunc(candidates, func(a, b candidate[T]) int { return cmp.Compare(a.position, b.position) })
	targets := make([]T, len(candidates))
	for i := range candidates {
		targets[i] = candidates[i].target
	}
	return targets
}

// targetCount is how many of a number of candidates are targets.
func (e *Event) targetCount(candidates int) int {
	switch {
	case e.Count > 0:
		return min(candidates, e.Count)
	case e.Share > 0:
		return int(math.Ceil(e.Share * float64(candidates)))
	}
	return candidates
}

// listTargets names the first targets and says how many there are beside them.
func listTargets[T any](targets []T, name func(T) string) string {
	listed := min(maxTargetsListed, len(targets))
	var names []string
	for _, target := range targets[:listed] {
		names = append(names, name(target))
	}
	text := strings.Join(names, " ")
	if len(targets) > listed {
		text += fmt.Sprintf(" and %d more", len(targets)-listed)
	}
	return text
}
