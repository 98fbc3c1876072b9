package peer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"gapgap/internal/cluster"
	"gapgap/internal/membership"
)

// leaveTimeout is the time limit of Leave.
const leaveTimeout = time.Second

// ErrUnknownGateway is wrapped by the error that [Transport.Forget] returns for a name that is not in the list.
var ErrUnknownGateway = errors.New("no door of the list has this name")

// PresentError is returned for a gateway that cannot be forgotten because it is present.
type PresentError struct {
	Name  string
	State membership.State
}

// Error implements error. Operators see the text.
func (e *PresentError) Error() string { return fmt.Sprintf("door %s is %v", e.Name, e.State) }

// Leave gives up this gateway's share and, once all users of the share have applied that, tells the other gateways that
// this one leaves. It returns an error if that takes longer than leaveTimeout.
func (t *Transport) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := t.runOnLoop(ctx, t.node.Leave); err != nil {
		return err
	}
	for hasLeft := false; !hasLeft; {
		if err := t.runOnLoop(ctx, func() { hasLeft = t.node.HasLeft() }); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(cluster.TickInterval):
		}
	}
	return nil
}

// Forget makes this gateway treat one that is not present as gone, until a new process of it is heard of. It returns a
// *PresentError if the gateway is present, and an error that wraps ErrUnknownGateway if it is not in the list.
func (t *Transport) Forget(ctx context.Context, name string) error {
	index := slices.Index(t.names, name)
	if index < 0 {
		return fmt.Errorf("%q: %w", name, ErrUnknownGateway)
	}
	var forgetErr error
	err := t.runOnLoop(ctx, func() {
		if state := t.node.Members()[index].State; state.IsPresent() {
			forgetErr = &PresentError{Name: name, State: state}
			return
		}
		forgetErr = t.node.Forget(t.config.Now(), index)
	})
	if err != nil {
		return err
	}
	return forgetErr
}
