// Package peer carries calls between the processes of the system: their connections,
// clients, handlers and errors.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// PingPath is the path of pings on every listener for the system's own processes.
const PingPath = "/ping"

// Defaults of a Pool.
const (
	DefaultPingAfter   = 800 * time.Millisecond
	DefaultPingTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is longer than the interval of the rarest heartbeats.
	DefaultIdleTimeout = 5 * time.Minute
)

// Errors of calls between processes.
var (
	// ErrConnectionReplaced is returned when the connection of a call went silent
	// and was replaced. Whether the call took effect is not known.
	ErrConnectionReplaced = errors.New("connection went silent and was replaced")
	// ErrNotConnected is returned when no connection to the peer could be opened,
	// so that it never got the call.
	ErrNotConnected = errors.New("not connected")
	// ErrPoolClosed is returned by calls through a closed pool.
	ErrPoolClosed = errors.New("pool is closed")
)

// Transport sends calls to one address over its own connections.
type Transport struct {
	RoundTrip func(*http.Request) (*http.Response, error)
	Close     func() error
}

// Pool keeps a transport for each address. When a call takes longer than PingAfter,
// or its deadline passes without an answer, the pool pings the peer on the same
// connection. If that ping fails and one on a new connection succeeds, the new
// connection replaces the old one, and the calls on the old one end with
// ErrConnectionReplaced.
type Pool struct {
	// New opens a transport for an address; required.
	New func(address string) Transport
	// Scheme is the URL scheme of the ping requests.
	Scheme string
	// PingAfter is how long a call may take before its connection is pinged.
	PingAfter time.Duration
	// PingTimeout is how long a ping may take.
	PingTimeout time.Duration
	// IdleTimeout is how long an unused transport is kept.
	IdleTimeout time.Duration

	mu           sync.Mutex
	transports   map[string]*pooledTransport
	closed       bool
	replacements *metrics.Counter
}

// pooledTransport is the transport in use for one address.
type pooledTransport struct {
	Transport

	address string
	ctx     context.Context // Ends when the transport is closed or replaced.
	cancel  context.CancelCauseFunc
	checkMu sync.Mutex // Held while the connection is checked.
	// lastUsed is when a call last started, in Unix nanoseconds.
	lastUsed        atomic.Int64
	callsInProgress atomic.Int64
}

// Client returns an HTTP client that calls through the pool.
func (p *Pool) Client() *http.Client { return &http.Client{Transport: p} }

// RoundTrip sends a request over the transport of its host.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	t, err := p.transport(r.URL.Host)
	if err != nil {
		return nil, err
	}
	t.lastUsed.Store(time.Now().UnixNano())
	t.callsInProgress.Add(1)
	ctx, cancel := context.WithCancelCause(r.Context())
	stop := context.AfterFunc(t.ctx, func() { cancel(context.Cause(t.ctx)) })
	watch := p.watch(ctx, t, holdTimesFrom(ctx))
	end := sync.OnceFunc(func() {
		t.callsInProgress.Add(-1)
		watch.Stop()
		stop()
		cancel(nil)
	})
	response, err := t.RoundTrip(r.WithContext(ctx))
	if err != nil {
		end()
		if errors.Is(r.Context().Err(), context.DeadlineExceeded) {
			// The deadline of a call may be shorter than the time after which watch
			// checks the connection.
			go p.checkConnection(t)
		}
		if cause := context.Cause(t.ctx); cause != nil && r.Context().Err() == nil {
			return nil, fmt.Errorf("peer.RoundTrip: %s: %w", t.address, cause)
		}
		return nil, err
	}
	response.Body = &watchedBody{ReadCloser: response.Body, done: end}
	return response, nil
}

// watch checks the connection of a call periodically until the call's context ends.
func (p *Pool) watch(ctx context.Context, t *pooledTransport, h holdTimes) *time.Timer {
	var timer *time.Timer
	// The function of the timer uses the variable, so it waits until that is set.
	armed := make(chan struct{})
	timer = time.AfterFunc(h.beforeFirstPing+p.pingAfter(), func() {
		<-armed
		if ctx.Err() != nil {
			return
		}
		p.checkConnection(t)
		timer.Reset(h.beforeNextPing + p.pingAfter())
	})
	close(armed)
	return timer
}

type holdTimesKey struct{}

// holdTimes holds how much longer than PingAfter a call may stay unanswered before
// its connection is pinged for the first time, and before each later ping.
type holdTimes struct{ beforeFirstPing, beforeNextPing time.Duration }

