package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/workflow"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

const (
	// plannerTimeout is the age of the planner's newest record after which a standby steps up
	// even if the planner says that it reaches the store. A slow store delays a heartbeat by
	// a second.
	plannerTimeout = 1800 * time.Millisecond
	// suspectTimeout is the age of the planner's newest record after which a standby asks the
	// planner whether it is ready, and replaces it if it doesn't answer or has lost the store.
	// Two heartbeats are missed by then.
	suspectTimeout = 800 * time.Millisecond
	// heartbeatInterval is how often the active planner writes a heartbeat.
	heartbeatInterval = 300 * time.Millisecond
	// readinessTimeout bounds the readiness call to the planner; an answer takes 2 ms.
	readinessTimeout = 200 * time.Millisecond
	// waveInterval is the delay between two waves of standbys, each of which has twice as many as the one
	// before; stepping up takes about 30 ms. The delay of the last wave grows with the logarithm of the
	// number of entries.
	waveInterval = 100 * time.Millisecond
	// standbyPollInterval is how often a standby checks whether a planner is active.
	standbyPollInterval = 50 * time.Millisecond
	// maxReadAge is the greatest age of the newest complete read with which a standby may step up.
	maxReadAge = 1500 * time.Millisecond
	// plannerProducer is the producer name that all planners share, so that the store fences
	// appends of older planners.
	plannerProducer = "planner"
)

// errReplaced is returned when another planner has stepped up.
var errReplaced = errors.New("another planner has stepped up")

// errHandedOver is the cause for which a planner resigns in favour of a faster entry.
var errHandedOver = errors.New("a faster entry takes over")

// Planner is a standby that becomes the active planner when there is none. Set its fields
// before Run.
type Planner struct {
	Name        string
	Incarnation string // Distinguishes restarts of the process.
	// CPUShare is the processor time that this process gets, in cores; zero if it is not known.
	CPUShare float64
	// ClusterState, Follower and Writer are those of this process.
	ClusterState *clusterstate.State
	Follower     *journal.Follower
	Writer       *journal.Writer
	Store        journal.Store
	// Rules returns the newest configuration, or nil if there is none yet.
	Rules func() *workflow.Rules
	// Evacuations returns which zones operators evacuate, and since when they may have decided otherwise; that is
	// zero as long as nothing is known. If it is nil, no zone is ever evacuated.
	Evacuations func() (workflow.Evacuations, clock.Instant)
	// Dial returns a client of the agent at an address.
	Dial func(address string) sniperillv1connect.HostServiceClient
	// EntryReady reports whether an entry answers and reaches the store.
	EntryReady func(ctx context.Context, entry string) bool
	Options
	Log zerolog.Logger

	mu            sync.Mutex
	plannerSeenAt clock.Instant        // When the newest record of the planner was applied.
	askedAt       clock.Instant        // When this process last asked the planner whether it is ready.
	newestPlanner clusterstate.Planner // As of that record.
	active        *activePlanner
}

// Options are the deployment's settings that planning depends on.
type Options struct {
	// Lease is the longest lease of a worker that is granted.
	Lease time.Duration
	// MaxLease is the longest lease that a worker takes.
	MaxLease time.Duration
	// StopTimeout bounds how long a stop takes.
	StopTimeout time.Duration
	// RemoteFactor is how many times longer a task takes away from its data or rack.
	RemoteFactor float64
	// CheckpointInterval is the run time between two checkpoints of a task.
	CheckpointInterval time.Duration
	// Retention is how long a job's final state is kept.
	Retention time.Duration
	// EvacuationBound is the time from the acknowledgement of a zone's evacuation from which no task may be started
	// there; zero if there is no such bound.
	EvacuationBound time.Duration
}

// PlannerSeen handles an applied record of the newest planner. It is a hook of the cluster
// state.
func (p *Planner) PlannerSeen(seen clusterstate.Planner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plannerSeenAt = clock.Now()
	p.newestPlanner = seen
	if p.active != nil && seen.Epoch > p.active.epoch {
		p.active.replaced.Store(true)
		p.active.stepDown()
	}
}

