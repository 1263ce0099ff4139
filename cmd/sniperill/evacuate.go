package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/operator"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

const helpEvacuate = `Empties an availability zone: no job and no request starts there any more, and what
runs there runs on. Guarantees move to the other zones, or "sniperill show
guarantees" says why they don't fit. ZONE is a zone's name, or REGION/ZONE if
several regions have one of that name. A zone that no known worker is in is refused,
as its name may be misspelt, unless --force is given. With --end the zone is taken
back.

    sniperill evacuate north-1
    sniperill show evacuations
    sniperill evacuate --end north-1`

// errEmptyZone is returned for a zone that no known worker is in.
var errEmptyZone = errors.New("no known worker is in the zone; if its name is right, use --force")

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name:        "evacuate",
		Usage:       "empty a zone, or take it back",
		Description: helpEvacuate,
		ArgsUsage:   "ZONE",
		Flags: clientFlags(
			baseFlag(),
			&cli.BoolFlag{Name: "end", Usage: "take the zone back"},
			&cli.BoolFlag{Name: "force", Usage: "evacuate the zone also if no known worker is in it"},
		),
		Action: asOperator(1, runEvacuate),
	}
}

func runEvacuate(ctx context.Context, c *cli.Command, client *operator.Client) error {
	o := operator.Object{Kind: "evacuation", Name: c.Args().First()}
	if c.Bool("end") {
		return changeObject(ctx, c, client, o)
	}
	if !c.Bool("force") {
		workers, err := client.Workers(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		if newEvacuationRow(o.Name, workers).Workers == 0 {
			return fmt.Errorf("evacuate %q: %w", o.Name, errEmptyZone)
		}
	}
	o.JSON = []byte("{}")
	return changeObject(ctx, c, client, o)
}

// evacuationRow is one row of "show evacuations": what is left in a zone.
type evacuationRow struct {
	Zone    string `json:"zone"`
	Workers int    `json:"workers"`
	Used    int    `json:"used-accelerators"`
	Tasks   int    `json:"tasks"`
}

var evacuationColumns = []column[evacuationRow]{
	{name: "zone", value: func(r evacuationRow) any { return r.Zone }},
	{name: "workers", value: func(r evacuationRow) any { return int64(r.Workers) }, sum: true},
	{name: "used", value: func(r evacuationRow) any { return int64(r.Used) }, sum: true},
	{name: "tasks", value: func(r evacuationRow) any { return int64(r.Tasks) }, sum: true},
}

func newEvacuationRow(zone string, workers []*sniperillv1.WorkerStatus) evacuationRow {
	out := evacuationRow{Zone: zone}
	for _, w := range workers {
		r := newWorkerRow(w)
		if !(shop.Place{Region: r.Region, Zone: r.Zone}).InZone(zone) {
			continue
		}
		out.Workers++
		out.Used += r.Used
		out.Tasks += r.Tasks
	}
	return out
}

func showEvacuations(ctx context.Context, c *cli.Command, client *operator.Client) error {
	config, err := currentConfig(ctx, client)
	if err != nil {
		return trace.Wrap(err)
	}
	workers, err := client.Workers(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	rows := make([]evacuationRow, 0, len(config.EvacuatedZones))
	for _, zone := range config.EvacuatedZones {
		rows = append(rows, newEvacuationRow(zone, workers))
	}
	return list[evacuationRow]{"evacuations", evacuationColumns, rows}.print(c)
}
