package deployment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/caller"
	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/internal/frontdoor"
	"sniperill.example/sniperill/internal/keys"
	"sniperill.example/sniperill/internal/operator"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/settings"
	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// EntryProcess is an entry with its listeners. Its exported fields must be set before
// Open.
type EntryProcess struct {
	Settings settings.Entry
	Keys     *keys.Pair
	Logger   zerolog.Logger

	entry   *entry.Entry
	callers *tcpServer
	admin   *tcpServer
	peers   *peer.QUICServer
	pools   []*peer.Pool
}

// Open creates the entry and opens its listeners, after which the addresses are known.
func (p *EntryProcess) Open() error {
	tlsConfig, err := p.Keys.TLS()
	if err != nil {
		return trace.Wrap(err)
	}
	tracing, err := peer.Traced()
	if err != nil {
		return fmt.Errorf("deployment.Open: %w", err)
	}
	p.pools = []*peer.Pool{peer.NewQUICPool(tlsConfig), peer.NewQUICPool(tlsConfig)}
	p.entry = &entry.Entry{
		Name:         p.Settings.Name,
		Place:        p.Settings.Place,
		Incarnation:  uint64(time.Now().UnixNano()),
		Seeds:        p.Settings.Entries,
		Log:          sniperillv1connect.NewLogServiceClient(newPlainClient(), p.Settings.Log, tracing),
		Peers:        newClients(p.pools[0], tracing),
		ControlPeers: newClients(p.pools[1], tracing),
		Logger:       p.Logger.With().Str("name", p.Settings.Name).Logger(),
		Options:      []connect.HandlerOption{tracing},
	}
	p.peers = &peer.QUICServer{Config: tlsConfig}
	address, err := p.peers.Listen(p.Settings.Peers)
	if err != nil {
		return trace.Wrap(err)
	}
	p.entry.Address = address
	p.peers.SetHandler(countCalls(p.entry.Handler()))
	return p.openTCP(tracing)
}

// openTCP opens the listeners for callers and operators, and for metrics and health.
func (p *EntryProcess) openTCP(tracing connect.Option) error {
	serverTLS, err := p.Keys.ServerTLS()
	if err != nil {
		return trace.Wrap(err)
	}
	key, err := p.Keys.TokenKey()
	if err != nil {
		return trace.Wrap(err)
	}
	mux := http.NewServeMux()
	callers := &caller.Handler{
		Entry:   p.entry,
		Auth:    &caller.Authenticator{Key: key, Role: keys.RoleCaller, Now: time.Now},
		Options: []connect.HandlerOption{tracing},
	}
	callers.Register(mux)
	operators := &operator.Handler{
		Entry:   p.entry,
		Auth:    &caller.Authenticator{Key: key, Role: keys.RoleOperator, Now: time.Now},
		Options: []connect.HandlerOption{tracing},
	}
	operators.Register(mux)
	log := p.Logger.With().Str("name", p.Settings.Name).Logger()
	machine := frontdoor.Machine{MemoryMB: int(p.Settings.Memory >> 20), Descriptors: p.Settings.Descriptors}
	machine.LimitMemory()
	door := &frontdoor.Door{Name: "callers", Limits: machine.Limits(), Team: callers.Auth.Team, Log: log}
	if p.callers, err = listenTCP(p.Settings.Callers, mux, serverTLS, door); err != nil {
		return trace.Wrap(err)
	}
	p.admin, err = listenAdmin(p.Settings.Admin, &telemetry.Admin{Ready: p.entry.Ready, Metrics: entryMetrics(p.entry)}, machine, log)
	return trace.Wrap(err)
}

// CallerAddress returns the address that callers and operators use.
func (p *EntryProcess) CallerAddress() string { return p.callers.address() }

// PeerAddress returns the address that agents and other entries use.
func (p *EntryProcess) PeerAddress() string { return p.entry.Address }

// AdminAddress returns the address of /metrics, /livez and /readyz, or "" if none is
// configured.
func (p *EntryProcess) AdminAddress() string {
	if p.admin == nil {
		return ""
	}
	return p.admin.address()
}

// SetSeeds sets the addresses of other entries. It must be called before Run.
func (p *EntryProcess) SetSeeds(addresses []string) { p.entry.Seeds = addresses }

// Run serves until ctx is done, then shuts down gracefully: requests in progress finish
// unless hardStopCtx is done or the shutdown timeout has passed before.
func (p *EntryProcess) Run(ctx, hardStopCtx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g := newGroup()
	g.start(p.callers.serve)
	g.start(p.peers.Serve)
	g.start(func() error { return p.entry.Run(workCtx) })
	if p.admin != nil {
		g.start(p.admin.serve)
	}
	err := g.awaitFailure(ctx)
	leaveCtx, cancel := context.WithTimeout(hardStopCtx, time.Duration(p.Settings.ShutdownTimeout))
	defer cancel()
	err = errors.Join(err, p.entry.Leave(leaveCtx), p.callers.stop(leaveCtx), ignoreContextError(leaveCtx, p.peers.Shutdown(leaveCtx)))
	stop()
	if p.admin != nil {
		err = errors.Join(err, p.admin.stop(leaveCtx))
	}
	for _, pool := range p.pools {
		err = errors.Join(err, pool.Close())
	}
	return errors.Join(err, g.wait())
}
