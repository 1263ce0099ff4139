// Package frontdoor keeps a process within its machine whatever its clients send. A Door stands before a listener,
// knows what each connection holds, and closes those that stand still longest when there is no room for more.
package frontdoor

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/telemetry"
)

// What is held for a connection, in bytes. The amounts are above what the runtime and net/http hold.
const (
	// connectionCost is for the stacks and buffers of an open connection, without its receive buffer.
	connectionCost = 32 << 10
	// headByteCost and headLineCost are for a byte and a line of a head: buffers, and the map entry and the
	// strings of each field.
	headByteCost = 2
	headLineCost = 250
	// sealedByteCost is for a byte of an encrypted head, whose lines can't be counted: the shortest has four bytes.
	sealedByteCost = headByteCost + headLineCost/4
	// bodyByteCost is for a byte of a body: the buffer, its growth, and what is decoded from it.
	bodyByteCost = 3
)

// Times of connections.
const (
	// minStill is how long a connection has stood still before it is closed to make room: callers send head
	// and body at once, and links take a few milliseconds.
	minStill = 250 * time.Millisecond
	// bodyTimeout bounds a body and also the writing of an answer. Callers wait for answers for seconds.
	bodyTimeout = 30 * time.Second
	// IdleTimeout is how long a connection stays open between requests: four times as long as the platform
	// lets its own connections idle.
	IdleTimeout = time.Minute
	// MaxHeaderBytes is the largest head: four times the largest that the platform's pages allow.
	MaxHeaderBytes = 64 << 10
)

// errNoRoom is returned for what a client sends that there is no room for.
var errNoRoom = errors.New("frontdoor: no room for what the client sends")

// Door admits connections within limits.
type Door struct {
	// Name tells the doors of a process apart.
	Name   string
	Limits Limits
	// Headers are the fields of a request that the handlers read; others are dropped from large heads. If it is
	// empty, all fields are kept.
	Headers []string
	// Team returns the name of the team that a key belongs to, or "" if there is none. It may be nil.
	Team func(key string) string
	Log  zerolog.Logger

	mu     sync.Mutex
	open   int
	conns  map[*conn]struct{}
	bytes  int64
	still  [2]list.List // Connections that wait for their client, by since: idle ones, those with a request under way.
	report report
	gauges *gauges

	queueReported time.Time // When the newest log line about the listener's queue was written.
	lines         telemetry.CallLines
}

// Indices of Door.still.
const (
	idle     = 0
	underWay = 1
)

// stage is what a connection is doing.
type stage int

const (
	waiting   stage = iota // For a request.
	head                   // Its client sends a head.
	body                   // Its client sends a body.
	working                // The process works on a request that was read, or a part of it.
	answering              // Its client has to take an answer.
)

// conn is a connection that passed the door.
type conn struct {
	net.Conn
	door *Door

	host   string
	sealed bool // It has TLS. Set before the first read.

	// Guarded by door.mu.
	base      int64 // What is held for the connection itself, between requests too.
	wide      bool  // Its receive buffer was widened for a body.
	stage     stage
	since     time.Time // When the stage began.
	handlers  int       // That run for its requests.
	reading   int       // Handlers that wait for a body.
	bodySince time.Time // Since when there are any.
	held      int64
	element   *list.Element // In a list of door.still; nil while it is working.
	list      *list.List
	gone      bool
	key       string // Of its last request; empty if that had none.
}

// Listener returns a listener whose connections pass the door.
func (d *Door) Listener(l net.Listener) net.Listener {
	d.limitQueue(l)
	return listener{l, d}
}

type listener struct {
	net.Listener
	door *Door
}

// Accept returns the next connection that there is room for. Others are closed.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.door.checkQueue(l.Listener)
		if admitted, ok := l.door.admit(c); ok {
			return admitted, nil
		}
		c.Close()
	}
}

// admit takes a connection in if there is room.
func (d *Door) admit(inner net.Conn) (*conn, bool) {
	c := &conn{Conn: inner, door: d, host: hostOf(inner), since: time.Now(), base: d.connectionCost()}
	d.mu.Lock()
	var closed []*conn
	for d.open >= d.Limits.Connections {
		v := d.oldest(c.since, d.older())
		if v == nil {
			break
		}
		d.giveWay(v, "connections")
		closed = append(closed, v)
	}
	ok := d.open < d.Limits.Connections
	if ok {
		var more []*conn
		more, ok = d.take(c, c.base)
		closed = append(closed, more...)
	}
	if ok {
		d.open++
		if d.conns == nil {
			d.conns = make(map[*conn]struct{})
		}
		d.conns[c] = struct{}{}
		c.enter(waiting)
	} else {
		c.gone = true
		d.count("not-admitted", inner)
	}
	d.show()
	d.mu.Unlock()
	closeAll(closed)
	return c, ok
}

