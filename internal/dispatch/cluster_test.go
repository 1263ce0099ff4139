package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

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

// storeDelay is how long a call to the store takes.
const storeDelay = 5 * time.Millisecond

// cluster runs entries and agents in virtual time, with stand-ins for the store and the workers.
type cluster struct {
	t              *testing.T
	ctx            context.Context // Of all processes.
	store          standin.Store
	setUpExecutor  func(*standin.Executor)
	rules          *workflow.Rules
	mu             sync.Mutex // Guards entries, in which processes look up their peers.
	entries        []*entry
	agents         []*agent
	runs           runRecorder
	submittedSteps sync.Map // Submitted steps by job.
	log            zerolog.Logger
	// earlierAgents has the addresses of the agents that answer as those of earlier versions.
	earlierAgents sync.Map
	emptyOrders   atomic.Int64 // Order calls without starts and stops.
	network       network
	pauses        sync.Map // *pause by the name of the process.
	// operators, if set, has the operators' records, which entries follow. Then workers are in two zones by turns.
	operators *standin.Store
	cutOff    sync.Map // Names of entries that other entries can't reach, nor they them.
	slow      sync.Map // Names of entries that have little processor time, and answer others late.
}

// pause is a time in which a process doesn't run, as far as others can tell: its calls and answers go out, and
// are taken note of, only once it is over.
type pause struct {
	ended <-chan struct{} // Closed when the test ends.
	mu    sync.Mutex
	until time.Time
}

