package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// RandSource returns a random source for the thing that the parts identify, such as [World.Rand].
type RandSource func(parts ...any) *rand.Rand

// Endpoint is an endpoint with a queue. Requests in service share its cores, others wait in the order of their arrival.
// Its speed falls when it holds many requests, rises after a start, and is 0 in a pause. It does no input or output.
type Endpoint struct {
	Name  string
	Stats EndpointStats

	config EndpointConfig
	clock  Clock
	rand   RandSource

	inService []*Job
	waiting   []*Job
	// advancedUntil is the time until which the work of the jobs in service is counted.
	advancedUntil time.Duration
	// cancelUpdate cancels the next update; nil: none is scheduled.
	cancelUpdate func()

	// startedAt is when the process started; below 0: long ago.
	startedAt time.Duration
	// slowdown is the factor on the time that work takes.
	slowdown    float64
	pausedUntil time.Duration
	isDown      bool
	isSilent    bool

	effects *effectLog
	// recentArrivals are those of the overload window, during a slow start.
	recentArrivals []arrival
}

// EndpointStats count what an Endpoint did.
type EndpointStats struct {
	// Received counts arrivals.
	Received uint64
	// Answered counts jobs whose work was done, also while the endpoint was silent.
	Answered uint64
	// Rejected counts jobs for which there was no place.
	Rejected uint64
	// Effects counts effects of jobs with a key.
	Effects uint64
	// DroppedRepeats counts repeats whose effect was dropped.
	DroppedRepeats uint64
	// DuplicateEffects counts effects that were done before.
	DuplicateEffects uint64
	// Overloaded says that it crashed since it was sent too much during a slow start.
	Overloaded bool
}

// NewEndpoint makes an endpoint that started long ago. Its error wraps an [*EndpointConfigError].
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

// Held is the number of requests that it holds, in service and waiting.
func (e *Endpoint) Held() int { return len(e.inService) + len(e.waiting) }

// IsDown says that no process runs.
func (e *Endpoint) IsDown() bool { return e.isDown }

// StartedAt is when the process started; below 0: long ago.
func (e *Endpoint) StartedAt() time.Duration { return e.startedAt }

// Receive brings a job. Its reply is passed to answer once, unless the endpoint is silent by then or the job has been
// cancelled.
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

// hasFreeSlot says that one more job can be in service.
func (e *Endpoint) hasFreeSlot() bool { return len(e.inService) < e.config.MaxInService }

// isFull says that there is no place for one more job.
func (e *Endpoint) isFull() bool {
	return !e.hasFreeSlot() && len(e.waiting) >= e.config.QueueCapacity
}

// reject ends a job for which there is no place.
func (e *Endpoint) reject(job *Job) {
	job.hasEnded = true
	e.Stats.Rejected++
	e.update()
	if !e.isSilent {
		job.answer(ReplyRejected)
	}
}

// Cancel gives up a job, whose reply nobody gets. A waiting job is dropped, one in service goes on.
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
