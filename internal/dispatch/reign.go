package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/ledger"
)

const (
	// passInterval is the longest time between two passes; most are begun by an event.
	passInterval = 100 * time.Millisecond
	// gather is how long a pass waits for more events, so that one append carries them.
	gather = 3 * time.Millisecond
	// drainTimeout bounds the wait of a stopping planner for the answers to its orders.
	drainTimeout = 400 * time.Millisecond
	// resignTimeout bounds the append by which a stopping planner resigns.
	resignTimeout = 500 * time.Millisecond
)

// reign is the time in which this process is the planner.
type reign struct {
	*Planner
	epoch  int64
	begun  clock.Instant
	writer *journal.Writer
	depose func()
	kick   chan struct{}

	mu      sync.Mutex
	changed map[string]bool // Jobs whose records were applied since the last pass.
	joined  []ledger.Address
	jobs    map[string]*job
	workers map[string]*worker
	members map[string]*member // By task.
	beaten  clock.Instant      // When the last beat was written.

	group errgroup.Group
	ctx   context.Context // Of the calls to agents; those that join later run in it.
}

func (p *Planner) newReign(epoch int64) *reign {
	return &reign{
		Planner: p, epoch: epoch, kick: make(chan struct{}, 1),
		writer: &journal.Writer{
			Store:            p.Store,
			Producer:         journal.Producer{Name: planProducer, Epoch: epoch},
			RetryUnavailable: true, // A claim's outcome must be known; another planner fences this one.
			Log:              p.Log,
		},
		changed: make(map[string]bool), jobs: make(map[string]*job),
		workers: make(map[string]*worker), members: make(map[string]*member),
	}
}

func (r *reign) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *reign) noteJob(id string) {
	r.mu.Lock()
	r.changed[id] = true
	r.mu.Unlock()
	r.wake()
}

func (r *reign) noteAgent(a ledger.Address) {
	r.mu.Lock()
	r.joined = append(r.joined, a)
	r.mu.Unlock()
	r.wake()
}

// run fences older planners, learns the state, and plans until ctx ends.
func (r *reign) run(ctx context.Context) error {
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
		r.drain(calls)
		r.resign(calls)
	}
	stop()
	if failed := r.group.Wait(); failed != nil {
		return failed
	}
	return err
}

// drain waits until all that was claimed has been sent.
func (r *reign) drain(ctx context.Context) {
	for end := clock.Now().Add(drainTimeout); clock.Now() < end; {
		if r.unsent() == 0 || clock.Pause(ctx, gather) != nil {
			return
		}
	}
	r.Log.Warn().Int("tasks", r.unsent()).Msg("Stopped before all claimed runs were sent.")
}

