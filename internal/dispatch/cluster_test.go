package dispatch_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/dispatch"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/internal/intake"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

func TestMain(m *testing.M) {
	clock.OverrideNow(clock.VirtualNow)
	os.Exit(m.Run())
}

// storeDelay is what the platform's store takes for a call.
const storeDelay = 5 * time.Millisecond

// cluster is entries and agents on virtual time, with stand-ins for the store and the workers.
type cluster struct {
	t       *testing.T
	ctx     context.Context // Of all processes.
	store   standin.Store
	rules   *workflow.Rules
	mu      sync.Mutex // Of entries, which processes look up as peers.
	entries []*entry
	agents  []*agent
	runs    runRecorder
	specs   sync.Map // Of the submitted steps by job.
	log     zerolog.Logger
}

// entry is one process that takes jobs and may plan.
type entry struct {
	name      string
	desk      *intake.Desk
	state     *clusterstate.State
	kill      context.CancelFunc
	killed    <-chan struct{} // Closed when it is killed.
	stop      context.CancelFunc
	stopped   chan struct{}
	storeLink storeLink
	agents    *agentTable
}

// agent is one process beside a worker.
type agent struct {
	name       string
	host       *host.Agent
	machine    standin.Machine
	kill       context.CancelFunc
	heartbeats atomic.Int64
	// late, if set, is called with each start on its way to the worker.
	beforeStart func(host.Start)
}

// worker returns the worker's calls as the agent makes them.
func (a *agent) worker() host.Worker {
	w := a.machine.Worker()
	start := w.Start
	w.Start = func(ctx context.Context, s host.Start) error {
		if a.beforeStart != nil {
			a.beforeStart(s)
		}
		return start(ctx, s)
	}
	return w
}

// runRecorder checks what the workers ran.
type runRecorder struct {
	mu      sync.Mutex
	starts  map[string]int // By task.
	started []string
}

func (j *runRecorder) record(task string, run int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts[task]++
	j.started = append(j.started, fmt.Sprintf("%s/%d", task, run))
}

func (j *runRecorder) count(task string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts[task]
}

// storeLink is the store as one process reaches it.
type storeLink struct {
	mu           sync.Mutex
	disconnected bool
}

func (c *storeLink) setDisconnected(cut bool) {
	c.mu.Lock()
	c.disconnected = cut
	c.mu.Unlock()
}