func (p *pause) begin(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

// wait returns once the process runs.
func (p *pause) wait() {
	for {
		p.mu.Lock()
		left := time.Until(p.until)
		p.mu.Unlock()
		if left <= 0 {
			return
		}
		select {
		case <-time.After(left):
		case <-p.ended:
			return
		}
	}
}

// pauseOf returns the pause of the process with a name.
func (c *cluster) pauseOf(name string) *pause {
	p, _ := c.pauses.LoadOrStore(name, &pause{ended: c.ctx.Done()})
	return p.(*pause)
}

// paused returns a call as it is made by a process that is paused at times.
func paused[A, B any](p *pause, call func(context.Context, A) (B, error)) func(context.Context, A) (B, error) {
	return func(ctx context.Context, a A) (B, error) {
		p.wait()
		b, err := call(ctx, a)
		p.wait()
		if err == nil && ctx.Err() != nil {
			err = ctx.Err()
		}
		return b, err
	}
}

// entry is a process that accepts jobs and may plan.
type entry struct {
	name      string
	intake    *intake.Service
	state     *clusterstate.State
	kill      context.CancelFunc
	killed    <-chan struct{} // Closed when it is killed.
	stop      context.CancelFunc
	stopped   chan struct{}
	left      atomic.Bool // It has ended as told, so that nothing listens at its address.
	storeLink storeLink
	agents    *agentTable
	// operatorsLink is the connection to the store with the operators' records.
	operatorsLink storeLink
}

// agent is the agent process of a worker.
type agent struct {
	name       string
	process    *host.Agent
	machine    standin.Machine
	kill       context.CancelFunc
	heartbeats atomic.Int64
	coldFor    atomic.Int64                     // What its worker's heartbeats say, in nanoseconds.
	mute       atomic.Bool                      // The worker sends no heartbeats.
	pause      *pause                           // Of the process; nil if it is never paused.
	network    *network                         // Between the process and the worker.
	polled     atomic.Pointer[standin.Executor] // The one to which the connection for polls is open.
	// beforeStart, if set, is called with each start before it reaches the worker.
	beforeStart func(host.Start)
	// answerStart, if set, returns what the process gets as the answer to a start, given the worker's.
	answerStart atomic.Pointer[func(error) error]
	// refuseStop, if set, returns an error for a stop that doesn't reach the worker.
	refuseStop atomic.Pointer[func() error]
	// refuseStart does the same for a start.
	refuseStart atomic.Pointer[func() error]
	// loseStarts makes starts be lost on their way to the worker.
	loseStarts atomic.Bool
	thawed     atomic.Pointer[chan struct{}] // Closed when polls of a frozen agent make progress again.
}

// freeze stops an agent's process for d. When it goes on, it answers the planner before it has polled
// its worker again.
func (c *cluster) freeze(a *agent, d time.Duration) {
	thawed := make(chan struct{})
	a.thawed.Store(&thawed)
	for _, e := range c.entries {
		e.agents.set(agentAddress(a.name), nil)
	}
	time.Sleep(d)
	for _, e := range c.entries {
		e.agents.setThawed(agentAddress(a.name))
		e.agents.set(agentAddress(a.name), a.process)
	}
	time.Sleep(300 * time.Millisecond)
	close(thawed)
}

// worker returns the worker's calls with beforeStart applied, for an agent process that runs until running ends.
func (a *agent) worker(running context.Context) host.Worker {
	w := a.machine.Worker()
	poll, start, stop := w.Poll, w.Start, w.Stop
	w.Poll = func(ctx context.Context, r host.PollRequest) (host.WorkerState, error) {
		// As the platform's adapter does, it acknowledges ends on an open connection only.
		if connected := a.polled.Load(); r.AckedEnd > 0 && connected != a.machine.Executor() {
			r.AckedEnd, r.LeaseEnd, r.Wait = 0, 0, 0
		}
		reached := a.connect(running, r.AckedEnd > 0)
		var asked atomic.Pointer[standin.Executor]
		state, err := carry(ctx, a.network, func(ctx context.Context) (host.WorkerState, error) {
			if err := reached(ctx); err != nil {
				return host.WorkerState{}, err
			}
			asked.Store(a.machine.Executor())
			return poll(ctx, r)
		})
		// A connection on which a call was not answered is not used again.
		if connected := asked.Load(); !r.Probe && connected != nil && !errors.Is(err, errLost) && ctx.Err() == nil {
			a.polled.Store(connected)
		}
		if a.pause != nil {
			a.pause.wait()
		}
		if thawed := a.thawed.Load(); thawed != nil {
			<-*thawed
		}
		return state, err
	}
	w.Start = func(ctx context.Context, s host.Start) error {
		if a.beforeStart != nil {
			a.beforeStart(s)
		}
		if refuse := a.refuseStart.Load(); refuse != nil {
			if err := (*refuse)(); err != nil {
				return err
			}
		}
		if a.loseStarts.Load() {
			<-ctx.Done()
			return ctx.Err()
		}
		err := a.call(ctx, running, func(ctx context.Context) error { return start(ctx, s) })
		if answer := a.answerStart.Load(); answer != nil {
			err = (*answer)(err)
		}
		return err
	}
	w.Stop = func(ctx context.Context, s host.Stop) error {
		if refuse := a.refuseStop.Load(); refuse != nil {
			if err := (*refuse)(); err != nil {
				return err
			}
		}
		return a.call(ctx, running, func(ctx context.Context) error { return stop(ctx, s) })
	}
	return w
}

// call makes a call to the worker that has no result.
func (a *agent) call(ctx, running context.Context, f func(context.Context) error) error {
	reached := a.connect(running, false)
	_, err := carry(ctx, a.network, func(ctx context.Context) (struct{}, error) {
		if err := reached(ctx); err != nil {
			return struct{}{}, err
		}
		return struct{}{}, f(ctx)
	})
	if a.pause != nil {
		a.pause.wait()
	}
	return err
}

// connect returns a function that fails for a call to the worker that can't reach its current lifetime: a
// connection ends with the lifetime that it was opened to, and a caller that has given up opens no other. Calls
// on an open connection can't reach a later lifetime at all. A process that was killed calls nobody.
func (a *agent) connect(running context.Context, open bool) func(ctx context.Context) error {
	connected := a.machine.Executor()
	killed := running.Err() != nil
	if a.pause != nil {
		a.pause.wait()
	}
	return func(ctx context.Context) error {
		if killed || a.machine.Executor() != connected && (open || ctx.Err() != nil) {
			return errLost
		}
		return nil
	}
}

// runRecorder records the runs that the workers started.
type runRecorder struct {
	mu      sync.Mutex
	starts  map[string]int // By task.
	started []string       // As TASK/RUN, in order.
}

func (r *runRecorder) record(task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	r.started = append(r.started, fmt.Sprintf("%s/%d", task, run))
}

func (r *runRecorder) count(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

// storeLink is the connection of one process to the store.
type storeLink struct {
	pause        *pause
	mu           sync.Mutex
	disconnected bool
	answersLost  bool
	appendsLost  bool
}

// loseAnswers disconnects the process. Its calls in progress get no answer either.
func (l *storeLink) loseAnswers() {
	l.mu.Lock()
	l.disconnected, l.answersLost = true, true
	l.mu.Unlock()
}

// restore ends what loseAnswers began.
func (l *storeLink) restore() {
	l.mu.Lock()
	l.disconnected, l.answersLost = false, false
	l.mu.Unlock()
}

// checkAnswer blocks until ctx ends if answers are lost.
func (l *storeLink) checkAnswer(ctx context.Context) error {
	l.mu.Lock()
	lost := l.answersLost
	l.mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// loseAppends sets whether appends reach nobody, while reads are answered.
func (l *storeLink) loseAppends(lost bool) {
	l.mu.Lock()
	l.appendsLost = lost
	l.mu.Unlock()
}

func (l *storeLink) losesAppends() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendsLost
}

func (l *storeLink) setDisconnected(disconnected bool) {
	l.mu.Lock()
	l.disconnected = disconnected
	l.mu.Unlock()
}

// checkLink blocks until ctx ends if the link is disconnected.
func (l *storeLink) checkLink(ctx context.Context) error {
	l.pause.wait()
	l.mu.Lock()
	disconnected := l.disconnected
	l.mu.Unlock()
	if !disconnected {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// wrap returns the calls of a store as made over the link.
func (l *storeLink) wrap(s journal.Store) journal.Store {
	return journal.Store{
		Append: func(ctx context.Context, p journal.Producer, r []journal.Record) (int64, error) {
			if err := l.checkLink(ctx); err != nil {
				return 0, err
			}
			if l.losesAppends() {
				<-ctx.Done()
				return 0, ctx.Err()
			}
			defer l.pause.wait()
			return s.Append(ctx, p, r)
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (journal.Page, error) {
			if err := l.checkLink(ctx); err != nil {
				return journal.Page{}, err
			}
			defer l.pause.wait()
			page, err := s.Read(ctx, from, wait)
			if lost := l.checkAnswer(ctx); lost != nil {
				return journal.Page{}, lost
			}
			return page, err
		},
		Ping: func(ctx context.Context) error {
			if err := l.checkLink(ctx); err != nil {
				return err
			}
			return s.Ping(ctx)
		},
		Newest: func(ctx context.Context, after string) (journal.Page, error) {
			if err := l.checkLink(ctx); err != nil {
				return journal.Page{}, err
			}
			return s.Newest(ctx, after)
		},
	}
}

// agentTable maps addresses to agents for one entry.
type agentTable struct {
	mu     sync.Mutex
	agents map[string]*host.Agent
	pause  *pause          // Of the entry.
	isCut  bool            // No call of the entry reaches an agent.
	thawed map[string]bool // Agents whose next Watch call has waited long enough.
	held   map[string]*heldOrder
	// choices has the functions that choose the process for a call to an address with several.
	choices map[string]func() *host.Agent
	// late has, by address, what the planner's handling of reports from there waits for.
	late map[string]chan struct{}
	// lateAnswers has the same for its handling of answers to stops.
	lateAnswers map[string]chan struct{}
	orderDelay  time.Duration // How long orders with starts take to their agents.
}

// delayOrders makes orders with starts take d to their agents.
func (t *agentTable) delayOrders(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orderDelay = d
}

// delayOf returns how long an order takes to its agent.
func (t *agentTable) delayOf(r *pb.OrderRequest) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(r.GetStarts()) == 0 {
		return 0
	}
	return t.orderDelay
}

// delayReports makes the planner handle reports from an address only once the channel is closed.
func (t *agentTable) delayReports(address string, until chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.late == nil {
		t.late = make(map[string]chan struct{})
	}
	t.late[address] = until
}

// awaitHandling returns when the planner handles a report from an address.
func (t *agentTable) awaitHandling(address string) {
	t.mu.Lock()
	until := t.late[address]
	t.mu.Unlock()
	if until != nil {
		<-until
	}
}

// delayAnswers makes the planner handle answers to stops from an address only once the channel is closed.
func (t *agentTable) delayAnswers(address string, until chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lateAnswers == nil {
		t.lateAnswers = make(map[string]chan struct{})
	}
	t.lateAnswers[address] = until
}

// awaitAnswer returns when the planner handles an answer to a stop from an address.
func (t *agentTable) awaitAnswer(address string) {
	t.mu.Lock()
	until := t.lateAnswers[address]
	t.mu.Unlock()
	if until != nil {
		<-until
	}
}

// choose makes a function choose which process gets each call to an address.
func (t *agentTable) choose(address string, f func() *host.Agent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.choices == nil {
		t.choices = make(map[string]func() *host.Agent)
	}
	t.choices[address] = f
}

// heldOrder is the first order that the network holds up. Later ones are lost.
type heldOrder struct {
	mu      sync.Mutex
	request *connect.Request[pb.OrderRequest]
}

// deliver lets the order reach the agent.
func (h *heldOrder) deliver(ctx context.Context, a *host.Agent) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.request == nil {
		return errors.New("no order was held up")
	}
	_, err := a.Order(ctx, h.request)
	return err
}

// starts returns the starts of the order, if one was held up.
func (h *heldOrder) starts() []*pb.StartTask {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.request == nil {
		return nil
	}
	return h.request.Msg.GetStarts()
}

// hold holds up the orders for an agent until the returned function is called.
func (t *agentTable) hold(address string) (order *heldOrder, end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held == nil {
		t.held = make(map[string]*heldOrder)
	}
	h := &heldOrder{}
	t.held[address] = h
	return h, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.held, address)
	}
}

// holdUp takes an order if orders for the agent are held up.
func (t *agentTable) holdUp(address string, r *connect.Request[pb.OrderRequest]) bool {
	t.mu.Lock()
	h := t.held[address]
	t.mu.Unlock()
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.request == nil {
		h.request = r
	}
	return true
}

// setThawed makes the next Watch call to an agent return at once, as its wait ended while the agent was
// frozen.
func (t *agentTable) setThawed(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.thawed == nil {
		t.thawed = make(map[string]bool)
	}
	t.thawed[address] = true
}

func (t *agentTable) cut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isCut = true
}

