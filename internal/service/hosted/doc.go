// Package hosted puts the service gapgapd together out of one strictly checked TOML file: pools, each with a proxy and
// an event loop of its own; listeners of several protocols in front of them; accounts; and, in a cluster of gateways,
// the exchange with the others, the policy that all go by, reserved idempotency keys and the recovery after a start.
//
// [Load] reads and checks the file, [New] opens all parts, [Service.Serve] runs them until the shutdown, and
// [Service.Reload] changes pools, routes and accounts meanwhile.
package hosted
