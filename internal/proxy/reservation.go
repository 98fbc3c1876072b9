package proxy

import (
	"time"

	"gapgap/internal/balancer"
)

const (
	// reservationTimeout bounds the wait for the reservation of a key. The request is rejected after it.
	reservationTimeout = 500 * time.Millisecond
	// reservationRetryAfter is the retry delay for clients whose key could not be reserved.
	reservationRetryAfter = 250 * time.Millisecond
)

// keyReservation is the state of the reservation of the idempotency key of a request.
type keyReservation struct {
	state reservationState
	// id is the number assigned by the KeyReserver. 0 means none.
	id uint64
	// waiting is the attempt to send once the key is reserved.
	waiting *attempt
}

// reservationState is the progress of a keyReservation.
type reservationState int

const (
	reservationNone reservationState = iota
	reservationPending
	reservationGranted
	reservationDenied
)

// reserveKey requests the reservation of the key of an attempt and sends the attempt once it is granted. Nothing was
// sent before, so a request whose key is not reserved in time can be rejected.
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

// closedChannel makes PostUntil return at once if the queue of the loop is full.
var closedChannel = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()

// handleReservation handles the first result of a reservation. Later results are ignored.
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
