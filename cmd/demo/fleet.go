package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Durations of the phases of a fleet run.
const (
	// allRunningDuration is the first phase, in which all gateways run.
	allRunningDuration = 4 * time.Second
	// oneLeftDuration is the phase in which one of them has left the fleet.
	oneLeftDuration = 6 * time.Second
	// restartedDuration is the phase after it was restarted.
	restartedDuration = 4 * time.Second
	// endlessDuration is the last phase, with all gateways running, if the program runs until it is interrupted.
	endlessDuration = 365 * 24 * time.Hour
)

// floodInterval is the pause between a response and the next check at a gateway.
const floodInterval = 20 * time.Millisecond

// fleetFormat is the header of the output. Its arguments are the number of gateways and the control socket of the first
// one.
const fleetFormat = `%d gateways, one account with a ceiling of 10 per second that floods all of them, no counter. ` +
	`To see how each gateway sees the others:

  go run ./cmd/gapgapctl fleet status --socket %s

`

// fleetRun is a run of a fleet of gateways that is flooded by one account.
type fleetRun struct {
	members  []*member
	admitted *admissionCounts
	out      io.Writer
}

// runFleet runs a fleet of gateways. An account floods all of them, and the last one leaves and is restarted. There is
// no counter, so the gateways' quota shares alone limit what is admitted. With once it returns after that, otherwise it
// continues until the context is done.
func runFleet(ctx context.Context, size int, discoveryAddress string, once bool, out io.Writer) error {
	dir, err := os.MkdirTemp("", "demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // best effort: a temporary directory
	members, err := newMembers(dir, size)
	if err != nil {
		return err
	}
	defer stopMembers(members)
	if err := startMembers(members, dir, discoveryAddress); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, fleetFormat, size, members[0].controlSocket()); err != nil {
		return err
	}
	fleet := &fleetRun{
		members:  members,
		admitted: newAdmissionCounts(size),
		out:      out,
	}
	stopFlood := fleet.startFlood(ctx)
	defer stopFlood()
	return fleet.runPhases(ctx, once)
}

// startMembers writes the files of all gateways into a directory and starts them. The caller stops them, also after an
// error.
func startMembers(members []*member, dir, discoveryAddress string) error {
	keyFile := filepath.Join(dir, "key")
	if err := os.WriteFile(keyFile, []byte("a key that is for trying only"), 0o600); err != nil {
		return err
	}
	peers := peerList(members)
	for _, m := range members {
		if err := m.writeFiles(discoveryAddress, keyFile, peers); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// stopMembers stops all gateways in reverse order of their start.
func stopMembers(members []*member) {
	for _, m := range slices.Backward(members) {
		m.stop()
	}
}

// startFlood sends sequential checks of the account to each gateway until the context is done or stop is called. stop
// waits for the running checks to finish.
func (f *fleetRun) startFlood(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for index, m := range f.members {
		running.Go(func() {
			for ctx.Err() == nil {
				if ok, err := check(ctx, m.checkAddress); err == nil && ok {
					f.admitted.add(index)
				}
				time.Sleep(floodInterval)
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// runPhases makes the last gateway leave and return. With once it returns after that, otherwise when the context is
// done, with the context's error.
func (f *fleetRun) runPhases(ctx context.Context, once bool) error {
	last := f.members[len(f.members)-1]
	nothing := func() error { return nil }
	leave := func() error {
		last.stop()
		return nil
	}
	steps := []struct {
		label    string
		begin    func() error
		duration time.Duration
	}{
		{"all gateways", nothing, allRunningDuration},
		{last.name + " has left", leave, oneLeftDuration},
		{last.name + " is restarted", last.start, restartedDuration},
	}
	for _, step := range steps {
		if err := step.begin(); err != nil {
			return err
		}
		if err := f.report(ctx, step.label, step.duration); err != nil {
			return nil // the context is done, which is no error here
		}
	}
	if once {
		return nil
	}
	return f.report(ctx, "all gateways", endlessDuration)
}

// report prints once per second how many checks each gateway has admitted in that second, for the given duration. It
// returns the context's error if the context is done earlier.
func (f *fleetRun) report(ctx context.Context, label string, duration time.Duration) error {
	for range duration / time.Second {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Second):
		}
		counts := f.admitted.take()
		_, _ = fmt.Fprintf(f.out, "%-28s admitted in this second, by gateway: %v\n", label, counts)
	}
	return nil
}

// admissionCounts counts admitted checks by gateway. It is safe for concurrent use.
type admissionCounts struct {
	mu        sync.Mutex
	byGateway []int
}

// newAdmissionCounts returns zero counts for the given number of gateways.
func newAdmissionCounts(gateways int) *admissionCounts {
	return &admissionCounts{byGateway: make([]int, gateways)}
}

// add counts one check admitted by the gateway with the given index.
func (c *admissionCounts) add(gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byGateway[gateway]++
}

// take returns the counts since the previous call and resets them.
func (c *admissionCounts) take() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := slices.Clone(c.byGateway)
	clear(c.byGateway)
	return counts
}
