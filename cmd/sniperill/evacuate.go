package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/operator"
)

const helpEvacuate = `Empties an availability zone: no job and no request starts there any more, and what
runs there runs on. Guarantees move to the other zones, or "sniperill show
guarantees" says why they don't fit. ZONE is a zone's name, or REGION/ZONE if
several regions have one of that name. With --end the zone is taken back.

    sniperill evacuate north-1
    sniperill show workers --where health=evacuated --by zone
    sniperill evacuate --end north-1`

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name:        "evacuate",
		Usage:       "empty a zone, or take it back",
		Description: helpEvacuate,
		ArgsUsage:   "ZONE",
		Flags:       clientFlags(baseFlag(), &cli.BoolFlag{Name: "end", Usage: "take the zone back"}),
		Action:      asOperator(1, runEvacuate),
	}
}

func runEvacuate(ctx context.Context, c *cli.Command, client *operator.Client) error {
	o := operator.Object{Kind: "evacuation", Name: c.Args().First()}
	if !c.Bool("end") {
		o.JSON = []byte("{}")
	}
	return changeObject(ctx, c, client, o)
}
