package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"sniperill.example/sniperill/pkg/shop"
)

// Defaults of a server.
const (
	DefaultPingAfter        = 2 * time.Second
	DefaultPingTimeout      = 500 * time.Millisecond
	DefaultAbandonedTimeout = time.Minute
	DefaultIdleTimeout      = 5 * time.Second
	DefaultMaxAnswer        = 64 * shop.MiB
)

// Server is one backend server as its agent sees it. Set the exported fields
// before the first Send.
type Server struct {
	// URL of the server, without a path.
	URL string
	// Slots bounds the requests in progress, until SetLimits changes that.
	Slots int
	// Connections bounds the open connections, until SetLimits changes that.
	Connections int
	// PingAfter is how long a request on a reused connection may stay
	// unanswered before the server is pinged on a fresh one.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// AbandonedTimeout is how long a slot stays taken for a request that was given up.
	AbandonedTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	MaxAnswer   shop.Bytes
	// Dial opens a connection.
	Dial DialFunc

	once    sync.Once
	slots   limiter
	dialer  limitedDialer
	clients atomic.Pointer[clients]
	// limitsMu orders changes of the limits.
	limitsMu sync.Mutex
}

// clients are the HTTP clients for one bound of connections. Those of earlier
// bounds finish their requests and count in the same gates.
type clients struct {
	// pooled reuses connections; fresh opens one for each request, so that a
	// request that must not run twice never meets a connection gone silent.
	pooled       *http.Transport
	pooledClient *http.Client
	freshClient  *http.Client
}

func (s *Server) init() {
	if s.Slots == 0 {
		s.Slots = shop.DefaultSlots
	}
	if s.Connections == 0 {
		s.Connections = shop.DefaultConnections
	}
	if s.PingAfter == 0 {
		s.PingAfter = DefaultPingAfter
	}
	if s.PingTimeout == 0 {
		s.PingTimeout = DefaultPingTimeout
	}
	if s.AbandonedTimeout == 0 {
		s.AbandonedTimeout = DefaultAbandonedTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	if s.MaxAnswer == 0 {
		s.MaxAnswer = DefaultMaxAnswer
	}
	s.dialer.dial = s.Dial
	s.dialer.freed = make(chan struct{}, 1)
	s.dialer.closeIdle = s.closeIdle
	s.setLimits(s.Slots, s.Connections)
}

// SetLimits changes the bounds. Nothing begins above the new ones once it has
// returned, nor above the old ones before; requests in progress finish.
func (s *Server) SetLimits(slots, connections int) {
	s.once.Do(s.init)
	s.setLimits(slots, connections)
}

func (s *Server) setLimits(slots, connections int) {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	if s.clients.Load() != nil && slots == s.slots.limit() && connections == s.dialer.limiter.limit() {
		return
	}
	s.slots.setLimit(slots)
	s.dialer.limiter.setLimit(connections)
	old := s.clients.Swap(s.newClients(slots, connections))
	if old != nil {
		old.pooled.CloseIdleConnections()
	}
}

// Limits returns the bounds in force.
func (s *Server) Limits() (slots, connections int) {
	s.once.Do(s.init)
	return s.slots.limit(), s.dialer.limiter.limit()
}

func (s *Server) newClients(slots, connections int) *clients {
	pooled, fresh := s.transport(slots, connections), s.transport(slots, connections)
	fresh.DisableKeepAlives = true
	return &clients{
		pooled:       pooled,
		pooledClient: &http.Client{Transport: otelhttp.NewTransport(pooled), CheckRedirect: noRedirect},
		freshClient:  &http.Client{Transport: otelhttp.NewTransport(fresh), CheckRedirect: noRedirect},
	}
}

func (w *clients) reusing() *http.Client { return w.pooledClient }

func (w *clients) fresh() *http.Client { return w.freshClient }

func (s *Server) closeIdle() { s.clients.Load().pooled.CloseIdleConnections() }

// noRedirect hands a redirect back as the answer that it is: following one
// would send the request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (s *Server) transport(slots, connections int) *http.Transport {
	return &http.Transport{
		DialContext:         s.dialer.dialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: slots,
		IdleConnTimeout:     s.IdleTimeout,
		DisableCompression:  true,
	}
}

// UsedSlots counts the slots in use.
func (s *Server) UsedSlots() int { return s.slots.used() }

// OpenConnections counts the open connections.
func (s *Server) OpenConnections() int { return s.dialer.limiter.used() }

// Close closes the unused connections.
func (s *Server) Close() {
	s.once.Do(s.init)
	s.closeIdle()
}

// Send runs one request. It does not wait for a slot: ErrNoSlot comes at once.
//
// When ctx ends first, Send returns ErrLate, but the slot stays taken until
// the server has ended the request or the linger time is over, so that the
// server never has more in progress than its slots.
func (s *Server) Send(ctx context.Context, r Request) (Answer, error) {
	s.once.Do(s.init)
	if ctx.Err() != nil {
		return Answer{}, fmt.Errorf("backend.Send: %w: %w", ctx.Err(), shop.ErrNotRun)
	}
	if !s.slots.acquire() {
		refusedNoSlot.Inc()
		return Answer{}, ErrNoSlot
	}
	if !r.Idempotent {
		return s.start(ctx, r, (*clients).fresh).wait(ctx)
	}
	return s.sendWithRetry(ctx, r)
}