// older returns the list whose first connection has stood still longer.
func (d *Door) older() *list.List {
	a, b := d.still[idle].Front(), d.still[underWay].Front()
	if a == nil || b != nil && b.Value.(*conn).since.Before(a.Value.(*conn).since) {
		return &d.still[underWay]
	}
	return &d.still[idle]
}

// oldest returns the connection of a list that has stood still longest, or nil if none has for minStill.
func (d *Door) oldest(now time.Time, l *list.List) *conn {
	if l.Len() == 0 {
		return nil
	}
	if v := l.Front().Value.(*conn); now.Sub(v.since) >= minStill {
		return v
	}
	return nil
}

// take reserves bytes for a connection, and returns those that have to give way for it.
func (d *Door) take(c *conn, n int64) (closed []*conn, ok bool) {
	now := time.Now()
	for d.bytes+n > d.Limits.Bytes {
		v := d.oldest(now, &d.still[underWay])
		if v == nil {
			v = d.oldest(now, &d.still[idle])
		}
		if v == nil || v == c {
			return closed, false
		}
		d.giveWay(v, "bytes")
		closed = append(closed, v)
	}
	d.bytes += n
	c.held += n
	return closed, true
}

// charge reserves bytes for what a client sends. If there is no room, it closes the client's connection.
func (c *conn) charge(n int64) error { return c.reserve(n, true) }

// reserve reserves bytes. If there is no room, it closes the connection if closes is set.
func (c *conn) reserve(n int64, closes bool) error {
	d := c.door
	d.mu.Lock()
	if c.gone {
		d.mu.Unlock()
		return net.ErrClosed
	}
	closed, ok := d.take(c, n)
	switch {
	case ok:
	case closes:
		d.giveWay(c, "no-room")
		closed = append(closed, c)
	default:
		d.count("no-room", c.Conn)
	}
	d.show()
	d.mu.Unlock()
	closeAll(closed)
	if !ok {
		return errNoRoom
	}
	return nil
}

// giveWay forgets a connection, which the caller then closes.
func (d *Door) giveWay(c *conn, reason string) {
	d.count(reason, c.Conn)
	d.forget(c)
}

func (d *Door) forget(c *conn) {
	if c.gone {
		return
	}
	c.gone = true
	c.leaveList()
	d.open--
	delete(d.conns, c)
	d.bytes -= c.held
	c.held = 0
}

// closeAll closes connections that gave way. Their reads and writes in progress fail.
func closeAll(l []*conn) {
	for _, c := range l {
		c.Conn.Close()
	}
}

// enter begins a stage. The caller holds door.mu.
func (c *conn) enter(s stage) {
	if c.gone {
		return
	}
	c.leaveList()
	c.stage, c.since = s, time.Now()
	switch s {
	case working:
		return
	case body:
		c.since = c.bodySince
		c.list = &c.door.still[underWay]
	case head:
		c.list = &c.door.still[underWay]
	default:
		c.list = &c.door.still[idle]
	}
	before := c.list.Back()
	for before != nil && before.Value.(*conn).since.After(c.since) {
		before = before.Prev()
	}
	if before == nil {
		c.element = c.list.PushFront(c)
	} else {
		c.element = c.list.InsertAfter(c, before)
	}
}

// settle begins the stage that its handlers tell. The caller holds door.mu.
func (c *conn) settle() {
	switch c.handlers {
	case 0:
		c.enter(answering)
	case c.reading:
		c.enter(body)
	default:
		c.enter(working)
	}
}

func (c *conn) leaveList() {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
}

// release gives back what is held beyond the connection itself. The caller holds door.mu.
func (c *conn) release() {
	if c.held > c.base {
		c.door.bytes -= c.held - c.base
		c.held = c.base
	}
}

// Read reads what the client sends, and reserves room for heads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.door.mu.Lock()
	if c.stage == waiting {
		c.enter(head)
	}
	inHead := c.stage == head
	c.door.mu.Unlock()
	if inHead {
		cost := n * sealedByteCost
		if !c.sealed {
			cost = n*headByteCost + bytes.Count(p[:n], []byte{'\n'})*headLineCost
		}
		if err := c.charge(int64(cost)); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write writes an answer, for which the client has a bounded time.
func (c *conn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(bodyTimeout)) // It fails only if the connection is closed.
	c.door.mu.Lock()
	atWork := c.stage == working
	if atWork {
		c.enter(answering)
	}
	c.door.mu.Unlock()
	n, err := c.Conn.Write(p)
	if atWork {
		c.door.mu.Lock()
		if c.handlers > 0 {
			c.settle()
		}
		c.door.mu.Unlock()
	}
	return n, err
}

