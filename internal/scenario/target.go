package scenario

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// maxTargetsListed is the maximum number of targets that the trace lists for an event.
const maxTargetsListed = 12

// candidate is a potential target of an event.
type candidate[T any] struct {
	target T
	// rank is random; the candidates with the lowest ranks are chosen.
	rank uint64
	// position is the position in the list passed to chooseTargets.
	position int
}

// chooseTargets chooses the targets of an event and returns them in the order of from. The choice depends only on the
// seed, the name of the event and the names of the candidates.
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

// targetCount returns how many of the candidates are chosen.
func (e *Event) targetCount(candidates int) int {
	switch {
	case e.Count > 0:
		return min(candidates, e.Count)
	case e.Share > 0:
		return int(math.Ceil(e.Share * float64(candidates)))
	}
	return candidates
}

// listTargets lists the names of the first targets, and the number of the remaining ones.
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
