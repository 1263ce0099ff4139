package matrix

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// Sizes and host names of the deployment under test.
const (
	entryCount   = 2
	workerCount  = 6
	zoneCount    = 3
	accelerators = 4
	slots        = 8
	logHost      = "log"
	regionOne    = "klang"
	regionTwo    = "muar"
)

// deployment runs real entries and agents over an in-memory network, with stand-ins for the
// log, the workers and the backend servers.
type deployment struct {
	t       *testing.T
	network standin.Network
	log     standin.Log
	start   time.Time

	entries  []*entryNode
	agents   []*agentNode
	servers  []*http.Server
	trigger  trigger
	workload *workload

	mu         sync.Mutex
	cutCounts  map[[2]string]int
	logFaults  []*armedFault
	closing    bool
	violations []string
}

// newDeployment starts a deployment. With two regions, the second half of the machines is
// in the second region.
func newDeployment(t *testing.T, regions int) *deployment {
	d := &deployment{t: t, start: time.Now()}
	d.serve(logHost, d.logHandler())
	for i := range entryCount {
		d.entries = append(d.entries, d.newEntry(i, d.place(i, regions, entryCount)))
	}
	for i := range workerCount {
		d.agents = append(d.agents, d.newAgent(i, d.place(i, regions, workerCount)))
	}
	for _, e := range d.entries {
		e.start()
	}
	for _, a := range d.agents {
		a.start()
	}
	return d
}

// place returns the place of machine i of n, spread evenly over the zones.
func (d *deployment) place(i, regions, n int) shop.Place {
	zone := i * zoneCount / n
	region := regionOne
	if regions > 1 && i*2 >= n {
		region = regionTwo
	}
	return shop.Place{Region: region, Zone: fmt.Sprintf("%s-%d", region, zone), Rack: fmt.Sprintf("rack-%d", zone)}
}

// serve starts an HTTP server on a host, which runs until the deployment closes.
func (d *deployment) serve(host string, h http.Handler) *http.Server {
	s := newServer(h)
	l := d.network.Listen(host)
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return s
}

// newServer returns a server for HTTP/1 and unencrypted HTTP/2.
func newServer(h http.Handler) *http.Server {
	s := &http.Server{Handler: h, Protocols: new(http.Protocols)}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// close stops all processes, stand-ins and servers, and waits until their goroutines have ended.
func (d *deployment) close() {
	d.trigger.disarm()
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	for _, e := range d.entries {
		e.kill()
	}
	for _, a := range d.agents {
		a.kill()
		a.worker.Crash()
	}
	d.network.Close()
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	// Lets the remaining timers of the stand-ins and connections expire.
	time.Sleep(5 * time.Minute)
	synctest.Wait()
}

func (d *deployment) closed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closing
}

// errorf records a violation.
func (d *deployment) errorf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := time.Since(d.start).Round(time.Millisecond)
	d.violations = append(d.violations, fmt.Sprintf("%s: ", at)+fmt.Sprintf(format, args...))
}

// logService is the log stand-in, which notifies the trigger of the steps that appends belong to.
type logService struct {
	*standin.Log

	d *deployment
}

func (s *logService) Append(ctx context.Context, r *connect.Request[sniperillv1.AppendRequest]) (*connect.Response[sniperillv1.AppendResponse], error) {
	if step, ok := appendStep(r.Msg); ok {
		s.d.trigger.onStep(s.d, step, message{from: r.Header().Get(fromHeader)})
	}
	return s.Log.Append(ctx, r)
}

// appendStep returns the step that an append belongs to, and false when there is none.
func appendStep(r *sniperillv1.AppendRequest) (Step, bool) {
	for _, data := range r.Records {
		switch {
		case strings.Contains(string(data), `"`+string(platform.KindJobEnded)+`"`):
			return End, true
		case strings.Contains(string(data), `"`+string(platform.KindJobAccepted)+`"`):
			return Record, true
		}
	}
	switch r.Stream {
	case platform.ClaimStream:
		return Claim, true
	case platform.ConfigStream:
		return Apply, true
	default:
		return "", false
	}
}

func (d *deployment) logHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(sniperillv1connect.NewLogServiceHandler(&logService{&d.log, d}))
	return mux
}

