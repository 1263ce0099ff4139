package frontdoor

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

func TestLimits(t *testing.T) {
	tests := []struct {
		name    string
		machine Machine
		want    Limits
	}{
		{"an entry VM", Machine{144, 3075}, Limits{Connections: 958, Bytes: 36 << 20, ReceiveBuffer: 8 << 10, PeerCalls: 479, RuntimeBytes: 72 << 20}},
		{"unknown", Machine{}, Limits{Connections: 16_384, Bytes: 1 << 30, PeerCalls: 4096}},
		{"no descriptors but those for files", Machine{0, 200}, Limits{Connections: 1, Bytes: 1 << 30, PeerCalls: 1}},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, tt.machine.Limits()); diff != "" {
			t.Errorf("%s: limits (-want +got):\n%s", tt.name, diff)
		}
	}
}

// pipe is a connection as the door's listener accepts it.
type pipe struct {
	net.Conn
	closed bool
}

func (p *pipe) Close() error { p.closed = true; return p.Conn.Close() }

func newPipe() *pipe {
	near, _ := net.Pipe()
	return &pipe{Conn: near}
}

// Load pattern: connections that are opened and left.
func TestOldestIdleConnectionGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Door{Name: t.Name(), Limits: Limits{Connections: 2, Bytes: 1 << 20}, Log: zerolog.Nop()}
		pipes := []*pipe{newPipe(), newPipe(), newPipe(), newPipe()}
		admit := func(i int) bool { _, ok := d.admit(pipes[i]); return ok }
		admit(0)
		time.Sleep(minStill / 2)
		admit(1)
		time.Sleep(minStill / 2)
		if !admit(2) || !pipes[0].closed || pipes[1].closed {
			t.Errorf("closed the first %v, the second %v; want the first only", pipes[0].closed, pipes[1].closed)
		}
		if admit(3) || pipes[1].closed || pipes[2].closed {
			t.Error("closed a connection for another one before it had stood still for long")
		}
		if d.open != 2 || d.bytes != 2*connectionCost {
			t.Errorf("%d connections and %d bytes are held, want 2 and %d", d.open, d.bytes, 2*connectionCost)
		}
	})
}

// Load pattern: requests that are refused before their body was read, one after the other.
func TestAnsweredConnectionGivesWayAtOnce(t *testing.T) {
	d := &Door{Name: t.Name(), Limits: Limits{Connections: 2, Bytes: 1 << 20}, Log: zerolog.Nop()}
	first, second := newPipe(), newPipe()
	_, _ = d.admit(first)
	c, _ := d.admit(second)
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, ok := d.admit(newPipe()); !ok || first.closed || !second.closed {
		t.Errorf("admitted %v, closed the idle one %v, the answered one %v", ok, first.closed, second.closed)
	}
}

// Load pattern: many large bodies that stop just short of their end, some of which are read whole.
func TestBodyUnderWayGivesWayButNoneThatWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Door{Name: t.Name(), Limits: Limits{Connections: 10, Bytes: 3*connectionCost + 1000}, Log: zerolog.Nop()}
		var conns []*conn
		var pipes []*pipe
		for _, s := range []stage{working, waiting, body} {
			p := newPipe()
			c, _ := d.admit(p)
			c.enter(s)
			conns, pipes = append(conns, c), append(pipes, p)
			time.Sleep(minStill)
		}
		if err := conns[2].charge(600); err != nil {
			t.Fatal(err)
		}
		if err := conns[0].charge(600); err != nil {
			t.Fatalf("no room for a request while a body stands still: %v", err)
		}
		if pipes[0].closed || pipes[1].closed || !pipes[2].closed {
			t.Errorf("closed: working %v, idle %v, body %v; want the body only", pipes[0].closed, pipes[1].closed, pipes[2].closed)
		}
		if err := conns[0].charge(3 * connectionCost); err == nil || !pipes[1].closed || !pipes[0].closed {
			t.Errorf("charge of more than there is: error %v, closed idle %v, itself %v", err, pipes[1].closed, pipes[0].closed)
		}
		if d.open != 0 || d.bytes != 0 {
			t.Errorf("%d connections and %d bytes are held, want none", d.open, d.bytes)
		}
	})
}

// A connection that serves request after request holds no more than itself in between, and large heads are reduced to
// the fields that are read.
func TestRequestsGiveBackWhatTheyHeld(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &Door{Name: t.Name(), Limits: Machine{}.Limits(), Headers: []string{"Authorization"}, Log: zerolog.Nop()}
	var fields []int
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		fields = append(fields, len(r.Header))
		if got := r.Header.Get("Authorization"); got != "Bearer key" {
			t.Errorf("Authorization is %q", got)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
	})}
	d.Apply(s)
	go func() { _ = s.Serve(d.Listener(l)) }()
	client := &http.Client{Transport: &http.Transport{}}
	for range 3 {
		r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), strings.NewReader(strings.Repeat("x", 100_000)))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer key")
		for i := range 300 {
			r.Header.Set("X-"+strings.Repeat("y", i+1), "")
		}
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	client.CloseIdleConnections()
	s.Close()
	if diff := cmp.Diff([]int{1, 1, 1}, fields); diff != "" {
		t.Errorf("fields that the handler sees (-want +got):\n%s", diff)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open != 0 || d.bytes != 0 {
		t.Errorf("%d connections and %d bytes are held after the server was closed", d.open, d.bytes)
	}
}

// serveHTTP2 serves a handler behind a door until the test ends, over HTTP/2 without TLS.
func serveHTTP2(t *testing.T, d *Door, h http.HandlerFunc) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, Protocols: new(http.Protocols)}
	s.Protocols.SetUnencryptedHTTP2(true)
	d.Apply(s)
	go func() { _ = s.Serve(d.Listener(l)) }()
	t.Cleanup(func() { s.Close() })
	return "http://" + l.Addr().String()
}

