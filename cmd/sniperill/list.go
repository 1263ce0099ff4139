package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// column is a column of a list.
type column[T any] struct {
	name  string
	value func(T) any // A string, or an int64.
	sum   bool        // Groups show the sum of its values.
}

// list is what a command lists, by columns by which it can be filtered, grouped and sorted.
type list[T any] struct {
	name    string // Of the rows in JSON.
	columns []column[T]
	rows    []T
}

// group is the rows that have the same values in some columns.
type group struct {
	Values map[string]any   `json:"values"`
	Count  int              `json:"count"`
	Sums   map[string]int64 `json:"sums"`
}

// Errors in the flags of a command that lists.
var (
	errNoColumn = errors.New("no such column")
	errNoPage   = errors.New("must be a page from 1 on and a limit from 0 on")
)

// listFlags returns the flags that all commands that list have, followed by more.
func listFlags(more ...cli.Flag) []cli.Flag {
	return clientFlags(append([]cli.Flag{
		&cli.StringSliceFlag{Name: "where", Usage: "only rows with `COLUMN=VALUE`; can be repeated"},
		&cli.StringSliceFlag{Name: "by", Usage: "sums by `COLUMN`; can be repeated"},
		&cli.StringFlag{Name: "sort", Usage: "sort by `COLUMN`, or by -COLUMN from the highest"},
		&cli.IntFlag{Name: "limit", Usage: "print at most `N` rows of the table; 0 prints all"},
		&cli.IntFlag{Name: "page", Usage: "print the page `N` of that many rows", Value: 1},
	}, more...)...)
}

// print prints the list as the flags say. JSON has all pages.
func (l list[T]) print(c *cli.Command) error {
	if c.Int("page") < 1 || c.Int("limit") < 0 || c.Int("page") > math.MaxInt32 || c.Int("limit") > math.MaxInt32 {
		return fmt.Errorf("--page %d --limit %d: %w", c.Int("page"), c.Int("limit"), errNoPage)
	}
	l, err := l.where(c.StringSlice("where"))
	if err != nil {
		return err
	}
	if by := c.StringSlice("by"); len(by) > 0 {
		groups, err := l.groups(by)
		if err != nil {
			return err
		}
		return groups.sortAndPrint(c)
	}
	return l.sortAndPrint(c)
}

func (l list[T]) sortAndPrint(c *cli.Command) error {
	l, err := l.sorted(c.String("sort"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Writer, map[string][]T{l.name: l.rows})
	}
	return l.printPage(c)
}

// where returns the rows that have all of the values that are given as COLUMN=VALUE.
func (l list[T]) where(conditions []string) (list[T], error) {
	out := l
	for _, s := range conditions {
		name, want, _ := strings.Cut(s, "=")
		col, err := l.column(name)
		if err != nil {
			return out, err
		}
		out.rows = slices.DeleteFunc(slices.Clone(out.rows), func(r T) bool { return fmt.Sprint(col.value(r)) != want })
	}
	return out, nil
}

// groups returns the sums of the rows by the values of some columns, in the order of these values.
func (l list[T]) groups(by []string) (list[group], error) {
	out := list[group]{name: "groups", rows: []group{}}
	byKey := make(map[string]int) // The index of each group.
	keys := make([]column[T], 0, len(by))
	for _, name := range by {
		col, err := l.column(name)
		if err != nil {
			return out, err
		}
		keys = append(keys, col)
		out.columns = append(out.columns, column[group]{name: name, value: func(g group) any { return g.Values[name] }})
	}
	out.columns = append(out.columns, column[group]{name: "count", value: func(g group) any { return int64(g.Count) }})
	for _, col := range l.columns {
		if col.sum {
			out.columns = append(out.columns, column[group]{name: col.name, value: func(g group) any { return g.Sums[col.name] }})
		}
	}
	for _, r := range l.rows {
		values := make(map[string]any, len(keys))
		key := ""
		for _, col := range keys {
			values[col.name] = col.value(r)
			key += fmt.Sprintf("%q ", fmt.Sprint(values[col.name]))
		}
		i, ok := byKey[key]
		if !ok {
			i = len(out.rows)
			byKey[key] = i
			out.rows = append(out.rows, group{Values: values, Sums: make(map[string]int64)})
		}
		g := &out.rows[i]
		g.Count++
		for _, col := range l.columns {
			if n, ok := col.value(r).(int64); ok && col.sum {
				g.Sums[col.name] += n
			}
		}
	}
	slices.SortFunc(out.rows, func(a, b group) int {
		for _, name := range by {
			if order := compareValues(a.Values[name], b.Values[name]); order != 0 {
				return order
			}
		}
		return 0
	})
	return out, nil
}

// sorted returns the rows sorted by a column; a name that starts with a dash reverses the order.
func (l list[T]) sorted(name string) (list[T], error) {
	if name == "" {
		return l, nil
	}
	name, descending := strings.CutPrefix(name, "-")
	col, err := l.column(name)
	if err != nil {
		return l, err
	}
	l.rows = slices.Clone(l.rows)
	slices.SortStableFunc(l.rows, func(a, b T) int {
		if descending {
			a, b = b, a
		}
		return compareValues(col.value(a), col.value(b))
	})
	return l, nil
}

func compareValues(a, b any) int {
	n, ok1 := a.(int64)
	m, ok2 := b.(int64)
	if ok1 && ok2 {
		return cmp.Compare(n, m)
	}
	return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
}

func (l list[T]) column(name string) (column[T], error) {
	names := make([]string, 0, len(l.columns))
	for _, col := range l.columns {
		if col.name == name {
			return col, nil
		}
		names = append(names, col.name)
	}
	return column[T]{}, fmt.Errorf("%w: %q; there are %s", errNoColumn, name, strings.Join(names, ", "))
}

// printPage prints the page of the table that the flags select, and on the error stream what it leaves out.
func (l list[T]) printPage(c *cli.Command) error {
	total, first := len(l.rows), 0
	if limit := c.Int("limit"); limit > 0 {
		first = min((c.Int("page")-1)*limit, total)
		l.rows = l.rows[first:min(first+limit, total)]
	}
	if err := l.printTable(c.Writer); err != nil || len(l.rows) == total {
		return err
	}
	_, err := fmt.Fprintf(c.Root().ErrWriter, "%d of %d rows, from row %d on; --page selects others.\n", len(l.rows), total, first+1)
	return trace.Wrap(err)
}

// printTable prints all rows.
func (l list[T]) printTable(w io.Writer) error {
	headers := make([]any, 0, len(l.columns))
	for _, col := range l.columns {
		headers = append(headers, strings.ToUpper(col.name))
	}
	t := newTable(w, headers...)
	for _, r := range l.rows {
		cells := make([]any, 0, len(l.columns))
		for _, col := range l.columns {
			cells = append(cells, orDash(fmt.Sprint(col.value(r))))
		}
		t.row(cells...)
	}
	return trace.Wrap(t.flush())
}
