package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"sniperill.example/sniperill/pkg/shop"
)

// Listener is an in-memory net.Listener with a dialer, for servers under test.
// It works on virtual time.
type Listener struct {
	// Refuse makes new connections fail.
	Refuse atomic.Bool
	// Silent discards everything that clients send on connections that are already open, while
	// connections that are opened later work.
	Silent atomic.Bool

	conns  chan net.Conn
	done   chan struct{}
	close  sync.Once
	dialed atomic.Int64
}

// listenBacklog is the maximum number of connections that wait to be accepted.
const listenBacklog = 128

// NewListener returns a listener that is ready to accept.
func NewListener() *Listener {
	return &Listener{
		conns: make(chan net.Conn, listenBacklog),
		done:  make(chan struct{}),
	}
}

// Accept waits for and returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops accepting.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.done) })
	return nil
}

// Addr is the listener's address, which has no meaning outside this process.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "memory"} }

// Dialed returns the number of connections opened.
func (l *Listener) Dialed() int { return int(l.dialed.Load()) }

// Dial opens a connection to the listener; it ignores the address.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if l.Refuse.Load() {
		return nil, fmt.Errorf("standin.Dial: refused: %w", shop.ErrUnavailable)
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		l.dialed.Add(1)
		return &silentConn{Conn: near, listener: l, exempt: l.Silent.Load()}, nil
	case <-l.done:
		return nil, fmt.Errorf("standin.Dial: closed: %w", shop.ErrUnavailable)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// silentConn discards what is written to it while its listener is silent.
type silentConn struct {
	net.Conn
	listener *Listener
	// exempt says that the connection was opened while the listener was silent, and works.
	exempt bool
}

// Write sends b, or discards it and reports success.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.listener.Silent.Load() && !c.exempt {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
