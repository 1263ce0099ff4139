package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/platform"
)

const helpPlatform = `Runs a process on the users' platform, which hands it a settings file and keeps
its state. "entry" takes callers and plans; "agent" runs beside a worker.

SIGTERM makes it leave: it finishes what is in progress within the time that the
platform allows. SIGHUP makes it read its settings again.`

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:        "platform",
		Usage:       "run a process on the users' platform",
		Description: helpPlatform,
		Commands: []*cli.Command{
			platformRole("entry", "take callers' jobs and plan", func(ctx context.Context, s platform.Settings, log zerolog.Logger) error {
				return platform.Entry{Settings: s, Log: log}.Run(ctx)
			}),
			platformRole("agent", "run tasks on the worker beside", func(ctx context.Context, s platform.Settings, log zerolog.Logger) error {
				return platform.Agent{Settings: s, Log: log}.Run(ctx)
			}),
		},
	}
}

func platformRole(name, usage string, run func(context.Context, platform.Settings, zerolog.Logger) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Action: func(ctx context.Context, _ *cli.Command) error {
			s, err := platform.ReadSettings()
			if err != nil {
				return trace.Wrap(err)
			}
			log, out := platform.NewLogger(os.Stdout)
			defer out.Close()
			log = log.With().Str("process", s.Name).Logger()
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			go reloadSettings(ctx, log)
			return trace.Wrap(run(ctx, s, log))
		},
	}
}

// reloadSettings reads the settings again at each SIGHUP and says what is wrong with
// them. Addresses and bounds hold for the life of a process.
func reloadSettings(ctx context.Context, log zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
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
