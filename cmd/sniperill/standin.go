package main

import (
	"context"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/deployment"
	"sniperill.example/sniperill/internal/settings"
)

const helpStandIn = `Runs a stand-in for a service that the system needs, for trials and tests: the
platform's log, a worker that runs tasks under leases, or a backend server that
answers each request with its ID, class and body. A stand-in stores its state in
memory only.`

func standInCommand() *cli.Command {
	return &cli.Command{
		Name:        "stand-in",
		Usage:       "run a stand-in for the log, a worker or a backend server",
		Description: helpStandIn,
		Commands: []*cli.Command{
			standInKindCommand(deployment.StandInLog, "the platform's log"),
			standInKindCommand(deployment.StandInWorker, "a worker of the platform"),
			standInKindCommand(deployment.StandInBackend, "the backend server of an order desk"),
		},
	}
}

func standInKindCommand(kind deployment.StandInKind, service string) *cli.Command {
	return &cli.Command{
		Name:      string(kind),
		Usage:     "stand in for " + service,
		ArgsUsage: "SETTINGS.json",
		Action: func(ctx context.Context, c *cli.Command) error {
			var s settings.StandIn
			if err := readSettings(c, &s); err != nil {
				return trace.Wrap(err)
			}
			stopCtx, _, stop := signals(ctx)
			defer stop()
			return deployment.Runner{Out: os.Stderr}.RunStandIn(stopCtx, kind, s)
		},
	}
}
