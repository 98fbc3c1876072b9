package simulator

import "time"

const (
	// effectRetention is the minimum time for which an effect is remembered, so that late duplicates are detected.
	// Dedup windows must be shorter.
	effectRetention = 30 * time.Second
	// effectsBeforeExpiry is the number of effects below which none expires.
	effectsBeforeExpiry = 1 << 14
	// effectsPerExpiry is the number of effects between two searches for expired ones.
	effectsPerExpiry = 1 << 12
)

// effectLog remembers the idempotency keys whose effect was done.
type effectLog struct {
	// doneAt maps each key to the time when its effect was last done.
	doneAt map[string]time.Duration
	// isShared reports whether several endpoints use the log, so that it survives a restart of one of them.
	isShared bool
}

// newEffectLog returns the empty log of one endpoint.
func newEffectLog() *effectLog { return &effectLog{doneAt: map[string]time.Duration{}} }

// expire removes expired effects once per effectsPerExpiry effects.
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

// ShareDedupWith makes both endpoints drop repeats of keys that the other one has seen. The keys that this endpoint
// remembered so far are discarded.
func (e *Endpoint) ShareDedupWith(other *Endpoint) {
	other.effects.isShared = true
	e.effects = other.effects
}

// applyEffect records the effect of a completed job. A repeat of its key within the dedup window is dropped.
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