func (t *agentTable) takeThawed(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	thawed := t.thawed[address]
	delete(t.thawed, address)
	return thawed
}

func (t *agentTable) set(address string, a *host.Agent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.agents[address] = a
}

// get returns the agent at an address after the delay of a call. If there is none, it blocks
// until ctx ends.
func (t *agentTable) get(ctx context.Context, address string) (*host.Agent, error) {
	t.mu.Lock()
	a := t.agents[strings.Replace(address, ":7190", ":7180", 1)]
	if f, ok := t.choices[address]; ok {
		a = f()
	}
	cut := t.isCut
	t.mu.Unlock()
	if a == nil || cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := clock.Pause(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	return a, nil
}

// agentClient is a client of the agent at an address.
type agentClient struct {
	table   *agentTable
	address string
}

func (c agentClient) Watch(ctx context.Context, r *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	a, err := c.table.get(ctx, c.address)
	if err != nil {
		return nil, err
	}
	if c.table.takeThawed(c.address) {
		m := proto.Clone(r.Msg).(*pb.WatchRequest) // The call may arrive twice.
		m.Wait = nil
		r = connect.NewRequest(m)
	}
	return a.Watch(ctx, r)
}

func (c agentClient) Order(ctx context.Context, r *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error) {
	if c.table.holdUp(c.address, r) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := clock.Pause(ctx, c.table.delayOf(r.Msg)); err != nil {
		return nil, err
	}
	a, err := c.table.get(ctx, c.address)
	if err != nil {
		return nil, err
	}
	return a.Order(ctx, r)
}

// versionedClient is a client of an agent, which may be of an earlier version.
type versionedClient struct {
	agentClient
	cluster *cluster
}

// agentPause returns the pause of the agent.
func (c versionedClient) agentPause() *pause {
	name, _, _ := strings.Cut(c.address, ":")
	return c.cluster.pauseOf(name)
}

// Watch removes what agents of earlier versions don't say.
func (c versionedClient) Watch(ctx context.Context, r *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	c.table.pause.wait()
	resp, err := carryRepeated(ctx, &c.cluster.network, func(ctx context.Context) (*connect.Response[pb.WatchResponse], error) {
		return paused(c.agentPause(), c.agentClient.Watch)(ctx, r)
	})
	c.table.pause.wait()
	c.table.awaitHandling(c.address)
	if _, earlier := c.cluster.earlierAgents.Load(c.address); earlier && err == nil {
		resp.Msg.MoreEnded = false
		for _, r := range resp.Msg.GetRunning() {
			r.Listed = false
		}
	}
	return resp, err
}

// Order answers for an agent of an earlier version: a stopped run that the worker doesn't list right after the
// stop is absent.
func (c versionedClient) Order(ctx context.Context, r *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error) {
	c.table.pause.wait()
	defer c.table.pause.wait()
	if len(r.Msg.GetStops()) > 0 {
		defer c.table.awaitAnswer(c.address)
	}
	if len(r.Msg.GetStarts())+len(r.Msg.GetStops()) == 0 {
		c.cluster.emptyOrders.Add(1)
	}
	_, earlier := c.cluster.earlierAgents.Load(c.address)
	if earlier {
		r.Msg.StoredEnd = 0 // Not known to such an agent.
	}
	return carryRepeated(ctx, &c.cluster.network, func(ctx context.Context) (*connect.Response[pb.OrderResponse], error) {
		resp, err := paused(c.agentPause(), c.agentClient.Order)(ctx, r)
		if err != nil || !earlier {
			return resp, err
		}
		for _, result := range resp.Msg.GetResults() {
			result.EndsSeen, result.Settled = false, false
			if result.GetOutcome() == pb.Outcome_OUTCOME_STOPPING && !c.listed(ctx, r.Msg, result) {
				result.Outcome = pb.Outcome_OUTCOME_ABSENT
			}
		}
		return resp, nil
	})
}

// listed reports whether the worker lists a run, or may list it, as it gives no answer.
func (c versionedClient) listed(ctx context.Context, r *pb.OrderRequest, o *pb.OrderResult) bool {
	state, err := c.cluster.agentAt(c.address).worker(c.cluster.ctx).Poll(ctx, host.PollRequest{Lifetime: r.GetLifetime(), Epoch: r.GetEpoch()})
	task, run := o.GetTask(), int(o.GetRun())
	return err != nil ||
		slices.ContainsFunc(state.Running, func(o host.Running) bool { return o.Task == task && o.Run == run }) ||
		slices.ContainsFunc(state.Ended, func(o host.Ended) bool { return o.Task == task && o.Run == run })
}

// agentAt returns the agent at an address.
func (c *cluster) agentAt(address string) *agent {
	return c.agents[slices.IndexFunc(c.agents, func(a *agent) bool {
		return agentAddress(a.name) == address || otherAddress(a.name) == address
	})]
}

// maxLease is the longest lease that a worker takes.
const maxLease = 10 * time.Second

// options are the settings of the smaller of the users' sites.
var options = dispatch.Options{
	Lease: 9500 * time.Millisecond, MaxLease: maxLease, StopTimeout: 200 * time.Millisecond, RemoteFactor: 3,
	CheckpointInterval: time.Second, Retention: 10 * time.Minute,
}

func newCluster(t *testing.T, entries, workers int) *cluster {
	return newClusterWith(t, entries, workers, func(*standin.Store) {}, func(*standin.Executor) {})
}

// newClusterWith returns a cluster whose store and executors are set up by functions before they are used.
func newClusterWith(t *testing.T, entries, workers int, store func(*standin.Store), executor func(*standin.Executor)) *cluster {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		time.Sleep(3 * time.Second) // In virtual time; lets calls in progress end.
	})
	c := &cluster{t: t, ctx: ctx, log: zerolog.Nop(), setUpExecutor: executor}
	if testing.Verbose() {
		c.log = zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger()
	}
	c.store.Delay = storeDelay
	store(&c.store)
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

