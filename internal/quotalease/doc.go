// Package quotalease leases the quota that all gateways of a cluster share. The quota is divided into slots, a fixed
// number per gateway in the list. A gateway holds a slot for the duration of a lease that a majority of the voters has
// granted. Two gateways therefore never hold the same slot at the same time, whatever they believe about each other:
// any two majorities have a voter in common, and a voter that has granted a slot to one gateway grants it to no other
// until that lease has ended.
//
// The holder measures a lease from when it sent the request, by its own clock. A voter measures it from when it
// received the request, and adds the maximum drift between the clocks. The absolute time of a clock does not matter,
// but each clock must keep running while the process is suspended, and at the true rate within MaxClockDrift. A voter
// stores nothing on disk: after a start it grants nothing for as long as a lease lasts that it may have granted before.
//
// A request names all slots that its gateway holds or wants. A slot that it no longer names becomes available to others
// at once, so a gateway must stop using a slot before it sends a request without it: [Holder.Release] removes the slot
// from those held, [Holder.NextRequest] omits it from the next request.
//
// The package performs no I/O; the caller supplies the time. A [Holder] and a [Voter] are not safe for concurrent use.
package quotalease
