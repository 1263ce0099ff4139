package main

import (
	"context"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/operator"
	"sniperill.example/sniperill/pkg/shop"
)

const helpDiff = `Prints the fields in which a configuration folder differs from the configuration in
force, with both values. It changes nothing.`

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
	Version uint64          `json:"version"`
	Changes shop.ChangeList `json:"changes"`
}

func runDiff(ctx context.Context, c *cli.Command, client *operator.Client) error {
	folder, err := shop.ReadFolder(os.DirFS(c.Args().First()))
	if err != nil {
		return trace.Wrap(err)
	}
	current, err := currentConfig(ctx, client)
	if err != nil {
		return trace.Wrap(err)
	}
	folder.Config.EvacuatedZones = current.EvacuatedZones // An apply keeps them.
	changes := shop.Diff(current.Config, folder.Config)
	if c.Bool("json") {
		return printJSON(c.Writer, diffResult{current.Version, append(shop.ChangeList{}, changes...)})
	}
	return printChanges(c, changes)
}