// JobChanged handles an applied record of a job. It is a hook of the cluster state.
func (p *Planner) JobChanged(id string) {
	p.mu.Lock()
	active := p.active
	p.mu.Unlock()
	if active != nil {
		active.markJobChanged(id)
	}
}

// AgentRegistered handles an applied address of an agent. It is a hook of the cluster state.
func (p *Planner) AgentRegistered(a clusterstate.Address) {
	p.mu.Lock()
	active := p.active
	p.mu.Unlock()
	if active != nil {
		active.addNewAgent(a)
	}
}

// Active reports whether this process is the active planner.
func (p *Planner) Active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active != nil
}

// Run steps up whenever no planner is active, and plans until another planner steps up. When ctx
// ends while it plans, it resigns.
func (p *Planner) Run(ctx context.Context) error {
	var followingSince clock.Instant // Since when the journal was followed without a gap.
	pause := standbyPollInterval
	for ctx.Err() == nil {
		if clock.Pause(ctx, pause) != nil {
			break
		}
		pause = standbyPollInterval
		if clock.Since(p.Follower.CaughtUpAt()) > maxReadAge || p.Follower.CaughtUpAt() == 0 {
			followingSince = 0
			continue
		}
		if followingSince == 0 {
			followingSince = clock.Now()
		}
		p.mu.Lock()
		seen, seenAt := p.newestPlanner, max(p.plannerSeenAt, followingSince)
		p.mu.Unlock()
		gone, due := p.plannerGone(ctx, seen, seenAt)
		if !gone {
			pause = min(pause, due)
			continue
		}
		if err := p.stepUpAndPlan(ctx, seen); err != nil && ctx.Err() == nil {
			p.Log.Warn().Err(err).Msg("Stopped planning.")
		}
		followingSince = 0
	}
	return ctx.Err()
}

// plannerGone reports whether the newest planner is gone, as far as this process can tell, given when its
// newest record was seen. If it can't tell yet, it returns when to check again at the latest.
func (p *Planner) plannerGone(ctx context.Context, seen clusterstate.Planner, seenAt clock.Instant) (gone bool, due time.Duration) {
	since := clock.Since(seenAt)
	turn := newTurn(p.rank(seen.Epoch))
	if p.blind() {
		turn.delay += blindDelay
	}
	switch {
	case p.Rules() == nil, !p.evacuationsKnown():
		return false, standbyPollInterval
	case seen.Name == p.Name && seen.Incarnation != p.Incarnation && !p.blind():
		return true, 0 // It was an earlier incarnation of this process.
	case seen.Epoch == 0, seen.Resigned: // There never was one, or it resigned.
		return since >= turn.delay, turn.delay - since
	case since > plannerTimeout+turn.delay:
		return true, 0
	case since <= suspectTimeout+turn.delay:
		return false, suspectTimeout + turn.delay - since + 1
	case clock.Since(p.askedAt) < turn.askInterval:
		return false, standbyPollInterval
	}
	p.askedAt = clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	return !p.EntryReady(ctx, seen.Name), standbyPollInterval
}

// rank returns the process's position in the order in which standbys replace the planner of
// an epoch.
func (p *Planner) rank(epoch int64) int {
	own := clusterstate.Address{Name: p.Name, CPUShare: p.CPUShare}
	entries := p.ClusterState.Entries()
	fast := fastShare(entries)
	n := 0
	for _, e := range entries {
		if e.Name != p.Name && compareStandbys(e, own, epoch, fast) < 0 {
			n++
		}
	}
	return n
}

// fastShare returns the processor time from which an entry counts as fast: planning is serial, and takes
// four times as long with a quarter of the processor time.
func fastShare(entries []clusterstate.Address) float64 {
	most := 0.0
	for _, e := range entries {
		most = max(most, e.CPUShare)
	}
	return most / 2
}

