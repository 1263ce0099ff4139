package deployment

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"sniperill.example/sniperill/internal/standin"
)

// standInStopTimeout limits the graceful shutdown of a stand-in.
const standInStopTimeout = time.Second

// StandInProcess serves a stand-in for the platform, a worker or a backend server over
// plain HTTP.
type StandInProcess struct {
	Handler http.Handler

	server *tcpServer
}

// Open opens the listener.
func (p *StandInProcess) Open(address string) error {
	var err error
	p.server, err = listenTCP(address, p.Handler, nil, nil)
	return trace.Wrap(err)
}

// URL returns the URL of the stand-in.
func (p *StandInProcess) URL() string { return "http://" + p.server.address() }

// Run serves until ctx is done.
func (p *StandInProcess) Run(ctx context.Context) error {
	g := newGroup()
	g.start(p.server.serve)
	err := g.awaitFailure(ctx)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), standInStopTimeout)
	defer cancel()
	_ = p.server.stop(stopCtx)
	return errors.Join(err, g.wait())
}

// NewBackend returns a stand-in for a backend server that takes serviceTime for every
// request.
func NewBackend(slots int, serviceTime time.Duration) *standin.Backend {
	return &standin.Backend{Slots: slots, ServiceTime: func(string) time.Duration { return serviceTime }}
}
