package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/inspection"
	"sniperill.example/sniperill/internal/settings"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/platform"
)

const helpCheck = `Checks a settings file, a configuration folder, or both, and lists every mistake
with its file, field and value:

    sniperill check --settings entry entry.json
    sniperill check --config FOLDER [--workers workers.json]

It also warns of entries that can never match and of limits that contradict each
other. What depends on the hardware is checked with a list of the workers, which
"show workers --json" prints; "diff" and "apply" ask the entry for it.

On the users' platform, it checks a configuration before it is sent: mistakes, entries
that can never match, limits that contradict each other, and what differs from the
version in force:

    sniperill check --rules new.json [--in-force old.json] [--workers workers.json]

Exits with status 1 when there is a mistake or a warning, and with status 2 when
something could not be read that it needs to check.`

var (
	errCheckNothing = errors.New("check: requires --settings entry|agent|stand-in|platform FILE, --config FOLDER or --rules FILE")
	errCheckBoth    = errors.New("check: --rules takes no --settings, --config or arguments; --in-force needs --rules, and --workers needs --rules or --config")
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
			&cli.StringFlag{Name: "workers", Usage: "the workers: the JSON of \"show workers\"; with --rules, a JSON list of them as in their heartbeats"},
			jsonFlag(),
		},
		Action: runCheck,
	}
}

// checkResult is the result of "check" as JSON.
type checkResult struct {
	OK       bool             `json:"ok"`
	Problems shop.ProblemList `json:"problems"`
	// Warnings are about what is valid, but without effect or at odds with other values.
	Warnings shop.FindingList `json:"warnings,omitempty"`
}

func runCheck(_ context.Context, c *cli.Command) error {
	role, config, rules := c.String("settings"), c.String("config"), c.String("rules")
	switch {
	case rules != "" && (role != "" || config != "" || c.Args().Len() > 0),
		rules == "" && c.String("in-force") != "",
		rules == "" && config == "" && c.String("workers") != "":
		return errCheckBoth
	case rules != "":
		return checkRules(c)
	case role == "" && config == "":
		return errCheckNothing
	}
	result := checkResult{Problems: shop.ProblemList{}}
	var shutdownTimeout shop.Duration
	if role != "" {
		if c.Args().Len() != 1 {
			return errNoSettingsFile
		}
		checked, err := checkSettings(role, c.Args().First())
		if err := appendProblems(&result.Problems, err); err != nil {
			return trace.Wrap(ifUnreadable(err))
		}
		result.Warnings, shutdownTimeout = checked.warnings, checked.shutdownTimeout
	}
	if config != "" {
		warnings, err := checkFolder(config, c.String("workers"), shutdownTimeout)
		if err := appendProblems(&result.Problems, err); err != nil {
			return trace.Wrap(ifUnreadable(err))
		}
		result.Warnings = append(result.Warnings, warnings...)
	}
	result.OK = len(result.Problems) == 0 && len(result.Warnings) == 0
	return printCheckResult(c, result)
}

// ifUnreadable wraps the error for a file that can't be read in errNotChecked.
func ifUnreadable(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return notChecked(err)
	}
	return err
}

// checkFolder returns the warnings about a configuration folder. The shutdown timeout is that of the process whose
// settings are checked with it, or zero.
func checkFolder(name, workersFile string, shutdownTimeout shop.Duration) (shop.FindingList, error) {
	if _, err := os.ReadDir(name); err != nil {
		return nil, err
	}
	var workers shop.WorkerList
	if workersFile != "" {
		var err error
		if workers, err = readJSONFile(workersFile, decodeWorkers); err != nil {
			return nil, notChecked(err)
		}
	}
	folder, err := shop.ReadFolder(os.DirFS(name))
	if err != nil {
		return nil, err
	}
	findings := inspection.Config(folder.Config, workers)
	if shutdownTimeout > 0 {
		findings = append(findings, inspection.Shutdown(folder.Config, shutdownTimeout)...)
	}
	return findings.WithFiles(folder.Sources), nil
}

func printCheckResult(c *cli.Command, result checkResult) error {
	var err error
	switch {
	case c.Bool("json"):
		err = printJSON(c.Writer, result)
	case result.OK:
		_, err = fmt.Fprintln(c.Writer, "No mistakes.")
	default:
		for _, p := range result.Problems {
			if _, err := fmt.Fprintln(c.Writer, p); err != nil {
				return trace.Wrap(err)
			}
		}
		err = printWarnings(c, result.Warnings)
	}
	if err == nil && !result.OK {
		return errReported
	}
	return trace.Wrap(err)
}

func printWarnings(c *cli.Command, warnings shop.FindingList) error {
	for _, f := range warnings {
		if _, err := fmt.Fprintln(c.Writer, f); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
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

// checkedSettings is what is known of a settings file that was checked.
type checkedSettings struct {
	warnings        shop.FindingList
	shutdownTimeout shop.Duration // Zero if the role has none.
}

// checkSettings checks the settings file of a role and the key files that it names.
func checkSettings(role, file string) (checkedSettings, error) {
	switch role {
	case "entry":
		var s settings.Entry
		err := checkKeys(file, settings.Read(file, &s), s.Keys)
		return checkedSettings{shutdownTimeout: s.ShutdownTimeout}, err
	case "agent":
		var s settings.Agent
		err := checkKeys(file, settings.Read(file, &s), s.Keys)
		return checkedSettings{shutdownTimeout: s.ShutdownTimeout}, err
	case "stand-in":
		var s settings.StandIn
		return checkedSettings{}, settings.Read(file, &s)
	case "platform":
		s, err := platform.ReadSettingsFile(file)
		if err != nil {
			return checkedSettings{}, err
		}
		warnings := s.Check()
		for i := range warnings {
			warnings[i].File = file
		}
		return checkedSettings{warnings: warnings}, nil
	default:
		return checkedSettings{}, errCheckRole
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
