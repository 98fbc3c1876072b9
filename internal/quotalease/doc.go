// Package quotalease leases what all gateways of a cluster share. The whole is cut into slots, a number of them for
// each gateway of the list; a gateway holds a slot for the time of a lease that a majority of the voters has granted.
// So no slot is held by two gateways at once, whatever each believes of the others: any two majorities have a voter in
// common, and a voter that granted a slot to one gateway grants it to no other until that lease is over.
//
// A lease counts from when its holder sent the request, by the holder's clock; a voter counts it from when it received
// the request, and longer by what clocks may drift apart. Clocks may be set to anything, but must run on while a
// process is suspended, each at the true rate within MaxClockDrift. A voter keeps nothing on disk: after its start it
// grants nothing for as long as a lease that it may have forgotten lasts.
//
// A request names all slots that its gateway holds or wants; a slot that it no longer names is free for others at once.
// So a gateway must have ceased to use a slot before it sends a request without it: [Holder.Release] takes the slot out
// of what is held, [Holder.NextRequest] out of the next request.
//
// The package does no input or output; the time is handed in. A [Holder] and a [Voter] belong to one goroutine.
package quotalease
