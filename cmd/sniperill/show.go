package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/pkg/operator"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

const helpShow = `Shows what the entry knows: what each team uses and owns, which accelerators back
each guarantee or why it is not backed in full, the workers and their health, what is
left in each evacuated zone, the jobs, and the configuration in force.`

func showCommand() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "show teams, guarantees, workers, evacuations, jobs or the configuration",
		Description: helpShow,
		Commands: []*cli.Command{
			{Name: "teams", Usage: "what each team uses and owns", Flags: clientFlags(), Action: asOperator(0, showTeams)},
			{Name: "guarantees", Usage: "which accelerators back each guarantee", Flags: clientFlags(), Action: asOperator(0, showGuarantees)},
			{Name: "workers", Usage: "the workers and their health", Flags: listFlags(), Action: asOperator(0, showWorkers)},
			{Name: "evacuations", Usage: "what is left in each evacuated zone", Flags: listFlags(), Action: asOperator(0, showEvacuations)},
			{
				Name: "jobs", Usage: "the jobs and their states", Action: asOperator(0, showJobs),
				Flags: listFlags(&cli.StringFlag{Name: "team", Usage: "only the jobs of this team"}),
			},
			{Name: "config", Usage: "the configuration in force", Flags: clientFlags(), Action: asOperator(0, showConfig)},
		},
	}
}

// teamRow is one row of "show teams".
type teamRow struct {
	Name     string `json:"name"`
	Queued   uint32 `json:"queued"`
	Running  uint32 `json:"running"`
	Owned    uint32 `json:"owned-accelerators"`
	Used     uint32 `json:"used-accelerators"`
	Borrowed uint32 `json:"borrowed-accelerators"`
}

