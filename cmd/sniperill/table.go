package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// table prints aligned columns.
type table struct{ *tabwriter.Writer }

func newTable(w io.Writer, headers ...any) table {
	t := table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	if len(headers) > 0 {
		t.row(headers...)
	}
	return t
}

func (t table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t, "\t")
		}
		fmt.Fprint(t, cell)
	}
	fmt.Fprintln(t)
}

func (t table) flush() error { return t.Flush() }
