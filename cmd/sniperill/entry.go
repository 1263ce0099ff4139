package main

import (
	"context"
	"errors"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/deployment"
	"sniperill.example/sniperill/internal/settings"
)

const helpEntry = `Runs an entry: the process on an entry VM that callers and operators connect to. It
accepts requests and jobs, plans, routes and answers, and stores nothing.

The first SIGINT or SIGTERM shuts it down gracefully: it is no longer ready for the
balancer and finishes the requests in progress within "shutdown-timeout". The second
signal, or the timeout, stops it at once; it then names every unfinished request.`

var errNoSettingsFile = errors.New("requires the name of exactly one settings file")

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run an entry from its settings",
		Description: helpEntry,
		ArgsUsage:   "SETTINGS.json",
		Action: func(ctx context.Context, c *cli.Command) error {
			var s settings.Entry
			if err := readSettings(c, &s); err != nil {
				return trace.Wrap(err)
			}
			stopCtx, hardStopCtx, stop := signals(ctx)
			defer stop()
			return deployment.Runner{Out: os.Stderr}.RunEntry(stopCtx, hardStopCtx, s)
		},
	}
}

// readSettings reads the settings file that is the only argument of the command.
func readSettings(c *cli.Command, target any) error {
	if c.Args().Len() != 1 {
		return errNoSettingsFile
	}
	return settings.Read(c.Args().First(), target)
}
