package policy

import (
	"slices"
	"time"
)

// switchReportTimeout is the time after a commit at which the switch report is proposed even if gateways are missing.
const switchReportTimeout = 5 * time.Second

// switchReport returns an entry that records when the gateways switched to the current version. It does so once all of
// them have switched or switchReportTimeout has passed, and returns nil otherwise.
func (c *Coordinator) switchReport(now time.Duration, s *State) []Entry {
	version := s.Current.Number
	outcome := lastCommit(s)
	if outcome == nil || outcome.Version != version || version <= 1 || outcome.SwitchedAt != nil {
		return nil
	}
	if c.reportVersion != version {
		c.reportVersion, c.reportSince = version, now
	}
	switchedAt := map[uint16]int64{}
	processes := s.Processes()
	for _, p := range processes {
		status := c.statusOf(p)
		if status != nil && status.request.Version == version && status.request.SwitchedAt > 0 {
			switchedAt[p.Gateway] = status.request.SwitchedAt
		}
	}
	if len(switchedAt) < len(processes) && now-c.reportSince < switchReportTimeout {
		return nil
	}
	return c.propose(now, proposeReport, 0, Entry{
		SwitchReport: &SwitchReport{Version: version, SwitchedAt: switchedAt},
	})
}

// lastCommit returns the outcome of the last committed change, or nil if none is kept.
func lastCommit(s *State) *Outcome {
	for _, outcome := range slices.Backward(s.Outcomes) {
		if outcome.Committed {
			return &outcome
		}
	}
	return nil
}
