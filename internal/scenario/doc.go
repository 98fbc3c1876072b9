// Package scenario plays scripted incidents. A script says which endpoints, gateways and accounts there are, and what
// happens to them when. [Play] plays it with the decision module and simulated endpoints in virtual time, so a script
// and a seed give the same run, event for event.
package scenario
