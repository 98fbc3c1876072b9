package policy

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// DefaultAbortTimeout is after what time a change is dropped that not all doors could be asked about, where nothing else is said.
const DefaultAbortTimeout = 30 * time.Second

const (
	proposeRetryInterval = 100 * time.Millisecond // for one entry, as it may be lost with a leader
	unreachableAfter     = 3 * time.Second        // without a Hello a door counts as not to be reached, in what is told
	joinMaxAge           = 500 * time.Millisecond // of a Hello: a door that was passed over joins when it is back, and not by what it said before
	switchReportTimeout  = 5 * time.Second        // a version's switches are noted then, whoever is missing
)

// Coordinator is what the log's leader does: it asks the doors and proposes entries. It holds nothing that must outlive it; a new leader makes
// a new one.
type Coordinator struct {
	leadingSince  time.Duration // leading
	abortAfter    time.Duration
	participants  map[uint16]*participantStatus
	changeIndex   uint64        // of the change that it deals with
	changeSince   time.Duration // dealing with it
	proposedAt    map[string]time.Duration
	fenced        map[Process]bool // that a take was proposed to pass over: their leases are not renewed any more
	reportVersion uint64           // the version whose switches are to be noted
	reportSince   time.Duration
}

type participantStatus struct {
	status     StatusRequest
	receivedAt time.Duration
	lastReadAt time.Duration // the last read given to this process
}

// NewCoordinator is a leader's, from now on.
func NewCoordinator(now, giveUp time.Duration) *Coordinator {
	return &Coordinator{leadingSince: now, abortAfter: cmp.Or(giveUp, DefaultAbortTimeout), participants: map[uint16]*participantStatus{}, proposedAt: map[string]time.Duration{}, fenced: map[Process]bool{}}
}

// ReceiveStatus takes what a door says. What it has said of a change is kept; a later Hello of another process replaces it.
func (c *Coordinator) ReceiveStatus(now time.Duration, h StatusRequest) {
	s := c.participants[h.Process.Gateway]
	if s == nil || s.status.Process != h.Process {
		if s != nil && h.Process.ID.Before(s.status.Process.ID) {
			return // an earlier self's, late
		}
		s = &participantStatus{}
		c.participants[h.Process.Gateway] = s
	}
	s.receivedAt = now
	if was := s.status; h.SentAt < was.SentAt { // late: what it says of a change holds all the same
		h, was = was, h
		h.Prepared, h.Locked = max(h.Prepared, was.Prepared), max(h.Locked, was.Locked)
	}
	s.status = h
}

// Reply is the Word for a Hello by the state as a read has given it. now is when the read was begun, after the Hello came.
func (c *Coordinator) Reply(now time.Duration, s *State, h StatusRequest) StatusReply {
	if k := c.participants[h.Process.Gateway]; k != nil && k.status.Process == h.Process {
		k.lastReadAt = max(k.lastReadAt, now)
	}
	w := StatusReply{RequestSentAt: h.SentAt, Process: h.Process, Current: s.Current, MayDecide: s.MayDecide(h.Process), Mode: s.Mode}
	if s.Pending != nil {
		ch := *s.Pending
		w.MayDecide = w.MayDecide && (c.changeIndex != ch.Index || !c.fenced[h.Process])
		w.Pending, w.Lock = &ch, c.missing(s, func(k *participantStatus) bool { return k.status.Prepared == ch.Index || k.status.Locked == ch.Index }, now) == nil
	}
	return w
}

// missing returns who of those that may decide does not satisfy a condition, where fencing does not pass them over; nil: all do.
func (c *Coordinator) missing(s *State, ok func(*participantStatus) bool, now time.Duration) (missing []Process) {
	for _, r := range s.Processes() {
		k := c.participants[r.Gateway]
		if (k == nil || k.status.Process != r || !ok(k)) && !c.isLeaseOver(s, r, now) {
			missing = append(missing, r)
		}
	}
	return missing
}

// isLeaseOver says that a process's lease is over, whatever it does. Reads that an earlier leader gave were confirmed before this one began.
func (c *Coordinator) isLeaseOver(s *State, r Process, now time.Duration) bool {
	if s.Pending.Mode != Fence {
		return false
	}
	if c.changeIndex == s.Pending.Index && c.fenced[r] {
		return true
	}
	last := c.leadingSince
	if k := c.participants[r.Gateway]; k != nil && k.status.Process == r {
		last = max(last, k.lastReadAt)
	}
	return now-last > time.Duration(float64(LeaseDuration)*ClockDriftFactor)
}

