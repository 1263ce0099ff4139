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

const helpEntry = `Runs an entry: the process on an entry VM that callers and operators reach. It
takes requests and jobs, plans, routes and answers, and keeps nothing.

The first SIGINT or SIGTERM makes it leave: it is no longer ready at the balancer
and finishes the requests in progress within "shutdown-timeout". The second, or
the timeout, ends it, and names every request that is not finished.`

// errNoSettingsFile says that a command was not told which settings to read.
var errNoSettingsFile = errors.New("needs the name of one settings file")

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
			first, second, stop := signals(ctx)
			defer stop()
			return deployment.Runner{Out: os.Stderr}.RunEntry(first, second, s)
		},
	}
}

// readSettings reads the file that the command names.
func readSettings(c *cli.Command, into any) error {
	if c.Args().Len() != 1 {
		return errNoSettingsFile
	}
	return settings.Read(c.Args().First(), into)
}