// startEntry starts an entry whose processor time is not known.
func (c *cluster) startEntry(name string) *entry { return c.startEntryWithShare(name, 0) }

func (c *cluster) startEntryWithShare(name string, cpuShare float64) *entry {
	e := &entry{name: name, stopped: make(chan struct{}), agents: &agentTable{agents: make(map[string]*host.Agent), pause: c.pauseOf(name)}}
	e.storeLink.pause = e.agents.pause
	log := c.log.With().Str("at", name).Logger()
	store := e.storeLink.wrap(c.store.Journal())
	incarnation := fmt.Sprint(time.Now().UnixNano())
	writer := &journal.Writer{Store: store, Producer: journal.Producer{Name: name + "/" + incarnation, Epoch: 1}, Log: log}
	e.state = &clusterstate.State{}
	follower := &journal.Follower{Store: store, Superseded: clusterstate.Superseded, Log: log, Apply: func(r journal.Record) {
		if err := e.state.Apply(r); err != nil {
			c.t.Error(err)
		}
	}}
	planner := &dispatch.Planner{
		Name: name, Incarnation: incarnation, CPUShare: cpuShare, ClusterState: e.state, Follower: follower, Writer: writer, Store: store,
		Rules: func() *workflow.Rules { return c.rules }, Options: options, Log: log,
		Dial: func(address string) sniperillv1connect.HostServiceClient {
			return versionedClient{agentClient{e.agents, address}, c}
		},
	}
	e.state.OnPlannerSeen, e.state.OnJobChanged, e.state.OnAgentRegistered = planner.PlannerSeen, planner.JobChanged, planner.AgentRegistered
	e.intake = &intake.Service{
		Name: name, Incarnation: incarnation, ClusterState: e.state, Follower: follower, Writer: writer, Peers: c.peersOf(e), Log: log,
	}
	for _, a := range c.agents {
		e.agents.set(agentAddress(a.name), a.process)
	}
	planner.EntryReady = e.intake.PeerReady
	operators := c.followOperators(e, planner)
	running, kill := context.WithCancel(c.ctx)
	planning, stop := context.WithCancel(running)
	e.kill, e.stop, e.killed = func() {
		// What the process would still do as it stops reaches nobody.
		e.storeLink.setDisconnected(true)
		e.operatorsLink.setDisconnected(true)
		e.agents.cut()
		kill()
	}, stop, running.Done()
	go follower.Run(running)
	if operators != nil {
		go operators.Run(running)
	}
	go writer.Run(running)
	go e.intake.Run(running)
	go register(running, writer, clusterstate.EntryRecord(clusterstate.Address{Name: name, Address: agentAddress(name), CPUShare: cpuShare}))
	go func() {
		defer close(e.stopped)
		_ = planner.Run(planning)
	}()
	return e
}

