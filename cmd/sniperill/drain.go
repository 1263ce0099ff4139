package main

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/operator"
)

const helpDrain = `Drains a worker: its agent takes no new work, requests in progress finish, jobs
finish or checkpoint, then the agent's process ends. The command returns once the
agent has been asked; follow the progress with "sniperill show workers".`

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:        "drain",
		Usage:       "drain a worker",
		Description: helpDrain,
		ArgsUsage:   "WORKER",
		Flags:       clientFlags(),
		Action:      asOperator(1, runDrain),
	}
}

func runDrain(ctx context.Context, c *cli.Command, client *operator.Client) error {
	worker := c.Args().First()
	if err := client.Drain(ctx, worker); err != nil {
		return trace.Wrap(err)
	}
	if c.Bool("json") {
		return printJSON(c.Writer, struct {
			Worker string `json:"worker"`
			Asked  bool   `json:"asked"`
		}{worker, true})
	}
	_, err := fmt.Fprintf(c.Writer, "%s was asked to leave.\n", worker)
	return trace.Wrap(err)
}
