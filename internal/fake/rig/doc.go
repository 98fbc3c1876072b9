// Package rig starts several real gapgapd beside each other and puts faults between them: each ordered pair of
// gateways talks through a [Line] of its own; gateways are killed, stopped, resumed and started again, and disks lose
// what a power cut takes. Fakes stand for the endpoints, the discovery agent and the counter. All of it runs on
// loopback and ends with [Rig.Close].
package rig
