package backend

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	refusedNoSlot     = metrics.NewCounter(`sniperill_backend_refused_total{reason="no-slot"}`)
	droppedCrossed    = metrics.NewCounter(`sniperill_backend_answers_dropped_total{reason="crossed"}`)
	droppedShort      = metrics.NewCounter(`sniperill_backend_answers_dropped_total{reason="short"}`)
	droppedLate       = metrics.NewCounter(`sniperill_backend_answers_dropped_total{reason="late"}`)
	droppedTooLarge   = metrics.NewCounter(`sniperill_backend_answers_dropped_total{reason="too-large"}`)
	droppedFailed     = metrics.NewCounter(`sniperill_backend_answers_dropped_total{reason="failed"}`)
	silentConnections = metrics.NewCounter(`sniperill_backend_silent_connections_total`)
	pingsFailed       = metrics.NewCounter(`sniperill_backend_pings_failed_total`)
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Times after which the kernel gives up a connection whose other end is gone.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// maxCloseWait is how long a new connection waits for one that is being closed:
// net/http takes a connection for gone a moment before it closes it.
const maxCloseWait = 50 * time.Millisecond

// limitedDialer counts the open connections and keeps them within the limit.
type limitedDialer struct {
	limiter   limiter
	dial      DialFunc
	closeIdle func()
	// freed holds a token when a place may be free.
	freed chan struct{}
}

// acquire takes a place for a connection.
func (c *limitedDialer) acquire(ctx context.Context) error {
	if c.limiter.acquire() {
		return nil
	}
	// Kept connections make room for one that is needed now.
	c.closeIdle()
	wait := time.NewTimer(maxCloseWait)
	defer wait.Stop()
	for !c.limiter.acquire() {
		select {
		case <-c.freed:
		case <-wait.C:
			return ErrNoConnection
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNoConnection, ctx.Err())
		}
	}
	// One token may stand for several places.
	c.signalFreed()
	return nil
}

func (c *limitedDialer) signalFreed() {
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

func (c *limitedDialer) release() {
	c.limiter.release()
	c.signalFreed()
}

func (c *limitedDialer) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if err := c.acquire(ctx); err != nil {
		return nil, err
	}
	dial := c.dial
	if dial == nil {
		dial = (&net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		}}).DialContext
	}
	inner, err := dial(ctx, network, address)
	if err != nil {
		c.release()
		return nil, err
	}
	return &conn{Conn: inner, onClose: c.release}, nil
}

type conn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

// Close closes the connection and gives its place back.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.onClose)
	return err
}
