package service

import (
	"bytes"
	"context"
	"errors"
)

// adminService carries out operators' commands. Any goroutine may call it.
type adminService struct{ gateway *Gateway }

// Ready implements [admin.Service].
func (s adminService) Ready() error {
	switch {
	case !s.gateway.listening.Load():
		return errors.New("client connections are not accepted yet")
	case !s.gateway.Ready():
		return errors.New("no backend is known yet")
	}
	return nil
}

// Figures implements [admin.Service].
func (s adminService) Figures() []byte {
	var b bytes.Buffer
	s.gateway.Stats.Write(&b)
	return b.Bytes()
}

// Detach implements [admin.Service].
func (s adminService) Detach(ctx context.Context, endpoint string) error {
	return s.gateway.ejections.change(ctx, endpoint, true)
}

// Attach implements [admin.Service].
func (s adminService) Attach(ctx context.Context, endpoint string) error {
	return s.gateway.ejections.change(ctx, endpoint, false)
}