// peerClient is a client of another entry.
type peerClient struct {
	intake.Handler
	entry *entry
	// cutOff reports whether the caller or the entry is cut off from all other entries.
	cutOff func() bool
	// slow reports whether the entry answers late.
	slow func() bool
}

// Ready calls the entry. It blocks until ctx ends if the entry was killed or can't be reached.
func (c peerClient) Ready(ctx context.Context, r *connect.Request[pb.DeskReadyRequest]) (*connect.Response[pb.DeskReadyResponse], error) {
	switch {
	case !c.cutOff() && c.entry.left.Load():
		return nil, connect.NewError(connect.CodeUnavailable, syscall.ECONNREFUSED)
	case c.cutOff(), isClosed(c.entry.killed):
		<-ctx.Done()
		return nil, ctx.Err()
	case c.slow():
		time.Sleep(120 * time.Millisecond)
	}
	return c.Handler.Ready(ctx, r)
}

// peersOf returns the peers of an entry: the other entries that are in its cluster state.
func (c *cluster) peersOf(e *entry) func() []intake.Peer {
	return func() []intake.Peer {
		c.mu.Lock()
		defer c.mu.Unlock()
		if isClosed(e.killed) {
			return nil
		}
		var out []intake.Peer
		registered := e.state.Entries()
		for _, o := range c.entries {
			if o != e && slices.ContainsFunc(registered, func(a clusterstate.Address) bool { return a.Name == o.name }) {
				out = append(out, intake.Peer{Name: o.name, Client: peerClient{intake.Handler{Service: o.intake}, o, func() bool {
					_, caller := c.cutOff.Load(e.name)
					_, called := c.cutOff.Load(o.name)
					return caller || called
				}, func() bool {
					_, slow := c.slow.Load(o.name)
					return slow
				}}})
			}
		}
		return out
	}
}

