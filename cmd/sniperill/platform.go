package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/platform"
)

const helpPlatform = `Runs a process on the users' platform, which provides its settings file and stores
its state. "entry" serves callers and plans; "agent" runs beside a worker. "try" runs
entries and agents in one process, with emulations of that platform, and a few jobs on
them; it exits with status 1 if an outcome is not the expected one.

SIGTERM shuts it down gracefully: it finishes the work in progress within the time
that the platform allows. SIGHUP makes it read its settings again.`

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:        "platform",
		Usage:       "run a process on the users' platform",
		Description: helpPlatform,
		Commands: []*cli.Command{
			platformRoleCommand("entry", "accept jobs from callers and plan", func(ctx context.Context, s platform.Settings, log zerolog.Logger) error {
				return platform.Entry{Settings: s, Log: log}.Run(ctx)
			}),
			platformRoleCommand("agent", "run tasks on the worker beside it", func(ctx context.Context, s platform.Settings, log zerolog.Logger) error {
				return platform.Agent{Settings: s, Log: log}.Run(ctx)
			}),
			platformTryCommand(),
		},
	}
}

func platformRoleCommand(name, usage string, run func(context.Context, platform.Settings, zerolog.Logger) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Action: func(ctx context.Context, _ *cli.Command) error {
			// Registered before the settings are read, so that no change of them is missed.
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			s, err := platform.ReadSettings()
			if err != nil {
				return trace.Wrap(err)
			}
			log, out := platform.NewLogger(os.Stdout)
			defer out.Close()
			log = log.With().Str("process", s.Name).Logger()
			go reloadSettings(ctx, hup, log)
			return trace.Wrap(run(ctx, s, log))
		},
	}
}

// platformTryCommand runs a sample deployment on emulations of the platform.
func platformTryCommand() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run entries and agents in one process on emulations of the platform",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "entries to run"},
			&cli.IntFlag{Name: "workers", Value: 3, Usage: "workers to emulate, with an agent each"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "trace, debug, info, warn or error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			sample := platform.Sample{Entries: c.Int("entries"), Workers: c.Int("workers")}
			var err error
			if sample.Log, err = telemetry.NewLogger(os.Stderr, telemetry.LogText, c.String("log-level")); err != nil {
				return trace.Wrap(err)
			}
			report, err := sample.Try(ctx)
			if err != nil {
				return trace.Wrap(err)
			}
			return showReport(c, report)
		},
	}
}

// reloadSettings reads the settings on each signal and logs whether they are valid. They
// take effect at the next start, since addresses and limits are fixed while a process runs.
func reloadSettings(ctx context.Context, hup <-chan os.Signal, log zerolog.Logger) {
	for {
		select {
		case <-hup:
			_, err := platform.ReadSettings()
			log.Info().Err(err).Bool("valid", err == nil).Msg("Read the settings again; they hold from the next start.")
		case <-ctx.Done():
			return
		}
	}
}
