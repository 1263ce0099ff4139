package deployment

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/keys"
	"sniperill.example/sniperill/internal/settings"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/pkg/caller"
	"sniperill.example/sniperill/pkg/operator"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

//go:embed sample/*.json
var sample embed.FS

// SampleFolder returns the sample configuration folder.
func SampleFolder() fs.FS {
	folder, err := fs.Sub(sample, "sample")
	if err != nil {
		panic(err) // The folder is embedded in the program.
	}
	return folder
}

// Defaults and fixed properties of a local deployment.
const (
	DefaultEntries       = 2
	DefaultWorkers       = 6
	DefaultAccelerators  = 8
	DefaultZones         = 2
	workersPerRack       = 3
	workerCores          = 32
	workerMemory         = 128 * shop.GiB
	loopback             = "127.0.0.1:0" // With a port that the system chooses.
	backendServiceTime   = 5 * time.Millisecond
	localShutdownTimeout = shop.Duration(10 * time.Second)
	tokenLifetime        = 12 * time.Hour
)

// Local is a small deployment that runs in one process and communicates over loopback
// sockets. The exported fields up to Authority must be set before Start.
type Local struct {
	Entries      int
	Workers      int
	Accelerators int // Of each worker.
	Zones        int
	Region       string
	// Seed of the random deviation of each job's actual run time from the declared one. If
	// zero, jobs run as long as declared.
	Seed   uint64
	Logger zerolog.Logger
	// TimeScale divides the run time of tasks. Zero means no scaling.
	TimeScale float64

	// WrapBackend, if not nil, wraps the handler of each backend server stand-in.
	WrapBackend func(http.Handler) http.Handler
	// Authority signs certificates and tokens. If nil, Start creates one.
	Authority *keys.Authority

	// Set by Start.
	Log            *standin.Log
	LogURL         string
	RunningEntries []*LocalEntry
	Agents         []*LocalAgent

	group *group
	// The end of ctx starts a graceful shutdown of entries and agents.
	stop context.CancelFunc
	ctx  context.Context
	// The end of hardStopCtx stops the stand-ins, and ends a graceful shutdown early.
	hardStopCtx context.Context
	hardStop    context.CancelFunc
}

