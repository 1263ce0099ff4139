package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
)

const (
	// passInterval is the longest time between two passes; most are begun by an event.
	passInterval = 100 * time.Millisecond
	// batchDelay is how long a pass waits for more events, so that one append carries them.
	batchDelay = 3 * time.Millisecond
	// shutdownGrace bounds the wait of a stopping planner for the answers to its orders.
	shutdownGrace = 400 * time.Millisecond
	// resignTimeout bounds the append by which a stopping planner resigns.
	resignTimeout = 500 * time.Millisecond
)

// activePlanner is the time in which this process is the planner.
type activePlanner struct {
	*Planner
	epoch     int64
	startedAt clock.Instant
	writer    *journal.Writer
	depose    func()
	wakeup    chan struct{}

	mu            sync.Mutex
	changedJobs   map[string]bool // Jobs whose records were applied since the last pass.
	newAgents     []clusterstate.Address
	jobs          map[string]*job
	workers       map[string]*worker
	members       map[string]*member // By task.
	lastHeartbeat clock.Instant      // When the last beat was written.

	group errgroup.Group
	ctx   context.Context // Of the calls to agents; those that join later run in it.
}

func (p *Planner) newActivePlanner(epoch int64) *activePlanner {
	return &activePlanner{
		Planner: p, epoch: epoch, wakeup: make(chan struct{}, 1),
		writer: &journal.Writer{
			Store:            p.Store,
			Producer:         journal.Producer{Name: plannerProducer, Epoch: epoch},
			RetryUnavailable: true, // A claim's outcome must be known; another planner fences this one.
			Log:              p.Log,
		},
		changedJobs: make(map[string]bool), jobs: make(map[string]*job),
		workers: make(map[string]*worker), members: make(map[string]*member),
	}
}

func (r *activePlanner) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

func (r *activePlanner) markJobChanged(id string) {
	r.mu.Lock()
	r.changedJobs[id] = true
	r.mu.Unlock()
	r.wake()
}

func (r *activePlanner) addNewAgent(a clusterstate.Address) {
	r.mu.Lock()
	r.newAgents = append(r.newAgents, a)
	r.mu.Unlock()
	r.wake()
}

// run fences older planners, learns the state, and plans until ctx ends.
func (r *activePlanner) run(ctx context.Context) error {
	// Calls outlive ctx, so that a planner that is told to stop can finish what it began.
	calls, stop := context.WithCancel(context.WithoutCancel(ctx))
	r.ctx = calls
	r.group.Go(func() error {
		if err := r.writer.Run(calls); !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	})
	err := r.loop(ctx)
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeposed) {
		r.waitForStarts(calls)
		r.resign(calls)
	}
	stop()
	if failed := r.group.Wait(); failed != nil {
		return failed
	}
	return err
}

// waitForStarts waits until all that was claimed has been sent.
func (r *activePlanner) waitForStarts(ctx context.Context) {
	for end := clock.Now().Add(shutdownGrace); clock.Now() < end; {
		if r.unansweredStarts() == 0 || clock.Pause(ctx, batchDelay) != nil {
			return
		}
	}
	r.Log.Warn().Int("tasks", r.unansweredStarts()).Msg("Stopped before all claimed runs were sent.")
}

// unansweredStarts counts the runs whose start has not been answered.
func (r *activePlanner) unansweredStarts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.members {
		if m.status == starting {
			n++
		}
	}
	return n
}

// loop fences older planners, takes over what they left, and makes one pass after another.
func (r *activePlanner) loop(ctx context.Context) error {
	// From here on the store refuses what older planners append.
	if _, err := r.writer.Add(ctx, clusterstate.HeartbeatRecord(r.epoch)); err != nil {
		return fmt.Errorf("dispatch.Planner: fence older planners: %w", err)
	}
	r.startedAt = clock.Now()
	if err := r.refresh(ctx); err != nil {
		return err
	}
	if now, _ := r.ClusterState.Planner(); now.Epoch != r.epoch {
		return errDeposed
	}
	r.loadState()
	stepUps.Inc()
	r.Log.Info().Int64("epoch", r.epoch).Int("jobs", len(r.jobs)).Int("agents", len(r.workers)).
		Int("tasks", len(r.members)).Msg("Planning.")
	for {
		if err := r.runPass(ctx); err != nil {
			return err
		}
		if err := r.waitForEvent(ctx); err != nil {
			return err
		}
	}
}

// refresh reads to the journal's end, however long the store is away.
func (r *activePlanner) refresh(ctx context.Context) error {
	for {
		err := r.Follower.Refresh(ctx)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		r.Log.Warn().Err(err).Msg("Reading the journal failed; trying again.")
		if err := clock.Pause(ctx, passInterval); err != nil {
			return err
		}
	}
}

