package proxy

import (
	"context"
	"errors"
	"slices"

	"gapgap/internal/balancer"
)

// HandoverState is the state that a proxy passes to its successor in another process. Classes and plans are numbered by
// their position in the lists of names. The JSON form is read by other versions of the program.
type HandoverState struct {
	Classes []string `json:"Classes"`
	Plans   []string `json:"Plans"`
	// Departed holds the names of endpoints that were listed before and are not now.
	Departed []string               `json:"Gone"`
	Balancer balancer.HandoverState `json:"Memory"`
}

// allIdle exceeds the possible number of idle connections.
const allIdle = 1 << 20

// errAlreadyHandedOver reports that the state was handed over before.
var errAlreadyHandedOver = errors.New("the state has already been handed over to another process")

// BeginHandover makes the proxy finish its open requests and take on no new obligations. The returned state belongs to
// another process from then on, unless it is passed to AbortHandover. It blocks until the loop has run the call or the
// context ends. It is safe for concurrent use.
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
		p.upstream.CloseIdle(allIdle, "") // leaves the connections to the other process
		return nil
	})
	return state, err
}

// AbortHandover reverses BeginHandover. If the other process may have used the state, the caller passes an empty one,
// as nothing of it may be used twice. It blocks like BeginHandover and is safe for concurrent use.
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

// IsHandedOver reports whether another process has taken over.
func (p *Proxy) IsHandedOver() bool { return p.handedOver }

// ImportHandover sets the state handed over by another process. It must be called before Run. Classes and plans whose
// names do not exist here are dropped.
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

// renumberClasses returns the state of the classes, renumbered from oldNames to names.
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

// renumberPlans returns the customers whose plans exist in names, with their plans renumbered from oldNames to names.
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

// importHandover passes the imported state to the Balancer, which must know the endpoint list by then.
func (p *Proxy) importHandover() {
	if p.importedState != nil {
		p.Enqueue(balancer.ImportHandover{State: *p.importedState})
		p.importedState = nil
	}
}
