package main

import (
	"context"
	"errors"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/caller"
)

const helpCancel = `Cancels a job of the caller's team, and prints it. A job that has already ended is
not changed. Exit status: 0 cancelled or already done, 1 already failed or an
error, 2 not run.`

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name:        "cancel",
		Usage:       "cancel a job",
		Description: helpCancel,
		ArgsUsage:   "ID",
		Flags:       clientFlags(),
		Action: asCaller(1, 1, func(ctx context.Context, c *cli.Command, client *caller.Client) error {
			if _, err := client.Cancel(ctx, c.Args().First()); err != nil {
				return trace.Wrap(err)
			}
			status, err := client.Wait(ctx, c.Args().First())
			if err != nil {
				return trace.Wrap(err)
			}
			if err := printJob(c, status); !errors.Is(err, errJobCancelled) {
				return trace.Wrap(err)
			}
			return nil
		}),
	}
}
