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
	droppedMismatched = metrics.NewCounter(`sniperill_backend_answers_dropped_total{reason="crossed"}`)
	droppedIncomplete = metrics.NewCounter(`sniperill_backend_answers_dropped_total{reason="short"}`)
	droppedLate       = metrics.NewCounter(`sniperill_backend_answers_dropped_total{reason="late"}`)
	droppedTooLarge   = metrics.NewCounter(`sniperill_backend_answers_dropped_total{reason="too-large"}`)
	droppedFailed     = metrics.NewCounter(`sniperill_backend_answers_dropped_total{reason="failed"}`)
	silentConnections = metrics.NewCounter(`sniperill_backend_silent_connections_total`)
	pingsFailed       = metrics.NewCounter(`sniperill_backend_pings_failed_total`)
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TCP keep-alive settings, by which the kernel closes a connection whose other end
// no longer answers.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// maxCloseWait is how long a new connection waits for another one to be closed.
// net/http treats a connection as gone shortly before it closes it.
const maxCloseWait = 50 * time.Millisecond

// limitedDialer opens connections and keeps their number within a limit.
type limitedDialer struct {
	limiter   limiter
	dial      DialFunc
	closeIdle func()
	// freed holds a token if a connection may be available under the limit.
	freed chan struct{}
}

// acquire reserves a connection under the limit. If the limit is reached, it closes
// idle connections and waits up to maxCloseWait.
func (d *limitedDialer) acquire(ctx context.Context) error {
	if d.limiter.acquire() {
		return nil
	}
	// An idle connection counts towards the limit, and this one is needed now.
	d.closeIdle()
	wait := time.NewTimer(maxCloseWait)
	defer wait.Stop()
	for !d.limiter.acquire() {
		select {
		case <-d.freed:
		case <-wait.C:
			return ErrNoConnection
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNoConnection, ctx.Err())
		}
	}
	// One token may stand for several closed connections, so pass it on.
	d.signalFreed()
	return nil
}

func (d *limitedDialer) signalFreed() {
	select {
	case d.freed <- struct{}{}:
	default:
	}
}

func (d *limitedDialer) release() {
	d.limiter.release()
	d.signalFreed()
}

func (d *limitedDialer) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if err := d.acquire(ctx); err != nil {
		return nil, err
	}
	dial := d.dial
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
		d.release()
		return nil, err
	}
	return &conn{Conn: inner, onClose: d.release}, nil
}

type conn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

// Close closes the connection, which then no longer counts towards the limit.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.onClose)
	return err
}
