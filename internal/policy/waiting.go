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
	// unreachableAfter is the age of a gateway's last status request above which the gateway counts as unreachable.
	unreachableAfter = 3 * time.Second
	// maxDescribed is the maximum number of gateways listed in a description.
	maxDescribed = 8
)

// WaitingFor describes which gateways the pending change is waiting for, and why. It is empty if no change is pending.
func (c *Coordinator) WaitingFor(now time.Duration, s *State) string {
	if s.Pending == nil {
		return ""
	}
	return c.describeMissing(now, c.missing(now, s, hasLocked), s.Pending)
}

// describeMissing describes why each process has not locked. While some have not prepared, only those are listed,
// because the others are not asked to lock yet. [ReplaceGatewayNumbers] relies on the form "door N".
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

// describe returns why a process has not locked.
func (c *Coordinator) describe(now time.Duration, p Process, change *Change) string {
	switch {
	case !c.isReachable(now, p):
		return "was not heard of"
	case !hasPrepared(c.statusOf(p), change.Index):
		return "has not said yes"
	}
	return "has not locked"
}

// isReachable reports whether a process has sent a status request within unreachableAfter.
func (c *Coordinator) isReachable(now time.Duration, p Process) bool {
	status := c.statusOf(p)
	return status != nil && now-status.receivedAt <= unreachableAfter
}

// gatewayReference matches a gateway in a reason, such as "door 3".
var gatewayReference = regexp.MustCompile(`\bdoor (\d+)\b`)

// ReplaceGatewayNumbers replaces references such as "door 3" in a reason with the names of the gateways.
func ReplaceGatewayNumbers(reason string, names []string) string {
	return gatewayReference.ReplaceAllStringFunc(reason, func(reference string) string {
		index, err := strconv.Atoi(reference[len("door "):])
		if err != nil || index >= len(names) {
			return reference
		}
		return names[index]
	})
}
