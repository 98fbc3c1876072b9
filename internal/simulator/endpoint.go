package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// RandSource returns a random source that depends only on the parts, which identify what is drawn. [World.Rand] is one.
type RandSource func(parts ...any) *rand.Rand

// Endpoint is a simulated endpoint with a queue. Requests in service share its cores; others wait in order of arrival
// (FIFO). Its speed falls when it holds many requests, rises during slow start, and is 0 during a pause. It does no
// I/O.
type Endpoint struct {
	Name  string
	Stats EndpointStats

	config EndpointConfig
	clock  Clock
	rand   RandSource

	inService []*Job
	waiting   []*Job
	// advancedUntil is the time up to which the work of the jobs in service has been accounted for.
	advancedUntil time.Duration
	// cancelUpdate cancels the scheduled update; nil if none is scheduled.
	cancelUpdate func()

	// startedAt is when the process started; negative if long ago.
	startedAt time.Duration
	// slowdown is the factor by which all work takes longer.
	slowdown    float64
	pausedUntil time.Duration
	isDown      bool
	isSilent    bool

	effects *effectLog
	// recentArrivals are the arrivals within the overload window, kept only during slow start.
	recentArrivals []arrival
}

// EndpointStats are the counters of an [Endpoint].
type EndpointStats struct {
	// Received counts arrivals.
	Received uint64
	// Answered counts completed jobs, including those completed while the endpoint was silent.
	Answered uint64
	// Rejected counts jobs rejected because the queue was full.
	Rejected uint64
	// Effects counts the effects of jobs with an idempotency key.
	Effects uint64
	// DroppedRepeats counts repeats of a key whose effect was dropped.
	DroppedRepeats uint64
	// DuplicateEffects counts effects that had been done before.
	DuplicateEffects uint64
	// Overloaded reports whether it crashed because it was sent too much work during slow start.
	Overloaded bool
}

// NewEndpoint returns an endpoint that started long ago. The error wraps an [*EndpointConfigError].
func NewEndpoint(name string, config EndpointConfig, clock Clock, source RandSource) (*Endpoint, error) {
	if err := config.Check(); err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", name, err)
	}
	return &Endpoint{
		Name:          name,
		config:        config,
		clock:         clock,
		rand:          source,
		advancedUntil: clock.Time(),
		startedAt:     -config.SlowStartDuration,
		slowdown:      1,
		effects:       newEffectLog(),
	}, nil
}

// Held returns the number of requests in service and waiting.
func (e *Endpoint) Held() int { return len(e.inService) + len(e.waiting) }

// IsDown reports whether the process is not running.
func (e *Endpoint) IsDown() bool { return e.isDown }

// StartedAt returns when the process started; negative if long ago.
func (e *Endpoint) StartedAt() time.Duration { return e.startedAt }

// Receive accepts a job. Its reply is passed to answer once, unless the endpoint is silent at that time or the job has
// been cancelled.
func (e *Endpoint) Receive(job *Job, answer func(Reply)) {
	e.Stats.Received++
	job.arrivedAt = e.clock.Time()
	job.answer = answer
	if e.isDown {
		job.hasEnded = true
		answer(ReplyBroken)
		return
	}
	e.advanceWork()
	job.remaining = e.config.ServiceTimes[job.Class].Draw(e.rand("work", job.ID, e.Name)).Seconds()
	if e.isOverloadedBy(job.remaining) {
		e.Stats.Overloaded = true
		e.Crash()
		job.hasEnded = true
		answer(ReplyBroken)
		return
	}
	if e.isFull() {
		e.reject(job)
		return
	}
	if e.hasFreeSlot() {
		e.beginService(job)
	} else {
		e.waiting = append(e.waiting, job)
	}
	e.update()
}

// hasFreeSlot reports whether one more job can be taken into service.
func (e *Endpoint) hasFreeSlot() bool { return len(e.inService) < e.config.MaxInService }

// isFull reports whether all slots and the queue are full.
func (e *Endpoint) isFull() bool {
	return !e.hasFreeSlot() && len(e.waiting) >= e.config.QueueCapacity
}

// reject rejects a job because the endpoint is full.
func (e *Endpoint) reject(job *Job) {
	job.hasEnded = true
	e.Stats.Rejected++
	e.update()
	if !e.isSilent {
		job.answer(ReplyRejected)
	}
}

// Cancel cancels a job, whose reply is dropped. A waiting job is removed from the queue; one in service runs to
// completion.
func (e *Endpoint) Cancel(job *Job) {
	if job.hasEnded {
		return
	}
	job.answer = func(Reply) {}
	if job.inService {
		return
	}
	job.hasEnded = true
	e.advanceWork()
	e.waiting = slices.DeleteFunc(e.waiting, func(other *Job) bool { return other == job })
	e.update()
}