// CloseWrite tells the client that nothing more is sent, so that it reads the answer before the connection ends.
// The server waits for that; the connection is the first to give way meanwhile.
func (c *conn) CloseWrite() error {
	c.door.mu.Lock()
	if !c.gone {
		c.leaveList()
		c.stage, c.since, c.list = answering, time.Time{}, &c.door.still[idle]
		c.element = c.list.PushFront(c)
	}
	c.door.mu.Unlock()
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.door.mu.Lock()
	c.door.forget(c)
	c.door.show()
	c.door.mu.Unlock()
	return c.Conn.Close()
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// Apply makes the server's requests pass the door. Its listener must be one of the door's.
func (d *Door) Apply(s *http.Server) {
	s.MaxHeaderBytes, s.IdleTimeout = MaxHeaderBytes, IdleTimeout
	s.ErrorLog = d.errorLog()
	s.Handler = d.handler(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS.
			c = inner.NetConn()
			if c, ok := c.(*conn); ok {
				c.sealed = true
			}
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if inner, ok := c.(interface{ NetConn() net.Conn }); ok {
			c = inner.NetConn()
		}
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			d.mu.Lock()
			if c.handlers == 0 { // With HTTP/2, handlers may outlive their streams.
				c.release()
				c.enter(waiting)
			}
			d.mu.Unlock()
		}
	}
}

// handler returns a handler that notes what the connection of a request is doing.
func (d *Door) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		// The first charge of a head that was encrypted or compressed is an estimate.
		estimated := c.sealed || r.ProtoMajor > 1
		d.mu.Lock()
		dropFields := c.handlers == 0 && c.held > c.base+connectionCost && len(d.Headers) > 0
		if dropFields || estimated && c.handlers == 0 {
			c.release()
		}
		c.handlers++
		c.settle()
		c.key = ""
		if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok && len(key) <= maxKey {
			c.key = strings.Clone(key) // Not the whole head.
		}
		d.mu.Unlock()
		if dropFields {
			kept := make(http.Header, len(d.Headers))
			for _, name := range d.Headers {
				if v := r.Header.Values(name); len(v) > 0 {
					kept[http.CanonicalHeaderKey(name)] = []string{v[0]}
				}
			}
			r.Header = kept // Of the server's request too, which it no longer reads.
		}
		q := &request{conn: c, several: r.ProtoMajor > 1}
		defer q.end()
		if estimated && q.charge(headCost(r)) != nil {
			panic(http.ErrAbortHandler)
		}
		call := *r
		if r.Body != nil && r.Body != http.NoBody {
			call.Body = &requestBody{ReadCloser: r.Body, request: q, control: http.NewResponseController(w), length: r.ContentLength}
		}
		next.ServeHTTP(w, &call)
	})
}

// headCost returns what is held for the head of a request.
func headCost(r *http.Request) int {
	cost := len(r.RequestURI) * headByteCost
	for name, values := range r.Header {
		for _, v := range values {
			cost += (len(name)+len(v))*headByteCost + headLineCost
		}
	}
	return cost
}

// request is one that a handler runs for.
type request struct {
	conn *conn
	// several reports whether its connection may have others at the same time.
	several bool
	held    int64
	reading bool
}

// charge reserves bytes for the request. If there is no room, it closes the connection unless that may have others.
func (q *request) charge(n int) error {
	if err := q.conn.reserve(int64(n), !q.several); err != nil {
		return err
	}
	q.held += int64(n)
	return nil
}

// setReading notes whether the request's handler waits for the body.
func (q *request) setReading(reading bool) {
	if q.reading == reading {
		return
	}
	q.reading = reading
	c := q.conn
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	if reading {
		if c.reading == 0 {
			c.bodySince = time.Now()
		}
		c.reading++
	} else {
		c.reading--
	}
	c.settle()
}

// end notes that the request's handler has returned.
func (q *request) end() {
	q.setReading(false)
	c := q.conn
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	if q.several && !c.gone {
		c.held -= q.held
		c.door.bytes -= q.held
		c.door.show()
	}
	c.handlers--
	c.settle()
}

// requestBody reserves room for a body as it arrives.
type requestBody struct {
	io.ReadCloser
	request *request
	control *http.ResponseController
	length  int64 // As declared; negative if it is not known.
	begun   bool
}

// Read reads a part of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		_ = b.control.SetReadDeadline(time.Now().Add(bodyTimeout)) // The server sets it anew after the request.
		b.request.conn.widen(b.length)
		b.request.setReading(true)
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if err := b.request.charge(n * bodyByteCost); err != nil {
			if b.request.several {
				panic(http.ErrAbortHandler) // An answer would have to say whether the request has run.
			}
			return 0, err
		}
	}
	if err != nil {
		b.request.setReading(false)
	}
	return n, err
}
