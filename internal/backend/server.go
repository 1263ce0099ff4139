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

// Defaults of the fields of Server.
const (
	DefaultPingAfter        = 2 * time.Second
	DefaultPingTimeout      = 500 * time.Millisecond
	DefaultAbandonedTimeout = time.Minute
	DefaultIdleTimeout      = 5 * time.Second
	DefaultMaxAnswer        = 64 * shop.MiB
)

// Server sends the agent's requests to one backend server, within the limits of its
// slots and connections. Its exported fields must be set before the first call of a
// method.
type Server struct {
	// URL of the server, without a path.
	URL string
	// Slots is the initial limit of requests in progress; SetLimits changes it.
	Slots int
	// Connections is the initial limit of open connections; SetLimits changes it.
	Connections int
	// PingAfter is how long an idempotent request on a reused connection may stay
	// unanswered before the server is pinged on a new one.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// AbandonedTimeout is how long a request may run after its caller has given up.
	// It is then cancelled and its slot freed.
	AbandonedTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	MaxAnswer   shop.Bytes
	// Dial opens a connection. If nil, TCP is used.
	Dial DialFunc

	once    sync.Once
	slots   limiter
	dialer  limitedDialer
	clients atomic.Pointer[clients]
	// limitsMu serializes changes of the limits.
	limitsMu sync.Mutex
}

// clients has the HTTP clients for one pair of limits. Requests that began under
// earlier limits finish with the clients of those, and count towards the current
// limits.
type clients struct {
	// pooledClient reuses connections. freshClient opens one for each request, so that
	// a request that must not run twice is never sent on a connection that no longer
	// works.
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

// SetLimits changes the limits. Requests and connections begin only within the old
// limits before the change, and only within the new ones once SetLimits has returned.
// Requests in progress finish.
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

// Limits returns the current limits.
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

func (c *clients) reusing() *http.Client { return c.pooledClient }

func (c *clients) fresh() *http.Client { return c.freshClient }

func (s *Server) closeIdle() { s.clients.Load().pooled.CloseIdleConnections() }

// noRedirect makes the client return a redirect as the answer. Following it would send
// the request a second time.
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

// UsedSlots returns the number of slots in use.
func (s *Server) UsedSlots() int { return s.slots.used() }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return s.dialer.limiter.used() }

// Close closes the idle connections.
func (s *Server) Close() {
	s.once.Do(s.init)
	s.closeIdle()
}

// Send sends one request and returns its answer. It does not wait for a slot, but
// returns ErrNoSlot at once if none is free.
//
// If ctx is done first, Send returns ErrTimeout, but the slot stays in use until the
// server has ended the request or AbandonedTimeout has passed, so that the server does
// not have more requests in progress than slots.
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

// sendWithRetry sends an idempotent request on a pooled connection. If that was reused
// and no answer comes within PingAfter, it pings the server on a new connection, and if
// that works, also sends the request again on a new connection.
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
		// The limit of connections left none for the ping, so the server may be alive.
		return first.wait(ctx)
	}
	if err != nil {
		// The cause is not wrapped, because errors of the ping, such as ErrNotRun, say
		// nothing about the request.
		return Answer{}, fmt.Errorf("backend.Send: %v: %w", err, ErrUnresponsive)
	}
	s.closeIdle()
	// The first request may still run at the server, so the second needs its own slot.
	if !s.slots.acquire() {
		return first.wait(ctx)
	}
	silentConnections.Inc()
	return first.race(ctx, s.start(ctx, r, (*clients).fresh))
}

// exchange is one request that was sent to the server, with its answer once done is
// closed.
type exchange struct {
	reused atomic.Bool
	// unwanted is set when the caller has given up or has got the answer of another
	// exchange.
	unwanted atomic.Bool
	done     chan struct{}
	answer   Answer
	err      error
}

// start sends a request in the background. It frees the slot, which the caller has
// acquired, when the exchange has ended.
func (s *Server) start(ctx context.Context, r Request, pick func(*clients) *http.Client) *exchange {
	c := s.clients.Load()
	e := &exchange{done: make(chan struct{})}
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopCancel := context.AfterFunc(ctx, func() { time.AfterFunc(s.AbandonedTimeout, cancel) })
	deadline, _ := ctx.Deadline()
	go func() {
		defer cancel()
		defer stopCancel()
		// Free the slot before the caller gets the answer.
		defer close(e.done)
		defer s.slots.release()
		e.answer, e.err = s.do(detached, pick(c), r, deadline, &e.reused)
		if c != s.clients.Load() {
			// The limits have changed, so these connections will not be reused.
			c.pooled.CloseIdleConnections()
		}
		if e.err == nil && e.unwanted.Load() {
			droppedLate.Inc()
		}
	}()
	return e
}

// wait returns the answer, or ErrTimeout if ctx is done first.
func (e *exchange) wait(ctx context.Context) (Answer, error) {
	select {
	case <-e.done:
		return e.answer, e.err
	case <-ctx.Done():
		e.unwanted.Store(true)
		return Answer{}, fmt.Errorf("backend.Send: %w: %w", ctx.Err(), ErrTimeout)
	}
}

// race returns the first successful answer of two exchanges of the same request.
func (e *exchange) race(ctx context.Context, other *exchange) (Answer, error) {
	winner, loser := e, other
	select {
	case <-e.done:
	case <-other.done:
		winner, loser = other, e
	case <-ctx.Done():
		other.unwanted.Store(true)
		return e.wait(ctx)
	}
	if winner.err != nil {
		return loser.wait(ctx)
	}
	loser.unwanted.Store(true)
	return winner.answer, nil
}

// do sends a request with the client and checks the answer. It sets reused if the
// connection was used before.
func (s *Server) do(ctx context.Context, client *http.Client, r Request, deadline time.Time, reused *atomic.Bool) (Answer, error) {
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			gotConn.Store(true)
			reused.Store(info.Reused)
		},
	})
	req, err := r.httpRequest(ctx, s.URL, deadline)
	if err != nil {
		return Answer{}, err
	}
	res, err := client.Do(req)
	if err != nil && !gotConn.Load() {
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

// countDropped counts an answer that is not returned to the caller, and returns the
// error to return instead.
func (s *Server) countDropped(err error) error {
	switch {
	case errors.Is(err, ErrMismatchedAnswer):
		droppedMismatched.Inc()
	case errors.Is(err, ErrIncompleteAnswer):
		droppedIncomplete.Inc()
	case errors.Is(err, ErrTooLarge):
		droppedTooLarge.Inc()
	default:
		droppedFailed.Inc()
		// The cause is not wrapped, because it may be ErrNotRun: net/http may have
		// dialed again after it had sent the request, and the second dial failed.
		err = fmt.Errorf("%v: %w", err, shop.ErrMayHaveRun)
	}
	return fmt.Errorf("backend.Send: %w", err)
}

// Ping checks on a new connection that the server is alive.
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
