package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/roster"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Times of heartbeats.
const (
	// heartbeatTimeout is how long a heartbeat may stay unanswered beyond the time for
	// which the entry may hold it.
	heartbeatTimeout = 2 * time.Second
	// initialHoldTime is how long an entry may hold a heartbeat if it has not yet told
	// the agent its hold time.
	initialHoldTime = roster.InitialHoldTime + time.Second
	// heartbeatRetryDelay is the pause after a failed heartbeat, and between the
	// announcements of an agent that knows no entry.
	heartbeatRetryDelay = 200 * time.Millisecond
	// coalesceDelay is how long changes of the agent's own state are collected before
	// they are reported.
	coalesceDelay = 50 * time.Millisecond
	// failedEntryBackoff is how long an entry that did not answer is not used.
	failedEntryBackoff = 10 * time.Second
)

// entryTracker keeps the known entries and what was reported to each of them.
type entryTracker struct {
	mu      sync.Mutex
	entries []*sniperillv1.EntryPeer
	failed  map[string]time.Time
	// holdTimes is how long each entry may hold the next heartbeat.
	holdTimes map[string]time.Duration
	// sentSequence is the sequence of the state that was last sent to each entry.
	sentSequence map[string]uint64
	// confirmedSequence is the sequence of the last heartbeat that each entry answered.
	confirmedSequence map[string]uint64
	// changed is closed and replaced when the entries to report to may have changed.
	changed chan struct{}
}

// setEntries replaces the list of entries with that of a response.
func (t *entryTracker) setEntries(entries []*sniperillv1.EntryPeer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(entries) == 0 || slices.EqualFunc(entries, t.entries, samePeer) {
		return
	}
	t.entries = entries
	t.signalChange()
}

func samePeer(a, b *sniperillv1.EntryPeer) bool { return proto.Equal(a, b) }

// holdTime returns how long an entry may hold the next heartbeat.
func (t *entryTracker) holdTime(address string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.holdTimes[address]; ok {
		return d
	}
	return initialHoldTime
}

// recordAnswer records that an entry knows the state with the given sequence, and how
// long it may hold the next heartbeat.
func (t *entryTracker) recordAnswer(address string, sequence uint64, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentSequence[address] = sequence
	t.confirmedSequence[address] = sequence
	t.holdTimes[address] = d
}

// withHoldTime returns a context that tells the connection pool how long an entry may
// hold a heartbeat. If the heartbeat reports a change, the pool checks the connection
// early, because on a broken one the change would not reach the entry in time.
func (t *entryTracker) withHoldTime(ctx context.Context, address string, sequence uint64, d time.Duration) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedSequence[address] == sequence {
		return peer.WithHoldTime(ctx, d)
	}
	return peer.WithHoldTimeAfterFirstPing(ctx, d)
}

// hasSent reports whether the state with the given sequence was last sent to an entry.
func (t *entryTracker) hasSent(address string, sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sentSequence[address] == sequence
}

func (t *entryTracker) setSent(address string, sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentSequence[address] = sequence
}

// markFailed excludes an entry from the choice for failedEntryBackoff.
func (t *entryTracker) markFailed(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[address] = now
	t.signalChange()
}

func (t *entryTracker) signalChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// choose selects the primary and the standby entry among those that have not failed
// recently. The returned channel is closed when the choice may have changed.
func (t *entryTracker) choose(agent, region string, now time.Time) (roster.AssignedEntries, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(t.entries), func(p *sniperillv1.EntryPeer) bool {
		at, failed := t.failed[p.Address]
		return failed && now.Sub(at) < failedEntryBackoff
	})
	return roster.AssignEntries(agent, region, usable), t.changed
}

// heartbeat reports to a primary and a standby entry by long polling: the entry holds
// its answer until it has something new for the agent or the next heartbeat is due.
// heartbeat returns an error if a newer incarnation has replaced this agent.
func (a *Agent) heartbeat(ctx context.Context) error {
	t := &entryTracker{
		failed: make(map[string]time.Time), holdTimes: make(map[string]time.Duration),
		sentSequence: make(map[string]uint64), confirmedSequence: make(map[string]uint64), changed: make(chan struct{}),
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return a.reportTo(ctx, t, func(c roster.AssignedEntries) *sniperillv1.EntryPeer { return c.Primary }, true)
	})
	g.Go(func() error {
		return a.reportTo(ctx, t, func(c roster.AssignedEntries) *sniperillv1.EntryPeer { return c.Standby }, false)
	})
	return g.Wait()
}

// reportTo keeps a heartbeat open at the primary or at the standby entry. Changes are
// reported at once to the primary only.
func (a *Agent) reportTo(ctx context.Context, t *entryTracker, pick func(roster.AssignedEntries) *sniperillv1.EntryPeer, primary bool) error {
	for ctx.Err() == nil {
		a.report.setAllocatorState(a.allocator.State())
		choice, choiceChanged := t.choose(a.Name(), a.Place.Region, a.Now())
		entry := pick(choice)
		var err error
		switch {
		case entry != nil:
			err = a.longPoll(ctx, t, entry.Address, choiceChanged, primary)
		case primary:
			err = a.announce(ctx, t)
		default:
			err = wait(ctx, choiceChanged)
		}
		if errors.Is(err, roster.ErrOldIncarnation) {
			return fmt.Errorf("agent.heartbeat: %w", err)
		}
		if err != nil {
			_ = clock.Pause(ctx, heartbeatRetryDelay)
		}
	}
	return nil
}

