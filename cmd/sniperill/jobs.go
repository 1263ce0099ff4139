package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/caller"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// jobRow is a job as commands print it.
type jobRow struct {
	ID        string        `json:"id"`
	Team      string        `json:"team"`
	Class     string        `json:"class"`
	State     shop.JobState `json:"state"`
	Workers   []string      `json:"workers"`
	Attempt   int           `json:"attempt"`
	Reason    string        `json:"reason,omitempty"`
	Answer    string        `json:"answer,omitempty"`
	Submitted string        `json:"submitted,omitempty"`
	Started   string        `json:"started,omitempty"`
	Ended     string        `json:"ended,omitempty"`
}

func newJobRow(s caller.Status) jobRow {
	return jobRow{
		ID: s.ID, Team: s.Team, Class: s.Class, State: s.State, Workers: s.Workers, Attempt: s.Attempt,
		Reason: s.Reason, Answer: string(s.Answer),
		Submitted: timeText(s.Submitted), Started: timeText(s.Started), Ended: timeText(s.Ended),
	}
}

func jobRowOf(j *sniperillv1.JobStatus) jobRow {
	return newJobRow(caller.StatusOf(j))
}

// timeText formats a time, or returns "" for the zero time.
func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}

var jobColumns = []column[jobRow]{
	{name: "job", value: func(r jobRow) any { return r.ID }},
	{name: "team", value: func(r jobRow) any { return r.Team }},
	{name: "class", value: func(r jobRow) any { return r.Class }},
	{name: "state", value: func(r jobRow) any { return string(r.State) }},
	{name: "attempt", value: func(r jobRow) any { return int64(r.Attempt) }},
	{name: "workers", value: func(r jobRow) any { return strings.Join(r.Workers, " ") }},
	{name: "reason", value: func(r jobRow) any { return r.Reason }},
}

// Errors for jobs that ended in another state than done.
var (
	errJobFailed    = errors.New("job failed")
	errJobCancelled = errors.New("job was cancelled")
)

// printJob prints a job. It returns an error if the job failed, was cancelled or did not
// run.
func printJob(c *cli.Command, s caller.Status) error {
	var err error
	if c.Bool("json") {
		err = printJSON(c.Writer, newJobRow(s))
	} else {
		err = list[jobRow]{"jobs", jobColumns, []jobRow{newJobRow(s)}}.printTable(c.Writer)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	switch s.State {
	case shop.Failed:
		return fmt.Errorf("%w: %s", errJobFailed, s.Reason)
	case shop.Cancelled:
		return errJobCancelled
	case shop.NotRun:
		return fmt.Errorf("job %s: %s: %w", s.ID, s.Reason, shop.ErrNotRun)
	default:
		return nil
	}
}
