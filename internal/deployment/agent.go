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
	"sniperill.example/sniperill/internal/keys"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/settings"
	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// AgentProcess is an agent with its listeners. Its exported fields are set
// before Open.
type AgentProcess struct {
	Settings settings.Agent
	Keys     *keys.Pair
	Logger   zerolog.Logger

	agent *agent.Agent
	admin *tcpServer
	peers *peer.QUICServer
	pool  *peer.Pool
	// leaving is set once the agent takes no new work.
	leaving atomic.Bool
}

// Open opens the listeners, so that the addresses are known.
func (p *AgentProcess) Open() error {
	tlsConfig, err := p.Keys.TLS()
	if err != nil {
		return trace.Wrap(err)
	}
	traced, err := peer.Traced()
	if err != nil {
		return fmt.Errorf("deployment.Open: %w", err)
	}
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
		Peers:             newClients(p.pool, traced),
		WorkerClient:      sniperillv1connect.NewWorkerServiceClient(newPlainClient(), p.Settings.Worker, traced),
		BackendURL:        p.Settings.Backend,
		Log:               p.Logger.With().Str("name", p.Settings.Name).Logger(),
		Options:           []connect.HandlerOption{traced},
	}
	p.peers.SetHandler(countCalls(p.agent.Handler()))
	p.admin, err = listenAdmin(p.Settings.Admin, &telemetry.Admin{Ready: func() bool { return !p.leaving.Load() }})
	return trace.Wrap(err)
}

// PeerAddress returns the address for entries and other agents.
func (p *AgentProcess) PeerAddress() string { return p.agent.Address }

// Run serves until the context ends or an operator drains the worker, then
// leaves: requests and jobs in progress finish or checkpoint until hurry ends
// or the shutdown timeout is over.
func (p *AgentProcess) Run(ctx, hurry context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g := newGroup()
	g.start(p.peers.Serve)
	g.start(func() error { return p.agent.Run(working) })
	if p.admin != nil {
		g.start(p.admin.serve)
	}
	asked, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.agent.DrainRequested():
			cancel()
		case <-asked.Done():
		}
	}()
	err := g.awaitFailure(asked)
	p.leaving.Store(true)
	leaving, cancelLeaving := context.WithTimeout(hurry, time.Duration(p.Settings.ShutdownTimeout))
	defer cancelLeaving()
	err = errors.Join(err, p.agent.Leave(leaving))
	p.agent.KeepAnswers(leaving)
	stop()
	err = errors.Join(err, ignoreContextError(leaving, p.peers.Shutdown(leaving)))
	if p.admin != nil {
		err = errors.Join(err, p.admin.stop(leaving))
	}
	return errors.Join(err, p.pool.Close(), g.wait())
}