func showTeams(ctx context.Context, c *cli.Command, client *operator.Client) error {
	teams, err := client.Teams(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	rows := make([]teamRow, 0, len(teams))
	for _, t := range teams {
		rows = append(rows, teamRow{t.Name, t.Queued, t.Running, t.OwnedAccelerators, t.UsedAccelerators, t.BorrowedAccelerators})
	}
	if c.Bool("json") {
		return printJSON(c.Writer, struct {
			Teams []teamRow `json:"teams"`
		}{rows})
	}
	t := newTable(c.Writer, "TEAM", "QUEUED", "RUNNING", "OWNED", "USED", "BORROWED")
	for _, r := range rows {
		t.row(r.Name, r.Queued, r.Running, r.Owned, r.Used, r.Borrowed)
	}
	return t.flush()
}

// guaranteeRow is one row of "show guarantees". Whole means that it is backed in full.
type guaranteeRow struct {
	Team         string   `json:"team"`
	Shape        string   `json:"shape"`
	Whole        bool     `json:"whole"`
	Cause        string   `json:"cause,omitempty"`
	Accelerators []string `json:"accelerators"`
}

func showGuarantees(ctx context.Context, c *cli.Command, client *operator.Client) error {
	guarantees, err := client.Guarantees(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	rows := make([]guaranteeRow, 0, len(guarantees))
	for _, g := range guarantees {
		rows = append(rows, guaranteeRow{g.Team, g.Shape, g.Whole, g.Cause, g.Accelerators})
	}
	if c.Bool("json") {
		return printJSON(c.Writer, struct {
			Guarantees []guaranteeRow `json:"guarantees"`
		}{rows})
	}
	t := newTable(c.Writer, "TEAM", "SHAPE", "WHOLE", "ACCELERATORS OR CAUSE")
	for _, r := range rows {
		where := strings.Join(r.Accelerators, " ")
		if !r.Whole {
			where = r.Cause
		}
		t.row(r.Team, r.Shape, r.Whole, where)
	}
	return t.flush()
}

// workerRow is one row of "show workers".
type workerRow struct {
	Name         string     `json:"name"`
	Health       string     `json:"health"`
	Region       string     `json:"region"`
	Zone         string     `json:"zone"`
	Rack         string     `json:"rack"`
	Accelerators uint32     `json:"accelerators"`
	Used         int        `json:"used-accelerators"`
	Cores        uint32     `json:"cores"`
	Memory       shop.Bytes `json:"memory"`
	Tasks        int        `json:"tasks"`
	Version      uint64     `json:"config-version"`
}

func newWorkerRow(w *sniperillv1.WorkerStatus) workerRow {
	s := w.State
	used := shop.Mask(0)
	for _, t := range s.GetTasks() {
		switch t.State {
		case "held", "prepared", "running":
			used |= shop.Mask(t.Accelerators)
		}
	}
	return workerRow{
		Name: s.GetName(), Health: w.Health,
		Region: s.GetPlace().GetRegion(), Zone: s.GetPlace().GetZone(), Rack: s.GetPlace().GetRack(),
		Accelerators: s.GetAccelerators(), Used: used.Len(), Cores: s.GetCores(),
		Memory: shop.Bytes(s.GetMemoryBytes()), Tasks: len(s.GetTasks()), Version: s.GetConfigVersion(),
	}
}

func showWorkers(ctx context.Context, c *cli.Command, client *operator.Client) error {
	workers, err := client.Workers(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	rows := make([]workerRow, 0, len(workers))
	for _, w := range workers {
		rows = append(rows, newWorkerRow(w))
	}
	return list[workerRow]{"workers", workerColumns, rows}.print(c)
}

// listWorkers returns the workers that an entry knows.
func listWorkers(ctx context.Context, client *operator.Client) (shop.WorkerList, error) {
	statuses, err := client.Workers(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var out shop.WorkerList
	for _, s := range statuses {
		out = append(out, newWorkerRow(s).worker())
	}
	return out, nil
}

// decodeWorkers decodes the JSON of "show workers".
func decodeWorkers(data []byte) (shop.WorkerList, error) {
	var file struct {
		Workers []workerRow `json:"workers"`
	}
	if err := shop.DecodeStrict(data, &file); err != nil {
		return nil, err
	}
	if len(file.Workers) == 0 {
		return nil, errNoWorkers
	}
	var out shop.WorkerList
	for _, r := range file.Workers {
		out = append(out, r.worker())
	}
	return out, nil
}

var errNoWorkers = errors.New("lists no workers")

func (r workerRow) worker() shop.Worker {
	return shop.Worker{
		Place:        shop.Place{Region: r.Region, Zone: r.Zone, Rack: r.Rack, Worker: r.Name},
		Accelerators: int(r.Accelerators), Cores: int(r.Cores), Memory: r.Memory,
	}
}

var workerColumns = []column[workerRow]{
	{name: "worker", value: func(r workerRow) any { return r.Name }},
	{name: "health", value: func(r workerRow) any { return r.Health }},
	{name: "region", value: func(r workerRow) any { return r.Region }},
	{name: "zone", value: func(r workerRow) any { return r.Zone }},
	{name: "rack", value: func(r workerRow) any { return r.Rack }},
	{name: "accelerators", value: func(r workerRow) any { return int64(r.Accelerators) }, sum: true},
	{name: "used", value: func(r workerRow) any { return int64(r.Used) }, sum: true},
	{name: "tasks", value: func(r workerRow) any { return int64(r.Tasks) }, sum: true},
	{name: "config", value: func(r workerRow) any { return int64(r.Version) }},
}

func showJobs(ctx context.Context, c *cli.Command, client *operator.Client) error {
	jobs, err := client.Jobs(ctx, c.String("team"))
	if err != nil {
		return trace.Wrap(err)
	}
	rows := make([]jobRow, 0, len(jobs))
	for _, j := range jobs {
		rows = append(rows, jobRowOf(j))
	}
	return list[jobRow]{"jobs", jobColumns, rows}.print(c)
}

// configResult is the result of "show config" as JSON.
type configResult struct {
	Version uint64        `json:"version"`
	Author  string        `json:"author"`
	Stale   shop.Duration `json:"stale"`
	Config  shop.Config   `json:"config"`
}

func showConfig(ctx context.Context, c *cli.Command, client *operator.Client) error {
	config, err := client.Config(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Bool("json") {
		return printJSON(c.Writer, configResult{config.Version, config.Author, shop.Duration(config.Staleness), config.Config})
	}
	_, err = fmt.Fprintf(c.Writer, "Version %d by %s, known to within %s.\n",
		config.Version, config.Author, config.Staleness.Round(time.Millisecond))
	if err != nil {
		return trace.Wrap(err)
	}
	return printJSON(c.Writer, config.Config)
}
