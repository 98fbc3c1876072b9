// Package rig starts several real gapgapd beside each other and puts faults between them: each ordered pair of
// gateways talks through a [Line] of its own; gateways are killed, stopped, resumed and started again, and disks lose
// what a power cut takes. Fakes stand for the endpoints, the discovery agent and the counter. All of it runs on
// loopback and ends with [Rig.Close].
//
// Faults of processes are in signal.go ([Door.Kill], [Door.Stop]), those of lines in line.go and partition.go ([Fault],
// [Rig.Split]), those of disks and clocks in disk.go ([Door.Leave], [Door.Fault], Door.Ahead) and a power cut of
// everything in powercut.go ([Rig.PowerCut]). A fake endpoint is silent or slow by flagserver.Config, the counter
// holds its answers back by quota.Counter.Stall. The same kinds of faults in virtual time are those of
// internal/scenario.
package rig
