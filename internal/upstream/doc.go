// Package upstream manages the connections to endpoints and sends attempts and health checks over them, one at a time
// per connection. It makes no decisions: the balancer chooses the endpoint, the time and the number of attempts.
//
// The event loop owns a Pool, its connections and its attempts. Each connection has a goroutine that dials and then
// reads answers. A command that the socket does not accept at once is written by a further goroutine. Both post tasks
// to the loop.
package upstream
