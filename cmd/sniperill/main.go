// Command sniperill schedules multi-accelerator jobs under team guarantees.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/pkg/shop"
)

const helpMain = `sniperill schedules multi-accelerator jobs under team guarantees.

Start with "sniperill try", which runs a small deployment in one process, submits
requests and jobs of both order desks, and prints the outcome of each.

The exit status distinguishes outcomes: 0 done, 1 an error, 2 not run (it did not
run and never will; what "check" was to read could not be read), 3 may have run (it is unknown whether it ran).`

// Exit statuses.
const (
	exitDone       = 0
	exitError      = 1
	exitNotRun     = 2
	exitMayHaveRun = 3
)

// errReported makes the program exit with status 1 without an error message, since the
// command has already printed what failed.
var errReported = errors.New("failure already reported")

func main() {
	err := newCommand().Run(context.Background(), os.Args)
	if err != nil && !errors.Is(err, errReported) {
		printError(err)
	}
	os.Exit(exitStatus(err))
}

// debugEnv is the environment variable that enables stack traces in error messages.
const debugEnv = "SNIPERILL_DEBUG"

func printError(err error) {
	if os.Getenv(debugEnv) != "" {
		fmt.Fprintln(os.Stderr, trace.DebugReport(err))
	}
	fmt.Fprintf(os.Stderr, "sniperill: %v\n", err)
}

func exitStatus(err error) int {
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, shop.ErrMayHaveRun):
		return exitMayHaveRun
	case errors.Is(err, shop.ErrNotRun), errors.Is(err, errNotChecked):
		return exitNotRun
	default:
		return exitError
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:        "sniperill",
		Usage:       "schedule multi-accelerator jobs under team guarantees",
		Description: helpMain,
		Version:     telemetry.Build(),
		Commands: []*cli.Command{
			tryCommand(), upCommand(),
			entryCommand(), agentCommand(), standInCommand(), checkCommand(), keysCommand(),
			applyCommand(), diffCommand(), changeCommand(), showCommand(), drainCommand(), evacuateCommand(),
			submitCommand(), waitCommand(), cancelCommand(), callCommand(),
			platformCommand(), explainCommand(),
		},
	}
}
