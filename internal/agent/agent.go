package agent

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// renewInterval is the time between the renewals of a gang that an agent leads. With
// 2 s, the lead of a gang on 64 agents stays within the 17 KB/s that a node may spend
// on control messages, and a lost renewal round can be repeated within the lease.
const renewInterval = 2 * time.Second

// How long an agent that has left continues to serve answers.
const (
	keepRequestAnswersFor = 2 * time.Second
	keepAnswersFor        = 10 * time.Second // Limit for the answers of jobs.
)

// Agent controls one worker and the backend server on the same machine. Its exported
// fields must be set before the first call of a method.
type Agent struct {
	shop.Worker

	// Address is where entries and other agents reach this agent.
	Address string
	// Incarnation grows with each start of the process.
	Incarnation uint64
	// AnnounceAddresses are the addresses of the load balancer or of entries, which
	// the agent announces itself to while it knows no entry.
	AnnounceAddresses []string
	// Peers calls entries and other agents.
	Peers *peer.Clients
	// WorkerClient calls the platform's worker.
	WorkerClient sniperillv1connect.WorkerServiceClient
	// BackendURL is the URL of the backend server, empty if there is none.
	BackendURL string
	// DialBackend opens connections to the backend server. If nil, TCP is used.
	DialBackend backend.DialFunc
	Times       gang.Times
	Now         func() time.Time
	Log         zerolog.Logger
	Options     []connect.HandlerOption

	once      sync.Once
	allocator *gang.Allocator
	table     *request.Table
	// backend is created with the first configuration that has a backend server. It
	// is guarded by config.mu.
	backend       *backend.Server
	activeBackend atomic.Pointer[activeBackend]
	report        reporter
	config        configuration
	// drainRequested is closed when an entry asks the agent to leave.
	drainRequested     chan struct{}
	drainRequestedOnce sync.Once
}

// activeBackend is the backend server with the classes that it currently serves.
type activeBackend struct {
	*backend.Server

	classes []string
}

func (a *Agent) init() { a.once.Do(a.setUp) }

func (a *Agent) setUp() {
	if a.Now == nil {
		a.Now = time.Now
	}
	if a.Times.RenewInterval == 0 {
		a.Times.RenewInterval = renewInterval
	}
	a.drainRequested = make(chan struct{})
	a.report.changed = make(chan struct{}, 1)
	a.report.left = make(chan struct{})
	a.allocator = a.newAllocator()
	a.table = &request.Table{
		Agent:       a.Place.Worker,
		Incarnation: a.Incarnation,
		Now:         a.Now,
		Send:        a.send,
	}
}

// Name returns the name of the agent, which is the name of its worker.
func (a *Agent) Name() string { return a.Place.Worker }

// Handler returns the HTTP handler of AgentService.
func (a *Agent) Handler() http.Handler {
	a.init()
	mux := http.NewServeMux()
	peer.Handle(mux, sniperillv1connect.AgentServiceHoldProcedure, a.allocator.Hold, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServicePrepareProcedure, a.allocator.Prepare, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServiceReleaseProcedure, a.allocator.Release, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServiceRenewProcedure, a.allocator.Renew, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServiceAbandonProcedure, a.allocator.Abandon, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServicePreemptProcedure, a.allocator.Preempt, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServiceOwnProcedure, a.allocator.Own, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServiceServeProcedure, a.table.Serve, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServiceFetchAnswerProcedure, a.fetchAnswer, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServiceAcknowledgeProcedure, a.acknowledge, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServiceSealProcedure, a.table.Seal, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServiceLeaveProcedure, a.handleLeave, a.Options...)
	peer.Handle(mux, sniperillv1connect.AgentServicePingProcedure, a.ping, a.Options...)
	return peer.WithPing(mux)
}

// Run sends heartbeats to entries and renews leases until ctx is done.
func (a *Agent) Run(ctx context.Context) error {
	a.init()
	a.Log.Info().Str("worker", a.Name()).Uint64("incarnation", a.Incarnation).Msg("Agent started.")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		a.tick(ctx)
		return nil
	})
	g.Go(func() error { return a.heartbeat(ctx) })
	err := g.Wait()
	if s := a.activeBackend.Load(); s != nil {
		s.Close()
	}
	return err
}

// DrainRequested returns a channel that is closed when an operator's request to
// drain has reached the agent.
func (a *Agent) DrainRequested() <-chan struct{} {
	a.init()
	return a.drainRequested
}

func (a *Agent) handleLeave(context.Context, *sniperillv1.LeaveRequest) (*sniperillv1.LeaveResponse, error) {
	a.drainRequestedOnce.Do(func() { close(a.drainRequested) })
	return &sniperillv1.LeaveResponse{}, nil
}

// Leave makes the agent refuse new work, tells the entries, and returns when no
// request or task runs any more. If ctx is done first, the error names the unfinished
// work. Answers are kept until Run's context is done.
func (a *Agent) Leave(ctx context.Context) error {
	a.init()
	a.Log.Info().Msg("Leaving.")
	a.allocator.Leave()
	a.table.Leave()
	a.report.leave()
	if err := a.table.Drain(ctx); err != nil {
		return fmt.Errorf("agent.Leave: %w", err)
	}
	return a.drainTasks(ctx)
}

// KeepAnswers blocks while an agent that has left still serves answers: for
// keepRequestAnswersFor, and for up to keepAnswersFor while an entry has not yet
// acknowledged the end of a job. It returns earlier if ctx is done.
func (a *Agent) KeepAnswers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keepAnswersFor)
	defer cancel()
	requestsUntil := a.Now().Add(keepRequestAnswersFor)
	for a.Now().Before(requestsUntil) || a.hasUnacknowledgedJob() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// hasUnacknowledgedJob reports whether an entry has yet to record and acknowledge the
// end of a job that this agent led.
func (a *Agent) hasUnacknowledgedJob() bool {
	for _, t := range a.allocator.State().Tasks {
		if gang.TaskState(t.State) == gang.Done && t.Lead {
			return true
		}
	}
	return false
}

// tick calls the allocator's Tick periodically, which renews leases and collects
// ended tasks.
func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(gang.TickInterval)
	defer ticker.Stop()
	for {
		a.allocator.Tick(ctx)
		a.report.setAllocatorState(a.allocator.State())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