// newHTTP2Client returns a client with connections of its own.
func newHTTP2Client(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 20 * time.Second}
}

func post(c *http.Client, url string, body io.Reader) error {
	resp, err := c.Post(url, "text/plain", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Load pattern: a client that always has a request at work on its connection.
func TestBusyConnectionGivesBackBodies(t *testing.T) {
	d := &Door{Name: t.Name(), Limits: Limits{Connections: 10, Bytes: 1 << 20}, Log: zerolog.Nop()}
	atWork, done := make(chan struct{}), make(chan struct{})
	url := serveHTTP2(t, d, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(atWork)
			<-done
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	client := newHTTP2Client(t)
	long := make(chan error)
	go func() { long <- post(client, url+"/long", nil) }()
	<-atWork
	for i := range 10 {
		if err := post(client, url, strings.NewReader(strings.Repeat("x", 200_000))); err != nil {
			t.Errorf("request %d: %v", i+1, err)
		}
	}
	close(done)
	if err := <-long; err != nil {
		t.Errorf("the request that was at work: %v", err)
	}
}

// Load pattern: one connection with more bodies than there is room for, beside a request that is at work.
func TestOnlyTheRequestWithoutRoomEnds(t *testing.T) {
	d := &Door{Name: t.Name(), Limits: Limits{Connections: 10, Bytes: 1 << 20}, Log: zerolog.Nop()}
	atWork, done := make(chan struct{}), make(chan struct{})
	url := serveHTTP2(t, d, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(atWork)
			<-done
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	client := newHTTP2Client(t)
	long := make(chan error)
	go func() { long <- post(client, url+"/long", nil) }()
	<-atWork
	if err := post(client, url, strings.NewReader(strings.Repeat("x", 1<<20))); err == nil {
		t.Error("a body without room was answered")
	}
	close(done)
	if err := <-long; err != nil {
		t.Errorf("the request that was at work: %v", err)
	}
}

// Load pattern: several bodies on one connection that all stop.
func TestConnectionWhoseBodiesAllStopGivesWay(t *testing.T) {
	d := &Door{Name: t.Name(), Limits: Limits{Connections: 1, Bytes: 1 << 20}, Log: zerolog.Nop()}
	var reading sync.WaitGroup
	reading.Add(2)
	url := serveHTTP2(t, d, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stops" {
			_, _ = io.ReadFull(r.Body, make([]byte, 1))
			reading.Done()
			_, _ = io.Copy(io.Discard, r.Body)
		}
	})
	crowd := newHTTP2Client(t)
	if err := post(crowd, url, nil); err != nil { // Opens the only connection.
		t.Fatal(err)
	}
	body, rest := io.Pipe()
	defer rest.Close()
	for range 2 {
		go func() { _ = post(crowd, url+"/stops", io.MultiReader(strings.NewReader("x"), body)) }()
	}
	reading.Wait()
	time.Sleep(2 * minStill)
	var err error
	for range 20 {
		if err = post(newHTTP2Client(t), url, nil); err == nil {
			return
		}
	}
	t.Errorf("another client's request is not answered: %v", err)
}

// hostPipe is a pipe whose client has an address.
type hostPipe struct {
	*pipe
	host string
}

func (p hostPipe) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(p.host), Port: 1} }

// Load pattern: most of what is held is one client's, and some is another's who has more connections.
func TestReportNamesWhoHoldsMost(t *testing.T) {
	var out bytes.Buffer
	d := &Door{Name: t.Name(), Limits: Limits{Connections: 4, Bytes: 1 << 20}, Log: zerolog.New(&out), Team: func(key string) string {
		return map[string]string{"key-red": "red", "key-blue": "blue"}[key]
	}}
	for _, c := range []struct {
		host, key string
		bytes     int64
	}{{"10.0.0.1", "key-red", 0}, {"10.0.0.1", "key-red", 0}, {"10.0.0.2", "key-blue", 500_000}, {"10.0.0.3", "", 0}} {
		admitted, _ := d.admit(hostPipe{newPipe(), c.host})
		admitted.key = c.key
		if err := admitted.charge(c.bytes); err != nil {
			t.Fatal(err)
		}
	}
	d.admit(hostPipe{newPipe(), "10.0.0.4"}) // There is no room.
	var line struct {
		Address string `json:"address-holding-most"`
		Conns   int    `json:"its-connections"`
		Bytes   int64  `json:"its-bytes"`
		Key     string `json:"key-holding-most"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("log %q: %v", out.String(), err)
	}
	want := line
	want.Address, want.Conns, want.Bytes, want.Key = "10.0.0.2", 1, 500_000+connectionCost, "blue"
	if diff := cmp.Diff(want, line); diff != "" {
		t.Errorf("log line (-want +got):\n%s", diff)
	}
	if strings.Contains(out.String(), "key-blue") {
		t.Errorf("the log holds a key: %s", out.String())
	}
}

// Load pattern: clients that don't speak TLS connect again and again, each of which the library logs.
func TestFailedHandshakesCauseFewLines(t *testing.T) {
	var out bytes.Buffer
	d := &Door{Name: t.Name(), Log: zerolog.New(&out)}
	s := &http.Server{}
	d.Apply(s)
	if s.ErrorLog == nil {
		t.Fatal("the library writes its messages to the standard logger")
	}
	for range 10_000 {
		s.ErrorLog.Printf("http: TLS handshake error from %s: EOF", "10.0.0.1:4000")
	}
	if n := strings.Count(out.String(), "TLS handshake error"); n == 0 || n > 1000 {
		t.Errorf("%d lines", n)
	}
}
