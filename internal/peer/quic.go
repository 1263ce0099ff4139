package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Timeouts of a QUIC connection between processes.
const (
	handshakeTimeout = 800 * time.Millisecond
	// QUICIdleTimeout is how long a connection stays open without a packet. The longest
	// hold time of a heartbeat must be shorter.
	QUICIdleTimeout = 60 * time.Second
)

// Initial flow-control windows in bytes. They are small, as control messages are
// small.
const (
	streamWindow     = 64 << 10
	connectionWindow = 128 << 10
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 QUICIdleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
	}
}

// NewQUICPool returns a pool that sends calls over HTTP/3 with mutual TLS.
func NewQUICPool(config *tls.Config) *Pool {
	return &Pool{
		Scheme: "https",
		New: func(string) Transport {
			t := &http3.Transport{
				TLSClientConfig: config, QUICConfig: quicConfig(), DisableCompression: true, Dial: dial,
			}
			return Transport{RoundTrip: t.RoundTrip, Close: t.Close}
		},
	}
}

// dial opens a connection. Its errors wrap ErrNotConnected, as nothing was sent.
func dial(ctx context.Context, address string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
	conn, err := quic.DialAddrEarly(ctx, address, t, q)
	if err != nil {
		return nil, fmt.Errorf("peer.dial: %s: %w: %w", address, ErrNotConnected, err)
	}
	return conn, nil
}

// QUICServer serves calls between processes over HTTP/3 with mutual TLS.
type QUICServer struct {
	Config  *tls.Config
	Handler http.Handler

	conn   net.PacketConn
	server *http3.Server
}

// Listen opens the UDP address and returns the actual one, with the port that was
// chosen.
func (s *QUICServer) Listen(address string) (string, error) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return "", fmt.Errorf("peer.Listen: %w", err)
	}
	s.conn = conn
	s.server = &http3.Server{
		TLSConfig:  http3.ConfigureTLSConfig(s.Config),
		QUICConfig: quicConfig(),
	}
	if s.Handler != nil {
		s.SetHandler(s.Handler)
	}
	return conn.LocalAddr().String(), nil
}

// SetHandler sets the handler of the calls. It must be called after Listen and before
// Serve.
func (s *QUICServer) SetHandler(h http.Handler) { s.server.Handler = WithPing(h) }

// Serve handles calls until Shutdown.
func (s *QUICServer) Serve() error {
	err := s.server.Serve(s.conn)
	if err != nil && err != http.ErrServerClosed {
		return fmt.Errorf("peer.Serve: %w", err)
	}
	return nil
}

// Shutdown waits for the calls in progress, until ctx ends, and closes the server.
func (s *QUICServer) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	_ = s.server.Close()
	_ = s.conn.Close()
	return err
}

// WithPing returns a handler that answers pings itself and passes all other requests
// to h.
func WithPing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PingPath {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		h.ServeHTTP(w, r)
	})
}