// compareStandbys orders the standbys of an epoch: the fast ones first. Otherwise, the order differs
// between epochs, so that an entry that is gone delays only some of the takeovers.
func compareStandbys(a, b clusterstate.Address, epoch int64, fast float64) int {
	if aFast, bFast := a.CPUShare >= fast, b.CPUShare >= fast; aFast != bFast {
		if aFast {
			return -1
		}
		return 1
	}
	return cmp.Compare(rankHash(a.Name, epoch), rankHash(b.Name, epoch))
}

const (
	// handOverInterval is how often a planner that isn't fast looks for an entry that is.
	handOverInterval = 2 * time.Second
	// maxHandOverCalls bounds the entries that it asks each time.
	maxHandOverCalls = 3
)

// watchForFaster calls handOver as soon as a faster entry is ready to plan. It returns when ctx ends.
func (p *Planner) watchForFaster(ctx context.Context, epoch int64, handOver func(to string)) {
	for clock.Pause(ctx, handOverInterval) == nil {
		entries := p.ClusterState.Entries()
		fast := fastShare(entries)
		if p.CPUShare >= fast {
			continue
		}
		slices.SortFunc(entries, func(a, b clusterstate.Address) int { return compareStandbys(a, b, epoch, fast) })
		for _, e := range entries[:min(maxHandOverCalls, len(entries))] {
			askCtx, cancel := context.WithTimeout(ctx, readinessTimeout)
			ready := e.CPUShare >= fast && p.EntryReady(askCtx, e.Name)
			cancel()
			if ready {
				handOver(e.Name)
				return
			}
		}
	}
}

// turn says when a standby acts that takes the planner as gone.
type turn struct {
	// delay is how much later it acts than the first one.
	delay time.Duration
	// askInterval is the time between two calls to a planner that may only be slow. All standbys of a
	// wave together make one call each waveInterval.
	askInterval time.Duration
}

// newTurn returns the turn of the standby with a rank. Waves have 1, 2, 4, 8, ... standbys, and those of a
// wave act one after the other.
func newTurn(rank int) turn {
	wave := bits.Len(uint(rank+1)) - 1
	size := 1 << wave
	position := rank + 1 - size
	return turn{
		delay:       waveInterval*time.Duration(wave) + waveInterval*time.Duration(position)/time.Duration(size),
		askInterval: waveInterval * time.Duration(size),
	}
}

func rankHash(name string, epoch int64) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.FormatInt(epoch, 10))
}

// stepUpAndPlan steps up in place of a planner that is gone, and plans until another planner steps up or
// ctx ends. It fails with errReplaced if another one has stepped up since that planner was taken as gone.
func (p *Planner) stepUpAndPlan(ctx context.Context, before clusterstate.Planner) error {
	if err := p.Follower.Refresh(ctx); err != nil {
		return fmt.Errorf("dispatch.Planner: read before stepping up: %w", err)
	}
	if now, _ := p.ClusterState.Planner(); now != before {
		return errReplaced
	}
	offset, err := p.Writer.Add(ctx, clusterstate.PlannerRecord(clusterstate.Planner{Name: p.Name, Incarnation: p.Incarnation}))
	if err != nil {
		return fmt.Errorf("dispatch.Planner: step up: %w", err)
	}
	active := p.newActivePlanner(offset + 1)
	p.Log.Info().Int64("epoch", active.epoch).Str("before", before.Name).Int64("epoch_before", before.Epoch).
		Msg("Stepping up as the planner.")
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	active.stepDown = func() { stop(errReplaced) }
	active.giveUp = func() { stop(errBlind) }
	go p.watchForFaster(ctx, active.epoch, func(to string) {
		p.Log.Info().Int64("epoch", active.epoch).Float64("cpu_share", p.CPUShare).Str("to", to).
			Msg("Handing over to an entry with more processor time.")
		stop(errHandedOver)
	})
	p.mu.Lock()
	p.active = active
	p.mu.Unlock()
	p.Follower.Wake()
	defer func() {
		p.mu.Lock()
		p.active = nil
		p.mu.Unlock()
	}()
	return active.run(ctx)
}
