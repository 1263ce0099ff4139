package matrix

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/pkg/shop"
)

// fromHeader is the HTTP header with the name of the process that sent a request.
const fromHeader = "Matrix-From"

// node is a machine that runs one process at a time.
type node struct {
	d     *deployment
	name  string
	place shop.Place

	mu          sync.Mutex
	process     *process
	incarnation uint64
}

// process is one incarnation of the process on a node. Its memory, connections and clock
// end with it.
type process struct {
	*node

	ctx        context.Context
	cancel     context.CancelFunc
	server     *http.Server
	pools      []*peer.Pool
	transports []*http.Transport

	mu       sync.Mutex
	dead     bool
	resumed  chan struct{} // Closed by resume; nil unless paused.
	pausedAt time.Time
}

// startProcess starts a new incarnation.
func (n *node) startProcess() *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{node: n, ctx: ctx, cancel: cancel}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation++
	n.process = p
	return p
}

// runningProcess returns the running process, or nil.
func (n *node) runningProcess() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// kill ends the process at once. Nothing that it does has an effect from then on.
func (n *node) kill() {
	n.mu.Lock()
	p := n.process
	n.process = nil
	n.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.resume()
	p.cancel()
	_ = p.server.Close()
	for _, pool := range p.pools {
		_ = pool.Close()
	}
	p.d.breakConnections(n.name)
	for _, t := range p.transports {
		t.CloseIdleConnections()
	}
}

// paused reports whether a process is running but paused.
func (n *node) paused() bool {
	p := n.runningProcess()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

// pause stops the clock of the process and holds back the messages that it sends and
// receives, until resume.
func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
		p.pausedAt = time.Now()
	}
}

// resume ends a pause; the messages that were held back go on.
func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// now returns the time on the clock of the process, which stands still while it is paused.
func (p *process) now() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		return p.pausedAt
	}
	return time.Now()
}

// waitUntilRunning blocks while the process is paused. It returns an error when the process
// is dead or ctx is done.
func (p *process) waitUntilRunning(ctx context.Context) error {
	for {
		p.mu.Lock()
		dead, resumed := p.dead, p.resumed
		p.mu.Unlock()
		if dead {
			return fmt.Errorf("%s is dead: %w", p.name, net.ErrClosed)
		}
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// transport returns a transport for connections of the process, by HTTP/2 or HTTP/1. They
// are closed when the process is killed.
func (p *process) transport(http2 bool) *http.Transport {
	t := p.d.network.Transport(p.name)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := p.waitUntilRunning(ctx); err != nil {
			return nil, fmt.Errorf("%w: %w", peer.ErrNotConnected, err)
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", peer.ErrNotConnected, err)
		}
		return conn, nil
	}
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(http2)
	t.Protocols.SetHTTP1(!http2)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transports = append(p.transports, t)
	return t
}

// message is a request between two hosts.
type message struct {
	from, to  string
	procedure string
	answered  bool // The response has arrived.
}

// observedRoundTrip returns a round trip over a transport that notifies the trigger before
// each request and after each response. It blocks while the process is paused.
func (p *process) observedRoundTrip(t *http.Transport) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		r.Header.Set(fromHeader, p.name)
		m := message{from: p.name, to: r.URL.Host, procedure: r.URL.Path}
		p.d.trigger.onMessage(p.d, m)
		if err := p.waitUntilRunning(r.Context()); err != nil {
			return nil, err
		}
		res, err := t.RoundTrip(r)
		if err != nil {
			return nil, err
		}
		m.answered = true
		p.d.trigger.onMessage(p.d, m)
		if err := p.waitUntilRunning(r.Context()); err != nil {
			_ = res.Body.Close()
			return nil, err
		}
		return res, nil
	}
}

// peerClients returns clients for the other entries and agents, with a connection pool of their own.
func (p *process) peerClients() *peer.Clients {
	pool := &peer.Pool{Scheme: "http", New: func(string) peer.Transport {
		t := p.transport(true)
		return peer.Transport{RoundTrip: p.observedRoundTrip(t), Close: func() error {
			t.CloseIdleConnections()
			return nil
		}}
	}}
	p.pools = append(p.pools, pool)
	return &peer.Clients{HTTP: pool.Client(), Scheme: "http"}
}

// platformClient returns a client for the services of the platform: the log and the workers.
func (p *process) platformClient() *http.Client {
	return &http.Client{Transport: roundTripper(p.observedRoundTrip(p.transport(false)))}
}

// roundTripper is a function that implements http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// serve starts the HTTP server of the process. It answers once the process isn't paused, and
// drops requests when it is dead.
func (p *process) serve(h http.Handler) {
	p.server = p.d.serve(p.name, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.waitUntilRunning(context.WithoutCancel(r.Context())) != nil {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	}))
}
