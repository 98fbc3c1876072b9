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

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), bufio.NewWriterSize(out, 1<<20)
	doors := map[string]*balancer.Balancer{}
	var line []byte
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := 0; i < len(b.Items); {
			it := b.Items[i]
			switch {
			case it.Start:
				d, err := balancer.New(it.Settings, it.Seed)
				if err != nil {
					return fmt.Errorf("settings of %s: %w", it.Door, err)
				}
				doors[it.Door] = d
				i++
				continue
			case doors[it.Door] == nil:
				return fmt.Errorf("batch %s: unknown instance %s", b.Seq, it.Door)
			case it.Stop:
				delete(doors, it.Door)
				i++
				continue
			}
			var events []balancer.Event
			for ; i < len(b.Items) && b.Items[i].Door == it.Door && b.Items[i].Event != nil; i++ {
				events = append(events, b.Items[i].Event)
			}
			for _, a := range doors[it.Door].Step(b.Now, events) {
				line = wire.Append(line[:0], it.Door, a)
				w.Write(line)
			}
		}
		fmt.Fprintf(w, "YIELD %s\n", b.Seq)
		if err := w.Flush(); err != nil {
			return err
		}
	}
}
