package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/telemetry"
)

const (
	// passInterval is the longest time between two planning passes; most are triggered by an
	// event.
	passInterval = 100 * time.Millisecond
	// batchDelay is how long a pass waits for more events, so that one append stores the result
	// of all of them.
	batchDelay = 3 * time.Millisecond
	// shutdownGrace bounds how long a stopping planner waits for an append in progress and for
	// the answers to its starts.
	shutdownGrace = 400 * time.Millisecond
	// resignTimeout bounds the append of the record by which a stopping planner resigns.
	resignTimeout = 500 * time.Millisecond
)

// activePlanner is the state of a Planner while it is the active one.
type activePlanner struct {
	*Planner
	epoch     int64 // Higher than those of all earlier planners.
	startedAt clock.Instant
	writer    *journal.Writer
	stepDown  func() // Stops run, as another planner has stepped up.
	giveUp    func() // Stops run with errBlind.
	replaced  atomic.Bool
	wakeup    chan struct{}

	mu            sync.Mutex
	changedJobs   map[string]bool // Jobs whose records were applied since the last pass.
	appliedBefore clock.Instant   // All records stored before then were applied before the last pass.
	newAgents     []clusterstate.Address
	jobs          map[string]*job
	recentJobs    []*job // Of them, those that were submitted lately and are neither scheduled nor endless.
	workers       map[string]*worker
	members       map[string]*member // By task.
	unstored      []*member          // Claimed, but the store has rejected the records of their jobs.
	lastHeartbeat clock.Instant      // When the newest heartbeat was written.
	learner       learner
	lines         telemetry.CallLines // About steps that wait.
	// evacuatedZones are the evacuated zones as of the last pass.
	evacuatedZones map[string]evacuatedZone
	sighted        bool          // The operators' records were known in this reign.
	blindSince     clock.Instant // Since when they are not; zero if they are.
	unbacked       int           // By how many accelerators the guarantees exceeded what is left outside these zones.

	group errgroup.Group
	ctx   context.Context // Of the calls to agents, also to those that register later.
}

func (p *Planner) newActivePlanner(epoch int64) *activePlanner {
	return &activePlanner{
		Planner: p, epoch: epoch, wakeup: make(chan struct{}, 1),
		writer: &journal.Writer{
			Store:            p.Store,
			Producer:         journal.Producer{Name: plannerProducer, Epoch: epoch},
			RetryUnavailable: true, // The outcome of a claim must be known; retries end when another planner fences this one.
			Log:              p.Log,
		},
		changedJobs: make(map[string]bool), jobs: make(map[string]*job),
		workers: make(map[string]*worker), members: make(map[string]*member),
		learner: learner{told: make(map[string]float64), shown: make(map[string]bool)},
	}
}

// wake triggers a planning pass.
func (ap *activePlanner) wake() {
	select {
	case ap.wakeup <- struct{}{}:
	default:
	}
}

func (ap *activePlanner) markJobChanged(id string) {
	ap.mu.Lock()
	ap.changedJobs[id] = true
	ap.mu.Unlock()
	ap.wake()
}

func (ap *activePlanner) addNewAgent(a clusterstate.Address) {
	ap.mu.Lock()
	ap.newAgents = append(ap.newAgents, a)
	ap.mu.Unlock()
	ap.wake()
}

// run plans until ctx ends, and then resigns unless another planner has stepped up.
func (ap *activePlanner) run(ctx context.Context) error {
	// Calls outlive ctx, so that a planner that is told to stop can complete them.
	calls, stop := context.WithCancel(context.WithoutCancel(ctx))
	ap.ctx = calls
	ap.group.Go(func() error {
		if err := ap.writer.Run(calls); !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	})
	err := ap.loop(ctx)
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errReplaced) {
		ap.waitForStarts(calls)
		ap.resign(calls)
	}
	stop()
	if failed := ap.group.Wait(); failed != nil {
		return failed
	}
	return err
}

// waitForStarts waits until the starts of all claimed runs have been answered.
func (ap *activePlanner) waitForStarts(ctx context.Context) {
	for end := clock.Now().Add(shutdownGrace); clock.Now() < end; {
		if ap.unansweredStarts() == 0 || clock.Pause(ctx, batchDelay) != nil {
			return
		}
	}
	ap.Log.Warn().Int("tasks", ap.unansweredStarts()).Msg("Stopped before all starts of claimed runs were answered.")
}

// unansweredStarts counts the members whose start has not been answered.
func (ap *activePlanner) unansweredStarts() int {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	n := 0
	for _, m := range ap.members {
		if m.status == starting {
			n++
		}
	}
	return n
}

