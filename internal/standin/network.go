package standin

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Network connects named hosts by in-memory connections, and can inject faults into its links. It
// works inside testing/synctest, so that a test with many timeouts takes no real time. The zero value
// is an empty network without faults.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[linkName]*link
	silent    []*conn
}

// linkName names the link from a client's host to a server's host.
type linkName struct{ from, to string }

// link holds the faults of one direction of the network, and the open connections dialled in it.
type link struct {
	cut   bool
	delay time.Duration
	conns map[*conn]bool
}

// Listen adds the named host to the network. Closing the listener removes it.
func (n *Network) Listen(name string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{network: n, name: name, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[name] = l
	return l
}

// Transport returns an HTTP transport for requests from the named host. It dials the host name of
// each URL and ignores the port.
func (n *Network) Transport(from string) *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("standin.Network: %w", err)
		}
		return n.Dial(ctx, from, host)
	}}
}

// Dial opens a connection between two hosts.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l, listening := n.listeners[to]
	k := n.link(from, to)
	cut, delay := k.cut, k.delay
	n.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	if cut || !listening {
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: addr(to), Err: fmt.Errorf("no route from %s", from)}
	}
	near, far := net.Pipe()
	c := &conn{Conn: near, network: n, link: k, silenced: make(chan struct{})}
	s := &conn{Conn: far, network: n, link: k, silenced: c.silenced, peer: c}
	c.peer = s
	select {
	case l.accepted <- s:
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: addr(to), Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	k.conns[c] = true
	return c, nil
}

// Cut closes the open connections dialled from one host to another, and refuses new ones until Heal.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	k := n.link(from, to)
	k.cut = true
	conns := k.takeConns()
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		_ = c.peer.Close()
	}
}

// Heal allows new connections again and ends the delay. Connections that were cut or silenced stay so.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.link(from, to)
	k.cut, k.delay = false, 0
}

// Silence discards everything that is written from now on, at either end, to the connections that are
// open from one host to another. The writes succeed. New connections work.
func (n *Network) Silence(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	conns := n.link(from, to).takeConns()
	n.silent = append(n.silent, conns...)
	for _, c := range conns {
		close(c.silenced)
	}
}

// Close closes all listeners and all connections, including the silenced ones.
func (n *Network) Close() {
	n.mu.Lock()
	conns := n.silent
	n.silent = nil
	for _, k := range n.links {
		conns = append(conns, k.takeConns()...)
	}
	listeners := slices.Collect(maps.Values(n.listeners))
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Conn.Close()
		_ = c.peer.Conn.Close()
	}
}

// Delay delays each dial from one host to another, and each write to such a connection, in both
// directions.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(from, to).delay = d
}

// link returns the link between two hosts. The caller holds the mutex.
func (n *Network) link(from, to string) *link {
	if n.links == nil {
		n.links = map[linkName]*link{}
	}
	name := linkName{from, to}
	k, ok := n.links[name]
	if !ok {
		k = &link{conns: map[*conn]bool{}}
		n.links[name] = k
	}
	return k
}

// takeConns removes and returns the open connections.
func (k *link) takeConns() []*conn {
	var l []*conn
	for c := range k.conns {
		l = append(l, c)
	}
	clear(k.conns)
	return l
}

type listener struct {
	network  *Network
	name     string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.name] == l {
			delete(l.network.listeners, l.name)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.name) }

// addr is the name of a host on the network.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "memory" }

// String implements net.Addr.
func (a addr) String() string { return string(a) + ":80" }

// conn is one end of a connection. silenced is closed when the connection is silenced.
type conn struct {
	net.Conn
	network  *Network
	link     *link
	peer     *conn
	silenced chan struct{}
}

// Write implements net.Conn. On a silenced connection it discards the data and reports success.
func (c *conn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	delay := c.link.delay
	c.network.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	select {
	case <-c.silenced:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close implements net.Conn. On a silenced connection the peer doesn't notice it.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.link.conns, c)
	delete(c.link.conns, c.peer)
	c.network.mu.Unlock()
	select {
	case <-c.silenced:
		return c.Conn.SetDeadline(time.Unix(1, 0))
	default:
		return c.Conn.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