func (c *storeLink) checkLink(ctx context.Context) error {
	c.mu.Lock()
	cut := c.disconnected
	c.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (c *storeLink) wrap(s journal.Store) journal.Store {
	return journal.Store{
		Append: func(ctx context.Context, p journal.Producer, r []journal.Record) (int64, error) {
			if err := c.checkLink(ctx); err != nil {
				return 0, err
			}
			return s.Append(ctx, p, r)
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (journal.Page, error) {
			if err := c.checkLink(ctx); err != nil {
				return journal.Page{}, err
			}
			return s.Read(ctx, from, wait)
		},
		Newest: func(ctx context.Context) (journal.Page, error) {
			if err := c.checkLink(ctx); err != nil {
				return journal.Page{}, err
			}
			return s.Newest(ctx)
		},
	}
}

// agentTable is the agents as one entry reaches them, by address.
type agentTable struct {
	mu    sync.Mutex
	hosts map[string]*host.Agent
}

func (l *agentTable) set(address string, h *host.Agent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[address] = h
}

func (l *agentTable) get(ctx context.Context, address string) (*host.Agent, error) {
	l.mu.Lock()
	h := l.hosts[address]
	l.mu.Unlock()
	if h == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := clock.Pause(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	return h, nil
}

// agentClient is a client of the agent at an address.
type agentClient struct {
	table   *agentTable
	address string
}

func (l agentClient) Watch(ctx context.Context, r *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	h, err := l.table.get(ctx, l.address)
	if err != nil {
		return nil, err
	}
	return h.Watch(ctx, r)
}

func (l agentClient) Order(ctx context.Context, r *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error) {
	h, err := l.table.get(ctx, l.address)
	if err != nil {
		return nil, err
	}
	return h.Order(ctx, r)
}

// options are those of the smaller of the users' sites.
var options = dispatch.Options{
	Lease: 9500 * time.Millisecond, StopTimeout: 200 * time.Millisecond, RemoteFactor: 3,
	CheckpointInterval: time.Second, Retention: 10 * time.Minute,
}

func newCluster(t *testing.T, entries, workers int) *cluster {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		time.Sleep(3 * time.Second) // On virtual time; calls in progress end within it.
	})
	c := &cluster{t: t, ctx: ctx, log: zerolog.Nop()}
	if testing.Verbose() {
		c.log = zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger()
	}
	c.store.Delay = storeDelay
	c.runs.starts = make(map[string]int)
	c.rules = &workflow.Rules{
		Version: 1,
		Queues: []workflow.Queue{
			{Name: "urgent", Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond},
			{Name: "batch", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, Target: time.Second},
		},
		Teams: []workflow.Team{{Name: "red", Guaranteed: 8}, {Name: "blue", Guaranteed: 8}},
	}
	for i := range entries {
		e := c.startEntry(fmt.Sprintf("entry-%d", i))
		c.mu.Lock()
		c.entries = append(c.entries, e)
		c.mu.Unlock()
	}
	for i := range workers {
		c.agents = append(c.agents, c.startAgent(fmt.Sprintf("worker-%d", i), i))
	}
	return c
}

func (c *cluster) startEntry(name string) *entry {
	e := &entry{name: name, stopped: make(chan struct{}), agents: &agentTable{hosts: make(map[string]*host.Agent)}}
	log := c.log.With().Str("at", name).Logger()
	store := e.storeLink.wrap(c.store.Journal())
	life := fmt.Sprint(time.Now().UnixNano())
	writer := &journal.Writer{Store: store, Producer: journal.Producer{Name: name + "/" + life, Epoch: 1}, Log: log}
	e.state = &clusterstate.State{}
	follower := &journal.Follower{Store: store, Log: log, Apply: func(r journal.Record) {
		if err := e.state.Apply(r); err != nil {
			c.t.Error(err)
		}
	}}
	planner := &dispatch.Planner{
		Name: name, Incarnation: life, ClusterState: e.state, Follower: follower, Writer: writer, Store: store,
		Rules: func() *workflow.Rules { return c.rules }, Options: options, Log: log,
		Dial: func(address string) sniperillv1connect.HostServiceClient { return agentClient{e.agents, address} },
	}
	e.state.OnPlannerSeen, e.state.OnJobChanged, e.state.OnAgentRegistered = planner.PlannerSeen, planner.JobChanged, planner.AgentRegistered
	e.desk = &intake.Desk{ClusterState: e.state, Follower: follower, Writer: writer, Peers: c.peersOf(e), Log: log}
	for _, a := range c.agents {
		e.agents.set(a.name, a.host)
	}
	planner.EntryReady = e.desk.Ask
	running, kill := context.WithCancel(c.ctx)
	planning, stop := context.WithCancel(running)
	e.kill, e.stop, e.killed = kill, stop, running.Done()
	go follower.Run(running)
	go writer.Run(running)
	go e.desk.Run(running)
	go register(running, writer, clusterstate.EntryRecord(clusterstate.Address{Name: name}))
	go func() {
		defer close(e.stopped)
		_ = planner.Run(planning)
	}()
	return e
}

// peerClient is a client of another entry.
type peerClient struct {
	intake.Handler
	killed <-chan struct{}
}

// Ready asks the entry, which doesn't answer when it was killed.
func (l peerClient) Ready(ctx context.Context, r *connect.Request[pb.DeskReadyRequest]) (*connect.Response[pb.DeskReadyResponse], error) {
	select {
	case <-l.killed:
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		return l.Handler.Ready(ctx, r)
	}
}

// peersOf returns the other entries as one reaches them, those that its journal names.
func (c *cluster) peersOf(e *entry) func() []intake.Peer {
	return func() []intake.Peer {
		c.mu.Lock()
		defer c.mu.Unlock()
		var out []intake.Peer
		named := e.state.Entries()
		for _, o := range c.entries {
			if o != e && slices.ContainsFunc(named, func(a clusterstate.Address) bool { return a.Name == o.name }) {
				out = append(out, intake.Peer{Name: o.name, Client: peerClient{intake.Handler{Desk: o.desk}, o.killed}})
			}
		}
		return out
	}
}

func (c *cluster) startAgent(name string, number int) *agent {
	a := &agent{name: name}
	a.machine.Enter(c.newExecutor(name, 1))
	rack := fmt.Sprintf("r1-%d", number/3)
	c.startHost(a, rack)
	writer := &journal.Writer{
		Store: c.store.Journal(), Producer: journal.Producer{Name: name, Epoch: 1}, Log: c.log,
	}
	go writer.Run(c.ctx)
	go register(c.ctx, writer, clusterstate.AgentRecord(clusterstate.Address{Name: name, Address: name}))
	return a
}

// register writes a process's address, however long the store is away.
func register(ctx context.Context, w *journal.Writer, r journal.Record) {
	for {
		if _, err := w.Add(ctx, r); err == nil || clock.Pause(ctx, 100*time.Millisecond) != nil {
			return
		}
	}
}

func (c *cluster) newExecutor(name string, born int64) *standin.Executor {
	return &standin.Executor{
		Lifetime: host.Lifetime{ID: name, StartedUnixMS: born},
		Room:     workflow.Room{MilliCores: 64000, MemoryMB: 64000, Accelerators: 8},
		Need: func(task string) (workflow.Room, time.Duration) {
			t, err := clusterstate.ParseTaskID(task)
			if err != nil {
				c.t.Fatal(err)
			}
			steps, ok := c.specs.Load(t.Job)
			if !ok {
				c.t.Errorf("task %s was started, and nobody submitted its job", task)
				return workflow.Room{}, time.Second
			}
			step := steps.([]workflow.Step)[t.Step]
			return step.Room, step.Estimate
		},
		Began: c.runs.record,
	}
}

// startHost starts the agent's process.
func (c *cluster) startHost(a *agent, rack string) {
	a.host = &host.Agent{
		Name: a.name, Worker: a.worker(), MaxLease: 10 * time.Second, Incarnation: fmt.Sprint(time.Now().UnixNano()),
		Log: c.log.With().Str("at", a.name).Logger(),
	}
	for _, e := range c.entries {
		e.agents.set(a.name, a.host)
	}
	running, kill := context.WithCancel(c.ctx)
	a.kill = kill
	h := a.host
	go h.Run(running)
	go func() {
		for running.Err() == nil {
			h.Heartbeat(a.machine.Executor().Beat("s", rack, a.heartbeats.Add(1)))
			if clock.Pause(running, 1500*time.Millisecond) != nil {
				return
			}
		}
	}()
}

// submit hands a job in at the first entry.
func (c *cluster) submit(id, team, queue string, steps ...workflow.Step) {
	c.t.Helper()
	if err := c.submitAt(c.entries[0], id, team, queue, steps...); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) submitAt(e *entry, id, team, queue string, steps ...workflow.Step) error {
	c.specs.Store(id, steps)
	q, _ := c.rules.Queue(queue)
	j := &workflow.Job{ID: id, Team: team, Queue: q, Steps: steps, Submitted: time.Now()}
	if err := j.Validate().Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	return e.desk.Submit(ctx, j)
}

// state asks the last entry.
func (c *cluster) state(id string) shop.JobState {
	j, ok := c.entries[len(c.entries)-1].state.Job(id)
	if !ok {
		return ""
	}
	return j.State()
}

// await waits until all jobs are in the state, at most d.
func (c *cluster) await(d time.Duration, want shop.JobState, ids ...string) {
	c.t.Helper()
	deadline := time.Now().Add(d)
	for {
		missing := ""
		for _, id := range ids {
			if got := c.state(id); got != want {
				missing += fmt.Sprintf(" %s is %q,", id, got)
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("after %v:%s want %q", d, missing, want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkStartedOnce checks that each task of the jobs was started exactly once.
func (c *cluster) checkStartedOnce(tasks ...string) {
	c.t.Helper()
	for _, task := range tasks {
		if n := c.runs.count(task); n != 1 {
			c.t.Errorf("task %s was started %d times, want 1; starts: %s", task, n, strings.Join(c.runs.started, " "))
		}
	}
}

// planner returns the entry that plans.
func (c *cluster) planner() *entry {
	c.t.Helper()
	for _, e := range c.entries {
		if p, _ := e.state.Planner(); p.Name == e.name && !p.Resigned {
			return e
		}
	}
	c.t.Fatal("no entry plans")
	return nil
}

// plannerRecords counts how often an entry stepped up.
func (c *cluster) plannerRecords() int {
	n := 0
	for _, r := range c.store.Records() {
		if r.Key == "planner" {
			n++
		}
	}
	return n
}

func task(seconds float64, accelerators int) workflow.Step {
	return workflow.Step{
		Count: 1, Estimate: time.Duration(seconds * float64(time.Second)),
		Room: workflow.Room{MilliCores: 1000, MemoryMB: 1000, Accelerators: accelerators},
	}
}

func many(s workflow.Step, n int) workflow.Step {
	s.Count = n
	return s
}

func gang(s workflow.Step, n int) workflow.Step {
	s.Count, s.Gang = n, true
	return s
}

func after(s workflow.Step, steps ...int) workflow.Step {
	s.After = steps
	return s
}

// withVirtualTime runs a test on virtual time.
func withVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
