package gang

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

var errLost = errors.New("no answer")

// defaultTimes are the durations that all agents in the tests use.
var defaultTimes = func() Times {
	var t Times
	t.SetDefaults()
	return t
}()

// fakeTask is a task that the fake worker was asked to start.
type fakeTask struct {
	*sniperillv1.StartTaskRequest
	begin, end time.Time // While the task runs, end is the end of its lease.
	state      TaskState
}

// fakeWorker runs tasks under leases. It survives crashes of its agent.
type fakeWorker struct {
	sync.Mutex
	tasks              map[string]*fakeTask
	stoppedBeforeStart map[string]bool // Stopped before their start.
}

// running returns the tasks that run now. It stops those whose lease has expired.
func (w *fakeWorker) running() []*fakeTask {
	w.Lock()
	defer w.Unlock()
	var out []*fakeTask
	for _, t := range w.tasks {
		if t.state == Running && !time.Now().Before(t.end) {
			t.state = Stopped
		}
		if t.state == Running {
			copied := *t
			out = append(out, &copied)
		}
	}
	return out
}

func (w *fakeWorker) start(req *sniperillv1.StartTaskRequest) error {
	w.Lock()
	defer w.Unlock()
	if w.stoppedBeforeStart[req.GetTask()] || w.tasks[req.GetTask()] != nil {
		return errors.New("task was stopped or started before")
	}
	now := time.Now()
	w.tasks[req.GetTask()] = &fakeTask{req, now, now.Add(req.GetLease().AsDuration()), Running}
	return nil
}

func (w *fakeWorker) finish(task string, s TaskState) {
	w.running()
	w.Lock()
	defer w.Unlock()
	t := w.tasks[task]
	if t == nil {
		w.stoppedBeforeStart[task] = true
	} else if t.state == Running {
		t.state, t.end = s, time.Now()
	}
}

// state returns the state of a task, or an empty string if it never ran.
func (w *fakeWorker) state(task string) TaskState {
	w.running()
	w.Lock()
	defer w.Unlock()
	if t := w.tasks[task]; t != nil {
		return t.state
	}
	return ""
}

func (w *fakeWorker) renew(req *sniperillv1.RenewTaskRequest) error {
	w.running()
	w.Lock()
	defer w.Unlock()
	t := w.tasks[req.GetTask()]
	if t == nil || t.state != Running {
		return errors.New("task does not run")
	}
	t.end = time.Now().Add(req.GetLease().AsDuration())
	return nil
}

func (w *fakeWorker) list() *sniperillv1.ListTasksResponse {
	w.running()
	w.Lock()
	defer w.Unlock()
	out := &sniperillv1.ListTasksResponse{}
	for name, t := range w.tasks {
		out.Tasks = append(out.Tasks, &sniperillv1.TaskReport{Task: name, State: string(t.state), Answer: []byte(name)})
	}
	return out
}

// node is a machine with an agent's Allocator and its worker. The agent's process
// can be paused.
type node struct {
	*Allocator
	worker    *fakeWorker
	pauseGate *atomic.Pointer[chan struct{}] // Nil unless paused; closed when the process continues.
	cancel    context.CancelFunc
}

// waitWhilePaused blocks while the process is paused.
func (n *node) waitWhilePaused() {
	if gate := n.pauseGate.Load(); gate != nil {
		<-*gate
	}
}

// cluster is a set of nodes with a network that loses, repeats and delays messages.
type cluster struct {
	sync.Mutex
	nodes       []*node
	rng         *rand.Rand
	seed        uint64
	loss        float64 // Probability of loss, for each request and each response.
	delay       time.Duration
	cutLinks    map[string]bool      // By "from>to".
	stalls      map[string]time.Time // When each stalled entry continues.
	calls       int
	prepared    map[string]map[string]bool // Agents that answered that they are prepared, by attempt.
	memberCount map[string]int             // By attempt.
	violation   string
}

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{
		seed:        seed,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		cutLinks:    map[string]bool{},
		stalls:      map[string]time.Time{},
		prepared:    map[string]map[string]bool{},
		memberCount: map[string]int{},
	}
	for i := range n {
		c.nodes = append(c.nodes, nil)
		c.boot(i, &fakeWorker{tasks: map[string]*fakeTask{}, stoppedBeforeStart: map[string]bool{}})
	}
	return c
}

func agentName(i int) string { return fmt.Sprintf("agent-%02d", i) }

