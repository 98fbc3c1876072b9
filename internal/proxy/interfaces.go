package proxy

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/route"
	"gapgap/internal/upstream"
)

// Upstream sends attempts and health checks to endpoints. Its methods are called only on the event loop.
type Upstream interface {
	// Send starts an attempt. Its owner receives exactly one result.
	Send(*upstream.Attempt)
	// Cancel ends an attempt. It does nothing if the attempt has ended.
	Cancel(*upstream.Attempt)
	// HealthCheck checks an endpoint and reports the result to Proxy.HandleHealthCheckResult.
	HealthCheck(endpoint string)
	// UpdateEndpoint sets the state and address of an endpoint.
	UpdateEndpoint(e balancer.Endpoint, address string)
	// KeepOnly removes all endpoints except the given ones.
	KeepOnly([]endpoint.Entry)
	// CloseIdle closes up to n idle connections because other pools need them. If address is not empty, only
	// connections to that address are closed.
	CloseIdle(n int64, address string)
	// SetMaxConnections sets the limit on connections.
	SetMaxConnections(n int)
	// SetBlocked blocks or unblocks an endpoint, whatever the endpoint list says. Nothing that has not been written yet
	// is sent to a blocked endpoint.
	SetBlocked(endpoint string, blocked bool)
	// Sweep closes connections that have been idle for too long. It is called about once a second.
	Sweep()
	// Close closes all connections.
	Close()
}

// Counter adds to counters that all gateways share. Its methods are called only on the event loop.
type Counter interface {
	// Add starts a counter call. Proxy.HandleCounterResult receives exactly one result.
	Add(balancer.CounterAdd)
	// Move switches to another address.
	Move(address string)
	// Addr returns the current address.
	Addr() string
	// Sweep closes connections that have been idle for too long. It is called about once a second.
	Sweep()
	// Close closes all connections.
	Close()
}

// KeyReserver reserves idempotency keys across all gateways of a cluster. It is safe for concurrent use.
type KeyReserver interface {
	// Claim requests the reservation of a key and returns its number, to be passed to End. 0 means that no reservation
	// can be requested now. done is called once, on another goroutine.
	Claim(class, customer, key string, done func(Reservation)) uint64
	// End ends a reservation, whatever its result. ran reports that an attempt of the request may have run.
	End(n uint64, ran bool)
}

// Reservation is the result of reserving an idempotency key.
type Reservation int

const (
	// ReservationGranted means that only this request may be sent under its key.
	ReservationGranted Reservation = iota
	// ReservationHeld means that another request with the same key may have run.
	ReservationHeld
	// ReservationUnavailable means that no reservation can be made now.
	ReservationUnavailable
)

// EndpointSource reports the endpoint list to Proxy.HandleEndpointUpdate. Its methods are called only on the event
// loop.
type EndpointSource interface {
	// Known reports the last known list.
	Known()
	// Follow watches the list at an address.
	Follow(address string)
	// Addr returns the current address.
	Addr() string
	// Fetch requests the complete list once.
	Fetch()
	// Stop ends the watch.
	Stop()
}

// Frontend accepts requests from clients over one protocol.
type Frontend interface {
	// Serve starts to accept connections and returns at once.
	Serve()
	// CloseListeners stops accepting connections. It is idempotent.
	CloseListeners()
	// Drain closes connections that have no request in progress and reports what is left.
	Drain() DrainStatus
}

// Router returns the proxy that decides a request, already acquired, or nil if there is none. It is safe for concurrent
// use.
type Router interface {
	Route(*route.Query) *Proxy
}

// Client is the sender of a request, as represented by its frontend. Its methods are called on the event loop and must
// not block.
type Client interface {
	// Forward returns the command for an endpoint, which includes how long this gateway will wait for the answer.
	Forward(wait time.Duration) []byte
	// Answer receives the final answer. It is called at most once.
	Answer(Answer)
}

// DisconnectDetector is a Client that can report whether it has disconnected, even if the end of its connection has not
// been read yet.
type DisconnectDetector interface{ HasDisconnected() bool }

// Streamer is a Client that accepts long values as a stream. For other clients a long value is answered as failed.
type Streamer interface {
	// Stream announces a value of size bytes. The final answer still follows: Served without a Value if the value is
	// complete, otherwise another outcome. The client must be able to notice the latter, if only because its connection
	// is closed.
	Stream(size int) upstream.Sink
}