// LocalEntry is one entry of a local deployment.
type LocalEntry struct {
	*EntryProcess

	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Stop shuts the entry down gracefully, and returns when it has ended.
func (e *LocalEntry) Stop() error {
	e.stop()
	<-e.done
	return e.err
}

// LocalAgent is one agent of a local deployment with the stand-ins for its worker and
// backend server.
type LocalAgent struct {
	*AgentProcess

	Worker  *standin.Worker
	Backend *standin.Backend
	done    chan struct{}
	err     error
}

// Done returns a channel that is closed when the agent has ended.
func (a *LocalAgent) Done() <-chan struct{} { return a.done }

// SetDefaults sets the counts and the region that are zero to their defaults.
func (l *Local) SetDefaults() {
	for _, d := range []struct {
		field *int
		value int
	}{
		{&l.Entries, DefaultEntries},
		{&l.Workers, DefaultWorkers},
		{&l.Accelerators, DefaultAccelerators},
		{&l.Zones, DefaultZones},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if l.Region == "" {
		l.Region = "klang"
	}
}

// Start starts all processes, and returns once every entry knows every agent.
func (l *Local) Start(ctx context.Context) error {
	l.SetDefaults()
	l.ctx, l.stop = context.WithCancel(ctx)
	l.hardStopCtx, l.hardStop = context.WithCancel(context.WithoutCancel(ctx))
	l.group = newGroup()
	if err := l.makeAuthority(); err != nil {
		return fmt.Errorf("deployment.Start: %w", err)
	}
	if err := l.startLog(); err != nil {
		return fmt.Errorf("deployment.Start: %w", err)
	}
	var peers []string
	for i := range l.Entries {
		e, err := l.openEntry(i)
		if err != nil {
			return fmt.Errorf("deployment.Start: %w", err)
		}
		l.RunningEntries = append(l.RunningEntries, e)
		peers = append(peers, e.PeerAddress())
	}
	for _, e := range l.RunningEntries {
		e.SetSeeds(peers)
		l.runEntry(e)
	}
	for i := range l.Workers {
		if err := l.startAgent(i, peers); err != nil {
			return fmt.Errorf("deployment.Start: %w", err)
		}
	}
	return l.awaitAgents(ctx)
}

// makeAuthority creates an authority if none is set.
func (l *Local) makeAuthority() error {
	if l.Authority != nil {
		return nil
	}
	var err error
	l.Authority, err = keys.NewAuthority(time.Now())
	return trace.Wrap(err)
}

func (l *Local) startLog() error {
	l.Log = &standin.Log{}
	mux := http.NewServeMux()
	mux.Handle(sniperillv1connect.NewLogServiceHandler(l.Log))
	p := &StandInProcess{Handler: mux}
	if err := p.Open(loopback); err != nil {
		return trace.Wrap(err)
	}
	l.LogURL = p.URL()
	l.group.start(func() error { return p.Run(l.hardStopCtx) })
	return nil
}

func (l *Local) zone(i int) string { return fmt.Sprintf("%s-%c", l.Region, 'a'+i%l.Zones) }

// place returns the place of worker i. Racks of workersPerRack workers are distributed
// over the zones in turn.
func (l *Local) place(i int) shop.Place {
	rack := i / workersPerRack
	return shop.Place{
		Region: l.Region, Zone: l.zone(rack),
		Rack: fmt.Sprintf("rack-%d", rack+1), Worker: fmt.Sprintf("worker-%d", i+1),
	}
}

func (l *Local) processSettings(name string, place shop.Place) settings.Process {
	return settings.Process{Name: name, Place: place, Peers: loopback, ShutdownTimeout: localShutdownTimeout}
}

func (l *Local) openEntry(i int) (*LocalEntry, error) {
	name := fmt.Sprintf("entry-%d", i+1)
	pair, err := l.Authority.Issue(keys.RoleEntry, name, time.Now(), "127.0.0.1")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := settings.Entry{Process: l.processSettings(name, shop.Place{Region: l.Region, Zone: l.zone(i)}), Callers: loopback}
	s.Log = l.LogURL
	s.Admin = loopback
	e := &LocalEntry{
		EntryProcess: &EntryProcess{Settings: s, Keys: pair, Logger: telemetry.ComponentLogger(l.Logger, "entry")},
		done:         make(chan struct{}),
	}
	return e, e.Open()
}

func (l *Local) runEntry(e *LocalEntry) {
	ctx, stop := context.WithCancel(l.ctx)
	e.stop = stop
	l.group.start(func() error {
		defer close(e.done)
		e.err = e.Run(ctx, l.hardStopCtx)
		return e.err
	})
}

func (l *Local) startAgent(i int, entries []string) error {
	place := l.place(i)
	a := &LocalAgent{
		Worker:  &standin.Worker{Name: place.Worker, TimeScale: l.TimeScale, RunTime: l.runTime()},
		Backend: NewBackend(0, backendServiceTime),
		done:    make(chan struct{}),
	}
	worker := &StandInProcess{Handler: a.Worker.Handler()}
	server := &StandInProcess{Handler: a.Backend}
	if l.WrapBackend != nil {
		server.Handler = l.WrapBackend(a.Backend)
	}
	if err := errors.Join(worker.Open(loopback), server.Open(loopback)); err != nil {
		return trace.Wrap(err)
	}
	pair, err := l.Authority.Issue(keys.RoleAgent, place.Worker, time.Now(), "127.0.0.1")
	if err != nil {
		return trace.Wrap(err)
	}
	s := settings.Agent{
		Process: l.processSettings(place.Worker, place), Worker: worker.URL(), Backend: server.URL(),
		Accelerators: l.Accelerators, Cores: workerCores, Memory: workerMemory,
	}
	s.Entries = entries
	a.AgentProcess = &AgentProcess{Settings: s, Keys: pair, Logger: telemetry.ComponentLogger(l.Logger, "agent")}
	if err := a.Open(); err != nil {
		return trace.Wrap(err)
	}
	l.Agents = append(l.Agents, a)
	l.group.start(func() error { return worker.Run(l.hardStopCtx) })
	l.group.start(func() error { return server.Run(l.hardStopCtx) })
	l.group.start(func() error {
		defer close(a.done)
		a.err = a.Run(l.ctx, l.hardStopCtx)
		return a.err
	})
	return nil
}

// Range of the factor between the declared and the actual run time of a job.
const (
	minRunTimeFactor = 0.25
	maxRunTimeFactor = 4.0
)

// runTime returns a function that gives the actual run time of a job. Its deviation from
// the declared run time depends only on the seed and the job's ID. Without a seed, runTime
// returns nil.
func (l *Local) runTime() func(*sniperillv1.Job) time.Duration {
	if l.Seed == 0 {
		return nil
	}
	return func(j *sniperillv1.Job) time.Duration {
		r := rand.New(rand.NewPCG(l.Seed, xxhash.Sum64String(j.Id)))
		factor := minRunTimeFactor * math.Pow(maxRunTimeFactor/minRunTimeFactor, r.Float64())
		if l.TimeScale > 0 {
			factor /= l.TimeScale
		}
		return time.Duration(factor * float64(j.RunTime.AsDuration()))
	}
}

// Wait returns when ctx is done, or with the error of a component that failed.
func (l *Local) Wait(ctx context.Context) error { return l.group.awaitFailure(ctx) }

// awaitAgents returns once every entry knows every agent.
func (l *Local) awaitAgents(ctx context.Context) error {
	return l.awaitEntries(ctx, func(workers []*sniperillv1.WorkerStatus) bool { return len(workers) == l.Workers })
}

// AwaitConfig returns once every entry knows that every worker uses the given version of
// the configuration or a newer one. Requests that come earlier are refused as not run.
func (l *Local) AwaitConfig(ctx context.Context, version uint64) error {
	return l.awaitEntries(ctx, allHaveConfig(version))
}

// allHaveConfig returns a function that reports whether all workers use the given version
// of the configuration or a newer one.
func allHaveConfig(version uint64) func([]*sniperillv1.WorkerStatus) bool {
	outdated := func(w *sniperillv1.WorkerStatus) bool { return w.State.ConfigVersion < version }
	return func(workers []*sniperillv1.WorkerStatus) bool { return !slices.ContainsFunc(workers, outdated) }
}

// awaitEntries returns once ready returns true for the workers that each entry knows.
func (l *Local) awaitEntries(ctx context.Context, ready func([]*sniperillv1.WorkerStatus) bool) error {
	for i := range l.RunningEntries {
		c, err := l.Operator(i, "local")
		if err != nil {
			return trace.Wrap(err)
		}
		if err := awaitWorkers(ctx, c, ready); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// awaitWorkers asks an entry for its workers until ready returns true for them.
func awaitWorkers(ctx context.Context, c *operator.Client, ready func([]*sniperillv1.WorkerStatus) bool) error {
	for {
		workers, err := c.Workers(ctx)
		if err == nil && ready(workers) {
			return nil
		}
		if pauseErr := clock.Pause(ctx, pollInterval); pauseErr != nil {
			return fmt.Errorf("deployment.awaitWorkers: %d workers known: %w", len(workers), errors.Join(pauseErr, err))
		}
	}
}

// pollInterval is the time between queries while waiting for a state of the deployment.
const pollInterval = 20 * time.Millisecond

// Operator returns a client for the administration API of entry i.
func (l *Local) Operator(i int, name string) (*operator.Client, error) {
	token, err := l.Authority.Token(keys.Principal{Role: keys.RoleOperator, Name: name}, time.Now(), tokenLifetime)
	if err != nil {
		return nil, fmt.Errorf("deployment.Operator: %w", err)
	}
	c := &operator.Client{URL: "https://" + l.RunningEntries[i].CallerAddress(), Token: token, TLS: l.Authority.ClientTLS()}
	c.Open()
	return c, nil
}

// Caller returns a client for the caller API of entry i, with a token of the team.
func (l *Local) Caller(i int, team string) (*caller.Client, error) {
	token, err := l.Authority.Token(keys.Principal{Role: keys.RoleCaller, Team: team, Name: team}, time.Now(), tokenLifetime)
	if err != nil {
		return nil, fmt.Errorf("deployment.Caller: %w", err)
	}
	c := &caller.Client{URL: "https://" + l.RunningEntries[i].CallerAddress(), Token: token, TLS: l.Authority.ClientTLS()}
	c.Open()
	return c, nil
}

// Stop shuts all processes down gracefully, and returns when they have ended. If ctx is
// done earlier, it stops them at once, and the error names the unfinished work.
func (l *Local) Stop(ctx context.Context) error {
	l.stop()
	stopAfterFunc := context.AfterFunc(ctx, l.hardStop)
	defer stopAfterFunc()
	var errs []error
	for _, e := range l.RunningEntries {
		<-e.done
		errs = append(errs, cancellationError(e.err))
	}
	for _, a := range l.Agents {
		<-a.done
		errs = append(errs, cancellationError(a.err))
	}
	l.hardStop()
	return errors.Join(append(errs, l.group.wait())...)
}

// cancellationError returns err if a process was stopped before its work had finished.
// The group doesn't report this error, since it takes context.Canceled for a normal end.
func cancellationError(err error) error {
	if errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	return nil
}
