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

// Runner runs one process of the system from its settings. Its exported fields
// are set before a Run function is called.
type Runner struct {
	// Out gets the log lines, and the spans where the settings say so.
	Out io.Writer
	// OnListening is called once the process listens; nil calls nothing.
	OnListening func(Addresses)
}

// Addresses are where a process listens.
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

// RunEntry runs an entry until the context ends, then leaves until hurry ends.
func (r Runner) RunEntry(ctx, hurry context.Context, s settings.Entry) error {
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
	return errors.Join(p.Run(ctx, hurry), flush())
}

// RunAgent runs an agent until the context ends or an operator drains it, then
// leaves until hurry ends.
func (r Runner) RunAgent(ctx, hurry context.Context, s settings.Agent) error {
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
	return errors.Join(p.Run(ctx, hurry), flush())
}

// flushTimeout bounds how long the last spans of a process may take.
const flushTimeout = 2 * time.Second

func (r Runner) startTelemetry(ctx context.Context, s settings.Process, part string) (zerolog.Logger, func() error, error) {
	logger, err := telemetry.NewLogger(r.Out, s.Logging.Format, s.Logging.Level)
	if err != nil {
		return logger, nil, err
	}
	flush, err := s.Tracing.Start(ctx, "sniperill-"+part, s.Name, r.Out)
	if err != nil {
		return logger, nil, err
	}
	return telemetry.ComponentLogger(logger, part), func() error {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		return flush(ctx)
	}, nil
}

// StandInKind names a stand-in of what the system runs on.
type StandInKind string

// Stand-ins that RunStandIn knows.
const (
	StandInLog     StandInKind = "log"
	StandInWorker  StandInKind = "worker"
	StandInBackend StandInKind = "backend-server"
)

// errUnknownStandIn says that there is no stand-in of that name.
var errUnknownStandIn = errors.New("no such stand-in")

// RunStandIn runs a stand-in until the context ends.
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
		return nil, fmt.Errorf("deployment.newStandIn: %q: %w", kind, errUnknownStandIn)
	}
}
