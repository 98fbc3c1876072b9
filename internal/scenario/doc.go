// Package scenario runs scripted incidents. A script defines the endpoints, gateways and accounts, and the events that
// happen to them. [Run] runs it with the decision module and simulated endpoints in virtual time, so the same script
// and seed give the same sequence of events. cmd/simulate is the command-line tool, and scenarios/*.toml are scripts.
//
// scriptfile.go documents the keys of a script, event.go the kinds of events, fault.go how each kind is injected, and
// rules.go the rules that every run is checked against. Faults between real processes are injected by the package
// internal/fake/rig.
package scenario
