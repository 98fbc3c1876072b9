// Package hosted assembles the service gapgapd from one strictly validated TOML file: pools, each with its own proxy
// and event loop; listeners of several protocols in front of them; accounts; and, in a cluster of gateways, membership,
// the shared policy, reserved idempotency keys and the recovery after a start.
//
// [Load] reads and validates the file, [New] opens all components, [Service.Serve] runs them until shutdown, and
// [Service.Reload] changes pools, routes and accounts while the service runs.
package hosted
