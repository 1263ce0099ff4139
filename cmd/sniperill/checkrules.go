package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
	"sniperill.example/sniperill/platform"
)

// errNotChecked makes the program exit with a status of its own, as nothing is known about the configuration.
var errNotChecked = errors.New("check: not checked")

// notChecked wraps an error in errNotChecked.
func notChecked(err error) error {
	if errors.Is(err, errNotChecked) {
		return err
	}
	return fmt.Errorf("%w: %w", errNotChecked, err)
}

// rulesResult is the result of "check --rules" as JSON.
type rulesResult struct {
	OK       bool             `json:"ok"`
	Findings shop.FindingList `json:"findings"`
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
			return trace.Wrap(notChecked(err))
		}
	}
	result := rulesResult{Findings: append(shop.FindingList{}, rules.Check(workers)...)}
	if file := c.String("in-force"); file != "" {
		inForce, err := readJSONFile(file, platform.ReadRules)
		if err != nil {
			return trace.Wrap(notChecked(err))
		}
		result.Changes = append([]workflow.Change{}, rules.Changes(inForce)...)
		if rules.Version <= inForce.Version && len(result.Changes) > 1 {
			result.Findings.Add(shop.NeverMatches, "version", strconv.FormatInt(rules.Version, 10),
				"not above version %d, which is in force, so that all of it is ignored", inForce.Version)
		}
	}
	result.OK = len(result.Findings) == 0
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
