package main

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"
)

func TestListWorkers(t *testing.T) {
	rows := []workerRow{
		{Name: "w-1", Health: "alive", Region: "north", Zone: "z1", Rack: "r1", Accelerators: 8, Used: 8, Tasks: 2},
		{Name: "w-2", Health: "dead", Region: "north", Zone: "z1", Rack: "r2", Accelerators: 8},
		{Name: "w-3", Health: "alive", Region: "north", Zone: "z2", Rack: "r1", Accelerators: 16, Used: 4, Tasks: 1},
		{Name: "w-4", Health: "alive", Region: "south", Zone: "z2", Rack: "r1", Accelerators: 16, Used: 12, Tasks: 3},
	}
	tests := []struct {
		args    string
		want    []string // The first two cells of each row, joined by a space.
		omitted string   // Printed on the error stream.
		err     error
	}{
		{"", []string{"w-1 alive", "w-2 dead", "w-3 alive", "w-4 alive"}, "", nil},
		{"--where health=alive --where zone=z2", []string{"w-3 alive", "w-4 alive"}, "", nil},
		{"--sort -used", []string{"w-4 alive", "w-1 alive", "w-3 alive", "w-2 dead"}, "", nil},
		{"--sort accelerators --limit 3", []string{"w-1 alive", "w-2 dead", "w-3 alive"}, "3 of 4 rows, from row 1 on; --page selects others.\n", nil},
		{"--limit 3 --page 2", []string{"w-4 alive"}, "1 of 4 rows, from row 4 on; --page selects others.\n", nil},
		{"--limit 3 --page 9", nil, "0 of 4 rows, from row 5 on; --page selects others.\n", nil},
		{"--by zone", []string{"z1 2", "z2 2"}, "", nil},
		{"--by region --by zone", []string{"north z1", "north z2", "south z2"}, "", nil},
		{"--by zone --sort -used", []string{"z2 2", "z1 2"}, "", nil},
		{"--by health --where zone=z9", nil, "", nil},
		{"--by colour", nil, "", errNoColumn},
		{"--where colour=red", nil, "", errNoColumn},
		{"--sort colour", nil, "", errNoColumn},
		{"--page 0", nil, "", errNoPage},
		{"--limit -1", nil, "", errNoPage},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			var out, omitted bytes.Buffer
			c := &cli.Command{
				Name: "workers", Flags: listFlags(), Writer: &out, ErrWriter: &omitted,
				Action: func(_ context.Context, c *cli.Command) error {
					return list[workerRow]{"workers", workerColumns, rows}.print(c)
				},
			}
			if err := c.Run(t.Context(), append([]string{"workers"}, strings.Fields(tt.args)...)); !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			var got []string
			for i, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
				if cells := strings.Fields(line); i > 0 {
					got = append(got, cells[0]+" "+cells[1])
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("rows (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.omitted, omitted.String()); diff != "" {
				t.Errorf("omitted (-want +got):\n%s", diff)
			}
		})
	}
}

func TestGroupSums(t *testing.T) {
	l := list[workerRow]{"workers", workerColumns, []workerRow{
		{Name: "w-1", Zone: "z1", Accelerators: 8, Used: 3, Tasks: 2, Version: 4},
		{Name: "w-2", Zone: "z1", Accelerators: 16, Used: 5, Tasks: 1, Version: 5},
	}}
	groups, err := l.groups([]string{"zone"})
	if err != nil {
		t.Fatal(err)
	}
	want := []group{{
		Values: map[string]any{"zone": "z1"}, Count: 2,
		Sums: map[string]int64{"accelerators": 24, "used": 8, "tasks": 3},
	}}
	if diff := cmp.Diff(want, groups.rows); diff != "" {
		t.Errorf("groups (-want +got):\n%s", diff)
	}
}