// unsent counts the runs whose start has not been answered.
func (r *reign) unsent() int {
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
func (r *reign) loop(ctx context.Context) error {
	// From here on the store refuses what older planners append.
	if _, err := r.writer.Add(ctx, ledger.HeartbeatRecord(r.epoch)); err != nil {
		return fmt.Errorf("dispatch.Planner: fence older planners: %w", err)
	}
	r.begun = clock.Now()
	if err := r.refresh(ctx); err != nil {
		return err
	}
	if now, _ := r.Ledger.Planner(); now.Epoch != r.epoch {
		return errDeposed
	}
	r.learn()
	reigns.Inc()
	r.Log.Info().Int64("epoch", r.epoch).Int("jobs", len(r.jobs)).Int("agents", len(r.workers)).
		Int("tasks", len(r.members)).Msg("Planning.")
	for {
		if err := r.pass(ctx); err != nil {
			return err
		}
		if err := r.await(ctx); err != nil {
			return err
		}
	}
}

// refresh reads to the journal's end, however long the store is away.
func (r *reign) refresh(ctx context.Context) error {
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

func (r *reign) await(ctx context.Context) error {
	t := time.NewTimer(passInterval)
	defer t.Stop()
	select {
	case <-r.kick:
		return clock.Pause(ctx, gather)
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// resign tells the others that this planner has stopped.
func (r *reign) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	if now, _ := r.Ledger.Planner(); now.Epoch != r.epoch {
		return
	}
	_, err := r.writer.Add(ctx, ledger.PlannerRecord(ledger.Planner{
		Name: r.Name, Incarnation: r.Start, Resigned: true, Epoch: r.epoch,
	}))
	if err != nil {
		r.Log.Warn().Err(err).Msg("Could not resign; the others will notice the silence.")
		return
	}
	r.Log.Info().Int64("epoch", r.epoch).Msg("Resigned as the planner.")
}

// learn takes over all jobs and agents that the ledger has.
func (r *reign) learn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.Ledger.Agents() {
		r.addWorker(a)
	}
	r.Ledger.Jobs(func(l *ledger.Job) bool {
		r.adopt(l)
		return true
	})
}

// adopt takes over a job with what earlier planners claimed for it.
func (r *reign) adopt(l *ledger.Job) {
	j := newJob(l)
	r.jobs[l.Spec.ID] = j
	for key, u := range j.progress.Units {
		for _, m := range u.Members {
			r.addMember(j, key, m, u.Run, adopted)
		}
	}
}

// pass takes in what happened, plans, stores the outcome, and lets it take effect.
func (r *reign) pass(ctx context.Context) error {
	r.mu.Lock()
	r.takeChanges()
	r.sweep()
	started := r.plan()
	b := r.collect()
	r.mu.Unlock()
	if len(b.records) > 0 {
		if err := r.store(ctx, b.records); err != nil {
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
	for w, end := range b.ends {
		w.noteStored(end)
	}
	for _, j := range b.final {
		r.Log.Info().Str("job", j.spec.ID).Str("state", string(j.progress.State)).Dur("took", clock.Since(j.ended)).
			Msg("A job's final state is stored.")
	}
	for _, w := range r.workers {
		w.wakeOrders()
	}
	return nil
}

// store appends what a pass decided. When ctx ends meanwhile, it waits a little longer,
// as what was claimed may already be in the journal.
func (r *reign) store(ctx context.Context, records []journal.Record) error {
	storing, cancel := context.WithCancel(r.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), errDeposed) || clock.Pause(storing, drainTimeout) == nil {
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

// takeChanges takes in the ledger's changes since the last pass.
func (r *reign) takeChanges() {
	for _, a := range r.joined {
		r.addWorker(a)
	}
	r.joined = nil
	for id := range r.changed {
		l, ok := r.Ledger.Job(id)
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
	clear(r.changed)
}

// batch is what a pass stores.
type batch struct {
	records []journal.Record
	ends    map[*worker]storedEnd // Up to which number ends are stored by it.
	final   []*job                // Whose final state it stores.
}

// collect returns what changed.
func (r *reign) collect() batch {
	b := batch{ends: make(map[*worker]storedEnd)}
	for id, j := range r.jobs {
		switch {
		case j.dirty:
			j.dirty = false
			b.records = append(b.records, ledger.ProgressRecord(id, j.progress.Clone()))
			if j.ended != 0 && !j.told {
				j.told = true
				b.final = append(b.final, j)
			}
		case r.expired(j):
			b.records = append(b.records, ledger.DeletionRecords(id)...)
			delete(r.jobs, id)
		}
	}
	// Progress names no epoch, so only a beat tells the others that this planner lives.
	if now := clock.Now(); now.Sub(r.beaten) > beatInterval {
		r.beaten = now
		b.records = append(b.records, ledger.HeartbeatRecord(r.epoch))
	}
	for _, w := range r.workers {
		if w.taken.number > w.stored.number || w.taken.lifetime != w.stored.lifetime {
			b.ends[w] = w.taken
		}
	}
	return b
}

// expired says whether a job has been final for so long that nobody asks for it.
func (r *reign) expired(j *job) bool {
	if !j.final() || j.live() > 0 {
		return false
	}
	l, ok := r.Ledger.Job(j.spec.ID)
	return ok && l.FinalSince != 0 && clock.Since(l.FinalSince) > r.Retention
}
