package simulator

import (
	"math"
	"slices"
	"time"
)

const (
	// minRemainingWork is the work in seconds of one core below which a job is done, as sums are rounded.
	minRemainingWork = 1e-9
	// slowStartUpdateInterval is how often the speed of an endpoint is updated during its slow start.
	slowStartUpdateInterval = 100 * time.Millisecond
)

// speed is the present speed of each job in service, in seconds of one core per second.
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

// advanceWork counts the work done since it was counted last, at the speed since then. It must be called before anything
// that changes the speed.
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

// update answers the jobs that are done, fills free slots from the queue, and schedules the next update.
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

// completeFinishedJobs answers the jobs in service that are done.
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

// scheduleUpdate schedules an update for when the next job is done, the pause ends or the capacity has risen.
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

// timeToNextChange is the time until the next job is done, the pause ends or the capacity has risen. A job must be in
// service.
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

// beginService takes a job into service.
func (e *Endpoint) beginService(job *Job) {
	job.startedAt = e.clock.Time()
	job.inService = true
	e.inService = append(e.inService, job)
}

// complete answers a job whose work is done.
func (e *Endpoint) complete(job *Job) {
	job.hasEnded = true
	reply := e.applyEffect(job)
	e.Stats.Answered++
	if !e.isSilent {
		job.answer(reply)
	}
}
