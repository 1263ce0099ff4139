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

// fromHeader names the sender of a message to the log.
const fromHeader = "Matrix-From"

// node is one process: its memory, its connections and its clock end with it.
type node struct {
	d     *deployment
	name  string
	place shop.Place

	mu          sync.Mutex
	process     *process
	incarnation uint64
}

// process is one life of a node.
type process struct {
	*node

	ctx        context.Context
	cancel     context.CancelFunc
	server     *http.Server
	pools      []*peer.Pool
	transports []*http.Transport

	mu       sync.Mutex
	dead     bool
	resumed  chan struct{} // Not nil while paused.
	pausedAt time.Time
}

// startProcess makes a new life of the node.
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

// kill ends the process at once: nothing of it has an effect from now on.
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

func (n *node) paused() bool {
	p := n.runningProcess()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

// pause stops the clock of the process and keeps its messages, both ways, until resume.
func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
		p.pausedAt = time.Now()
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// now is the clock of the process.
func (p *process) now() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		return p.pausedAt
	}
	return time.Now()
}

// waitUntilRunning lets a message pass, unless the process is dead; a paused process keeps it.
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

// transport opens connections of the process; all of them end with it.
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

// message is a message on its way.
type message struct {
	from, to  string
	procedure string
	answered  bool
}

// observedRoundTrip sends by a transport, with the steps that the messages are.
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

// peerClients returns a pool of the process for other processes.
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

// platformClient returns a client for the platform's services.
func (p *process) platformClient() *http.Client {
	return &http.Client{Transport: roundTripper(p.observedRoundTrip(p.transport(false)))}
}

type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// serve answers on the node's host; a paused process answers later.
func (p *process) serve(h http.Handler) {
	p.server = p.d.serve(p.name, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.waitUntilRunning(context.WithoutCancel(r.Context())) != nil {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	}))
}
