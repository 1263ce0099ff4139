package deployment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/settings"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// Runner runs one process of the system from its settings. Its exported fields must be
// set before a Run method is called.
type Runner struct {
	// Out receives the log lines, and the spans if the settings enable printing them.
	Out io.Writer
	// OnListening, if not nil, is called once the process listens.
	OnListening func(Addresses)
}

// Addresses are the addresses that a process listens on.
type Addresses struct {
	Callers string // Of an entry, over TCP.
	Peers   string // Of an entry or an agent, over UDP.
	URL     string // Of a stand-in.
}

func (r Runner) notifyListening(a Addresses) {
	if r.OnListening != nil {
		r.OnListening(a)
	}
}

// RunEntry runs an entry until ctx is done, then shuts it down gracefully unless
// hardStopCtx is done.
func (r Runner) RunEntry(ctx, hardStopCtx context.Context, s settings.Entry) error {
	logger, flush, err := r.startTelemetry(ctx, s.Process, "entry")
	if err != nil {
		return trace.Wrap(err)
	}
	pair, err := s.Keys.Pair()
	if err != nil {
		return trace.Wrap(err)
	}
	p := &EntryProcess{Settings: s, Keys: pair, Logger: logger}
	if err := p.Open(); err != nil {
		return trace.Wrap(err)
	}
	r.notifyListening(Addresses{Callers: p.CallerAddress(), Peers: p.PeerAddress()})
	return errors.Join(p.Run(ctx, hardStopCtx), flush())
}

// RunAgent runs an agent until ctx is done or an operator drains it, then shuts it down
// gracefully unless hardStopCtx is done.
func (r Runner) RunAgent(ctx, hardStopCtx context.Context, s settings.Agent) error {
	logger, flush, err := r.startTelemetry(ctx, s.Process, "agent")
	if err != nil {
		return trace.Wrap(err)
	}
	pair, err := s.Keys.Pair()
	if err != nil {
		return trace.Wrap(err)
	}
	p := &AgentProcess{Settings: s, Keys: pair, Logger: logger}
	if err := p.Open(); err != nil {
		return trace.Wrap(err)
	}
	r.notifyListening(Addresses{Peers: p.PeerAddress()})
	return errors.Join(p.Run(ctx, hardStopCtx), flush())
}

// flushTimeout limits how long a process exports its last spans at shutdown.
const flushTimeout = 2 * time.Second

// startTelemetry returns the logger of a process and starts its tracing. The returned
// function exports the remaining spans.
func (r Runner) startTelemetry(ctx context.Context, s settings.Process, component string) (zerolog.Logger, func() error, error) {
	logger, err := telemetry.NewLogger(r.Out, s.Logging.Format, s.Logging.Level)
	if err != nil {
		return logger, nil, err
	}
	flush, err := s.Tracing.Start(ctx, "sniperill-"+component, s.Name, r.Out)
	if err != nil {
		return logger, nil, err
	}
	return telemetry.ComponentLogger(logger, component), func() error {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		return flush(ctx)
	}, nil
}

// StandInKind is a service that the system needs and that a stand-in can replace.
type StandInKind string

// Kinds that RunStandIn accepts.
const (
	StandInLog     StandInKind = "log"
	StandInWorker  StandInKind = "worker"
	StandInBackend StandInKind = "backend-server"
)

var errUnknownStandIn = errors.New("no such stand-in")

// RunStandIn runs a stand-in until ctx is done.
func (r Runner) RunStandIn(ctx context.Context, kind StandInKind, s settings.StandIn) error {
	handler, err := newStandInHandler(kind, s)
	if err != nil {
		return trace.Wrap(err)
	}
	logger, err := telemetry.NewLogger(r.Out, s.Logging.Format, s.Logging.Level)
	if err != nil {
		return trace.Wrap(err)
	}
	p := &StandInProcess{Handler: handler}
	if err := p.Open(s.Listen); err != nil {
		return trace.Wrap(err)
	}
	logger = telemetry.ComponentLogger(logger, string(kind))
	logger.Info().Str("url", p.URL()).Msg("Stand-in started.")
	r.notifyListening(Addresses{URL: p.URL()})
	return p.Run(ctx)
}

func newStandInHandler(kind StandInKind, s settings.StandIn) (http.Handler, error) {
	switch kind {
	case StandInLog:
		l := &standin.Log{}
		l.SetFaults(standin.LogFaults{Delay: time.Duration(s.ServiceTime)})
		mux := http.NewServeMux()
		mux.Handle(sniperillv1connect.NewLogServiceHandler(l))
		return mux, nil
	case StandInWorker:
		return (&standin.Worker{Name: s.Name, TimeScale: s.TimeScale}).Handler(), nil
	case StandInBackend:
		return NewBackend(s.Slots, time.Duration(s.ServiceTime)), nil
	default:
		return nil, fmt.Errorf("deployment.newStandInHandler: %q: %w", kind, errUnknownStandIn)
	}
}