// longPoll sends one heartbeat and waits for its answer. It returns without an error
// if the agent's own state or the choice of entries changes first.
func (a *Agent) longPoll(ctx context.Context, t *entryTracker, address string, choiceChanged <-chan struct{}, primary bool) error {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := make(chan struct{})
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		if a.awaitChange(pollCtx, choiceChanged, primary) {
			close(interrupted)
			cancel()
		}
	}()
	err := a.sendHeartbeat(pollCtx, t, address, t.holdTime(address), primary)
	cancel()
	<-watcherDone
	select {
	case <-interrupted:
		return nil
	default:
	}
	if errors.Is(err, peer.ErrConnectionReplaced) {
		// The entry answers on a new connection: send the state again there.
		t.setSent(address, 0)
		return nil
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, roster.ErrOldIncarnation) {
		t.markFailed(address, a.Now())
	}
	return err
}

// awaitChange blocks until the open heartbeat has to be replaced by a new one, and
// returns true then. It returns false if ctx is done first.
func (a *Agent) awaitChange(ctx context.Context, choiceChanged <-chan struct{}, primary bool) bool {
	var ownChange <-chan struct{} = a.report.changed
	if !primary {
		ownChange = a.report.leftUnsent()
	}
	select {
	case <-ownChange:
		if primary {
			a.coalesceChanges(ctx)
		}
		return true
	case <-choiceChanged:
		return true
	case <-ctx.Done():
		return false
	}
}

// coalesceChanges waits for further changes that closely follow the first, as when a
// gang starts, so that one report covers them all. It returns at once if the agent is
// leaving, which must be reported without delay.
func (a *Agent) coalesceChanges(ctx context.Context) {
	if _, _, leaving := a.report.summary(); leaving {
		return
	}
	_ = clock.Pause(ctx, coalesceDelay)
	select {
	case <-a.report.changed:
	default:
	}
}

// announce sends a heartbeat to an arbitrary entry behind the load balancer, which
// answers with the list of entries.
func (a *Agent) announce(ctx context.Context, t *entryTracker) error {
	if len(a.AnnounceAddresses) == 0 {
		return errNoEntry
	}
	return a.sendHeartbeat(ctx, t, a.AnnounceAddresses[rand.N(len(a.AnnounceAddresses))], 0, true)
}

var errNoEntry = errors.New("no entry is known")

// sendHeartbeat sends one heartbeat and applies the answer. The heartbeat includes the
// whole state if the primary does not have it yet, or if the entry asks for it. A
// standby usually has the state from other entries.
func (a *Agent) sendHeartbeat(ctx context.Context, t *entryTracker, address string, holdTime time.Duration, primary bool) error {
	sequence, version, leaving := a.report.summary()
	r := &sniperillv1.HeartbeatRequest{
		Agent: a.Name(), Incarnation: a.Incarnation, Sequence: sequence, Leaving: leaving, ConfigVersion: version,
	}
	ctx = t.withHoldTime(ctx, address, sequence, holdTime)
	if primary && !t.hasSent(address, sequence) {
		a.addState(r)
		t.setSent(address, r.Sequence)
	}
	res, err := a.callHeartbeat(ctx, address, r, holdTime)
	if err == nil && res.WantState {
		a.addState(r)
		t.setEntries(res.Entries)
		a.applyConfig(res.Config)
		res, err = a.callHeartbeat(ctx, address, r, holdTime)
	}
	if err != nil {
		if ctx.Err() == nil {
			a.Log.Debug().Err(err).Str("entry", address).Msg("Heartbeat failed.")
		}
		return err
	}
	t.recordAnswer(address, r.Sequence, res.Hold.AsDuration())
	t.setEntries(res.Entries)
	a.applyConfig(res.Config)
	return a.sendConfig(ctx, address, r, res.ConfigVersion)
}

func (a *Agent) addState(r *sniperillv1.HeartbeatRequest) {
	r.State = a.report.state(a.place())
	r.Sequence = r.State.Sequence
}

// sendConfig sends the configuration to an entry if that knows only an older version.
func (a *Agent) sendConfig(ctx context.Context, address string, r *sniperillv1.HeartbeatRequest, known uint64) error {
	data, version := a.config.newest()
	if version <= known {
		return nil
	}
	r.State, r.Config, r.ConfigVersion = nil, data, version
	_, err := a.callHeartbeat(ctx, address, r, 0)
	return err
}

func (a *Agent) callHeartbeat(ctx context.Context, address string, r *sniperillv1.HeartbeatRequest, holdTime time.Duration) (*sniperillv1.HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTime+heartbeatTimeout)
	defer cancel()
	return peer.Call(ctx, a.Peers.Entry(address).Heartbeat, r)
}

func (a *Agent) place() *sniperillv1.Place {
	return &sniperillv1.Place{
		Region: a.Place.Region, Zone: a.Place.Zone, Rack: a.Place.Rack, Worker: a.Place.Worker,
	}
}

// wait returns when c is closed or ctx is done.
func wait(ctx context.Context, c <-chan struct{}) error {
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
