package simulator

import "time"

const (
	// effectRetention is for how long an effect is remembered at least, so that a duplicate which comes late is
	// found. Windows must be shorter.
	effectRetention = 30 * time.Second
	// effectsBeforeExpiry is the number of effects below which none is forgotten.
	effectsBeforeExpiry = 1 << 14
	// effectsPerExpiry is the number of effects between two searches for old ones.
	effectsPerExpiry = 1 << 12
)

// effectLog remembers the effects of idempotency keys.
type effectLog struct {
	// doneAt is, by key, when its effect was done last.
	doneAt map[string]time.Duration
	// isShared says that it is that of several endpoints, and outlives a process of theirs.
	isShared bool
}

// newEffectLog makes the log of one endpoint.
func newEffectLog() *effectLog { return &effectLog{doneAt: map[string]time.Duration{}} }

// expire now and then forgets old effects.
func (l *effectLog) expire(now time.Duration) {
	if len(l.doneAt) < effectsBeforeExpiry || len(l.doneAt)%effectsPerExpiry != 0 {
		return
	}
	for key, at := range l.doneAt {
		if now-at > effectRetention {
			delete(l.doneAt, key)
		}
	}
}

// ShareDedupWith makes both endpoints drop repeats of keys that the other one has seen. What this one remembered is
// forgotten.
func (e *Endpoint) ShareDedupWith(other *Endpoint) {
	other.effects.isShared = true
	e.effects = other.effects
}

// applyEffect does the effect of a job that is done. A repeat of its key within the window is dropped.
func (e *Endpoint) applyEffect(job *Job) Reply {
	if job.Key == "" {
		return ReplyOK
	}
	now := e.clock.Time()
	e.effects.expire(now)
	doneAt, wasDone := e.effects.doneAt[job.Key]
	if wasDone && now-doneAt < e.config.dedupWindow(job.Class) {
		e.Stats.DroppedRepeats++
		return ReplyRepeated
	}
	if wasDone {
		e.Stats.DuplicateEffects++
	}
	e.Stats.Effects++
	e.effects.doneAt[job.Key] = now
	return ReplyOK
}
