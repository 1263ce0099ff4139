package deployment

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/agent"
	"sniperill.example/sniperill/internal/frontdoor"
	"sniperill.example/sniperill/internal/keys"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/settings"
	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// AgentProcess is an agent with its listeners. Its exported fields must be set before
// Open.
type AgentProcess struct {
	Settings settings.Agent
	Keys     *keys.Pair
	Logger   zerolog.Logger

	agent *agent.Agent
	admin *tcpServer
	peers *peer.QUICServer
	pool  *peer.Pool
	// leaving is set when the shutdown starts; the agent then reports that it isn't ready.
	leaving atomic.Bool
}

// Open creates the agent and opens its listeners, after which the addresses are known.
func (p *AgentProcess) Open() error {
	tlsConfig, err := p.Keys.TLS()
	if err != nil {
		return trace.Wrap(err)
	}
	tracing, err := peer.Traced()
	if err != nil {
		return fmt.Errorf("deployment.Open: %w", err)
	}
	machine := frontdoor.Machine{MemoryMB: int(p.Settings.ProcessMemory >> 20), Descriptors: p.Settings.Descriptors}
	machine.LimitMemory()
	p.pool = peer.NewQUICPool(tlsConfig)
	p.peers = &peer.QUICServer{Config: tlsConfig}
	address, err := p.peers.Listen(p.Settings.Peers)
	if err != nil {
		return trace.Wrap(err)
	}
	p.agent = &agent.Agent{
		Worker: shop.Worker{
			Place: p.Settings.Place, Accelerators: p.Settings.Accelerators,
			Cores: p.Settings.Cores, Memory: p.Settings.Memory,
		},
		Address:           address,
		Incarnation:       uint64(time.Now().UnixNano()),
		AnnounceAddresses: p.Settings.Entries,
		Peers:             newClients(p.pool, tracing),
		WorkerClient:      sniperillv1connect.NewWorkerServiceClient(newPlainClient(), p.Settings.Worker, tracing),
		BackendURL:        p.Settings.Backend,
		Log:               p.Logger.With().Str("name", p.Settings.Name).Logger(),
		Options:           []connect.HandlerOption{tracing},
	}
	p.peers.SetHandler(countCalls(p.agent.Handler()))
	p.admin, err = listenAdmin(p.Settings.Admin, &telemetry.Admin{Ready: func() bool { return !p.leaving.Load() }}, machine, p.agent.Log)
	return trace.Wrap(err)
}

// PeerAddress returns the address that entries and other agents use.
func (p *AgentProcess) PeerAddress() string { return p.agent.Address }

// Run serves until ctx is done or an operator drains the worker, then shuts down
// gracefully: requests in progress finish, and jobs finish or checkpoint. The graceful
// part ends early when hardStopCtx is done or the shutdown timeout has passed.
func (p *AgentProcess) Run(ctx, hardStopCtx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g := newGroup()
	g.start(p.peers.Serve)
	g.start(func() error { return p.agent.Run(workCtx) })
	if p.admin != nil {
		g.start(p.admin.serve)
	}
	drainCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.agent.DrainRequested():
			cancel()
		case <-drainCtx.Done():
		}
	}()
	err := g.awaitFailure(drainCtx)
	p.leaving.Store(true)
	leaveCtx, cancelLeave := context.WithTimeout(hardStopCtx, time.Duration(p.Settings.ShutdownTimeout))
	defer cancelLeave()
	err = errors.Join(err, p.agent.Leave(leaveCtx))
	p.agent.KeepAnswers(leaveCtx)
	stop()
	err = errors.Join(err, ignoreContextError(leaveCtx, p.peers.Shutdown(leaveCtx)))
	if p.admin != nil {
		err = errors.Join(err, p.admin.stop(leaveCtx))
	}
	return errors.Join(err, p.pool.Close(), g.wait())
}
