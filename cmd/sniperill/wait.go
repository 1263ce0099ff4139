package main

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/caller"
)

const helpWait = `Waits until a job of the caller's team has ended, and prints it. It keeps waiting
while an entry shuts down or is unreachable. Exit status: 0 done, 1 failed,
cancelled or an error, 2 not run.`

func waitCommand() *cli.Command {
	return &cli.Command{
		Name:        "wait",
		Usage:       "wait for the end of a job",
		Description: helpWait,
		ArgsUsage:   "ID",
		Flags:       clientFlags(&cli.DurationFlag{Name: "timeout", Usage: "how long to wait (default: as long as it takes)"}),
		Action: asCaller(1, 1, func(ctx context.Context, c *cli.Command, client *caller.Client) error {
			if timeout := c.Duration("timeout"); timeout > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, timeout)
				defer cancel()
			}
			status, err := client.Wait(ctx, c.Args().First())
			if err != nil {
				return trace.Wrap(err)
			}
			return printJob(c, status)
		}),
	}
}
