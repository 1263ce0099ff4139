package main

import (
	"context"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/inspection"
	"sniperill.example/sniperill/pkg/operator"
	"sniperill.example/sniperill/pkg/shop"
)

const helpDiff = `Prints the fields in which a configuration folder differs from the configuration in
force, with both values and what the change does. It changes nothing.

It also warns of entries that can never match and of limits that contradict each
other, on the workers that the entry knows.

Exits with status 1 when there is a mistake or a warning, and with status 2 when the
entry does not answer.`

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "compare a folder with the configuration in force",
		Description: helpDiff,
		ArgsUsage:   "FOLDER",
		Flags:       clientFlags(),
		Action:      asOperator(1, runDiff),
	}
}

// diffResult is the result of "diff" as JSON; Version is that of the configuration in force.
type diffResult struct {
	Version uint64              `json:"version"`
	Changes []inspection.Change `json:"changes"`
	// Warnings are about the folder, on the workers that the entry knows.
	Warnings shop.FindingList `json:"warnings,omitempty"`
}

func runDiff(ctx context.Context, c *cli.Command, client *operator.Client) error {
	folder, err := shop.ReadFolder(os.DirFS(c.Args().First()))
	if err != nil {
		return trace.Wrap(err)
	}
	current, err := currentConfig(ctx, client)
	if err != nil {
		return trace.Wrap(notChecked(err))
	}
	workers, err := listWorkers(ctx, client)
	if err != nil {
		return trace.Wrap(notChecked(err))
	}
	folder.Config.EvacuatedZones = current.EvacuatedZones // An apply keeps them.
	result := diffResult{
		Version: current.Version, Changes: inspection.Changes(current.Config, folder.Config),
		Warnings: inspection.Config(folder.Config, workers).WithFiles(folder.Sources),
	}
	if c.Bool("json") {
		err = printJSON(c.Writer, result)
	} else if err = printEffects(c, result.Changes); err == nil {
		err = printWarnings(c, result.Warnings)
	}
	if err == nil && len(result.Warnings) > 0 {
		return errReported
	}
	return trace.Wrap(err)
}

func printEffects(c *cli.Command, changes []inspection.Change) error {
	if len(changes) == 0 {
		return printChanges(c, nil)
	}
	t := newTable(c.Writer, "FIELD", "BEFORE", "AFTER", "EFFECT")
	for _, change := range changes {
		t.row(change.Field, orDash(change.Before), orDash(change.After), change.Effect)
	}
	return t.flush()
}
