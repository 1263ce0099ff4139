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
	// heartbeatTimeout is how long a heartbeat may stay unanswered past the time that
	// the entry may hold it.
	heartbeatTimeout = 2 * time.Second
	// initialHoldTime is how long an entry may hold a heartbeat before it has said so.
	initialHoldTime = roster.FirstHold + time.Second
	// heartbeatRetryDelay is the pause after a heartbeat that failed, and between
	// announcements of an agent that knows no entry.
	heartbeatRetryDelay = 200 * time.Millisecond
	// coalesceDelay gathers the changes of the agent's own state.
	coalesceDelay = 50 * time.Millisecond
	// failedEntryBackoff is how long an entry that did not answer is passed over.
	failedEntryBackoff = 10 * time.Second
)

// entryTracker is what the agent knows of the entries that it reports to.
type entryTracker struct {
	mu      sync.Mutex
	entries []*sniperillv1.EntryPeer
	failed  map[string]time.Time
	// holdTimes is how long each entry may hold the next heartbeat.
	holdTimes map[string]time.Duration
	// sentSequence is the last sequence of the agent's state that each entry was told.
	sentSequence map[string]uint64
	// confirmedSequence is the last sequence that each entry has answered to.
	confirmedSequence map[string]uint64
	changed           chan struct{}
}

// setEntries takes the list of entries from a response.
func (h *entryTracker) setEntries(entries []*sniperillv1.EntryPeer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(entries) == 0 || slices.EqualFunc(entries, h.entries, samePeer) {
		return
	}
	h.entries = entries
	h.signalChange()
}

func samePeer(a, b *sniperillv1.EntryPeer) bool { return proto.Equal(a, b) }

// holdTime returns how long an entry may hold the next heartbeat.
func (h *entryTracker) holdTime(address string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d, ok := h.holdTimes[address]; ok {
		return d
	}
	return initialHoldTime
}

// recordAnswer notes that an entry knows the state of that sequence, and how long it
// may hold the next heartbeat.
func (h *entryTracker) recordAnswer(address string, sequence uint64, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentSequence[address] = sequence
	h.confirmedSequence[address] = sequence
	h.holdTimes[address] = d
}

// withHoldTime tells the pool how long an entry may hold a heartbeat. One with news is
// no use on a connection that has gone silent, so that is examined early.
func (h *entryTracker) withHoldTime(ctx context.Context, address string, sequence uint64, d time.Duration) context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmedSequence[address] == sequence {
		return peer.Held(ctx, d)
	}
	return peer.HeldWithNews(ctx, d)
}

// hasSent says whether an entry was told the state of that sequence.
func (h *entryTracker) hasSent(address string, sequence uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sentSequence[address] == sequence
}

func (h *entryTracker) setSent(address string, sequence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentSequence[address] = sequence
}

// markFailed passes an entry over for a while.
func (h *entryTracker) markFailed(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed[address] = now
	h.signalChange()
}

func (h *entryTracker) signalChange() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// choose picks the homes among the entries that answer. The channel is closed
// when the choice may have become another.
func (h *entryTracker) choose(agent, region string, now time.Time) (roster.Homes, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(h.entries), func(p *sniperillv1.EntryPeer) bool {
		at, failed := h.failed[p.Address]
		return failed && now.Sub(at) < failedEntryBackoff
	})
	return roster.NewHomes(agent, region, usable), h.changed
}

// heartbeat reports to a primary and to a standby entry, each of which holds its
// answer until it has news or the next heartbeat is due. It returns an error
// when another agent has taken this one's place.
func (a *Agent) heartbeat(ctx context.Context) error {
	h := &entryTracker{
		failed: make(map[string]time.Time), holdTimes: make(map[string]time.Duration),
		sentSequence: make(map[string]uint64), confirmedSequence: make(map[string]uint64), changed: make(chan struct{}),
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return a.reportTo(ctx, h, func(c roster.Homes) *sniperillv1.EntryPeer { return c.Primary }, true)
	})
	g.Go(func() error {
		return a.reportTo(ctx, h, func(c roster.Homes) *sniperillv1.EntryPeer { return c.Standby }, false)
	})
	return g.Wait()
}