// boot starts a new incarnation of agent i.
func (c *cluster) boot(i int, w *fakeWorker) {
	incarnation := uint64(1)
	if old := c.nodes[i]; old != nil {
		old.cancel()
		incarnation = old.Incarnation + 1
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{worker: w, pauseGate: &atomic.Pointer[chan struct{}]{}, cancel: cancel}
	n.Allocator = &Allocator{Name: agentName(i), Incarnation: incarnation, Accelerators: 4, Cores: 16, Memory: 64 * shop.GiB}
	n.Now = time.Now
	n.StartTask = func(ctx context.Context, r *sniperillv1.StartTaskRequest) error {
		_, err := callWorker(ctx, c, n, func() (int, error) { return 0, c.checkStart(n, r) })
		return err
	}
	n.StopTask = func(ctx context.Context, r *sniperillv1.StopTaskRequest) error {
		_, err := callWorker(ctx, c, n, func() (int, error) { w.finish(r.GetTask(), Stopped); return 0, nil })
		return err
	}
	n.CheckpointTask = func(ctx context.Context, r *sniperillv1.CheckpointTaskRequest) (*sniperillv1.CheckpointTaskResponse, error) {
		return callWorker(ctx, c, n, func() (*sniperillv1.CheckpointTaskResponse, error) {
			return &sniperillv1.CheckpointTaskResponse{Checkpoint: []byte(r.GetTask())}, nil
		})
	}
	n.ThrottleTask = func(context.Context, *sniperillv1.ThrottleTaskRequest) error { return nil }
	n.RenewTask = func(ctx context.Context, r *sniperillv1.RenewTaskRequest) error {
		_, err := callWorker(ctx, c, n, func() (int, error) { return 0, w.renew(r) })
		return err
	}
	n.ListTasks = func(ctx context.Context, _ *sniperillv1.ListTasksRequest) (*sniperillv1.ListTasksResponse, error) {
		return callWorker(ctx, c, n, func() (*sniperillv1.ListTasksResponse, error) { return w.list(), nil })
	}
	n.RenewMember = networkCall(c, n.Name, func(n *node) handler[*sniperillv1.RenewRequest, *sniperillv1.RenewResponse] { return n.Renew })
	n.ReleaseMember = networkCall(c, n.Name, func(n *node) handler[*sniperillv1.ReleaseRequest, *sniperillv1.ReleaseResponse] { return n.Release })
	n.AbandonMember = networkCall(c, n.Name, func(n *node) handler[*sniperillv1.AbandonRequest, *sniperillv1.AbandonResponse] { return n.Abandon })
	c.Lock()
	c.nodes[i] = n
	c.Unlock()
	go n.runTicks(ctx)
}

// callWorker runs f as a call of the agent to its worker, which may be delayed.
func callWorker[T any](ctx context.Context, c *cluster, n *node, f func() (T, error)) (T, error) {
	n.waitWhilePaused()
	var none T
	if ctx.Err() != nil {
		return none, ctx.Err()
	}
	_, _, delay, _ := c.drawFaults(n.Name, "worker")
	time.Sleep(delay)
	out, err := f()
	if ctx.Err() != nil {
		return none, errLost
	}
	return out, err
}

func (n *node) runTicks(ctx context.Context) {
	for ctx.Err() == nil {
		n.waitWhilePaused()
		n.Tick(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(TickInterval):
		}
	}
}

type handler[Req, Resp any] func(context.Context, Req) (Resp, error)

// networkCall returns a function that calls a member over the network, from an
// agent or an entry.
func networkCall[Req, Resp any](c *cluster, from string, pick func(*node) handler[Req, Resp]) func(context.Context, *sniperillv1.Member, Req) (Resp, error) {
	return func(ctx context.Context, m *sniperillv1.Member, req Req) (Resp, error) {
		type answer struct {
			resp Resp
			err  error
		}
		c.waitWhileStalled(from)
		if ctx.Err() != nil {
			var none Resp
			return none, errLost
		}
		lost, repeat, delay, responseDelay := c.drawFaults(from, m.GetAgent())
		got := make(chan answer, 2)
		deliver := func(delay time.Duration) {
			time.Sleep(delay)
			c.Lock()
			to := c.node(m.GetAgent())
			c.Unlock()
			to.waitWhilePaused()
			resp, err := pick(to)(context.Background(), req)
			c.notePrepared(req, m.GetAgent(), resp)
			time.Sleep(responseDelay)
			if !c.dropsAnswer(m.GetAgent(), from) {
				got <- answer{resp, err}
			}
		}
		if !lost {
			go deliver(delay)
		}
		if repeat {
			go deliver(2 * delay)
		}
		var none Resp
		select {
		case a := <-got:
			return a.resp, a.err
		case <-ctx.Done():
			return none, errLost
		}
	}
}

func (c *cluster) node(agent string) *node {
	for _, n := range c.nodes {
		if n.Name == agent {
			return n
		}
	}
	return nil
}

// drawFaults draws what happens to a request: whether it is lost or repeated, and
// the delays of the request and of its response.
func (c *cluster) drawFaults(from, to string) (lost, repeat bool, delay, responseDelay time.Duration) {
	c.Lock()
	defer c.Unlock()
	c.calls++
	lost = c.cutLinks[from+">"+to] || c.rng.Float64() < c.loss
	repeat = !c.cutLinks[from+">"+to] && c.rng.Float64() < c.loss
	if c.delay > 0 {
		responseDelay = time.Duration(c.rng.Int64N(int64(c.delay)))
		delay = time.Duration(c.rng.Int64N(int64(c.delay)))
	}
	return lost, repeat, delay, responseDelay
}

// waitWhileStalled blocks while the caller's process is stalled or paused.
func (c *cluster) waitWhileStalled(from string) {
	c.Lock()
	until, n := c.stalls[from], c.node(from)
	c.Unlock()
	time.Sleep(time.Until(until))
	if n != nil {
		n.waitWhilePaused()
	}
}

func (c *cluster) stall(entry string, until time.Time) {
	c.Lock()
	defer c.Unlock()
	c.stalls[entry] = until
}

func (c *cluster) setCut(link string, cut bool) {
	c.Lock()
	defer c.Unlock()
	c.cutLinks[link] = cut
}

func (c *cluster) dropsAnswer(from, to string) bool {
	c.Lock()
	defer c.Unlock()
	return c.cutLinks[from+">"+to] || c.rng.Float64() < c.loss
}

func (c *cluster) member(i int) *sniperillv1.Member {
	c.Lock()
	defer c.Unlock()
	return &sniperillv1.Member{Agent: agentName(i), Incarnation: c.nodes[i].Incarnation}
}

func (c *cluster) starter(entry string) Starter {
	return Starter{
		Hold: networkCall(c, entry, func(n *node) handler[*sniperillv1.HoldRequest, *sniperillv1.HoldResponse] { return n.Hold }),
		Prepare: networkCall(c, entry, func(n *node) handler[*sniperillv1.PrepareRequest, *sniperillv1.PrepareResponse] {
			return n.Prepare
		}),
		Release: networkCall(c, entry, func(n *node) handler[*sniperillv1.ReleaseRequest, *sniperillv1.ReleaseResponse] {
			return n.Release
		}),
		Renew: networkCall(c, entry, func(n *node) handler[*sniperillv1.RenewRequest, *sniperillv1.RenewResponse] { return n.Renew }),
		Abandon: networkCall(c, entry, func(n *node) handler[*sniperillv1.AbandonRequest, *sniperillv1.AbandonResponse] {
			return n.Abandon
		}),
	}
}

func attemptKey(job string, number uint32) string { return fmt.Sprintf("%s/%d", job, number) }

// notePrepared records that an agent has answered that it is prepared.
func (c *cluster) notePrepared(req any, agent string, resp any) {
	p, ok := req.(*sniperillv1.PrepareRequest)
	r, _ := resp.(*sniperillv1.PrepareResponse)
	if !ok || !r.GetPrepared() {
		return
	}
	c.Lock()
	defer c.Unlock()
	key := attemptKey(p.GetAttempt().GetJob(), p.GetAttempt().GetNumber())
	if c.prepared[key] == nil {
		c.prepared[key] = map[string]bool{}
	}
	c.prepared[key][agent] = true
	c.memberCount[key] = len(p.GetMembers())
}

// checkStart checks the invariants for the start of a task, then starts it.
func (c *cluster) checkStart(n *node, req *sniperillv1.StartTaskRequest) error {
	key := attemptKey(req.GetJob().GetId(), req.GetAttempt())
	c.Lock()
	if len(c.prepared[key]) != c.memberCount[key] || c.memberCount[key] == 0 {
		c.fail("task started before the whole gang was prepared: %s with %d of %d members prepared", req.GetTask(), len(c.prepared[key]), c.memberCount[key])
	}
	for _, t := range n.worker.running() {
		if t.GetAccelerators()&req.GetAccelerators() != 0 {
			c.fail("two tasks share accelerators: %s and %s on %s", t.GetTask(), req.GetTask(), n.Name)
		}
	}
	c.Unlock()
	return n.worker.start(req)
}

func (c *cluster) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// job returns a job whose tasks all have the given number of accelerators.
func job(id, team string, tasks, accelerators int) *sniperillv1.Job {
	return &sniperillv1.Job{Id: id, Team: team, Shape: &sniperillv1.Shape{
		Tasks:        uint32(tasks),
		Accelerators: uint32(accelerators),
		Cores:        uint32(accelerators),
		MemoryBytes:  uint64(shop.GiB),
	}}
}

// plan returns a plan with one task for each of the agents.
func (c *cluster) plan(j *sniperillv1.Job, number uint32, agents ...int) Plan {
	p := Plan{Attempt: &sniperillv1.Attempt{Job: j.GetId(), Number: number}, Job: j}
	for _, i := range agents {
		p.Parts = append(p.Parts, Part{Member: c.member(i), Tasks: 1})
	}
	return p
}
