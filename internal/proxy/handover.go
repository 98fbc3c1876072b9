package proxy

import (
	"context"
	"errors"
	"slices"

	"gapgap/internal/balancer"
)

// HandoverState is what a core hands to the one of another process that takes its place. Classes and plans are numbered as its names
// have them.
type HandoverState struct {
	Classes []string               `json:"Classes"`
	Plans   []string               `json:"Plans"`
	Gone    []string               `json:"Gone"` // backends that were listed once and are not now
	Memory  balancer.HandoverState `json:"Memory"`
}

// BeginHandover makes the core end what it has and take nothing more upon itself: what it returns is another's from then on, or goes
// to TakeBack. Any goroutine may call it.
func (c *Proxy) BeginHandover(ctx context.Context) (e HandoverState, err error) {
	err = c.onLoop(ctx, func() error {
		if c.handedOver {
			return errors.New("another process has it already")
		}
		c.Enqueue(balancer.BeginHandover{})
		c.Step()
		c.handedOver = true
		rules := c.Rules()
		e = HandoverState{Classes: rules.Classes, Plans: rules.Plans, Gone: c.names.oldest(), Memory: c.handoverState}
		c.handoverState = balancer.HandoverState{}
		c.upstream.Yield(1<<20, "") // connections that carry nothing are for the other
		return nil
	})
	return e, err
}

// AbortHandover undoes Leave. What was handed on and has perhaps been spent does not come back: then the estate is empty.
func (c *Proxy) AbortHandover(ctx context.Context, e HandoverState) error {
	return c.onLoop(ctx, func() error {
		if c.handedOver {
			c.handedOver = false
			c.Enqueue(balancer.ImportHandover{State: e.Memory})
			c.Step()
		}
		return nil
	})
}

// IsHandedOver says whether another process has taken over. Only the loop goroutine may call it.
func (c *Proxy) IsHandedOver() bool { return c.handedOver }

// ImportHandover gives the core what another process has left, before Run.
func (c *Proxy) ImportHandover(e HandoverState) {
	rules := c.Rules()
	m := e.Memory
	classes := make([]balancer.ClassHandover, len(rules.Classes))
	for i, k := range m.Classes {
		if i < len(e.Classes) && e.Classes[i] != "" {
			if at := slices.Index(rules.Classes, e.Classes[i]); at >= 0 {
				classes[at] = k
			}
		}
	}
	m.Classes = classes
	customers := m.Customers[:0:0]
	for _, cm := range m.Customers {
		if cm.Plan < 0 || cm.Plan >= len(e.Plans) || e.Plans[cm.Plan] == "" {
			continue
		}
		if cm.Plan = slices.Index(rules.Plans, e.Plans[cm.Plan]); cm.Plan >= 0 {
			customers = append(customers, cm)
		}
	}
	m.Customers = customers
	for _, name := range e.Gone[:min(len(e.Gone), mostNames)] {
		if !c.names.has(name) {
			c.names.left(name)
		}
	}
	c.inherited = &m
}

// importHandover tells the Door, once it knows the list.
func (c *Proxy) importHandover() {
	if c.inherited != nil {
		c.Enqueue(balancer.ImportHandover{State: *c.inherited})
		c.inherited = nil
	}
}

// SetMaxConnections sets how many connections to backends there may be. Any goroutine may call it.
func (c *Proxy) SetMaxConnections(n int) { c.Post(func() { c.upstream.Most(n) }) }
