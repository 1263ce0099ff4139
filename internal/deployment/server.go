package deployment

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"sniperill.example/sniperill/internal/telemetry"
)

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// tcpServer is an HTTP server with the listener that it answers on.
type tcpServer struct {
	*http.Server

	listener net.Listener
}

// listenTCP opens an address for a handler; without TLS settings it is plain HTTP.
func listenTCP(address string, h http.Handler, config *tls.Config) (*tcpServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("deployment.listenTCP: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, Protocols: new(http.Protocols)}
	s.Protocols.SetHTTP1(true)
	if config == nil {
		s.Protocols.SetUnencryptedHTTP2(true)
		return &tcpServer{s, listener}, nil
	}
	s.Protocols.SetHTTP2(true)
	config = config.Clone()
	config.NextProtos = []string{"h2", "http/1.1"}
	s.TLSConfig = config
	return &tcpServer{s, tls.NewListener(listener, config)}, nil
}

// address returns the host and port that the server got.
func (s *tcpServer) address() string { return s.listener.Addr().String() }

// serve answers until the server is shut down.
func (s *tcpServer) serve() error {
	err := s.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// stop lets requests in progress end, then closes what is left.
func (s *tcpServer) stop(ctx context.Context) error {
	err := s.Shutdown(ctx)
	return errors.Join(ignoreContextError(ctx, err), s.Close())
}

// ignoreContextError drops the error of a listener that was cut short: it names nothing,
// while the entry's or agent's own does.
func ignoreContextError(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return trace.Wrap(err)
}

// listenAdmin opens the metrics and health address of a process; an empty
// address opens none.
func listenAdmin(address string, a *telemetry.Admin) (*tcpServer, error) {
	if address == "" {
		return nil, nil
	}
	return listenTCP(address, a.Handler(), nil)
}
