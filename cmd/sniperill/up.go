package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"sniperill.example/sniperill/internal/deployment"
	"sniperill.example/sniperill/internal/keys"
	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/pkg/shop"
)

const helpUp = `Runs the deployment of "try" until it receives a signal. It publishes a
configuration, writes keys and tokens to a folder, and prints its addresses and the
commands to use it:

    . FOLDER/operator.sh     act as an operator
    . FOLDER/TEAM.sh         act as a caller of that team

The first SIGINT or SIGTERM stops it gracefully: requests and jobs in progress
finish or checkpoint. The second stops it at once; it then names every unfinished
request.`

// upTokenLifetime is how long the tokens of "up", and by default of "keys token", are valid.
const upTokenLifetime = 30 * 24 * time.Hour

func upCommand() *cli.Command {
	return &cli.Command{
		Name:        "up",
		Usage:       "keep a small deployment running in one process",
		Description: helpUp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "keys", Usage: "new folder for keys and tokens (default: a new temporary folder)"},
			&cli.StringFlag{Name: "config", Usage: "configuration folder (default: the sample)"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random deviation of run times; 0 runs jobs as declared"},
			&cli.IntFlag{Name: "entries", Value: deployment.DefaultEntries, Usage: "number of entries"},
			&cli.IntFlag{Name: "workers", Value: deployment.DefaultWorkers, Usage: "number of workers, three to a rack"},
			&cli.IntFlag{Name: "accelerators", Value: deployment.DefaultAccelerators, Usage: "accelerators of each worker"},
			&cli.IntFlag{Name: "zones", Value: deployment.DefaultZones, Usage: "availability zones"},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "trace, debug, info, warn or error"},
			&cli.BoolFlag{Name: "json", Usage: "print the addresses as one JSON object"},
		},
		Action: runUp,
	}
}

func runUp(ctx context.Context, c *cli.Command) error {
	logger, err := telemetry.NewLogger(os.Stderr, telemetry.LogText, c.String("log-level"))
	if err != nil {
		return trace.Wrap(err)
	}
	folder, err := readConfig(c.String("config"))
	if err != nil {
		return trace.Wrap(err)
	}
	local := &deployment.Local{
		Entries: c.Int("entries"), Workers: c.Int("workers"), Accelerators: c.Int("accelerators"),
		Zones: c.Int("zones"), Seed: c.Uint64("seed"), Logger: logger,
	}
	if err := checkCounts(local); err != nil {
		return trace.Wrap(err)
	}
	stopCtx, hardStopCtx, stop := signals(ctx)
	defer stop()
	if err := local.Start(stopCtx); err != nil {
		return trace.Wrap(err)
	}
	err = serveUp(stopCtx, c, local, folder)
	if stopErr := local.Stop(hardStopCtx); err == nil || errors.Is(err, context.Canceled) {
		err = stopErr
	}
	return trace.Wrap(err)
}

// Limits of a local deployment.
const (
	maxEntries = 9
	maxWorkers = 64
	maxZones   = 26
)

func checkCounts(l *deployment.Local) error {
	var problems shop.ProblemList
	for _, n := range []struct {
		flag       string
		value, max int
	}{
		{"--entries", l.Entries, maxEntries},
		{"--workers", l.Workers, maxWorkers},
		{"--accelerators", l.Accelerators, shop.MaxWorkerAccelerators},
		{"--zones", l.Zones, maxZones},
	} {
		if n.value < 1 || n.value > n.max {
			problems.Add(n.flag, fmt.Sprint(n.value), fmt.Sprintf("must be from 1 to %d", n.max))
		}
	}
	return problems.Err()
}

// readConfig reads a configuration folder, or the sample if the name is empty.
func readConfig(name string) (shop.Folder, error) {
	var folder fs.FS = deployment.SampleFolder()
	if name != "" {
		folder = os.DirFS(name)
	}
	return shop.ReadFolder(folder)
}

// serveUp publishes the configuration, prints how to use the deployment, and waits until
// ctx is done.
func serveUp(ctx context.Context, c *cli.Command, local *deployment.Local, folder shop.Folder) error {
	client, err := local.Operator(0, "up")
	if err != nil {
		return trace.Wrap(err)
	}
	version, err := client.Apply(ctx, folder.Config, 0, "up", false)
	if err != nil {
		return trace.Wrap(err)
	}
	access, err := newAccess(local, folder.Config, c.String("keys"))
	if err != nil {
		return trace.Wrap(err)
	}
	access.Version = version
	if err := access.print(c); err != nil {
		return trace.Wrap(err)
	}
	return local.Wait(ctx)
}

// access holds the addresses and the keys folder of a local deployment.
type access struct {
	Entries []string `json:"entries"`
	Metrics []string `json:"metrics"`
	Log     string   `json:"log"`
	Keys    string   `json:"keys"`
	Teams   []string `json:"teams"`
	Version uint64   `json:"version"`
}

// newAccess writes the keys, the tokens and a script for each token to a folder.
func newAccess(local *deployment.Local, config shop.Config, name string) (access, error) {
	if name == "" {
		var err error
		if name, err = os.MkdirTemp("", "sniperill-"); err != nil {
			return access{}, fmt.Errorf("up: %w", err)
		}
	}
	a := access{Log: local.LogURL, Keys: name}
	for _, e := range local.RunningEntries {
		a.Entries = append(a.Entries, "https://"+e.CallerAddress())
		a.Metrics = append(a.Metrics, "http://"+e.AdminAddress()+"/metrics")
	}
	folder := keys.Folder(name)
	if err := folder.WriteAuthority(local.Authority); err != nil {
		return a, err
	}
	err := a.writeCredentials(local.Authority, folder, keys.Principal{Role: keys.RoleOperator, Name: "operator"})
	for _, team := range config.Teams {
		a.Teams = append(a.Teams, team.Name)
		p := keys.Principal{Role: keys.RoleCaller, Team: team.Name, Name: team.Name}
		err = errors.Join(err, a.writeCredentials(local.Authority, folder, p))
	}
	return a, err
}

// writeCredentials writes a token and a shell script that sets the environment variables
// for its use.
func (a access) writeCredentials(authority *keys.Authority, folder keys.Folder, p keys.Principal) error {
	token, err := authority.Token(p, time.Now(), upTokenLifetime)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := folder.WriteToken(p.Name, token); err != nil {
		return trace.Wrap(err)
	}
	script := fmt.Sprintf("export SNIPERILL_ENTRY=%s\nexport SNIPERILL_CA='%s'\nexport SNIPERILL_TOKEN='%s'\n",
		a.Entries[0], folder.Path(keys.AuthorityFile), folder.Path(p.Name+".token"))
	return folder.WriteScript(p.Name, script)
}

func (a access) print(c *cli.Command) error {
	if c.Bool("json") {
		return printJSON(c.Writer, a)
	}
	t := newTable(c.Writer)
	for i := range a.Entries {
		t.row("entry", a.Entries[i], a.Metrics[i])
	}
	t.row("log", a.Log, "")
	t.row("keys", a.Keys, "")
	t.row("version", a.Version, "")
	if err := t.flush(); err != nil {
		return trace.Wrap(err)
	}
	_, err := fmt.Fprintf(c.Writer, "\nAs an operator: . %s/operator.sh\nAs a caller of %s: . %s/%s.sh\nStop with Ctrl-C.\n",
		a.Keys, a.Teams[0], a.Keys, a.Teams[0])
	return trace.Wrap(err)
}
