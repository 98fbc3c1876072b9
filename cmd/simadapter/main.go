// Command simadapter hosts one balancer.Balancer for each instance on the simulator's wire.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"gapgap/internal/balancer"
	"gapgap/internal/wire"
)

// outputBufferBytes holds the actions of a large batch.
const outputBufferBytes = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	a := &adapter{
		instances: map[string]*balancer.Balancer{},
		out:       bufio.NewWriterSize(out, outputBufferBytes),
	}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.answer(batch); err != nil {
			return err
		}
	}
}

// adapter holds the instances of a simulation.
type adapter struct {
	// instances are by the simulator's names.
	instances map[string]*balancer.Balancer
	out       *bufio.Writer
	// line is the buffer in which actions are written.
	line []byte
}

// answer applies the items of a batch in order and writes the actions, closed by the batch's number.
func (a *adapter) answer(batch *wire.Batch) error {
	items := batch.Items
	for len(items) > 0 {
		applied, err := a.apply(batch, items)
		if err != nil {
			return err
		}
		items = items[applied:]
	}
	if _, err := fmt.Fprintf(a.out, "YIELD %s\n", batch.Seq); err != nil {
		return err
	}
	return a.out.Flush()
}

// apply applies the first item, together with the events of the same instance that follow one, and returns how many it
// has applied.
func (a *adapter) apply(batch *wire.Batch, items []wire.Item) (applied int, err error) {
	first := items[0]
	if first.Start {
		return 1, a.start(first)
	}
	instance := a.instances[first.Door]
	if instance == nil {
		return 0, fmt.Errorf("batch %s: unknown instance %s", batch.Seq, first.Door)
	}
	if first.Stop {
		delete(a.instances, first.Door)
		return 1, nil
	}
	var events []balancer.Event
	for _, item := range items {
		if item.Door != first.Door || item.Event == nil {
			break
		}
		events = append(events, item.Event)
	}
	return len(events), a.write(first.Door, instance.Step(batch.Now, events))
}

// start starts an instance.
func (a *adapter) start(item wire.Item) error {
	instance, err := balancer.New(item.Settings, item.Seed)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", item.Door, err)
	}
	a.instances[item.Door] = instance
	return nil
}

// write writes the actions of an instance.
func (a *adapter) write(name string, actions []balancer.Action) error {
	for _, action := range actions {
		a.line = wire.Append(a.line[:0], name, action)
		if _, err := a.out.Write(a.line); err != nil {
			return err
		}
	}
	return nil
}
