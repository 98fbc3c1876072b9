package service

import (
	"bytes"
	"context"
	"errors"
)

// calls are what operators' calls do at a platform's front door. Any goroutine may call it.
type calls struct{ p *Platform }

// Ready implements [control.Service].
func (c calls) Ready() error {
	switch {
	case !c.p.listening.Load():
		return errors.New("clients' connections are not taken yet")
	case !c.p.Ready():
		return errors.New("no backend is known yet")
	}
	return nil
}

// Figures implements [control.Service].
func (c calls) Figures() []byte {
	var b bytes.Buffer
	c.p.Stats.Write(&b)
	return b.Bytes()
}

// Detach implements [control.Service].
func (c calls) Detach(ctx context.Context, backend string) error {
	return c.p.bans.change(ctx, backend, true)
}

// Attach implements [control.Service].
func (c calls) Attach(ctx context.Context, backend string) error {
	return c.p.bans.change(ctx, backend, false)
}
