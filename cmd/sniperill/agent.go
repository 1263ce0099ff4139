package main

import (
	"context"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/deployment"
	"sniperill.example/sniperill/internal/settings"
)

const helpAgent = `Runs an agent: the process beside a backend server that allocates the accelerators
of its worker and the slots of its backend server. No other process allocates them.

The first SIGINT or SIGTERM, or "sniperill drain", shuts it down gracefully: it
takes no new work, requests in progress finish, jobs finish or checkpoint, and
answers are kept for their callers, within "shutdown-timeout". The second signal,
or the timeout, stops it at once; it then names the unfinished work.`

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:        "agent",
		Usage:       "run an agent from its settings",
		Description: helpAgent,
		ArgsUsage:   "SETTINGS.json",
		Action: func(ctx context.Context, c *cli.Command) error {
			var s settings.Agent
			if err := readSettings(c, &s); err != nil {
				return trace.Wrap(err)
			}
			stopCtx, hardStopCtx, stop := signals(ctx)
			defer stop()
			return deployment.Runner{Out: os.Stderr}.RunAgent(stopCtx, hardStopCtx, s)
		},
	}
}