// loop fences older planners, takes over their jobs and runs, and runs planning passes.
func (ap *activePlanner) loop(ctx context.Context) error {
	// From here on the store refuses appends of older planners.
	if _, err := ap.writer.Add(ctx, clusterstate.HeartbeatRecord(ap.epoch)); err != nil {
		return fmt.Errorf("dispatch.Planner: fence older planners: %w", err)
	}
	ap.startedAt = clock.Now()
	if err := ap.refresh(ctx); err != nil {
		return err
	}
	if now, _ := ap.ClusterState.Planner(); now.Epoch != ap.epoch {
		return errReplaced
	}
	ap.loadState()
	stepUps.Inc()
	ap.Log.Info().Int64("epoch", ap.epoch).Int("jobs", len(ap.jobs)).Int("agents", len(ap.workers)).
		Int("tasks", len(ap.members)).Interface("builds", ap.builds()).Msg("Planning.")
	defer forgetEvacuations()
	defer ap.learner.forget()
	for {
		if err := ap.runPass(ctx); err != nil {
			return err
		}
		if err := ap.waitForEvent(ctx); err != nil {
			return err
		}
	}
}

// refresh reads to the end of the journal, and retries for as long as the store is
// unavailable.
func (ap *activePlanner) refresh(ctx context.Context) error {
	for {
		err := ap.Follower.Refresh(ctx)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		ap.Log.Warn().Err(err).Msg("Reading the journal failed; retrying.")
		if err := clock.Pause(ctx, passInterval); err != nil {
			return err
		}
	}
}

// waitForEvent waits until the next planning pass is due.
func (ap *activePlanner) waitForEvent(ctx context.Context) error {
	t := time.NewTimer(passInterval)
	defer t.Stop()
	select {
	case <-ap.wakeup:
		return clock.Pause(ctx, batchDelay)
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// resign tells the standbys that this planner has stopped.
func (ap *activePlanner) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	if now, _ := ap.ClusterState.Planner(); now.Epoch != ap.epoch {
		return
	}
	_, err := ap.writer.Add(ctx, clusterstate.PlannerRecord(clusterstate.Planner{
		Name: ap.Name, Incarnation: ap.Incarnation, Resigned: true, Epoch: ap.epoch,
	}))
	if err != nil {
		ap.Log.Warn().Err(err).Msg("Could not resign; a standby takes over when it sees no more heartbeats.")
		return
	}
	ap.Log.Info().Int64("epoch", ap.epoch).Msg("Resigned as the planner.")
}

// loadState takes over all jobs and agents of the cluster state.
func (ap *activePlanner) loadState() {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	ap.learner.load(clock.Now(), ap.ClusterState.Paces())
	for _, a := range ap.ClusterState.Agents() {
		ap.addWorker(a)
	}
	ap.ClusterState.Jobs(func(stored *clusterstate.Job) bool {
		ap.adopt(stored)
		return true
	})
}

// builds counts the processes that have registered, by the builds of their programs.
func (ap *activePlanner) builds() map[string]int {
	out := make(map[string]int)
	for _, a := range slices.Concat(ap.ClusterState.Entries(), ap.ClusterState.Agents()) {
		out[cmp.Or(a.Build, "unknown")]++
	}
	return out
}

// addJob adds the planner's copy of a job that was submitted no longer ago than maxAge.
func (ap *activePlanner) addJob(stored *clusterstate.Job, maxAge time.Duration) *job {
	j := newJob(stored, maxAge)
	ap.jobs[stored.Spec.ID] = j
	if !j.spec.Scheduled() && !j.spec.Endless() {
		ap.recentJobs = append(ap.recentJobs, j)
	}
	return j
}

// adopt takes over a job and the runs that earlier planners claimed for it.
func (ap *activePlanner) adopt(stored *clusterstate.Job) {
	j := ap.addJob(stored, math.MaxInt64)
	j.adopted = true
	for key, u := range j.progress.Units {
		if key.IsGang() {
			j.progress.Units[key] = u.WithFailedRun(j.spec.Steps[key.Step].Count)
		}
		for _, m := range u.Members {
			ap.addMember(j, key, m, u.Run, adopted)
		}
		for _, m := range u.FailedMembers {
			j.unitState(key).avoid(m.Lifetime)
		}
	}
}

// runPass applies changes, plans, stores the decisions, and then lets them take effect.
func (ap *activePlanner) runPass(ctx context.Context) error {
	ap.mu.Lock()
	ap.applyChanges()
	ap.checkMembers()
	ap.noteEvacuations()
	ap.checkSight()
	started := append(ap.unstored, ap.plan()...)
	b := ap.collectBatch()
	ap.mu.Unlock()
	rejected, err := ap.persist(ctx, b.records)
	if err != nil {
		return err
	}
	ap.mu.Lock()
	defer ap.mu.Unlock()
	for _, j := range b.jobs {
		j.rejected = false
	}
	for key := range rejected {
		if j, ok := b.jobs[key]; ok {
			j.retry()
		} else {
			ap.Log.Warn().Str("record", key).Msg("The store has rejected a record of a planning pass.")
		}
	}
	ap.learner.noteRejected(rejected)
	ap.unstored = nil
	for _, m := range started {
		switch {
		case m.status != claimed:
		case m.job.rejected:
			ap.unstored = append(ap.unstored, m)
		default:
			m.status = starting
		}
	}
	if len(rejected) > 0 {
		b.storedEnds, b.finalJobs = nil, nil // Some of them may be in what was rejected.
	}
	for w, end := range b.storedEnds {
		w.markStored(end)
	}
	for _, j := range b.finalJobs {
		ap.Log.Info().Str("job", j.spec.ID).Str("state", string(j.progress.State)).Dur("took", clock.Since(j.finalizedAt)).
			Msg("A job's final state is stored.")
	}
	for _, w := range ap.workers {
		ap.raiseEpoch(w)
		w.wakeOrders()
	}
	return nil
}

// persist appends the records of a pass, and returns the keys of those that the store will never take.
// If ctx ends meanwhile, the append gets a grace period, as the claims may already be in the journal.
func (ap *activePlanner) persist(ctx context.Context, records []journal.Record) (rejected map[string]bool, err error) {
	appendCtx, cancel := context.WithCancel(ap.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), errReplaced) || clock.Pause(appendCtx, shutdownGrace) == nil {
			cancel()
		}
	})()
	rejected = make(map[string]bool)
	appends := journal.SplitAppends(records)
	for len(appends) > 0 {
		next := appends[0]
		appends = appends[1:]
		timed(storeDuration, func() { _, err = ap.writer.Add(appendCtx, next...) })
		switch {
		case errors.Is(err, journal.ErrRejected) && len(next) == 1:
			rejected[next[0].Key] = true
		case errors.Is(err, journal.ErrRejected):
			// Each gets an append of its own, so that only those at fault fail.
			for _, r := range next {
				appends = append(appends, []journal.Record{r})
			}
		case err != nil:
			return nil, fmt.Errorf("dispatch.Planner: %w", err)
		}
	}
	return rejected, nil
}