func (c *cluster) startAgent(name string, number int) *agent {
	a := &agent{name: name, network: &c.network, pause: c.pauseOf(name)}
	a.machine.SetExecutor(c.newExecutor(name, 1))
	rack := fmt.Sprintf("r1-%d", number/3)
	c.startAgentProcess(a, rack)
	writer := &journal.Writer{
		Store: c.store.Journal(), Producer: journal.Producer{Name: name, Epoch: 1}, Log: c.log,
	}
	go writer.Run(c.ctx)
	go register(c.ctx, writer, clusterstate.AgentRecord(clusterstate.Address{Name: name, Address: agentAddress(name), Zone: zoneOf(number)}))
	return a
}

// agentAddress returns the address of the process with a name.
func agentAddress(name string) string { return name + ":7180" }

// otherAddress returns the second address of the process with a name.
func otherAddress(name string) string { return name + ":7190" }

// register writes a process's address, and retries for as long as the store is unavailable.
func register(ctx context.Context, w *journal.Writer, r journal.Record) {
	for {
		if _, err := w.Add(ctx, r); err == nil || clock.Pause(ctx, 100*time.Millisecond) != nil {
			return
		}
	}
}

func (c *cluster) newExecutor(name string, startedUnixMS int64) *standin.Executor {
	e := &standin.Executor{
		Lifetime:  host.Lifetime{ID: name, StartedUnixMS: startedUnixMS},
		MaxLease:  maxLease,
		Resources: workflow.Resources{MilliCores: 64000, MemoryMB: 64000, Accelerators: 8},
		Requirements: func(task string) (workflow.Resources, time.Duration) {
			t, err := clusterstate.ParseTaskID(task)
			if err != nil {
				c.t.Fatal(err)
			}
			steps, ok := c.submittedSteps.Load(t.Job)
			if !ok {
				c.t.Errorf("task %s was started, but its job was not submitted", task)
				return workflow.Resources{}, time.Second
			}
			step := steps.([]workflow.Step)[t.Step]
			return step.Resources, step.Estimate
		},
		OnRunStarted: c.runs.record,
		StopTime:     func() time.Duration { return options.StopTimeout },
	}
	c.setUpExecutor(e)
	return e
}

