package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/deployment"
	"sniperill.example/sniperill/internal/telemetry"
)

const helpTry = `Runs sample requests and jobs on a deployment in one process: a stand-in for the
platform's log, two entries, six agents with their worker and backend server, and a
sample configuration. All of them communicate over loopback sockets.

It prints each check with its outcome, and exits with status 1 if an outcome is not
the promised one.`

// stopTimeout limits the graceful stop of a local deployment.
const stopTimeout = 20 * time.Second

func tryCommand() *cli.Command {
	return &cli.Command{
		Name:        "try",
		Usage:       "run a small deployment with sample requests and jobs in one process",
		Description: helpTry,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "trace, debug, info, warn or error"},
			&cli.BoolFlag{Name: "traces", Usage: "print the spans of every hop to the standard error"},
		},
		Action: runTry,
	}
}

func runTry(ctx context.Context, c *cli.Command) error {
	logger, err := telemetry.NewLogger(os.Stderr, telemetry.LogText, c.String("log-level"))
	if err != nil {
		return trace.Wrap(err)
	}
	flush, err := startTraces(ctx, c.Bool("traces"))
	if err != nil {
		return trace.Wrap(err)
	}
	report, err := tryLocal(ctx, logger)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := flush(context.WithoutCancel(ctx)); err != nil {
		return trace.Wrap(err)
	}
	return showReport(c, report)
}

// showReport prints a report as a table or as JSON, and returns errReported if an outcome
// is not the expected one.
func showReport(c *cli.Command, report deployment.Report) error {
	printFunc := printReport
	if c.Bool("json") {
		printFunc = func(w io.Writer, r deployment.Report) error { return printJSON(w, r) }
	}
	if err := printFunc(c.Writer, report); err != nil {
		return trace.Wrap(err)
	}
	if !report.OK {
		return errReported
	}
	return nil
}

func startTraces(ctx context.Context, enabled bool) (func(context.Context) error, error) {
	if !enabled {
		return func(context.Context) error { return nil }, nil
	}
	return telemetry.Tracing{Print: true, SampleRatio: 1}.Start(ctx, "sniperill", "try", os.Stderr)
}

func tryLocal(ctx context.Context, logger zerolog.Logger) (deployment.Report, error) {
	local := &deployment.Local{Logger: logger}
	if err := local.Start(ctx); err != nil {
		return deployment.Report{}, err
	}
	report, err := local.Try(ctx)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if stopErr := local.Stop(stopCtx); err == nil {
		err = stopErr
	}
	return report, err
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printReport(w io.Writer, r deployment.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\tASKED\tWHERE\tTOOK\tOUTCOME")
	for _, o := range r.Outcomes {
		mark, outcome := "ok", o.Got
		if !o.OK() {
			mark, outcome = "BROKEN", o.Got+" (promised: "+o.Want+")"
		}
		took := time.Duration(o.Took).Round(time.Millisecond)
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", mark, o.Name, strings.Join(o.Where, " "), took, outcome)
	}
	if err := t.Flush(); err != nil {
		return trace.Wrap(err)
	}
	if r.OK {
		_, err := fmt.Fprintln(w, "\nEvery outcome is the promised one.")
		return trace.Wrap(err)
	}
	_, err := fmt.Fprintln(w, "\nA promise was not kept.")
	return trace.Wrap(err)
}
