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

const helpExplain = `Tells what became of one job or request from the logs of all processes, in order,
with what happened around it and the causes that the lines give. Reads the named
files, or standard input. What stands before a line's first brace is passed over.`

// errNoID says that a command was not told which job or request to explain.
var errNoID = errors.New("needs the id of a job")

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "tell what became of a job from the logs",
		Description: helpExplain,
		ArgsUsage:   "ID [LOG...]",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one object"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 1 {
				return errNoID
			}
			lines, err := readLogs(c.Args().Tail())
			if err != nil {
				return trace.Wrap(err)
			}
			s := explain.NewReport(lines, c.Args().First())
			if c.Bool("json") {
				return trace.Wrap(json.NewEncoder(c.Root().Writer).Encode(s))
			}
			_, err = io.WriteString(c.Root().Writer, s.String())
			return trace.Wrap(err)
		},
	}
}

// readLogs reads the named files, or standard input when none is named.
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