// startAgentProcess starts the process of an agent.
func (c *cluster) startAgentProcess(a *agent, rack string) {
	running, kill := context.WithCancel(c.ctx)
	a.process = &host.Agent{
		Name: a.name, Worker: a.worker(running), MaxLease: maxLease, StopTimeout: options.StopTimeout,
		Incarnation: fmt.Sprint(time.Now().UnixNano()), Log: c.log.With().Str("at", a.name).Logger(),
	}
	for _, e := range c.entries {
		e.agents.set(agentAddress(a.name), a.process)
	}
	a.kill = kill
	agent := a.process
	go agent.Run(running)
	go func() {
		for running.Err() == nil {
			if !a.mute.Load() {
				heartbeat := a.machine.Executor().Heartbeat("s", rack, a.heartbeats.Add(1))
				heartbeat.ColdRemaining = time.Duration(a.coldFor.Load())
				_ = agent.Heartbeat(running, heartbeat)
			}
			if clock.Pause(running, 1500*time.Millisecond) != nil {
				return
			}
		}
	}()
}

// submit submits a job at the first entry.
func (c *cluster) submit(id, team, queue string, steps ...workflow.Step) {
	c.t.Helper()
	if err := c.submitAt(c.entries[0], id, team, queue, steps...); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) submitAt(e *entry, id, team, queue string, steps ...workflow.Step) error {
	c.submittedSteps.Store(id, steps)
	q, _ := c.rules.Queue(queue)
	j := &workflow.Job{ID: id, Team: team, Queue: q, Steps: steps, Submitted: time.Now()}
	if err := j.Validate().Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	return e.intake.Submit(ctx, j)
}

