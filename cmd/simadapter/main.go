// Command simadapter connects the decision module to an external simulator. It reads batches of the simulator's wire
// protocol on standard input, passes them to one [balancer.Balancer] per instance, and writes the actions to standard
// output.
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

// outputBufferBytes is the size of the output buffer, large enough for the actions of a large batch.
const outputBufferBytes = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the end of the input.
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

// adapter holds the decision module instances of a simulation.
type adapter struct {
	// instances are the instances by the simulator's names.
	instances map[string]*balancer.Balancer
	out       *bufio.Writer
	// line is a reusable buffer for encoding actions.
	line []byte
}

// answer applies the items of a batch in order and writes the resulting actions, followed by a YIELD line with the
// sequence number of the batch.
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

// apply applies the first item and returns the number of applied items. If the first item is an event, the directly
// following events of the same instance are applied in the same step.
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

// start creates an instance, which replaces an earlier one of the same name.
func (a *adapter) start(item wire.Item) error {
	instance, err := balancer.New(item.Settings, item.Seed)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", item.Door, err)
	}
	a.instances[item.Door] = instance
	return nil
}

// write encodes and writes the actions of an instance.
func (a *adapter) write(name string, actions []balancer.Action) error {
	for _, action := range actions {
		a.line = wire.Append(a.line[:0], name, action)
		if _, err := a.out.Write(a.line); err != nil {
			return err
		}
	}
	return nil
}