// hosts returns the names of the entries and agents whose place satisfies in.
func (d *deployment) hosts(in func(shop.Place) bool) []string {
	var out []string
	for _, e := range d.entries {
		if in(e.place) {
			out = append(out, e.name)
		}
	}
	for _, a := range d.agents {
		if in(a.place) {
			out = append(out, a.name)
		}
	}
	return out
}

func (d *deployment) agent(name string) *agentNode {
	for _, a := range d.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (d *deployment) entry(name string) *entryNode {
	for _, e := range d.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// readyEntry returns a node whose entry is ready for callers, entry i if it is, with the
// entry and a context that is cancelled when it dies. It returns nils when none is ready.
func (d *deployment) readyEntry(i int) (*entryNode, *entry.Entry, context.Context) {
	for k := range d.entries {
		e := d.entries[(i+k)%len(d.entries)]
		if entry, ctx, ok := e.current(); ok && entry.Ready() {
			return e, entry, ctx
		}
	}
	return nil, nil, nil
}

// ready waits until every entry knows every agent, then applies the first configuration and
// waits until it is in force.
func (d *deployment) ready() {
	d.await("entries know all agents", func() bool {
		return !slices.ContainsFunc(d.entries, func(e *entryNode) bool { return len(e.entry.Workers()) < workerCount })
	})
	version, err := d.entries[0].entry.Apply(d.t.Context(), config(1), 0, "first", false)
	if err != nil {
		d.t.Fatalf("first configuration: %v", err)
	}
	d.await("configuration in force", func() bool { return d.inForce(version) })
	// Entries treat the inventory as complete once no new agent has joined for a while.
	time.Sleep(6 * time.Second)
}

// await waits for up to a minute of virtual time until a condition holds.
func (d *deployment) await(what string, ok func() bool) {
	d.t.Helper()
	for range 600 {
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.t.Fatalf("%s: not within a minute", what)
}

// inForce reports whether every running entry, and every agent that one considers alive,
// has a configuration of at least the version. Paused entries don't count.
func (d *deployment) inForce(version uint64) bool {
	for _, e := range d.entries {
		current, _, ok := e.current()
		if !ok || e.paused() {
			continue
		}
		if c := current.Config(); c == nil || c.Version < version {
			return false
		}
		for _, w := range current.Workers() {
			if w.Health == "alive" && w.State.ConfigVersion < version {
				return false
			}
		}
	}
	return true
}

// config returns the configuration of the deployment. n changes a weight, so that versions differ.
func config(n int) shop.Config {
	return shop.Config{
		Teams: shop.TeamList{
			{Name: "alpha", Weight: float64(n), Guarantees: []shop.Guarantee{
				{Shape: shop.Shape{Tasks: 2, Accelerators: accelerators, Adjacency: shop.Anywhere}, Count: 1},
			}},
			{Name: "beta"},
		},
		Classes: shop.ClassList{
			{Name: "quote", Idempotent: true, Deadline: shop.Duration(5 * time.Second)},
			{Name: "order", Deadline: shop.Duration(5 * time.Second)},
			{Name: "render", Urgent: true, Idempotent: true, Shape: shop.Shape{Tasks: 2, Accelerators: accelerators}, RunTime: shop.Duration(4 * time.Second)},
			{Name: "mockup", Idempotent: true, Preemptible: true, Shape: shop.Shape{Tasks: 1, Accelerators: accelerators}, RunTime: shop.Duration(9 * time.Second), Grace: shop.Duration(500 * time.Millisecond)},
			{Name: "gang", Idempotent: true, Preemptible: true, Shape: shop.Shape{Tasks: 2, Accelerators: 2}, RunTime: shop.Duration(3 * time.Second), Grace: shop.Duration(500 * time.Millisecond)},
			{Name: "ledger", Shape: shop.Shape{Tasks: 2, Accelerators: 1}, RunTime: shop.Duration(2 * time.Second)},
			{Name: "long", Idempotent: true, Shape: shop.Shape{Tasks: 1}, RunTime: shop.Duration(time.Minute)},
		},
		BackendServers: shop.BackendServerList{{Name: "*", Classes: []string{"quote", "order"}, Slots: slots}},
	}
}

// gangTimes returns the default lease times.
func gangTimes() gang.Times {
	var t gang.Times
	t.SetDefaults()
	return t
}