// state returns a job's state according to the last entry.
func (c *cluster) state(id string) shop.JobState {
	j, ok := c.entries[len(c.entries)-1].state.Job(id)
	if !ok {
		return ""
	}
	return j.State()
}

// await waits until all jobs are in the wanted state, and fails the test after d.
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

// checkStartedOnce checks that each task was started exactly once.
func (c *cluster) checkStartedOnce(tasks ...string) {
	c.t.Helper()
	for _, task := range tasks {
		if n := c.runs.count(task); n != 1 {
			c.t.Errorf("task %s was started %d times, want 1; starts: %s", task, n, strings.Join(c.runs.started, " "))
		}
	}
}

// restartAtNextStart makes a worker crash and restart with the same id while the next start is on its way to it.
func (c *cluster) restartAtNextStart(a *agent, startedUnixMS int64, checker *standin.RunChecker) {
	a.beforeStart = func(host.Start) {
		a.beforeStart = nil
		c.restartWorker(a, startedUnixMS, checker)
	}
}

// restartWorker makes a worker crash and restart with the same id, and returns its new lifetime.
func (c *cluster) restartWorker(a *agent, startedUnixMS int64, checker *standin.RunChecker) *standin.Executor {
	a.machine.Executor().Crash()
	next := c.newExecutor(a.name, startedUnixMS)
	checker.Watch(next)
	a.machine.SetExecutor(next)
	return next
}

// watchRuns returns a checker that watches the workers of all agents.
func (c *cluster) watchRuns() *standin.RunChecker {
	checker := &standin.RunChecker{}
	for _, a := range c.agents {
		checker.Watch(a.machine.Executor())
	}
	return checker
}

// reportViolations fails the test for each violation that a checker has seen.
func (c *cluster) reportViolations(checker *standin.RunChecker) {
	c.t.Helper()
	for _, err := range checker.Violations() {
		c.t.Error(err)
	}
}

// planner returns the entry that is the active planner.
func (c *cluster) planner() *entry {
	c.t.Helper()
	for _, e := range c.entries {
		if p, _ := e.state.Planner(); p.Name == e.name && !p.Resigned {
			return e
		}
	}
	c.t.Fatal("no entry is the active planner")
	return nil
}

// awaitPlanner returns the entry that is the active planner, once there is one.
func (c *cluster) awaitPlanner() *entry {
	for {
		for _, e := range c.entries {
			if p, _ := e.state.Planner(); p.Name == e.name && !p.Resigned {
				return e
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// leaveEntry ends an entry as a process that was told to stop does.
func (c *cluster) leaveEntry(e *entry) {
	e.storeLink.setDisconnected(true) // Its writer has stopped.
	e.stop()
	<-e.stopped
	e.intake.Leave(c.ctx)
	e.left.Store(true)
	e.kill()
}

// restartEntry kills an entry and starts it again.
func (c *cluster) restartEntry(e *entry) {
	e.kill()
	c.pauses.Delete(e.name) // A new process runs.
	i := slices.Index(c.entries, e)
	next := c.startEntry(e.name)
	c.mu.Lock()
	c.entries[i] = next
	c.mu.Unlock()
}

// killPlanner kills the entry that is the active planner. It doesn't start again.
func (c *cluster) killPlanner() {
	e := c.planner()
	e.kill()
	c.mu.Lock()
	c.entries = slices.DeleteFunc(c.entries, func(o *entry) bool { return o == e })
	c.mu.Unlock()
}

// plannerRecords counts the records of planners that stepped up or resigned.
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
		Resources: workflow.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: accelerators},
	}
}

// many returns a step like s with n tasks.
func many(s workflow.Step, n int) workflow.Step {
	s.Count = n
	return s
}

// gang returns a step like s that is a gang of n tasks.
func gang(s workflow.Step, n int) workflow.Step {
	s.Count, s.Gang = n, true
	return s
}

// after returns a step like s that depends on the steps with the given indices.
func after(s workflow.Step, steps ...int) workflow.Step {
	s.After = steps
	return s
}

// withVirtualTime runs a test in virtual time.
func withVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}
