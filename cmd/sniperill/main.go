// Command sniperill schedules multi-accelerator jobs under team guarantees.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/shop"
)

const helpMain = `sniperill schedules multi-accelerator jobs under team guarantees.

Start with "sniperill try", which runs a whole small deployment in one process,
submits both desks' kinds of work and says what came of each.

The exit status tells outcomes apart: 0 done, 1 an error, 2 not run (it did not
run and never will), 3 may have run (nobody can know).`

// Exit statuses.
const (
	exitDone       = 0
	exitError      = 1
	exitNotRun     = 2
	exitMayHaveRun = 3
)

// errReported ends the program with status 1 after the command has said why.
var errReported = errors.New("failed")

func main() {
	err := newCommand().Run(context.Background(), os.Args)
	if err != nil && !errors.Is(err, errReported) {
		printError(err)
	}
	os.Exit(exitStatus(err))
}

// debugEnv asks for the places that an error came through.
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
	case errors.Is(err, shop.ErrNotRun):
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
		Commands: []*cli.Command{
			tryCommand(), upCommand(),
			entryCommand(), agentCommand(), standInCommand(), checkCommand(), keysCommand(),
			applyCommand(), diffCommand(), changeCommand(), showCommand(), drainCommand(),
			submitCommand(), waitCommand(), cancelCommand(), callCommand(),
			platformCommand(), explainCommand(),
		},
	}
}
