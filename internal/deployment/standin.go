package deployment

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"sniperill.example/sniperill/internal/standin"
)

// standInStopTimeout bounds the end of a stand-in.
const standInStopTimeout = time.Second

// StandInProcess serves a stand-in of the platform, a worker or a backend
// server over plain HTTP.
type StandInProcess struct {
	Handler http.Handler

	server *tcpServer
}

// Open opens the listener.
func (p *StandInProcess) Open(address string) error {
	var err error
	p.server, err = listenTCP(address, p.Handler, nil)
	return trace.Wrap(err)
}

// URL returns where the stand-in answers.
func (p *StandInProcess) URL() string { return "http://" + p.server.address() }

// Run serves until the context ends.
func (p *StandInProcess) Run(ctx context.Context) error {
	g := newGroup()
	g.start(p.server.serve)
	err := g.awaitFailure(ctx)
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), standInStopTimeout)
	defer cancel()
	_ = p.server.stop(stopping)
	return errors.Join(err, g.wait())
}

// NewBackend returns a backend server stand-in with a service time for all requests.
func NewBackend(slots int, service time.Duration) *standin.Backend {
	return &standin.Backend{Slots: slots, ServiceTime: func(string) time.Duration { return service }}
}
