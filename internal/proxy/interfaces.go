package proxy

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/route"
	"gapgap/internal/upstream"
)

// Upstream carries attempts and health checks to endpoints. Only the event loop calls it.
type Upstream interface {
	// Send starts an attempt, which ends as one result at its owner.
	Send(*upstream.Attempt)
	// Cancel ends an attempt. One that has ended is ignored.
	Cancel(*upstream.Attempt)
	// HealthCheck checks an endpoint; the result comes to Proxy.HandleHealthCheckResult.
	HealthCheck(endpoint string)
	// UpdateEndpoint takes the state and address of an endpoint.
	UpdateEndpoint(e balancer.Endpoint, address string)
	// KeepOnly drops all endpoints but those given.
	KeepOnly([]endpoint.Entry)
	// CloseIdle closes up to n idle connections that others want; to one address only, unless that is empty.
	CloseIdle(n int64, address string)
	// SetMaxConnections bounds the connections from now on.
	SetMaxConnections(n int)
	// SetBlocked keeps what is not yet written from an endpoint, whatever the list says, or ends that.
	SetBlocked(endpoint string, on bool)
	// Sweep closes what has been idle for too long. It is called about once a second.
	Sweep()
	// Close ends all connections.
	Close()
}

// Counter adds to numbers that all gateways share. Only the event loop calls it.
type Counter interface {
	// Add makes a call, which gets one result at Proxy.HandleCounterResult.
	Add(balancer.CounterAdd)
	// Move goes on at another address.
	Move(address string)
	// Addr returns the present address.
	Addr() string
	// Sweep closes connections that have been idle for too long. It is called about once a second.
	Sweep()
	// Close ends all connections.
	Close()
}

// KeyReserver reserves idempotency keys over all gateways of a cluster. Any goroutine may call it.
type KeyReserver interface {
	// Claim asks for the reservation of a key and returns its number, for End. 0: none can be asked for now. done is
	// called once, by another goroutine.
	Claim(class, customer, key string, done func(Reservation)) uint64
	// End ends a reservation, whatever came of it. ran says that an attempt of the request may have run.
	End(n uint64, ran bool)
}

// Reservation is what became of the reservation of an idempotency key.
type Reservation int

const (
	// ReservationGranted means that the request alone may go out by its key.
	ReservationGranted Reservation = iota
	// ReservationHeld means that another request by the key may have run.
	ReservationHeld
	// ReservationUnavailable means that no reservation can be had now.
	ReservationUnavailable
)

// EndpointSource tells of the endpoint list by Proxy.HandleEndpointUpdate. Only the event loop calls it.
type EndpointSource interface {
	// Known reports the list as it was last known.
	Known()
	// Follow watches the list at an address.
	Follow(address string)
	// Addr returns the present address.
	Addr() string
	// Fetch asks for the whole list once.
	Fetch()
	// Stop ends the watch.
	Stop()
}

// Frontend takes requests from clients by one protocol.
type Frontend interface {
	// Serve begins to accept connections and returns at once.
	Serve()
	// CloseListeners ends accepting. It may be called again.
	CloseListeners()
	// Drain closes connections that are between two requests and tells whether none is left.
	Drain() bool
}

// Router finds the proxy that decides a request, acquired; nil: there is none. Any goroutine may call it.
type Router interface {
	Route(*route.Query) *Proxy
}

// Client is the sender of a request, as its frontend presents it. The event loop calls it, so it must not block.
type Client interface {
	// Forward returns the command for an endpoint, which tells it how long this gateway will wait.
	Forward(wait time.Duration) []byte
	// Answer takes the one final answer.
	Answer(Answer)
}

// DisconnectDetector is a Client that can tell whether it has disconnected, also where nobody has read that yet.
type DisconnectDetector interface{ HasDisconnected() bool }

// Streamer is a Client that takes long values as they come. Long values for others are answered as failed.
type Streamer interface {
	// Stream announces a value of a number of bytes. The final answer still comes by Answer: Served with no Value
	// when the value is complete, and else another one, which the client must be shown, if only by the end of its
	// connection.
	Stream(size int) upstream.Sink
}
