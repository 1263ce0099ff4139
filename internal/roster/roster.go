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

// Defaults of a Roster. DefaultSuspectAfter and DefaultDeadAfter are for MinInterval
// and grow with the interval of heartbeats.
const (
	DefaultSuspectAfter = 5 * time.Second
	DefaultDeadAfter    = 10 * time.Second
	DefaultForgetAfter  = 10 * time.Minute
	DefaultProbeTimeout = 500 * time.Millisecond
	TickInterval        = 500 * time.Millisecond
	// When minSilentShare of a region's agents, and at least minSilentAgents, are
	// silent at the same time, this entry's own link may be the cause.
	minSilentShare  = 0.5
	minSilentAgents = 3
)

// ErrOldIncarnation is returned when a newer incarnation of the agent is known. The
// sender has been replaced and must stop.
var ErrOldIncarnation = fmt.Errorf("a newer incarnation is known: %w", shop.ErrConflict)

var (
	becameSuspect  = metrics.NewCounter(`sniperill_roster_suspected_total`)
	becameDead     = metrics.NewCounter(`sniperill_roster_dead_total`)
	becameAlive    = metrics.NewCounter(`sniperill_roster_alive_again_total`)
	refusedOld     = metrics.NewCounter(`sniperill_roster_old_incarnations_total`)
	ownLinkSuspect = metrics.NewCounter(`sniperill_roster_own_link_suspected_total`)
)

// Roster tracks the agents and entries that one entry knows. Set the exported
// fields before the first use.
type Roster struct {
	Self *sniperillv1.EntryPeer
	Now  func() time.Time
	// SuspectAfter and DeadAfter are the silences after which an agent is suspect or
	// may be declared dead. When zero, the defaults apply, which grow with the
	// interval of heartbeats.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// ForgetAfter is the silence after which dead agents and entries are removed.
	ForgetAfter  time.Duration
	ProbeTimeout time.Duration
	// Probe pings an agent on a new connection. When nil, every probe fails.
	Probe func(ctx context.Context, agent *sniperillv1.AgentState) error
	// NotifyEntries, when set, is called when a change must reach the other entries
	// without waiting for the next exchange. It must not block.
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

// View returns the current view.
func (r *Roster) View() *View {
	r.once.Do(r.init)
	return r.view.Load()
}

// update replaces the view by a copy to which change was applied.
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

// Heartbeat handles a heartbeat of an agent. When nothing has changed, it only sets
// atomics. The caller adds the configuration to the response.
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

// unchanged reports whether a heartbeat says no more than that the agent is alive.
func unchanged(m *Member, req *sniperillv1.HeartbeatRequest) bool {
	return m.Health == Alive &&
		m.State.GetIncarnation() == req.GetIncarnation() &&
		m.State.GetSequence() == req.GetSequence() &&
		m.State.GetConfigVersion() >= req.GetConfigVersion() &&
		(m.Leaving() || !req.GetLeaving())
}

// applyHeartbeat updates the view after a heartbeat that changes something.
func (r *Roster) applyHeartbeat(req *sniperillv1.HeartbeatRequest, now time.Time) (*Member, error) {
	state := req.GetState()
	if state == nil {
		// An agent without a known state has no slots, so it gets no work.
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
	var startedLeaving bool
	r.update(func(v *View) {
		old, known := v.Agents.Find(state.GetName())
		if known && old.State.GetIncarnation() > state.GetIncarnation() {
			return
		}
		updateLastHeard(old, now)
		startedLeaving = (state.GetLeaving() || req.GetLeaving()) && !(known && old.Leaving())
		m = updatedMember(old, state, req.GetLeaving(), now)
		m = m.withVersion(req.GetSequence(), req.GetConfigVersion())
		v.Agents = v.Agents.with(m)
	})
	if m == nil {
		refusedOld.Inc()
		return nil, fmt.Errorf("roster.Heartbeat: agent %s: %w", req.GetAgent(), ErrOldIncarnation)
	}
	if startedLeaving {
		r.notifyEntries()
	}
	return m, nil
}

func updateLastHeard(m *Member, now time.Time) {
	if m != nil {
		storeMax(&m.lastHeard, now.UnixNano())
	}
}

// updatedMember returns the member with the newer one of two states, alive, and
// leaving when either state or the argument says so for this incarnation.
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

// withLeaving returns the state, marked as leaving when leaving is set. The mark is
// never removed, as leaving is final within an incarnation.
func withLeaving(s *sniperillv1.AgentState, leaving bool) *sniperillv1.AgentState {
	if !leaving || s.GetLeaving() {
		return s
	}
	s = copyState(s)
	s.Leaving = true
	return s
}
