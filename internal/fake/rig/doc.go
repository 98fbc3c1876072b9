// Package rig runs several real gapgapd processes for tests and injects faults. Each ordered pair of gateways
// communicates through its own [Line]. Gateways can be killed, stopped, resumed and restarted, and their disks can lose
// unsynced data as in a power cut. Fakes replace the endpoints, the discovery agent and the counter. Everything runs on
// loopback until [Rig.Close].
//
// Process faults are in signal.go ([Door.Kill], [Door.Stop]), line faults in line.go and partition.go ([Fault],
// [Rig.Split]), disk and clock faults in disk.go and process.go ([Door.Leave], [Door.Fault], Door.Ahead), and a power
// cut of everything in powercut.go ([Rig.PowerCut]). flagserver.Config makes a fake endpoint silent or slow, and
// quota.Counter.Stall delays the counter's responses. Package internal/scenario injects the same kinds of faults in
// virtual time.
package rig
