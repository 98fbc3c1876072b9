package policy

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// unreachableAfter is the age of its last status request from which a gateway is reported as not heard of.
	unreachableAfter = 3 * time.Second
	// maxDescribed bounds the gateways that a description names.
	maxDescribed = 8
)

// WaitingFor says for which gateways the pending change waits, and why; empty: there is none.
func (c *Coordinator) WaitingFor(now time.Duration, s *State) string {
	if s.Pending == nil {
		return ""
	}
	return c.describeMissing(now, c.missing(now, s, hasLocked), s.Pending)
}

// describeMissing says why each process has not locked. As long as some have not prepared, only those are named: the
// others are not asked to lock.
func (c *Coordinator) describeMissing(now time.Duration, missing []Process, change *Change) string {
	prepared := func(p Process) bool {
		return c.isReachable(now, p) && hasPrepared(c.statusOf(p), change.Index)
	}
	unprepared := slices.DeleteFunc(slices.Clone(missing), prepared)
	if len(unprepared) > 0 {
		missing = unprepared
	}
	var parts []string
	for _, p := range missing[:min(len(missing), maxDescribed)] {
		parts = append(parts, fmt.Sprintf("door %d %s", p.Gateway, c.describe(now, p, change)))
	}
	if more := len(missing) - maxDescribed; more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, ", ")
}

// describe says why a process has not locked.
func (c *Coordinator) describe(now time.Duration, p Process, change *Change) string {
	switch {
	case !c.isReachable(now, p):
		return "was not heard of"
	case !hasPrepared(c.statusOf(p), change.Index):
		return "has not said yes"
	}
	return "has not locked"
}

// isReachable returns whether a process has sent a status request lately.
func (c *Coordinator) isReachable(now time.Duration, p Process) bool {
	known := c.statusOf(p)
	return known != nil && now-known.receivedAt <= unreachableAfter
}

var gatewayReference = regexp.MustCompile(`\bdoor (\d+)\b`)

// ReplaceGatewayNumbers puts the names of gateways in the place of their numbers in a reason.
func ReplaceGatewayNumbers(reason string, names []string) string {
	return gatewayReference.ReplaceAllStringFunc(reason, func(reference string) string {
		index, err := strconv.Atoi(reference[len("door "):])
		if err != nil || index >= len(names) {
			return reference
		}
		return names[index]
	})
}
