package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/explain"
)

const helpExplain = `Shows what happened to one job or request, from the logs of all processes: its log
lines in order, other events of the same time, and the causes that the lines show.
Reads the named files, or the standard input. Text before the first brace of a line
is ignored.`

var errNoID = errors.New("requires the ID of a job or request")

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "show what happened to a job or request from the logs",
		Description: helpExplain,
		ArgsUsage:   "ID [LOG...]",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON object"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 1 {
				return errNoID
			}
			lines, err := readLogs(c.Args().Tail())
			if err != nil {
				return trace.Wrap(err)
			}
			report := explain.NewReport(lines, c.Args().First())
			if c.Bool("json") {
				return trace.Wrap(json.NewEncoder(c.Root().Writer).Encode(report))
			}
			_, err = io.WriteString(c.Root().Writer, report.String())
			return trace.Wrap(err)
		},
	}
}

// readLogs reads the named files, or the standard input if there are none.
func readLogs(files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		lines, _, err := explain.Read(os.Stdin)
		return lines, err
	}
	var all []explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, _, err := explain.Read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}