// sendWithRetry sends on a kept connection. When a reused one stays silent,
// the server is pinged on a fresh connection and the request sent again there.
func (s *Server) sendWithRetry(ctx context.Context, r Request) (Answer, error) {
	first := s.start(ctx, r, (*clients).reusing)
	timer := time.NewTimer(s.PingAfter)
	defer timer.Stop()
	select {
	case <-first.done:
		return first.answer, first.err
	case <-ctx.Done():
		return first.wait(ctx)
	case <-timer.C:
	}
	if !first.reused.Load() {
		return first.wait(ctx)
	}
	err := s.Ping(ctx)
	if errors.Is(err, ErrNoConnection) {
		// The limit of connections left none for a ping, which tells nothing.
		return first.wait(ctx)
	}
	if err != nil {
		// The cause is hidden from errors.Is: an undelivered ping says nothing
		// about the request.
		return Answer{}, fmt.Errorf("backend.Send: %v: %w", err, ErrUnresponsive)
	}
	s.closeIdle()
	// The first try may still run at the server, so the second takes a slot of its own.
	if !s.slots.acquire() {
		return first.wait(ctx)
	}
	silentConnections.Inc()
	return first.race(ctx, s.start(ctx, r, (*clients).fresh))
}

// exchange is one request on its way to the server and back.
type exchange struct {
	reused atomic.Bool
	// unwanted is set when the answer went to the caller or came too late for it.
	unwanted atomic.Bool
	done     chan struct{}
	answer   Answer
	err      error
}

// start sends in the background. The slot that the caller took is freed when
// the exchange has ended.
func (s *Server) start(ctx context.Context, r Request, pick func(*clients) *http.Client) *exchange {
	w := s.clients.Load()
	x := &exchange{done: make(chan struct{})}
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	linger := context.AfterFunc(ctx, func() { time.AfterFunc(s.AbandonedTimeout, cancel) })
	deadline, _ := ctx.Deadline()
	go func() {
		defer cancel()
		defer linger()
		// The slot is free by the time that the caller has its answer.
		defer close(x.done)
		defer s.slots.release()
		x.answer, x.err = s.do(detached, pick(w), r, deadline, &x.reused)
		if w != s.clients.Load() {
			// Nobody reuses the connections of earlier bounds.
			w.pooled.CloseIdleConnections()
		}
		if x.err == nil && x.unwanted.Load() {
			droppedLate.Inc()
		}
	}()
	return x
}

// wait returns the answer, or ErrLate when ctx ends before it came.
func (x *exchange) wait(ctx context.Context) (Answer, error) {
	select {
	case <-x.done:
		return x.answer, x.err
	case <-ctx.Done():
		x.unwanted.Store(true)
		return Answer{}, fmt.Errorf("backend.Send: %w: %w", ctx.Err(), ErrTimeout)
	}
}

// race returns the first good answer of two exchanges of one request.
func (x *exchange) race(ctx context.Context, other *exchange) (Answer, error) {
	winner, loser := x, other
	select {
	case <-x.done:
	case <-other.done:
		winner, loser = other, x
	case <-ctx.Done():
		other.unwanted.Store(true)
		return x.wait(ctx)
	}
	if winner.err != nil {
		return loser.wait(ctx)
	}
	loser.unwanted.Store(true)
	return winner.answer, nil
}

// do sends on the client's connections and checks the answer.
func (s *Server) do(ctx context.Context, client *http.Client, r Request, deadline time.Time, reused *atomic.Bool) (Answer, error) {
	var dispatched atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			dispatched.Store(true)
			reused.Store(info.Reused)
		},
	})
	req, err := r.httpRequest(ctx, s.URL, deadline)
	if err != nil {
		return Answer{}, err
	}
	res, err := client.Do(req)
	if err != nil && !dispatched.Load() {
		return Answer{}, fmt.Errorf("backend.Send: %w: %w", err, ErrNoConnection)
	}
	if err != nil {
		return Answer{}, s.countDropped(err)
	}
	defer res.Body.Close()
	answer, err := r.readAnswer(res, s.MaxAnswer)
	if err != nil {
		return Answer{}, s.countDropped(err)
	}
	return answer, nil
}

// countDropped counts an answer that is not given to the caller.
func (s *Server) countDropped(err error) error {
	switch {
	case errors.Is(err, ErrMismatchedAnswer):
		droppedCrossed.Inc()
	case errors.Is(err, ErrIncompleteAnswer):
		droppedShort.Inc()
	case errors.Is(err, ErrTooLarge):
		droppedTooLarge.Inc()
	default:
		droppedFailed.Inc()
		// The cause is hidden from errors.Is: net/http may have dialed again
		// after it had sent, and that failure says "not run".
		err = fmt.Errorf("%v: %w", err, shop.ErrMayHaveRun)
	}
	return fmt.Errorf("backend.Send: %w", err)
}

// Ping asks the server on a fresh connection whether it is alive.
func (s *Server) Ping(ctx context.Context) error {
	s.once.Do(s.init)
	ctx, cancel := context.WithTimeout(ctx, s.PingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+HealthPath, http.NoBody)
	if err != nil {
		return fmt.Errorf("backend.Ping: %w", err)
	}
	res, err := s.clients.Load().freshClient.Do(req)
	if err != nil {
		pingsFailed.Inc()
		return fmt.Errorf("backend.Ping: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		pingsFailed.Inc()
		return fmt.Errorf("backend.Ping: status %d: %w", res.StatusCode, shop.ErrUnavailable)
	}
	return nil
}
