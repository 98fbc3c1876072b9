// Package upstream holds the connections to endpoints and carries attempts and health checks on them, one at a time on
// each connection. It decides nothing: which endpoint, when and how often is the balancer's.
//
// The event loop owns a Pool, its connections and attempts. Each connection has a goroutine that dials and then reads
// answers, and a goroutine for a command that the socket does not take at once; both post tasks to the loop.
package upstream
