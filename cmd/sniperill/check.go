package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/settings"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/platform"
)

const helpCheck = `Checks a settings file, a configuration folder, or both, and lists every mistake
with its file, field and value:

    sniperill check --settings entry entry.json
    sniperill check --config FOLDER

On the users' platform, it checks a configuration before it is sent: mistakes, entries
that can never match, limits that contradict each other, and what differs from the
version in force:

    sniperill check --rules new.json [--in-force old.json] [--workers workers.json]

Whether all guarantees fit on the hardware together is checked by "apply", which
knows the hardware. Exits with status 1 when there is a mistake, and with status 2
when a file could not be read.`

var (
	errCheckNothing = errors.New("check: requires --settings entry|agent|stand-in|platform FILE, --config FOLDER or --rules FILE")
	errCheckRole    = errors.New("check: --settings must be entry, agent, stand-in or platform")
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "list every mistake in settings and configuration",
		Description: helpCheck,
		ArgsUsage:   "[FILE]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "role that the settings FILE is for: entry, agent, stand-in or platform (any process there)"},
			&cli.StringFlag{Name: "config", Usage: "configuration folder"},
			&cli.StringFlag{Name: "rules", Usage: "configuration of the users' platform"},
			&cli.StringFlag{Name: "in-force", Usage: "the platform's configuration that --rules will replace"},
			&cli.StringFlag{Name: "workers", Usage: "JSON list of the platform's workers, as in their heartbeats"},
			jsonFlag(),
		},
		Action: runCheck,
	}
}

// checkResult is the result of "check" as JSON.
type checkResult struct {
	OK       bool             `json:"ok"`
	Problems shop.ProblemList `json:"problems"`
}

func runCheck(_ context.Context, c *cli.Command) error {
	role, config := c.String("settings"), c.String("config")
	if c.String("rules") != "" {
		return checkRules(c)
	}
	if role == "" && config == "" {
		return errCheckNothing
	}
	problems := shop.ProblemList{}
	if role != "" {
		if c.Args().Len() != 1 {
			return errNoSettingsFile
		}
		if err := appendProblems(&problems, checkSettings(role, c.Args().First())); err != nil {
			return trace.Wrap(err)
		}
	}
	if config != "" {
		_, err := shop.ReadFolder(os.DirFS(config))
		if err := appendProblems(&problems, err); err != nil {
			return trace.Wrap(err)
		}
	}
	return printCheckResult(c, checkResult{OK: len(problems) == 0, Problems: problems})
}

func printCheckResult(c *cli.Command, result checkResult) error {
	var err error
	switch {
	case c.Bool("json"):
		err = printJSON(c.Writer, result)
	case result.OK:
		_, err = fmt.Fprintln(c.Writer, "No mistakes.")
	default:
		_, err = fmt.Fprintln(c.Writer, result.Problems.Error())
	}
	if err == nil && !result.OK {
		return errReported
	}
	return trace.Wrap(err)
}

// appendProblems appends the problems to the list if err is a list of problems. It returns
// any other error.
func appendProblems(problems *shop.ProblemList, err error) error {
	var listed shop.ProblemList
	if err != nil && !errors.As(err, &listed) {
		return trace.Wrap(err)
	}
	*problems = append(*problems, listed...)
	return nil
}

// checkSettings checks the settings file of a role and the key files that it names.
func checkSettings(role, file string) error {
	switch role {
	case "entry":
		var s settings.Entry
		return checkKeys(file, settings.Read(file, &s), s.Keys)
	case "agent":
		var s settings.Agent
		return checkKeys(file, settings.Read(file, &s), s.Keys)
	case "stand-in":
		var s settings.StandIn
		return settings.Read(file, &s)
	case "platform":
		_, err := platform.ReadSettingsFile(file)
		return err
	default:
		return errCheckRole
	}
}

// checkKeys adds the problems of the key files to err, the result of reading the settings
// file that names them.
func checkKeys(file string, err error, k settings.Keys) error {
	var problems shop.ProblemList
	if err := appendProblems(&problems, err); err != nil {
		return trace.Wrap(err)
	}
	for _, p := range k.Check() {
		p.File = file
		problems = append(problems, p)
	}
	return problems.Err()
}
