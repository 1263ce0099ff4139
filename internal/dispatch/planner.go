package dispatch

import (
	"context"
	"errors"
	"fmt"
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
	// plannerTimeout is how long no record of the planner is seen before another steps up although
	// the planner says that it reaches the store. A slow store delays a beat by a second.
	plannerTimeout = 1800 * time.Millisecond
	// suspectAfter is the silence after which the planner is asked; it steps down to a peer when it
	// doesn't answer or has lost the store. Two beats are missed by then.
	suspectAfter = 800 * time.Millisecond
	// heartbeatInterval is how often a planner says that it is alive.
	heartbeatInterval = 300 * time.Millisecond
	// askTimeout bounds the question to the planner; it takes 2 ms.
	askTimeout = 200 * time.Millisecond
	// stepUpDelay is how much longer the next in line waits; stepping up takes some 30 ms.
	stepUpDelay = 100 * time.Millisecond
	// standbyPollInterval is how often a standby looks at what it has seen.
	standbyPollInterval = 50 * time.Millisecond
	// maxReadAge is the age of the newest complete read with which a candidate may step up.
	maxReadAge = 1500 * time.Millisecond
	// plannerProducer is the producer that all planners' appends are fenced under.
	plannerProducer = "planner"
)

// errDeposed says that another planner has stepped up.
var errDeposed = errors.New("another planner has stepped up")

// Planner plans when no other does. Set its fields before Run.
type Planner struct {
	Name        string
	Incarnation string // Tells lives of the process apart.
	// Ledger, Follower and Writer are those of this process.
	ClusterState *clusterstate.State
	Follower     *journal.Follower
	Writer       *journal.Writer
	Store        journal.Store
	// Rules returns the newest configuration, nil before the first.
	Rules func() *workflow.Rules
	// Dial returns a client of the agent at an address.
	Dial func(address string) sniperillv1connect.HostServiceClient
	// EntryReady says whether an entry answers and reaches the store.
	EntryReady func(ctx context.Context, entry string) bool
	Options
	Log zerolog.Logger

	mu     sync.Mutex
	seenAt clock.Instant // When a record of the planner was applied last.
	seen   clusterstate.Planner
	active *activePlanner
}

// Options are the deployment's bounds that planning depends on.
type Options struct {
	// Lease is the longest lease of a worker.
	Lease time.Duration
	// StopTimeout bounds how long a stop takes.
	StopTimeout time.Duration
	// RemoteFactor is how many times as long tasks take away from their data or rack.
	RemoteFactor float64
	// CheckpointInterval is the work after which a task saves its progress.
	CheckpointInterval time.Duration
	// Retention is how long a job's final state is kept.
	Retention time.Duration
}

// PlannerSeen takes in that a record of the planner was applied. It is the ledger's hook.
func (p *Planner) PlannerSeen(seen clusterstate.Planner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seenAt = clock.Now()
	p.seen = seen
	if p.active != nil && seen.Epoch > p.active.epoch {
		p.active.depose()
	}
}

// JobChanged takes in that a job's record was applied. It is the ledger's hook.
func (p *Planner) JobChanged(id string) {
	p.mu.Lock()
	r := p.active
	p.mu.Unlock()
	if r != nil {
		r.markJobChanged(id)
	}
}

// AgentRegistered takes in an agent's address. It is the ledger's hook.
func (p *Planner) AgentRegistered(a clusterstate.Address) {
	p.mu.Lock()
	r := p.active
	p.mu.Unlock()
	if r != nil {
		r.addNewAgent(a)
	}
}

// Run steps up whenever no planner is seen, and plans until deposed. When ctx ends
// while it plans, it resigns.
func (p *Planner) Run(ctx context.Context) error {
	var quiet clock.Instant // Since when the journal was followed without a break.
	for ctx.Err() == nil {
		if clock.Pause(ctx, standbyPollInterval) != nil {
			break
		}
		if clock.Since(p.Follower.CaughtUpAt()) > maxReadAge || p.Follower.CaughtUpAt() == 0 {
			quiet = 0
			continue
		}
		if quiet == 0 {
			quiet = clock.Now()
		}
		if !p.plannerGone(ctx, quiet) {
			continue
		}
		if err := p.stepUpAndPlan(ctx); err != nil && ctx.Err() == nil {
			p.Log.Warn().Err(err).Msg("Stopped planning.")
		}
		quiet = 0
	}
	return ctx.Err()
}

// plannerGone says whether nobody plans, as far as can be seen.
func (p *Planner) plannerGone(ctx context.Context, quiet clock.Instant) bool {
	p.mu.Lock()
	seen, since := p.seen, clock.Since(max(p.seenAt, quiet))
	p.mu.Unlock()
	switch {
	case p.Rules() == nil:
		return false
	case seen.Epoch == 0, seen.Resigned, seen.Name == p.Name && seen.Incarnation != p.Incarnation:
		return true // There never was one, it resigned, or it was an earlier life of this process.
	case since > plannerTimeout:
		return true
	case since <= suspectAfter:
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return !p.EntryReady(ctx, seen.Name)
}

// rank returns the process's place in the line of those that may follow a planner. It
// differs from one to the next, so that an entry that is gone delays only some.
func (p *Planner) rank(epoch int64) int {
	own := rankHash(p.Name, epoch)
	n := 0
	for _, e := range p.ClusterState.Entries() {
		if e.Name != p.Name && rankHash(e.Name, epoch) < own {
			n++
		}
	}
	return n
}

func rankHash(name string, epoch int64) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.FormatInt(epoch, 10))
}

// stepUpAndPlan steps up and plans until deposed or ctx ends.
func (p *Planner) stepUpAndPlan(ctx context.Context) error {
	before, _ := p.ClusterState.Planner()
	if err := clock.Pause(ctx, stepUpDelay*time.Duration(p.rank(before.Epoch))); err != nil {
		return err
	}
	if err := p.Follower.Refresh(ctx); err != nil {
		return fmt.Errorf("dispatch.Planner: read before stepping up: %w", err)
	}
	if now, _ := p.ClusterState.Planner(); now.Epoch != before.Epoch {
		return errDeposed
	}
	offset, err := p.Writer.Add(ctx, clusterstate.PlannerRecord(clusterstate.Planner{Name: p.Name, Incarnation: p.Incarnation}))
	if err != nil {
		return fmt.Errorf("dispatch.Planner: step up: %w", err)
	}
	r := p.newActivePlanner(offset + 1)
	p.Log.Info().Int64("epoch", r.epoch).Str("before", before.Name).Int64("epoch_before", before.Epoch).
		Msg("Stepping up as the planner.")
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	r.depose = func() { stop(errDeposed) }
	p.mu.Lock()
	p.active = r
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.active = nil
		p.mu.Unlock()
	}()
	return r.run(ctx)
}
