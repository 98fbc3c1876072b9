package proxy

import (
	"time"

	"gapgap/internal/balancer"
)

const (
	// reservationTimeout ends a request as rejected whose key is not reserved by then.
	reservationTimeout = 500 * time.Millisecond
	// reservationRetryAfter is what its client is told.
	reservationRetryAfter = 250 * time.Millisecond
)

// keyReservation is how a request stands with its idempotency key.
type keyReservation struct {
	state reservationState
	// id is the number that the KeyReserver gave; 0: none.
	id uint64
	// waiting is the attempt that goes out once the key is reserved.
	waiting *attempt
	// mayHaveRun says that an attempt that was sent may have had its effect.
	mayHaveRun bool
}

// reservationState is a state of a keyReservation.
type reservationState int

const (
	reservationNone reservationState = iota
	reservationPending
	reservationGranted
	reservationDenied
)

// reserveKey asks for the reservation of an attempt's key and sends the attempt once that is granted. Nothing has gone
// out until then, so a request that does not get its key in time is rejected.
func (p *Proxy) reserveKey(a *attempt) {
	request := a.request
	request.reservation.waiting = a
	if request.reservation.state != reservationNone {
		return
	}
	request.reservation.state = reservationPending
	class := p.Rules().Classes[request.Class]
	request.reservation.id = p.KeyReserver.Claim(class, request.Customer, request.Key, func(result Reservation) {
		handle := func() { p.handleReservation(request, result) }
		if !p.PostUntil(handle, closedChannel) {
			go p.Post(handle)
		}
	})
	if request.reservation.id == 0 {
		p.handleReservation(request, ReservationUnavailable)
		return
	}
	timeout := min(request.deadline, p.Now()+reservationTimeout)
	p.At(timeout, func() { p.handleReservation(request, ReservationUnavailable) })
}

// closedChannel makes PostUntil return at once where the loop's queue is full.
var closedChannel = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()

// handleReservation takes the first result of a reservation; later ones are ignored.
func (p *Proxy) handleReservation(request *Request, result Reservation) {
	reservation := &request.reservation
	if reservation.state != reservationPending {
		return
	}
	reservation.state = reservationDenied
	if result == ReservationGranted {
		reservation.state = reservationGranted
	}
	waiting := reservation.waiting
	switch {
	case request.ended:
	case result == ReservationHeld:
		p.answer(request, Answer{Outcome: Failed, reason: balancer.RetryNotPossible})
	case result == ReservationUnavailable:
		p.answer(request, Answer{Outcome: Rejected, RetryAfter: reservationRetryAfter, Unavailable: true})
	case waiting != nil:
		reservation.waiting = nil
		waiting.SentAt = p.Now()
		if waiting.Deadline <= waiting.SentAt {
			waiting.End(balancer.NotSent)
			return
		}
		p.send(waiting)
	}
}