// applyChanges applies the changes of the cluster state since the last pass.
func (ap *activePlanner) applyChanges() {
	// What is new since the last pass was stored later than this.
	appliedBefore := ap.appliedBefore
	ap.appliedBefore = ap.Follower.CaughtUpAt()
	for _, a := range ap.newAgents {
		ap.addWorker(a)
	}
	ap.newAgents = nil
	for id := range ap.changedJobs {
		stored, ok := ap.ClusterState.Job(id)
		if !ok {
			continue
		}
		j, known := ap.jobs[id]
		if !known {
			ap.addJob(stored, clock.Since(appliedBefore))
			continue
		}
		j.cancelled = stored.Cancelled
	}
	clear(ap.changedJobs)
}

// batch is what a planning pass stores.
type batch struct {
	records    []journal.Record
	jobs       map[string]*job         // By the keys of their records.
	storedEnds map[*worker]endPosition // Up to which number it stores each worker's run ends.
	finalJobs  []*job                  // Jobs whose final state it stores.
}

// collectBatch returns what has changed since the last pass.
func (ap *activePlanner) collectBatch() batch {
	b := batch{storedEnds: make(map[*worker]endPosition), jobs: make(map[string]*job)}
	for id, j := range ap.jobs {
		switch {
		case j.dirty && clock.Now() >= j.retryAt:
			for _, r := range j.takeRecords() {
				b.records = append(b.records, r)
				b.jobs[r.Key] = j
			}
			if j.finalizedAt != 0 && !j.finalSent {
				j.finalSent = true
				b.finalJobs = append(b.finalJobs, j)
			}
		case ap.expired(j):
			b.records = append(b.records, clusterstate.DeletionRecords(id, append(j.progress.Blocks(j.spec), j.blocks...)...)...)
			delete(ap.jobs, id)
		}
	}
	// Progress records have no epoch, so only a heartbeat shows that this planner is alive.
	if now := clock.Now(); now.Sub(ap.lastHeartbeat) > heartbeatInterval {
		ap.lastHeartbeat = now
		b.records = append(b.records, clusterstate.HeartbeatRecord(ap.epoch))
	}
	b.records = append(b.records, ap.paceRecords(clock.Now())...)
	for _, w := range ap.workers {
		if w.appliedEnds.number > w.storedEnds.number || w.appliedEnds.lifetime != w.storedEnds.lifetime {
			b.storedEnds[w] = w.appliedEnds
		}
	}
	ap.withholdUnstored(b.storedEnds)
	return b
}

// withholdUnstored lowers up to which numbers a batch stores run ends to those before the ends of jobs that are
// not in it, as the store has rejected their records.
func (ap *activePlanner) withholdUnstored(stored map[*worker]endPosition) {
	for _, j := range ap.jobs {
		for at, first := range j.unstoredEnds {
			if end, ok := stored[at.worker]; ok && end.lifetime == at.lifetime && end.number >= first {
				end.number = first - 1
				stored[at.worker] = end
			}
		}
	}
}

// expired reports whether a job has been final for longer than the retention.
func (ap *activePlanner) expired(j *job) bool {
	if !j.final() || j.liveMembers() > 0 {
		return false
	}
	stored, ok := ap.ClusterState.Job(j.spec.ID)
	return ok && stored.FinalSince != 0 && clock.Since(stored.FinalSince) > ap.Retention
}
