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
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/frontdoor"
	"sniperill.example/sniperill/internal/telemetry"
)

// readHeaderTimeout limits how long a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// tcpServer is an HTTP server with its listener.
type tcpServer struct {
	*http.Server

	listener net.Listener
}

// HTTP/2 connections of clients.
const (
	// maxFrame is the smallest limit that the protocol allows. Room for a frame is taken once its head has arrived.
	maxFrame = 16 << 10
	// The streams and windows of a process whose memory is known are those of a few calls at a time with small bodies.
	maxStreams       = 100
	connectionWindow = 256 << 10
	streamWindow     = 128 << 10
)

// listenTCP opens a listener for an HTTP server. If config is nil, it serves plain HTTP. If door is nil, it admits
// all clients.
func listenTCP(address string, h http.Handler, config *tls.Config, door *frontdoor.Door) (*tcpServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("deployment.listenTCP: %w", err)
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: frontdoor.MaxHeaderBytes, Protocols: new(http.Protocols),
	}
	if door != nil {
		listener = door.Listener(listener)
		door.Apply(s)
		s.HTTP2 = &http.HTTP2Config{MaxReadFrameSize: maxFrame}
		if door.Limits.RuntimeBytes > 0 {
			s.HTTP2.MaxConcurrentStreams = maxStreams
			s.HTTP2.MaxReceiveBufferPerConnection, s.HTTP2.MaxReceiveBufferPerStream = connectionWindow, streamWindow
		}
	}
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

// address returns the host and port that the server listens on.
func (s *tcpServer) address() string { return s.listener.Addr().String() }

// serve answers requests until the server is shut down.
func (s *tcpServer) serve() error {
	err := s.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// stop waits until requests in progress have ended or ctx is done, then closes the server.
func (s *tcpServer) stop(ctx context.Context) error {
	err := s.Shutdown(ctx)
	return errors.Join(ignoreContextError(ctx, err), s.Close())
}

// ignoreContextError drops the error of a shutdown that ended early because ctx was done.
// It doesn't say what was unfinished; the error of the entry or agent does.
func ignoreContextError(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return trace.Wrap(err)
}

// listenAdmin opens the listener for the metrics and health of a process. It returns nil
// if the address is empty.
func listenAdmin(address string, a *telemetry.Admin, m frontdoor.Machine, log zerolog.Logger) (*tcpServer, error) {
	if address == "" {
		return nil, nil
	}
	return listenTCP(address, a.Handler(), nil, &frontdoor.Door{Name: "checks", Limits: m.CheckLimits(), Log: log})
}
