// Package peer carries calls between the system's own processes.
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

// PingPath answers pings on every listener between the system's processes.
const PingPath = "/ping"

// Defaults of a Pool.
const (
	DefaultPingAfter   = 800 * time.Millisecond
	DefaultPingTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is long enough for the rarest heartbeat.
	DefaultIdleTimeout = 5 * time.Minute
)

// Errors of calls between processes.
var (
	// ErrConnectionReplaced says that a call's connection went silent and was replaced;
	// whether the call took effect is not known.
	ErrConnectionReplaced = errors.New("connection went silent and was replaced")
	// ErrNotConnected says that no connection to the peer could be opened, so
	// that it never got the call.
	ErrNotConnected = errors.New("not connected")
	// ErrPoolClosed says that the pool takes no more calls.
	ErrPoolClosed = errors.New("pool is closed")
)

// Transport carries calls to one address over connections of its own.
type Transport struct {
	RoundTrip func(*http.Request) (*http.Response, error)
	Close     func() error
}

// Pool keeps a transport for each address. A call that takes long, or ends without
// an answer in time, makes it ping the same connection; when that stays silent while a fresh connection answers,
// the fresh one replaces it and the calls on the old one end with ErrMoved.
type Pool struct {
	// New opens a transport for an address; required.
	New func(address string) Transport
	// Scheme of the ping requests.
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
	ctx     context.Context
	cancel  context.CancelCauseFunc
	checkMu sync.Mutex
	// lastUsed is when a call last began, in Unix nanoseconds, and calls how many
	// are in progress.
	lastUsed        atomic.Int64
	callsInProgress atomic.Int64
}

// Client returns an HTTP client that calls through the pool.
func (p *Pool) Client() *http.Client { return &http.Client{Transport: p} }

// RoundTrip sends a request over the transport of its host.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	l, err := p.transport(r.URL.Host)
	if err != nil {
		return nil, err
	}
	l.lastUsed.Store(time.Now().UnixNano())
	l.callsInProgress.Add(1)
	ctx, cancel := context.WithCancelCause(r.Context())
	stop := context.AfterFunc(l.ctx, func() { cancel(context.Cause(l.ctx)) })
	watch := p.watch(ctx, l, holdTimesFrom(ctx))
	end := sync.OnceFunc(func() {
		l.callsInProgress.Add(-1)
		watch.Stop()
		stop()
		cancel(nil)
	})
	response, err := l.RoundTrip(r.WithContext(ctx))
	if err != nil {
		end()
		if errors.Is(r.Context().Err(), context.DeadlineExceeded) {
			// A call may be shorter than the silence that the watch waits for.
			go p.checkConnection(l)
		}
		if cause := context.Cause(l.ctx); cause != nil && r.Context().Err() == nil {
			return nil, fmt.Errorf("peer.RoundTrip: %s: %w", l.address, cause)
		}
		return nil, err
	}
	response.Body = &watchedBody{ReadCloser: response.Body, done: end}
	return response, nil
}

// watch examines the line again and again until the call's context ends.
func (p *Pool) watch(ctx context.Context, l *pooledTransport, h holdTimes) *time.Timer {
	var timer *time.Timer
	armed := make(chan struct{})
	timer = time.AfterFunc(h.beforeFirstPing+p.pingAfter(), func() {
		<-armed
		if ctx.Err() != nil {
			return
		}
		p.checkConnection(l)
		timer.Reset(h.beforeNextPing + p.pingAfter())
	})
	close(armed)
	return timer
}

type holdTimesKey struct{}

// holdTimes is how much longer than usual a call may stay unanswered before its
// connection is examined, first and again.
type holdTimes struct{ beforeFirstPing, beforeNextPing time.Duration }

// WithHoldTime tells the pool that the other end may hold the answer of a call for a
// while, so that only a longer silence means anything.
func WithHoldTime(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, holdTimesKey{}, holdTimes{beforeFirstPing: d})
}

// WithHoldTimeAfterFirstPing is Held for a call that the other end must get soon: its
// connection is examined once without waiting for the hold.
func WithHoldTimeAfterFirstPing(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, holdTimesKey{}, holdTimes{beforeNextPing: d})
}

func holdTimesFrom(ctx context.Context) holdTimes {
	h, _ := ctx.Value(holdTimesKey{}).(holdTimes)
	return h
}

// watchedBody ends the watch over a call when its answer has been read.
type watchedBody struct {
	io.ReadCloser

	done func()
}

func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.done()
	return err
}

// CheckConnection pings the address's connection as if a call over it took long.
func (p *Pool) CheckConnection(address string) {
	l, err := p.transport(address)
	if err != nil {
		return
	}
	p.checkConnection(l)
}

// Close ends every transport.
func (p *Pool) Close() error {
	p.mu.Lock()
	lines := p.transports
	p.transports = nil
	p.closed = true
	p.mu.Unlock()
	var errs []error
	for _, l := range lines {
		l.cancel(ErrPoolClosed)
		errs = append(errs, l.Transport.Close())
	}
	return errors.Join(errs...)
}

func (p *Pool) transport(address string) (*pooledTransport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fmt.Errorf("peer.line: %s: %w", address, ErrPoolClosed)
	}
	if l, ok := p.transports[address]; ok {
		return l, nil
	}
	if p.transports == nil {
		p.transports = make(map[string]*pooledTransport)
		p.replacements = metrics.GetOrCreateCounter("sniperill_peer_moved_total")
	}
	p.closeIdle()
	l := p.open(address)
	p.transports[address] = l
	return l, nil
}

// closeIdle closes the transports to peers that are no longer called, such as
// those that were replaced under another address.
func (p *Pool) closeIdle() {
	after := p.IdleTimeout
	if after == 0 {
		after = DefaultIdleTimeout
	}
	for address, l := range p.transports {
		if l.callsInProgress.Load() > 0 || time.Since(time.Unix(0, l.lastUsed.Load())) < after {
			continue
		}
		delete(p.transports, address)
		l.cancel(ErrConnectionReplaced)
		_ = l.Transport.Close()
	}
}

func (p *Pool) open(address string) *pooledTransport {
	ctx, cancel := context.WithCancelCause(context.Background())
	l := &pooledTransport{Transport: p.New(address), address: address, ctx: ctx, cancel: cancel}
	l.lastUsed.Store(time.Now().UnixNano())
	return l
}

// checkConnection replaces the line when it stays silent and a fresh one answers.
func (p *Pool) checkConnection(l *pooledTransport) {
	if !l.checkMu.TryLock() {
		return
	}
	defer l.checkMu.Unlock()
	if l.ctx.Err() != nil || p.ping(l.ctx, l) == nil {
		return
	}
	fresh := p.open(l.address)
	if err := p.ping(l.ctx, fresh); err != nil {
		_ = fresh.Transport.Close()
		return
	}
	p.replace(l, fresh)
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

func (p *Pool) ping(ctx context.Context, l *pooledTransport) error {
	ctx, cancel := context.WithTimeout(ctx, p.pingTimeout())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Scheme+"://"+l.address+PingPath, nil)
	if err != nil {
		return fmt.Errorf("peer.ping: %w", err)
	}
	response, err := l.RoundTrip(r)
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
