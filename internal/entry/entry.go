package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sniperill.example/sniperill/internal/admission"
	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/internal/roster"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// Entry handles requests and plans jobs. Its exported fields are set before Run.
type Entry struct {
	Name        string
	Place       shop.Place
	Address     string // Where agents and other entries reach this one.
	Incarnation uint64
	// Seeds are addresses of the load balancer or of other entries, used to join them.
	Seeds []string
	// Log is the platform's log.
	Log sniperillv1connect.LogServiceClient
	// Retention is the minimum time for which the log keeps a record.
	Retention time.Duration
	// Peers carries requests and plans. ControlPeers has separate connections for
	// pings and for calls that fetch, seal or acknowledge the outcome of a request.
	Peers        *peer.Clients
	ControlPeers *peer.Clients
	Times        gang.Times
	Now          func() time.Time
	Logger       zerolog.Logger
	Options      []connect.HandlerOption

	once           sync.Once
	streams        streams
	roster         *roster.Roster
	router         *request.Router
	admission      admission.Controller
	endedJobs      endedJobs
	planner        planner
	leaving        atomic.Bool
	tickets        tickets
	encoded        atomic.Pointer[encodedConfig]
	membership     membership
	appliedVersion atomic.Uint64
	inFlight       inFlightRequests
}

func (e *Entry) init() { e.once.Do(e.setUp) }

func (e *Entry) setUp() {
	if e.Now == nil {
		e.Now = time.Now
	}
	e.Times.SetDefaults()
	e.streams.setUp(e)
	e.setUpMembership()
	e.router = e.newRouter()
	e.admission.Now = e.Now
	e.planner.setUp(e)
}

// Handler serves EntryService to agents and to the other entries.
func (e *Entry) Handler() http.Handler {
	e.init()
	mux := http.NewServeMux()
	peer.Handle(mux, sniperillv1connect.EntryServiceHeartbeatProcedure, e.Heartbeat, e.Options...)
	peer.Handle(mux, sniperillv1connect.EntryServiceExchangeProcedure, e.Exchange, e.Options...)
	return peer.WithPing(mux)
}

// Run follows the log, exchanges state with agents and other entries, and plans
// until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	e.Logger.Info().Str("name", e.Name).Str("zone", e.Place.Zone).Msg("Entry started.")
	g, ctx := errgroup.WithContext(ctx)
	e.streams.run(ctx, g)
	e.runMembership(ctx, g)
	g.Go(func() error { return e.planLoop(ctx) })
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("entry.Run: %w", err)
	}
	return nil
}

// Ready reports whether the load balancer may send new callers and operators here:
// the entry is not leaving, and it knows the configuration or has read the log and
// found none.
func (e *Entry) Ready() bool {
	e.init()
	_, read := e.streams.followers[0].Staleness()
	return !e.leaving.Load() && (read || e.Config() != nil)
}

// Config returns the active configuration, or nil if there is none yet.
func (e *Entry) Config() *shop.Config {
	a := e.streams.configs.Current()
	if a == nil {
		return nil
	}
	return &a.Config
}

// Leave shuts the entry down gracefully: it stops being ready, tells the other
// entries that it is leaving, and returns when no caller's request is in progress.
// If the context ends first, the error names the unfinished requests.
func (e *Entry) Leave(ctx context.Context) error {
	e.init()
	e.leaving.Store(true)
	e.Logger.Info().Msg("Leaving.")
	e.announceLeave(ctx)
	e.endedJobs.notify()
	if err := e.inFlight.wait(ctx); err != nil {
		return fmt.Errorf("entry.Leave: %w", err)
	}
	return nil
}
