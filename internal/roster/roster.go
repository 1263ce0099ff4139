package roster

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Defaults of a roster, at the least interval of heartbeats. They grow with it.
const (
	DefaultSuspectAfter = 5 * time.Second
	DefaultDeadAfter    = 10 * time.Second
	DefaultForgetAfter  = 10 * time.Minute
	DefaultProbeTimeout = 500 * time.Millisecond
	TickInterval        = 500 * time.Millisecond
	// minSilentShare of a region's agents silent at once, and at least manyLeast,
	// point at this entry's own link.
	minSilentShare  = 0.5
	minSilentAgents = 3
)

// ErrOldIncarnation says that a newer incarnation of the agent is known: the
// sender has been replaced and must stop.
var ErrOldIncarnation = fmt.Errorf("a newer incarnation is known: %w", shop.ErrConflict)

var (
	becameSuspect  = metrics.NewCounter(`sniperill_roster_suspected_total`)
	becameDead     = metrics.NewCounter(`sniperill_roster_dead_total`)
	becameAlive    = metrics.NewCounter(`sniperill_roster_alive_again_total`)
	refusedOld     = metrics.NewCounter(`sniperill_roster_old_incarnations_total`)
	ownLinkSuspect = metrics.NewCounter(`sniperill_roster_own_link_suspected_total`)
)

// Roster is what one entry knows. Set the exported fields before its first use.
type Roster struct {
	Self *sniperillv1.EntryPeer
	Now  func() time.Time
	// SuspectAfter and DeadAfter are the silences that change an agent's health;
	// when zero, the defaults grow with the interval of heartbeats.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// ForgetAfter is how long dead agents and entries stay known.
	ForgetAfter  time.Duration
	ProbeTimeout time.Duration
	// Probe pings an agent on a fresh connection.
	Probe func(ctx context.Context, agent *sniperillv1.AgentState) error
	// Spread, when set, is called when something must reach the other entries
	// at once. It must not block.
	NotifyEntries func()

	once     sync.Once
	view     atomic.Pointer[View]
	updateMu sync.Mutex
	round    atomic.Uint64
}

func (r *Roster) init() {
	if r.Now == nil {
		r.Now = time.Now
	}
	if r.ForgetAfter == 0 {
		r.ForgetAfter = DefaultForgetAfter
	}
	if r.ProbeTimeout == 0 {
		r.ProbeTimeout = DefaultProbeTimeout
	}
	self := newEntry(r.Self, r.Now().UnixNano())
	self.Live = true
	r.view.Store(&View{
		Entries:        EntryList{self},
		EntriesVersion: 1,
	})
}

func (r *Roster) now() time.Time {
	r.once.Do(r.init)
	return r.Now()
}

// View returns what is known now.
func (r *Roster) View() *View {
	r.once.Do(r.init)
	return r.view.Load()
}

// update replaces the view by what change makes of it.
func (r *Roster) update(change func(v *View)) {
	r.once.Do(r.init)
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	next := *r.view.Load()
	change(&next)
	r.view.Store(&next)
}

func (r *Roster) notifyEntries() {
	if r.NotifyEntries != nil {
		r.NotifyEntries()
	}
}

// Heartbeat takes an agent's sign of life. When nothing changed it only sets
// atomics. The configuration of the response is left to the caller.
func (r *Roster) Heartbeat(req *sniperillv1.HeartbeatRequest) (*sniperillv1.HeartbeatResponse, error) {
	view := r.View()
	now := r.now()
	m, ok := view.Agents.Find(req.GetAgent())
	if !ok || !unchanged(m, req) {
		var err error
		if m, err = r.applyHeartbeat(req, now); err != nil {
			return nil, err
		}
	}
	storeMax(&m.lastHeard, now.UnixNano())
	storeMax(&m.lastHeartbeat, now.UnixNano())
	res := &sniperillv1.HeartbeatResponse{
		WantState: m.State.GetPlace() == nil || m.older(req.GetIncarnation(), req.GetSequence()),
	}
	if m.sentEntriesVersion.Load() != view.EntriesVersion {
		m.sentEntriesVersion.Store(view.EntriesVersion)
		res.Entries = view.Entries.Live()
	}
	return res, nil
}

// unchanged says whether a heartbeat tells only that the agent is still there.
func unchanged(m *Member, req *sniperillv1.HeartbeatRequest) bool {
	return m.Health == Alive &&
		m.State.GetIncarnation() == req.GetIncarnation() &&
		m.State.GetSequence() == req.GetSequence() &&
		m.State.GetConfigVersion() >= req.GetConfigVersion() &&
		(m.Leaving() || !req.GetLeaving())
}

// applyHeartbeat applies a heartbeat that tells something new.
func (r *Roster) applyHeartbeat(req *sniperillv1.HeartbeatRequest, now time.Time) (*Member, error) {
	state := req.GetState()
	if state == nil {
		// Known without its state, an agent has no slots and so gets no work.
		state = &sniperillv1.AgentState{
			Name:        req.GetAgent(),
			Incarnation: req.GetIncarnation(),
			Leaving:     req.GetLeaving(),
		}
	}
	if state.GetName() != req.GetAgent() || state.GetIncarnation() != req.GetIncarnation() {
		return nil, fmt.Errorf("roster.Heartbeat: state is of another agent or incarnation: %w", shop.ErrInvalid)
	}
	var m *Member
	var left bool
	r.update(func(v *View) {
		old, known := v.Agents.Find(state.GetName())
		if known && old.State.GetIncarnation() > state.GetIncarnation() {
			return
		}
		updateLastHeard(old, now)
		left = (state.GetLeaving() || req.GetLeaving()) && !(known && old.Leaving())
		m = updatedMember(old, state, req.GetLeaving(), now)
		m = m.withVersion(req.GetSequence(), req.GetConfigVersion())
		v.Agents = v.Agents.with(m)
	})
	if m == nil {
		refusedOld.Inc()
		return nil, fmt.Errorf("roster.Heartbeat: agent %s: %w", req.GetAgent(), ErrOldIncarnation)
	}
	if left {
		r.notifyEntries()
	}
	return m, nil
}

func updateLastHeard(m *Member, now time.Time) {
	if m != nil {
		storeMax(&m.lastHeard, now.UnixNano())
	}
}

// updatedMember returns the member after news of it: the newer state, alive, and
// leaving when either said so in this incarnation.
func updatedMember(old *Member, state *sniperillv1.AgentState, leaving bool, heard time.Time) *Member {
	if old == nil || old.State.GetIncarnation() < state.GetIncarnation() {
		m := &Member{State: withLeaving(state, leaving), Health: Alive, liveness: &liveness{}}
		m.lastHeard.Store(heard.UnixNano())
		return m
	}
	leaving = leaving || old.Leaving() || state.GetLeaving()
	if old.State.GetSequence() >= state.GetSequence() {
		state = old.State
	}
	return old.with(withLeaving(state, leaving), Alive)
}

// withLeaving returns a state that says leaving; leaving is final within an incarnation.
func withLeaving(s *sniperillv1.AgentState, leaving bool) *sniperillv1.AgentState {
	if !leaving || s.GetLeaving() {
		return s
	}
	s = copyState(s)
	s.Leaving = true
	return s
}
