package gang

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Allocator is an agent's authority over the accelerators, cores and memory of its
// worker. Its exported fields are set before Recover or the first request.
type Allocator struct {
	Name         string
	Address      string
	Incarnation  uint64
	Accelerators int
	Cores        int
	Memory       shop.Bytes
	Times        Times
	Log          zerolog.Logger

	// Now reads a monotonic clock.
	Now func() time.Time

	// Calls to the worker. A task that was stopped never starts again there.
	StartTask      func(context.Context, *sniperillv1.StartTaskRequest) error
	StopTask       func(context.Context, *sniperillv1.StopTaskRequest) error
	CheckpointTask func(context.Context, *sniperillv1.CheckpointTaskRequest) (*sniperillv1.CheckpointTaskResponse, error)
	ThrottleTask   func(context.Context, *sniperillv1.ThrottleTaskRequest) error
	RenewTask      func(context.Context, *sniperillv1.RenewTaskRequest) error
	ListTasks      func(context.Context, *sniperillv1.ListTasksRequest) (*sniperillv1.ListTasksResponse, error)

	// Calls to the other members of a gang.
	RenewMember   func(context.Context, *sniperillv1.Member, *sniperillv1.RenewRequest) (*sniperillv1.RenewResponse, error)
	ReleaseMember func(context.Context, *sniperillv1.Member, *sniperillv1.ReleaseRequest) (*sniperillv1.ReleaseResponse, error)
	AbandonMember func(context.Context, *sniperillv1.Member, *sniperillv1.AbandonRequest) (*sniperillv1.AbandonResponse, error)

	mu                    sync.Mutex
	records               map[string]*record // By job: the newest attempt.
	active                map[string]*record // Those of records that occupy resources.
	histories             map[string]*history
	owners                []*sniperillv1.AcceleratorOwner // By accelerator; replaced, never changed.
	notices               []notice
	leaving               bool
	recovered             bool
	startedAt             time.Time // First look at the clock.
	lastActive            time.Time // Last look at the clock.
	distrustRenewalsUntil time.Time // Renewals before this may have waited out a pause.
	lastSweep             time.Time

	sequence atomic.Uint64
	state    atomic.Pointer[sniperillv1.AgentState]
}

// notice tells another member that this one has ended an attempt.
type notice struct {
	member *sniperillv1.Member
	*sniperillv1.AbandonRequest
}

// lockAndExpire locks the ledger, sets it up on first use, drops what has expired and
// returns the time.
func (l *Allocator) lockAndExpire() time.Time {
	l.mu.Lock()
	now := l.Now()
	if l.records == nil {
		l.setUp(now)
	}
	l.detectPause(now)
	l.expire(now)
	return now
}

// detectPause finds out that the process stood still. Renewals that waited
// meanwhile tell nothing about the lead, so none counts for a while. Whatever
// runs first after the pause has to notice it, Tick or a request.
func (l *Allocator) detectPause(now time.Time) {
	if now.Sub(l.lastActive) > l.Times.Margin {
		l.distrustRenewalsUntil = now.Add(l.Times.Margin)
	}
	l.lastActive = now
}

func (l *Allocator) setUp(now time.Time) {
	l.Times.SetDefaults()
	l.records = map[string]*record{}
	l.active = map[string]*record{}
	l.histories = map[string]*history{}
	l.owners = make([]*sniperillv1.AcceleratorOwner, l.Accelerators)
	for i := range l.owners {
		l.owners[i] = &sniperillv1.AcceleratorOwner{Accelerator: uint32(i)}
	}
	l.startedAt, l.lastActive, l.lastSweep = now, now, now
}

// markChanged marks the state as newer than the last snapshot.
func (l *Allocator) markChanged() { l.sequence.Add(1) }

// find returns the record of an attempt, or nil.
func (l *Allocator) find(a *sniperillv1.Attempt) *record {
	r := l.records[a.GetJob()]
	if r == nil || !r.isAttempt(a) {
		return nil
	}
	return r
}

// expire drops the holds and prepared tasks whose time is over, and fences the
// running ones; Tick stops the latter at the worker.
func (l *Allocator) expire(now time.Time) {
	for _, r := range l.active {
		if r.state.Final() || now.Before(r.deadline) {
			continue
		}
		if r.state == Running {
			l.end(r, Stopped, reasonLapsed, now)
			continue
		}
		l.drop(r, string(r.state)+" too long", now)
	}
}

// drop ends a record that was never released, and forgets all but its number.
func (l *Allocator) drop(r *record, reason string, now time.Time) {
	l.end(r, Stopped, reason, now)
	delete(l.records, r.attempt.GetJob())
}

// end moves a record to a final state. A record with tasks sent to the worker
// goes on occupying its resources until the worker has stopped them.
func (l *Allocator) end(r *record, s TaskState, reason string, now time.Time) {
	if r.state.Final() {
		return
	}
	ran := r.state == Running
	r.state, r.reason, r.ended = s, reason, now
	r.stopping = r.startSent && s != Done
	r.victims = nil
	h := l.history(r.attempt.GetJob(), now)
	h.highestClosed = max(h.highestClosed, r.attempt.GetNumber())
	if !r.occupiesResources() {
		delete(l.active, r.attempt.GetJob())
	}
	if ran && s != Done {
		l.queueNotices(r, reason)
	}
	l.markChanged()
	l.Log.Info().Str("job", r.attempt.GetJob()).Uint32("attempt", r.attempt.GetNumber()).
		Str("state", string(s)).Str("reason", reason).Msg("Attempt ended here.")
}

// queueNotices queues a notice for the members that must stop because this one did:
// all of them on the lead, the lead elsewhere.
func (l *Allocator) queueNotices(r *record, reason string) {
	if r.membersNotified {
		return
	}
	r.membersNotified = true
	for i, m := range r.members {
		if m.GetAgent() == l.Name || !r.lead && i > 0 {
			continue
		}
		req := &sniperillv1.AbandonRequest{Attempt: r.attempt, Reason: reason}
		l.notices = append(l.notices, notice{member: m, AbandonRequest: req})
	}
}

// free gives back the resources of a record whose tasks the worker has stopped.
func (l *Allocator) free(r *record) {
	r.stopping = false
	job := r.attempt.GetJob()
	if l.active[job] == r {
		delete(l.active, job)
	}
	l.markChanged()
}

// Leave makes the agent refuse new holds from now on.
func (l *Allocator) Leave() {
	l.lockAndExpire()
	defer l.mu.Unlock()
	l.leaving = true
	l.markChanged()
}

// State returns what the agent reports of its worker. It is shared: callers do
// not change it. The sequence grows with every change.
func (l *Allocator) State() *sniperillv1.AgentState {
	s := l.state.Load()
	if s != nil && s.GetSequence() == l.sequence.Load() {
		return s
	}
	l.lockAndExpire()
	defer l.mu.Unlock()
	s = &sniperillv1.AgentState{
		Name:         l.Name,
		Address:      l.Address,
		Incarnation:  l.Incarnation,
		Sequence:     l.sequence.Load(),
		Accelerators: uint32(l.Accelerators),
		Cores:        uint32(l.Cores),
		MemoryBytes:  uint64(l.Memory),
		Owners:       l.owners,
		Leaving:      l.leaving,
		OwnerVersion: l.ownerVersion(),
	}
	for _, r := range l.records {
		s.Tasks = append(s.Tasks, r.toProto())
	}
	l.state.Store(s)
	return s
}
