package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/inspection"
	"sniperill.example/sniperill/pkg/operator"
	"sniperill.example/sniperill/pkg/shop"
)

const helpApply = `Publishes a configuration folder, and prints what changes and the new version. The
change is based on a version, by default the one in force: if another change was
accepted since that version, yours is refused and the author of the other is named.

With --dry-run it only checks the configuration, including whether all guarantees
fit on the hardware together. Warnings, of entries that can never match and of limits
that contradict each other, don't keep it from being applied.`

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "publish a configuration folder",
		Description: helpApply,
		ArgsUsage:   "FOLDER",
		Flags: clientFlags(
			&cli.BoolFlag{Name: "dry-run", Usage: "check only"},
			baseFlag(),
		),
		Action: asOperator(1, runApply),
	}
}

func baseFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the change is based on (default: the one in force)"}
}

// applyResult is the result of "apply" or "change" as JSON.
type applyResult struct {
	Applied bool             `json:"applied"`
	DryRun  bool             `json:"dry-run"`
	Base    uint64           `json:"base"`
	Version uint64           `json:"version"`
	Changes shop.ChangeList  `json:"changes"`
	Problem shop.ProblemList `json:"problems,omitempty"`
	// Warnings are about a configuration that can be applied, on the workers that the entry knows.
	Warnings shop.FindingList `json:"warnings,omitempty"`
	// Winner is the author of the conflicting change that was accepted earlier.
	Winner string `json:"winner,omitempty"`
}

func runApply(ctx context.Context, c *cli.Command, client *operator.Client) error {
	folder, err := shop.ReadFolder(os.DirFS(c.Args().First()))
	if err != nil {
		return trace.Wrap(err)
	}
	current, err := currentConfig(ctx, client)
	if err != nil {
		return trace.Wrap(err)
	}
	folder.Config.EvacuatedZones = current.EvacuatedZones // An apply keeps them.
	out := applyResult{Base: current.Version, DryRun: c.Bool("dry-run"), Changes: shop.Diff(current.Config, folder.Config)}
	if c.IsSet("base") {
		out.Base = c.Uint64("base")
	}
	out.Version, err = client.Apply(ctx, folder.Config, out.Base, "", out.DryRun)
	if err == nil {
		workers, _ := listWorkers(ctx, client) // Without them, less is checked.
		out.Warnings = inspection.Config(folder.Config, workers).WithFiles(folder.Sources)
	}
	return printApplyResult(c, out, addFileNames(err, folder.Sources))
}

// addFileNames adds the file name to each problem that the entry found.
func addFileNames(err error, sources shop.SourceList) error {
	var problems shop.ProblemList
	if !errors.As(err, &problems) {
		return trace.Wrap(err)
	}
	named := make(shop.ProblemList, 0, len(problems))
	for _, p := range problems {
		if p.File == "" {
			p.File = sources.Find(p.Field)
		}
		named = append(named, p)
	}
	return named
}

// printApplyResult prints the result of a change: accepted, conflicting with an earlier
// one, or invalid.
func printApplyResult(c *cli.Command, out applyResult, err error) error {
	var conflict *operator.ConflictError
	switch {
	case errors.As(err, &conflict):
		out.Winner, out.Version = conflict.Author, conflict.Version
	case errors.As(err, &out.Problem):
	case err != nil:
		return trace.Wrap(err)
	}
	out.Applied = err == nil && !out.DryRun
	out.Changes = append(shop.ChangeList{}, out.Changes...) // To encode an empty list as [], not null.
	if c.Bool("json") {
		if printErr := printJSON(c.Writer, out); printErr != nil {
			return printErr
		}
		return asReported(err)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if err := printChanges(c, out.Changes); err != nil {
		return trace.Wrap(err)
	}
	if err := printWarnings(c, out.Warnings); err != nil {
		return trace.Wrap(err)
	}
	if out.DryRun {
		_, err = fmt.Fprintf(c.Writer, "Can be applied to version %d.\n", out.Base)
	} else {
		_, err = fmt.Fprintf(c.Writer, "Version %d is accepted.\n", out.Version)
	}
	return trace.Wrap(err)
}

// asReported replaces an error that has been printed by errReported, which isn't printed
// again.
func asReported(err error) error {
	if err != nil {
		return errReported
	}
	return nil
}

func printChanges(c *cli.Command, l shop.ChangeList) error {
	if len(l) == 0 {
		_, err := fmt.Fprintln(c.Writer, "Nothing differs.")
		return trace.Wrap(err)
	}
	t := newTable(c.Writer, "FIELD", "BEFORE", "AFTER")
	for _, change := range l {
		t.row(change.Field, orDash(change.Before), orDash(change.After))
	}
	return t.flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