func (r *activePlanner) waitForEvent(ctx context.Context) error {
	t := time.NewTimer(passInterval)
	defer t.Stop()
	select {
	case <-r.wakeup:
		return clock.Pause(ctx, batchDelay)
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// resign tells the others that this planner has stopped.
func (r *activePlanner) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	if now, _ := r.ClusterState.Planner(); now.Epoch != r.epoch {
		return
	}
	_, err := r.writer.Add(ctx, clusterstate.PlannerRecord(clusterstate.Planner{
		Name: r.Name, Incarnation: r.Incarnation, Resigned: true, Epoch: r.epoch,
	}))
	if err != nil {
		r.Log.Warn().Err(err).Msg("Could not resign; the others will notice the silence.")
		return
	}
	r.Log.Info().Int64("epoch", r.epoch).Msg("Resigned as the planner.")
}

// loadState takes over all jobs and agents that the ledger has.
func (r *activePlanner) loadState() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.ClusterState.Agents() {
		r.addWorker(a)
	}
	r.ClusterState.Jobs(func(l *clusterstate.Job) bool {
		r.adopt(l)
		return true
	})
}

// adopt takes over a job with what earlier planners claimed for it.
func (r *activePlanner) adopt(l *clusterstate.Job) {
	j := newJob(l)
	r.jobs[l.Spec.ID] = j
	for key, u := range j.progress.Units {
		for _, m := range u.Members {
			r.addMember(j, key, m, u.Run, adopted)
		}
	}
}

// runPass takes in what happened, plans, stores the outcome, and lets it take effect.
func (r *activePlanner) runPass(ctx context.Context) error {
	r.mu.Lock()
	r.applyChanges()
	r.checkMembers()
	started := r.plan()
	b := r.collectBatch()
	r.mu.Unlock()
	if len(b.records) > 0 {
		if err := r.persist(ctx, b.records); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range started {
		if m.status == claimed {
			m.status = starting
		}
	}
	for w, end := range b.storedEnds {
		w.markStored(end)
	}
	for _, j := range b.finalJobs {
		r.Log.Info().Str("job", j.spec.ID).Str("state", string(j.progress.State)).Dur("took", clock.Since(j.finalizedAt)).
			Msg("A job's final state is stored.")
	}
	for _, w := range r.workers {
		w.wakeOrders()
	}
	return nil
}

// persist appends what a pass decided. When ctx ends meanwhile, it waits a little longer,
// as what was claimed may already be in the journal.
func (r *activePlanner) persist(ctx context.Context, records []journal.Record) error {
	storing, cancel := context.WithCancel(r.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), errDeposed) || clock.Pause(storing, shutdownGrace) == nil {
			cancel()
		}
	})()
	var err error
	timed(storeDuration, func() { _, err = r.writer.Add(storing, records...) })
	if err != nil {
		return fmt.Errorf("dispatch.Planner: %w", err)
	}
	return nil
}

// applyChanges takes in the ledger's changes since the last pass.
func (r *activePlanner) applyChanges() {
	for _, a := range r.newAgents {
		r.addWorker(a)
	}
	r.newAgents = nil
	for id := range r.changedJobs {
		l, ok := r.ClusterState.Job(id)
		if !ok {
			continue
		}
		j, known := r.jobs[id]
		if !known {
			r.jobs[id] = newJob(l)
			continue
		}
		j.cancelled = l.Cancelled
	}
	clear(r.changedJobs)
}

// batch is what a pass stores.
type batch struct {
	records    []journal.Record
	storedEnds map[*worker]endPosition // Up to which number ends are stored by it.
	finalJobs  []*job                  // Whose final state it stores.
}

// collectBatch returns what changed.
func (r *activePlanner) collectBatch() batch {
	b := batch{storedEnds: make(map[*worker]endPosition)}
	for id, j := range r.jobs {
		switch {
		case j.dirty:
			j.dirty = false
			b.records = append(b.records, clusterstate.ProgressRecord(id, j.progress.Clone()))
			if j.finalizedAt != 0 && !j.finalSent {
				j.finalSent = true
				b.finalJobs = append(b.finalJobs, j)
			}
		case r.expired(j):
			b.records = append(b.records, clusterstate.DeletionRecords(id)...)
			delete(r.jobs, id)
		}
	}
	// Progress names no epoch, so only a beat tells the others that this planner lives.
	if now := clock.Now(); now.Sub(r.lastHeartbeat) > heartbeatInterval {
		r.lastHeartbeat = now
		b.records = append(b.records, clusterstate.HeartbeatRecord(r.epoch))
	}
	for _, w := range r.workers {
		if w.appliedEnds.number > w.storedEnds.number || w.appliedEnds.lifetime != w.storedEnds.lifetime {
			b.storedEnds[w] = w.appliedEnds
		}
	}
	return b
}

// expired says whether a job has been final for so long that nobody asks for it.
func (r *activePlanner) expired(j *job) bool {
	if !j.final() || j.liveMembers() > 0 {
		return false
	}
	l, ok := r.ClusterState.Job(j.spec.ID)
	return ok && l.FinalSince != 0 && clock.Since(l.FinalSince) > r.Retention
}