// Tick returns the entries that are due for the state as applied. fences says that doors hold leases.
func (c *Coordinator) Tick(now time.Duration, s *State, wall int64) (out []Entry) {
	put := func(key string, e Entry) {
		if at, ok := c.proposedAt[key]; !ok || now-at >= proposeRetryInterval {
			c.proposedAt[key] = now
			out = append(out, e)
		}
	}
	for rank, k := range c.participants {
		switch r := k.status.Process; {
		case k.status.Leaving && s.MayDecide(r):
			put(fmt.Sprint("leave ", rank), Entry{Leave: &r})
		case !k.status.Leaving && now-k.receivedAt <= joinMaxAge && s.Current.Number > 0 && !s.MayDecide(r) && (s.Participants[rank] == r.ID || s.Participants[rank].Before(r.ID)):
			put(fmt.Sprint("join ", rank), Entry{Join: &r})
		}
	}
	out = append(out, c.reportSwitches(now, s)...)
	ch := s.Pending
	if ch == nil {
		c.changeIndex = 0
		return out
	}
	if c.changeIndex != ch.Index {
		c.changeIndex, c.changeSince = ch.Index, now
		clear(c.proposedAt)
		clear(c.fenced)
	}
	drop := func(reason string) {
		put(fmt.Sprint("drop ", ch.Index), Entry{Abort: &Abort{Index: ch.Index, Reason: reason[:min(len(reason), MaxReasonBytes)], DecidedAt: wall}})
	}
	for _, r := range s.Processes() {
		if k := c.participants[r.Gateway]; k != nil && k.status.Process == r && k.status.Rejected == ch.Index {
			drop(fmt.Sprintf("door %d can't: %s", r.Gateway, k.status.Reason))
			return out
		}
	}
	locked := func(k *participantStatus) bool { return k.status.Locked == ch.Index }
	if missing := c.missing(s, locked, now); missing == nil {
		t := &Commit{Index: ch.Index, DecidedAt: wall}
		for _, r := range s.Processes() {
			if k := c.participants[r.Gateway]; k != nil && k.status.Process == r && locked(k) {
				t.Locked = append(t.Locked, r)
			} else {
				t.Fenced = append(t.Fenced, r)
				c.fenced[r] = true // an answer between this entry and its being applied would give the lease anew
			}
		}
		put(fmt.Sprint("take ", ch.Index), Entry{Commit: t})
	} else if now-c.changeSince >= c.abortAfter {
		drop("not accounted for: " + c.describeMissing(now, missing, ch))
	}
	return out
}

// describeMissing says which doors a change waits for, and why. As long as some have not said yes, those that have are not asked to lock.
func (c *Coordinator) describeMissing(now time.Duration, missing []Process, ch *Change) string {
	var all []string
	yes := func(r Process) bool {
		k := c.participants[r.Gateway]
		return k != nil && k.status.Process == r && now-k.receivedAt <= unreachableAfter && (k.status.Prepared == ch.Index || k.status.Locked == ch.Index)
	}
	if slices.ContainsFunc(missing, func(r Process) bool { return !yes(r) }) {
		missing = slices.DeleteFunc(slices.Clone(missing), yes)
	}
	for _, r := range missing {
		why := "has not locked"
		switch k := c.participants[r.Gateway]; {
		case k == nil || k.status.Process != r || now-k.receivedAt > unreachableAfter:
			why = "was not heard of"
		case !yes(r):
			why = "has not said yes"
		}
		if all = append(all, fmt.Sprintf("door %d %s", r.Gateway, why)); len(all) == 8 && len(missing) > 8 {
			all = append(all, fmt.Sprintf("and %d more", len(missing)-8))
			break
		}
	}
	return strings.Join(all, ", ")
}

var gatewayReference = regexp.MustCompile(`\bdoor (\d+)\b`)

// ReplaceGatewayNumbers puts the doors' names in the place of their ranks in a reason.
func ReplaceGatewayNumbers(reason string, names []string) string {
	return gatewayReference.ReplaceAllStringFunc(reason, func(s string) string {
		if n, err := strconv.Atoi(s[len("door "):]); err == nil && n < len(names) {
			return names[n]
		}
		return s
	})
}

// WaitingFor says whom the change that is being decided waits for.
func (c *Coordinator) WaitingFor(now time.Duration, s *State) string {
	if s.Pending == nil {
		return ""
	}
	return c.describeMissing(now, c.missing(s, func(k *participantStatus) bool { return k.status.Locked == s.Pending.Index }, now), s.Pending)
}

// reportSwitches has the log keep when the doors switched, once all have or some time has passed.
func (c *Coordinator) reportSwitches(now time.Duration, s *State) []Entry {
	if len(s.Outcomes) == 0 {
		return nil
	}
	i := len(s.Outcomes) - 1
	for i > 0 && !s.Outcomes[i].Committed {
		i--
	}
	o := &s.Outcomes[i]
	if !o.Committed || o.Version != s.Current.Number || o.Version <= 1 || o.SwitchedAt != nil {
		return nil
	}
	if c.reportVersion != o.Version {
		c.reportVersion, c.reportSince = o.Version, now
	}
	times, all := map[uint16]int64{}, true
	for _, r := range s.Processes() {
		if k := c.participants[r.Gateway]; k != nil && k.status.Process == r && k.status.Version == o.Version && k.status.SwitchedAt > 0 {
			times[r.Gateway] = k.status.SwitchedAt
		} else {
			all = false
		}
	}
	if at := c.proposedAt["report"]; (all || now-c.reportSince >= switchReportTimeout) && now-at >= proposeRetryInterval {
		c.proposedAt["report"] = now
		return []Entry{{SwitchReport: &SwitchReport{Version: o.Version, SwitchedAt: times}}}
	}
	return nil
}

// PreparedGateways are the doors that have prepared the change being decided, for whoever wants its document.
func (c *Coordinator) PreparedGateways(s *State) (all []uint16) {
	for rank, k := range c.participants {
		if s.Pending != nil && k.status.Prepared == s.Pending.Index {
			all = append(all, rank)
		}
	}
	slices.Sort(all)
	return all
}
