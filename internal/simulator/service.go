package simulator

import (
	"math"
	"slices"
	"time"
)

const (
	// minRemainingWork is the work in core-seconds below which a job counts as done, to allow for rounding errors.
	minRemainingWork = 1e-9
	// slowStartUpdateInterval is how often the speed of an endpoint is updated during slow start.
	slowStartUpdateInterval = 100 * time.Millisecond
)

// speed returns the current speed of each job in service, in core-seconds per second.
func (e *Endpoint) speed() float64 {
	if len(e.inService) == 0 || e.clock.Time() < e.pausedUntil {
		return 0
	}
	speed := min(1, e.config.Cores/float64(len(e.inService))) * e.CapacityFraction() / e.slowdown
	if excess := e.Held() - e.config.SlowdownFrom; e.config.SlowdownFrom > 0 && excess > 0 {
		speed *= max(e.config.MinSpeed, 1-e.config.SlowdownPerRequest*float64(excess))
	}
	return speed
}

// advanceWork subtracts the work done since the last call from the jobs in service, at the speed that applied since
// then. It must be called before every change of the speed.
func (e *Endpoint) advanceWork() {
	now := e.clock.Time()
	if busy := now - max(e.advancedUntil, e.pausedUntil); busy > 0 {
		speed := e.speed()
		for _, job := range e.inService {
			job.remaining -= speed * busy.Seconds()
		}
	}
	e.advancedUntil = now
}

// update answers finished jobs, fills free slots from the queue, and schedules the next update.
func (e *Endpoint) update() {
	e.completeFinishedJobs()
	for len(e.waiting) > 0 && e.hasFreeSlot() {
		job := e.waiting[0]
		e.waiting[0] = nil
		e.waiting = e.waiting[1:]
		e.beginService(job)
	}
	e.scheduleUpdate()
}

// completeFinishedJobs answers the jobs in service whose work is done.
func (e *Endpoint) completeFinishedJobs() {
	for i := 0; i < len(e.inService); {
		job := e.inService[i]
		if job.remaining > minRemainingWork {
			i++
			continue
		}
		e.inService = slices.Delete(e.inService, i, i+1)
		e.complete(job)
	}
}

// scheduleUpdate schedules an update for when the next job finishes, the pause ends or the slow-start capacity
// is updated.
func (e *Endpoint) scheduleUpdate() {
	if e.cancelUpdate != nil {
		e.cancelUpdate()
		e.cancelUpdate = nil
	}
	if len(e.inService) == 0 || e.isDown {
		return
	}
	delay := max(e.timeToNextChange(), 1)
	e.cancelUpdate = e.clock.Schedule(delay, func() {
		e.cancelUpdate = nil
		e.advanceWork()
		e.update()
	})
}

// timeToNextChange returns the time until the next job finishes, the pause ends or the slow-start capacity is updated.
// At least one job must be in service.
func (e *Endpoint) timeToNextChange() time.Duration {
	now := e.clock.Time()
	if now < e.pausedUntil {
		return e.pausedUntil - now
	}
	least := math.Inf(1)
	for _, job := range e.inService {
		least = min(least, job.remaining)
	}
	next := time.Duration(math.Ceil(least / e.speed() * float64(time.Second)))
	if e.CapacityFraction() < 1 {
		next = min(next, slowStartUpdateInterval)
	}
	return next
}

// beginService starts the service of a job.
func (e *Endpoint) beginService(job *Job) {
	job.startedAt = e.clock.Time()
	job.inService = true
	e.inService = append(e.inService, job)
}

// complete applies the effect of a job whose work is done, and answers it.
func (e *Endpoint) complete(job *Job) {
	job.hasEnded = true
	reply := e.applyEffect(job)
	e.Stats.Answered++
	if !e.isSilent {
		job.answer(reply)
	}
}
