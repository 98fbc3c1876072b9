package extauthz

import "time"

const (
	// tickInterval is how often a waiting handler checks its deadline. All handlers share one ticker, since a timer for
	// each check would almost never fire.
	tickInterval = 50 * time.Millisecond
	// ticksPerTimeoutCheck is the number of ticks from one search for overdue connections to the next.
	ticksPerTimeoutCheck = 5
)

// runTicker wakes waiting handlers and closes overdue connections until Close. It does not depend on the event loops:
// handlers must time out even if a loop does not respond.
func (s *Shared) runTicker() {
	defer s.ended.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
		next := make(chan struct{})
		close(*s.tick.Swap(&next))
		if n%ticksPerTimeoutCheck != 0 {
			continue
		}
		for _, f := range s.fronts {
			f.closeOverdue()
		}
	}
}

// nextTick returns a channel that is closed at the next tick.
func (s *Shared) nextTick() <-chan struct{} {
	return *s.tick.Load()
}
