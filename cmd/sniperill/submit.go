package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/caller"
	"sniperill.example/sniperill/pkg/shop"
)

const helpSubmit = `Submits a job of a class, and prints its id once it is accepted. A job that is
submitted again under the same --id is the same job.

    sniperill submit mockup --wait
    sniperill submit large-render --id monday \
      --shape '{"tasks": 2, "accelerators": 8, "adjacency": "rack"}' --run-time 90m

The shape is that of the class unless --shape gives another, in the form of the
configuration files. Exit status: 0 accepted (with --wait: done), 1 an error,
2 refused or not run, 3 may have been accepted: check with "sniperill wait ID".`

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:        "submit",
		Usage:       "submit a job",
		Description: helpSubmit,
		ArgsUsage:   "CLASS",
		Flags: clientFlags(
			&cli.StringFlag{Name: "shape", Usage: "shape of the job as `JSON`"},
			&cli.DurationFlag{Name: "run-time", Usage: "declared run time (default: the class's)"},
			&cli.StringFlag{Name: "id", Usage: "id of the job within the team (default: a new one)"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the job has ended"},
		),
		Action: asCaller(1, 1, runSubmit),
	}
}

// submitResult is the result of "submit" as JSON.
type submitResult struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
}

func runSubmit(ctx context.Context, c *cli.Command, client *caller.Client) error {
	s := caller.Submission{ID: c.String("id"), Class: c.Args().First(), RunTime: c.Duration("run-time")}
	if text := c.String("shape"); text != "" {
		s.Shape = &shop.Shape{}
		if err := shop.DecodeStrict([]byte(text), s.Shape); err != nil {
			return fmt.Errorf("submit: --shape: %w: %w", shop.ErrInvalid, err)
		}
	}
	id, err := client.Submit(ctx, s)
	if err == nil && c.Bool("wait") {
		status, err := client.Wait(ctx, id)
		if err != nil {
			return trace.Wrap(err)
		}
		return printJob(c, status)
	}
	if !c.Bool("json") {
		if err == nil {
			_, err = fmt.Fprintln(c.Writer, id)
		}
		return trace.Wrap(err)
	}
	out := submitResult{ID: id, Outcome: "accepted"}
	if err != nil {
		out.Outcome, out.Reason = outcomeOf(err), err.Error()
	}
	return errors.Join(err, printJSON(c.Writer, out))
}

// outcomeOf returns the outcome of a request or job that returned the given error.
func outcomeOf(err error) string {
	switch exitStatus(err) {
	case exitMayHaveRun:
		return string(shop.OutcomeMayHaveRun)
	case exitNotRun:
		return string(shop.OutcomeNotRun)
	default:
		return "error"
	}
}
