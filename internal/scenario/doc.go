// Package scenario plays scripted incidents. A script says which endpoints, gateways and accounts there are, and what
// happens to them when. [Run] plays it with the decision module and simulated endpoints in virtual time, so a script
// and a seed give the same run, event for event. cmd/simulate is its command line, and scenarios/*.toml are scripts.
//
// scriptfile.go has the keys of a script and what each means, event.go the kinds of events, fault.go how each kind is
// injected, and rules.go the rules that every run is checked against. Faults between real processes are injected by
// the package internal/fake/rig.
package scenario
