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

// Durations of the steps of a fleet's run.
const (
	// allRunningDuration is how long all gateways run at first.
	allRunningDuration = 4 * time.Second
	// oneLeftDuration is how long one of them is away.
	oneLeftDuration = 6 * time.Second
	// restartedDuration is how long all of them run again.
	restartedDuration = 4 * time.Second
	// endlessDuration is how long they go on after that, unless the run ends with the last step.
	endlessDuration = 365 * 24 * time.Hour
)

// floodInterval is the pause between an answer and the next check at a gateway.
const floodInterval = 20 * time.Millisecond

// fleetFormat introduces the output. Its arguments are the number of gateways and the control socket of the first.
const fleetFormat = `%d doors, an account with a ceiling of 10 a second that floods all of them, no counter. ` +
	`How each door sees the others:

  go run ./cmd/gapgapctl fleet status --socket %s

`

// fleetRun is a fleet of gateways that one account floods.
type fleetRun struct {
	members  []*member
	admitted *admissionCounts
	out      io.Writer
}

// runFleet runs several gateways that know each other: an account floods all of them, the last one leaves and is
// started again. There is no counter, so that what is served goes by the gateways' quota shares. With once it ends
// then, else it goes on until the context ends.
func runFleet(ctx context.Context, size int, discoveryAddress string, once bool, out io.Writer) error {
	dir, err := os.MkdirTemp("", "demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
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
	return fleet.play(ctx, once)
}

// startMembers writes the files of all gateways into a folder and starts them. The caller stops them, also those
// started before an error.
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

// stopMembers stops all gateways, the one that was started last first.
func stopMembers(members []*member) {
	for _, m := range slices.Backward(members) {
		m.stop()
	}
}

// startFlood has the account make checks at each gateway, one after the other, until the context ends or the function
// that it returns is called. That function waits for the checks to end.
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

// play has the last gateway leave and come back. With once it returns then, else when the context ends, with its error.
func (f *fleetRun) play(ctx context.Context, once bool) error {
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
		{"all doors", nothing, allRunningDuration},
		{last.name + " has left", leave, oneLeftDuration},
		{last.name + " is started again", last.start, restartedDuration},
	}
	for _, step := range steps {
		if err := step.begin(); err != nil {
			return err
		}
		if err := f.report(ctx, step.label, step.duration); err != nil {
			return nil // it was ended
		}
	}
	if once {
		return nil
	}
	return f.report(ctx, "all doors", endlessDuration)
}

// report prints for a while, once a second, how many checks each gateway has admitted in that second. It returns the
// context's error if that ends first.
func (f *fleetRun) report(ctx context.Context, label string, duration time.Duration) error {
	for range duration / time.Second {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Second):
		}
		counts := f.admitted.take()
		_, _ = fmt.Fprintf(f.out, "%-28s let through in this second, by door: %v\n", label, counts)
	}
	return nil
}

// admissionCounts counts admitted checks by gateway. It may be used by several goroutines.
type admissionCounts struct {
	mu        sync.Mutex
	byGateway []int
}

// newAdmissionCounts returns counts of 0 for a number of gateways.
func newAdmissionCounts(gateways int) *admissionCounts {
	return &admissionCounts{byGateway: make([]int, gateways)}
}

// add counts one check that a gateway, by its index, has admitted.
func (c *admissionCounts) add(gateway int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byGateway[gateway]++
}

// take returns the counts since it was called last.
func (c *admissionCounts) take() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := slices.Clone(c.byGateway)
	clear(c.byGateway)
	return counts
}
