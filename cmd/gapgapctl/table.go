package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// table writes rows whose columns are aligned.
type table struct {
	writer *tabwriter.Writer
	// err is the first error of a row.
	err error
}

// newTable returns an empty table that flush writes out.
func newTable(out io.Writer) *table {
	const (
		minWidth = 0
		tabWidth = 4
		padding  = 2
	)
	return &table{writer: tabwriter.NewWriter(out, minWidth, tabWidth, padding, ' ', 0)}
}

// row adds a row. Cells are formatted like the arguments of fmt.Print.
func (t *table) row(cells ...any) {
	for index, cell := range cells {
		if index > 0 {
			t.print("\t")
		}
		t.print(cell)
	}
	t.print("\n")
}

// print writes a value, unless an earlier write has failed.
func (t *table) print(value any) {
	if t.err == nil {
		_, t.err = fmt.Fprint(t.writer, value)
	}
}

// flush writes all buffered rows and returns the first error of any write.
func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.writer.Flush()
}
