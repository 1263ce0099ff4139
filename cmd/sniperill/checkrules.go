package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/workflow"
	"sniperill.example/sniperill/platform"
)

// errNotChecked makes the program exit with a status of its own, as nothing is known about the configuration.
var errNotChecked = errors.New("check: not checked")

// rulesResult is the result of "check --rules" as JSON.
type rulesResult struct {
	OK       bool                 `json:"ok"`
	Findings workflow.FindingList `json:"findings"`
	// Changes is null without a version to compare with.
	Changes []workflow.Change `json:"changes"`
}

// checkRules checks a configuration of the users' platform.
func checkRules(c *cli.Command) error {
	rules, err := readJSONFile(c.String("rules"), platform.ReadRules)
	if err != nil {
		return trace.Wrap(err)
	}
	var workers []workflow.ZonedWorker
	if file := c.String("workers"); file != "" {
		if workers, err = readJSONFile(file, platform.ReadWorkers); err != nil {
			return trace.Wrap(err)
		}
	}
	result := rulesResult{Findings: append(workflow.FindingList{}, rules.Check(workers)...)}
	result.OK = len(result.Findings) == 0
	if file := c.String("in-force"); file != "" {
		inForce, err := readJSONFile(file, platform.ReadRules)
		if err != nil {
			return trace.Wrap(err)
		}
		result.Changes = append([]workflow.Change{}, rules.Changes(inForce)...)
	}
	if err := printRulesResult(c, result); err != nil {
		return trace.Wrap(err)
	}
	if !result.OK {
		return errReported
	}
	return nil
}

func printRulesResult(c *cli.Command, result rulesResult) error {
	if c.Bool("json") {
		return printJSON(c.Writer, result)
	}
	for _, f := range result.Findings {
		if _, err := fmt.Fprintln(c.Writer, f); err != nil {
			return err
		}
	}
	for _, change := range result.Changes {
		if _, err := fmt.Fprintln(c.Writer, "change:", change); err != nil {
			return err
		}
	}
	if result.OK {
		_, err := fmt.Fprintln(c.Writer, "No mistakes.")
		return err
	}
	return nil
}

// readJSONFile decodes a file. It fails with errNotChecked if the file can't be read.
func readJSONFile[T any](file string, decode func([]byte) (T, error)) (T, error) {
	var none T
	data, err := os.ReadFile(file)
	if err != nil {
		return none, fmt.Errorf("%w: %w", errNotChecked, err)
	}
	v, err := decode(data)
	if err != nil {
		return none, fmt.Errorf("%s: %w", file, err)
	}
	return v, nil
}