// WithHoldTime returns a context that tells the pool that the other end may hold the
// answer to a call for d. The connection is pinged only after a longer silence.
func WithHoldTime(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, holdTimesKey{}, holdTimes{beforeFirstPing: d})
}

// WithHoldTimeAfterFirstPing is like WithHoldTime, for a call that must reach the
// other end soon: the first ping does not wait for the hold time.
func WithHoldTimeAfterFirstPing(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, holdTimesKey{}, holdTimes{beforeNextPing: d})
}

func holdTimesFrom(ctx context.Context) holdTimes {
	h, _ := ctx.Value(holdTimesKey{}).(holdTimes)
	return h
}

// watchedBody ends the checks for a call when the body of its answer is closed.
type watchedBody struct {
	io.ReadCloser

	done func()
}

func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.done()
	return err
}

// CheckConnection checks the connection to an address as if a call over it took
// longer than PingAfter.
func (p *Pool) CheckConnection(address string) {
	t, err := p.transport(address)
	if err != nil {
		return
	}
	p.checkConnection(t)
}

// Close closes every transport. Calls in progress end with ErrPoolClosed.
func (p *Pool) Close() error {
	p.mu.Lock()
	transports := p.transports
	p.transports = nil
	p.closed = true
	p.mu.Unlock()
	var errs []error
	for _, t := range transports {
		t.cancel(ErrPoolClosed)
		errs = append(errs, t.Transport.Close())
	}
	return errors.Join(errs...)
}

func (p *Pool) transport(address string) (*pooledTransport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fmt.Errorf("peer.line: %s: %w", address, ErrPoolClosed)
	}
	if t, ok := p.transports[address]; ok {
		return t, nil
	}
	if p.transports == nil {
		p.transports = make(map[string]*pooledTransport)
		p.replacements = metrics.GetOrCreateCounter("sniperill_peer_moved_total")
	}
	p.closeIdle()
	t := p.open(address)
	p.transports[address] = t
	return t, nil
}

// closeIdle closes the transports to peers that are no longer called, such as those
// whose replacement has another address.
func (p *Pool) closeIdle() {
	timeout := p.IdleTimeout
	if timeout == 0 {
		timeout = DefaultIdleTimeout
	}
	for address, t := range p.transports {
		if t.callsInProgress.Load() > 0 || time.Since(time.Unix(0, t.lastUsed.Load())) < timeout {
			continue
		}
		delete(p.transports, address)
		t.cancel(ErrConnectionReplaced)
		_ = t.Transport.Close()
	}
}

func (p *Pool) open(address string) *pooledTransport {
	ctx, cancel := context.WithCancelCause(context.Background())
	t := &pooledTransport{Transport: p.New(address), address: address, ctx: ctx, cancel: cancel}
	t.lastUsed.Store(time.Now().UnixNano())
	return t
}

// checkConnection replaces the transport when a ping over it fails and one over a new
// transport succeeds. It returns at once when a check is in progress.
func (p *Pool) checkConnection(t *pooledTransport) {
	if !t.checkMu.TryLock() {
		return
	}
	defer t.checkMu.Unlock()
	if t.ctx.Err() != nil || p.ping(t.ctx, t) == nil {
		return
	}
	fresh := p.open(t.address)
	if err := p.ping(t.ctx, fresh); err != nil {
		_ = fresh.Transport.Close()
		return
	}
	p.replace(t, fresh)
}

func (p *Pool) replace(old, fresh *pooledTransport) {
	p.mu.Lock()
	if p.closed || p.transports[old.address] != old {
		p.mu.Unlock()
		_ = fresh.Transport.Close()
		return
	}
	p.transports[old.address] = fresh
	p.mu.Unlock()
	p.replacements.Inc()
	old.cancel(ErrConnectionReplaced)
	_ = old.Transport.Close()
}

func (p *Pool) ping(ctx context.Context, t *pooledTransport) error {
	ctx, cancel := context.WithTimeout(ctx, p.pingTimeout())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Scheme+"://"+t.address+PingPath, nil)
	if err != nil {
		return fmt.Errorf("peer.ping: %w", err)
	}
	response, err := t.RoundTrip(r)
	if err != nil {
		return fmt.Errorf("peer.ping: %w", err)
	}
	return response.Body.Close()
}

func (p *Pool) pingAfter() time.Duration {
	if p.PingAfter > 0 {
		return p.PingAfter
	}
	return DefaultPingAfter
}

func (p *Pool) pingTimeout() time.Duration {
	if p.PingTimeout > 0 {
		return p.PingTimeout
	}
	return DefaultPingTimeout
}