// reportTo keeps a heartbeat open at one of the homes. The primary is told of
// every change at once.
func (a *Agent) reportTo(ctx context.Context, h *entryTracker, pick func(roster.Homes) *sniperillv1.EntryPeer, primary bool) error {
	for ctx.Err() == nil {
		a.report.setAllocatorState(a.allocator.State())
		choice, moved := h.choose(a.Name(), a.Place.Region, a.Now())
		home := pick(choice)
		var err error
		switch {
		case home != nil:
			err = a.longPoll(ctx, h, home.Address, moved, primary)
		case primary:
			err = a.announce(ctx, h)
		default:
			err = wait(ctx, moved)
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

// longPoll sends one heartbeat and waits for its answer, for a change of the agent's
// own state, or for another choice of homes.
func (a *Agent) longPoll(ctx context.Context, h *entryTracker, address string, moved <-chan struct{}, primary bool) error {
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if a.awaitChange(held, moved, primary) {
			close(interrupted)
			cancel()
		}
	}()
	err := a.sendHeartbeat(held, h, address, h.holdTime(address), primary)
	cancel()
	<-watched
	select {
	case <-interrupted:
		return nil
	default:
	}
	if errors.Is(err, peer.ErrMoved) {
		// The entry answers on a fresh connection: tell it again there.
		h.setSent(address, 0)
		return nil
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, roster.ErrOldIncarnation) {
		h.markFailed(address, a.Now())
	}
	return err
}

// awaitChange returns true when a heartbeat that is held must be sent anew.
func (a *Agent) awaitChange(ctx context.Context, moved <-chan struct{}, primary bool) bool {
	var own <-chan struct{} = a.report.changed
	if !primary {
		own = a.report.leftUnsent()
	}
	select {
	case <-own:
		if primary {
			a.coalesceChanges(ctx)
		}
		return true
	case <-moved:
		return true
	case <-ctx.Done():
		return false
	}
}

// coalesceChanges waits for the changes that come close together, such as those of a
// start, so that one report tells them all. Leaving is told at once.
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

// announce tells some entry behind the balancer, which answers with the entries.
func (a *Agent) announce(ctx context.Context, h *entryTracker) error {
	if len(a.AnnounceAddresses) == 0 {
		return errNoEntry
	}
	return a.sendHeartbeat(ctx, h, a.AnnounceAddresses[rand.N(len(a.AnnounceAddresses))], 0, true)
}

var errNoEntry = errors.New("no entry is known")

// sendHeartbeat sends one heartbeat. The whole state goes along when it is news to a
// primary, and when the entry asks for it: a standby mostly has it from others.
func (a *Agent) sendHeartbeat(ctx context.Context, h *entryTracker, address string, held time.Duration, primary bool) error {
	sequence, version, leaving := a.report.summary()
	r := &sniperillv1.HeartbeatRequest{
		Agent: a.Name(), Incarnation: a.Incarnation, Sequence: sequence, Leaving: leaving, ConfigVersion: version,
	}
	ctx = h.withHoldTime(ctx, address, sequence, held)
	if primary && !h.hasSent(address, sequence) {
		a.addState(r)
		h.setSent(address, r.Sequence)
	}
	res, err := a.callHeartbeat(ctx, address, r, held)
	if err == nil && res.WantState {
		a.addState(r)
		h.setEntries(res.Entries)
		a.applyConfig(res.Config)
		res, err = a.callHeartbeat(ctx, address, r, held)
	}
	if err != nil {
		if ctx.Err() == nil {
			a.Log.Debug().Err(err).Str("entry", address).Msg("Heartbeat failed.")
		}
		return err
	}
	h.recordAnswer(address, r.Sequence, res.Hold.AsDuration())
	h.setEntries(res.Entries)
	a.applyConfig(res.Config)
	return a.sendConfig(ctx, address, r, res.ConfigVersion)
}

func (a *Agent) addState(r *sniperillv1.HeartbeatRequest) {
	r.State = a.report.state(a.place())
	r.Sequence = r.State.Sequence
}

// sendConfig sends the configuration to an entry that knows only an older one.
func (a *Agent) sendConfig(ctx context.Context, address string, r *sniperillv1.HeartbeatRequest, known uint64) error {
	data, version := a.config.newest()
	if version <= known {
		return nil
	}
	r.State, r.Config, r.ConfigVersion = nil, data, version
	_, err := a.callHeartbeat(ctx, address, r, 0)
	return err
}

func (a *Agent) callHeartbeat(ctx context.Context, address string, r *sniperillv1.HeartbeatRequest, held time.Duration) (*sniperillv1.HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, held+heartbeatTimeout)
	defer cancel()
	return peer.Call(ctx, a.Peers.Entry(address).Heartbeat, r)
}

func (a *Agent) place() *sniperillv1.Place {
	return &sniperillv1.Place{
		Region: a.Place.Region, Zone: a.Place.Zone, Rack: a.Place.Rack, Worker: a.Place.Worker,
	}
}

// wait returns when the channel is closed or the context ends.
func wait(ctx context.Context, c <-chan struct{}) error {
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
