package proxy

import (
	"context"
	"errors"
	"slices"

	"gapgap/internal/balancer"
)

// HandoverState is what a proxy hands to that of another process which takes its place. Classes and plans are
// numbered as in the lists of their names. Its JSON form is read by other versions of the program.
type HandoverState struct {
	Classes []string `json:"Classes"`
	Plans   []string `json:"Plans"`
	// Departed are the names of endpoints that were listed once and are not now.
	Departed []string               `json:"Gone"`
	Balancer balancer.HandoverState `json:"Memory"`
}

// allIdle is more than there can be idle connections.
const allIdle = 1 << 20

// errAlreadyHandedOver says that another process has already taken over.
var errAlreadyHandedOver = errors.New("another process has it already")

// BeginHandover makes the proxy end what it has and take nothing more upon itself: what it returns belongs to another
// process from then on, or goes to AbortHandover. Any goroutine may call it; it blocks until the loop has done it or
// the context ends.
func (p *Proxy) BeginHandover(ctx context.Context) (state HandoverState, err error) {
	err = p.runOnLoop(ctx, func() error {
		if p.handedOver {
			return errAlreadyHandedOver
		}
		p.Enqueue(balancer.BeginHandover{})
		p.Step()
		p.handedOver = true
		rules := p.Rules()
		state = HandoverState{
			Classes:  rules.Classes,
			Plans:    rules.Plans,
			Departed: p.names.oldestDeparted(),
			Balancer: p.handoverState,
		}
		p.handoverState = balancer.HandoverState{}
		p.upstream.CloseIdle(allIdle, "") // the other process needs the connections
		return nil
	})
	return state, err
}

// AbortHandover undoes BeginHandover. What was handed over and may have been spent does not come back: then the state
// is empty. Any goroutine may call it; it blocks likewise.
func (p *Proxy) AbortHandover(ctx context.Context, state HandoverState) error {
	return p.runOnLoop(ctx, func() error {
		if p.handedOver {
			p.handedOver = false
			p.Enqueue(balancer.ImportHandover{State: state.Balancer})
			p.Step()
		}
		return nil
	})
}

// IsHandedOver tells whether another process has taken over.
func (p *Proxy) IsHandedOver() bool { return p.handedOver }

// ImportHandover gives the proxy what another process has handed over, before Run. What belongs to classes and plans
// that have no name here is dropped.
func (p *Proxy) ImportHandover(state HandoverState) {
	rules := p.Rules()
	imported := state.Balancer
	imported.Classes = renumberClasses(state.Balancer.Classes, state.Classes, rules.Classes)
	imported.Customers = renumberPlans(state.Balancer.Customers, state.Plans, rules.Plans)
	for _, name := range state.Departed[:min(len(state.Departed), maxDepartedNames)] {
		if !p.names.contains(name) {
			p.names.markDeparted(name)
		}
	}
	p.importedState = &imported
}

// renumberClasses returns what is known of classes, numbered as in names rather than as in oldNames.
func renumberClasses(classes []balancer.ClassHandover, oldNames, names []string) []balancer.ClassHandover {
	renumbered := make([]balancer.ClassHandover, len(names))
	for i, class := range classes {
		if i >= len(oldNames) || oldNames[i] == "" {
			continue
		}
		if number := slices.Index(names, oldNames[i]); number >= 0 {
			renumbered[number] = class
		}
	}
	return renumbered
}

// renumberPlans returns the customers whose plans have a name, numbered as in names rather than as in oldNames.
func renumberPlans(customers []balancer.CustomerHandover, oldNames, names []string) []balancer.CustomerHandover {
	var renumbered []balancer.CustomerHandover
	for _, customer := range customers {
		if customer.Plan < 0 || customer.Plan >= len(oldNames) || oldNames[customer.Plan] == "" {
			continue
		}
		customer.Plan = slices.Index(names, oldNames[customer.Plan])
		if customer.Plan >= 0 {
			renumbered = append(renumbered, customer)
		}
	}
	return renumbered
}

// importHandover tells the Balancer, once it knows the endpoint list.
func (p *Proxy) importHandover() {
	if p.importedState != nil {
		p.Enqueue(balancer.ImportHandover{State: *p.importedState})
		p.importedState = nil
	}
}
