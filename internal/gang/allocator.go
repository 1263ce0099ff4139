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

// Allocator grants the accelerators, cores and memory of an agent's worker to
// attempts of jobs, and starts, renews and stops their tasks. Its exported fields
// must be set before the first call of Tick or the first request.
type Allocator struct {
	Name         string
	Address      string
	Incarnation  uint64
	Accelerators int
	Cores        int
	Memory       shop.Bytes
	Times        Times
	Log          zerolog.Logger

	// Now returns the time with a monotonic clock reading.
	Now func() time.Time

	// Calls to the worker. The worker never starts a task that was stopped before.
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
	records               map[string]*record // Newest attempt by job.
	active                map[string]*record // Subset of records that occupies resources.
	histories             map[string]*history
	owners                []*sniperillv1.AcceleratorOwner // By accelerator; replaced on change, never modified.
	notices               []notice
	leaving               bool
	evacuated             bool      // The worker's zone takes no new work.
	recovered             bool      // The tasks of earlier incarnations are stopped.
	startedAt             time.Time // First reading of the clock.
	lastActive            time.Time // Last reading of the clock.
	distrustRenewalsUntil time.Time // Renewals that arrive before this may have been queued during a pause.
	lastSweep             time.Time

	sequence atomic.Uint64
	state    atomic.Pointer[sniperillv1.AgentState]
}

// notice is a pending message that tells another member that this agent has ended
// an attempt.
type notice struct {
	member *sniperillv1.Member
	*sniperillv1.AbandonRequest
}

// lockAndExpire locks the Allocator, sets it up on first use, ends expired records
// and returns the time. The caller unlocks a.mu.
func (a *Allocator) lockAndExpire() time.Time {
	a.mu.Lock()
	now := a.Now()
	if a.records == nil {
		a.setUp(now)
	}
	a.detectPause(now)
	a.expire(now)
	return now
}

// detectPause detects that the process was paused for longer than Times.Margin.
// Renewals that were queued during the pause do not show that the lead still runs the
// attempt, so renewals are refused for Times.Margin after it. It has to run before
// anything else after the pause, be that Tick or a request, so lockAndExpire calls it.
func (a *Allocator) detectPause(now time.Time) {
	if now.Sub(a.lastActive) > a.Times.Margin {
		a.distrustRenewalsUntil = now.Add(a.Times.Margin)
	}
	a.lastActive = now
}

func (a *Allocator) setUp(now time.Time) {
	a.Times.SetDefaults()
	a.records = map[string]*record{}
	a.active = map[string]*record{}
	a.histories = map[string]*history{}
	a.owners = make([]*sniperillv1.AcceleratorOwner, a.Accelerators)
	for i := range a.owners {
		a.owners[i] = &sniperillv1.AcceleratorOwner{Accelerator: uint32(i)}
	}
	a.startedAt, a.lastActive, a.lastSweep = now, now, now
}

// markChanged invalidates the snapshot that State returns.
func (a *Allocator) markChanged() { a.sequence.Add(1) }

// find returns the record of an attempt, or nil if there is none.
func (a *Allocator) find(attempt *sniperillv1.Attempt) *record {
	r := a.records[attempt.GetJob()]
	if r == nil || !r.isAttempt(attempt) {
		return nil
	}
	return r
}

// expire drops held and prepared records past their deadline and ends running ones
// whose gang lease has expired. Tick stops the tasks of the latter at the worker.
func (a *Allocator) expire(now time.Time) {
	for _, r := range a.active {
		if r.state.Final() || now.Before(r.deadline) {
			continue
		}
		if r.state == Running {
			a.end(r, Stopped, reasonLeaseEnded, now)
			continue
		}
		a.drop(r, string(r.state)+" too long", now)
	}
}

// drop ends and removes a record that was never released. The history keeps its
// attempt number.
func (a *Allocator) drop(r *record, reason string, now time.Time) {
	a.end(r, Stopped, reason, now)
	delete(a.records, r.attempt.GetJob())
}

// end moves a record to a final state. A record whose tasks were sent to the worker
// keeps its resources until the worker has stopped the tasks, unless it is Done.
func (a *Allocator) end(r *record, s TaskState, reason string, now time.Time) {
	if r.state.Final() {
		return
	}
	ran := r.state == Running
	r.state, r.reason, r.ended = s, reason, now
	r.stopping = r.startSent && s != Done
	r.victims = nil
	h := a.history(r.attempt.GetJob(), now)
	h.highestClosed = max(h.highestClosed, r.attempt.GetNumber())
	if !r.occupiesResources() {
		delete(a.active, r.attempt.GetJob())
	}
	if ran && s != Done {
		a.queueNotices(r, reason)
	}
	a.markChanged()
	a.Log.Info().Str("job", r.attempt.GetJob()).Uint32("attempt", r.attempt.GetNumber()).
		Str("state", string(s)).Str("reason", reason).Msg("Attempt ended here.")
}

// queueNotices queues notices for the members that must stop because this one did.
// The lead notifies all other members, another member only the lead.
func (a *Allocator) queueNotices(r *record, reason string) {
	if r.membersNotified {
		return
	}
	r.membersNotified = true
	for i, m := range r.members {
		if m.GetAgent() == a.Name || !r.lead && i > 0 {
			continue
		}
		req := &sniperillv1.AbandonRequest{Attempt: r.attempt, Reason: reason}
		a.notices = append(a.notices, notice{member: m, AbandonRequest: req})
	}
}

// free releases the resources of a record whose tasks the worker has stopped.
func (a *Allocator) free(r *record) {
	r.stopping = false
	job := r.attempt.GetJob()
	if a.active[job] == r {
		delete(a.active, job)
	}
	a.markChanged()
}

// Leave makes the agent refuse all new holds.
func (a *Allocator) Leave() {
	a.lockAndExpire()
	defer a.mu.Unlock()
	a.leaving = true
	a.markChanged()
}

// SetEvacuated sets whether the agent refuses new holds, as operators evacuate its zone.
func (a *Allocator) SetEvacuated(evacuated bool) {
	a.lockAndExpire()
	defer a.mu.Unlock()
	a.evacuated = evacuated
}

// State returns a snapshot of the worker's resources and attempts, as the agent
// reports it. The snapshot is shared and must not be modified. Its sequence grows
// with every change.
func (a *Allocator) State() *sniperillv1.AgentState {
	s := a.state.Load()
	if s != nil && s.GetSequence() == a.sequence.Load() {
		return s
	}
	a.lockAndExpire()
	defer a.mu.Unlock()
	s = &sniperillv1.AgentState{
		Name:         a.Name,
		Address:      a.Address,
		Incarnation:  a.Incarnation,
		Sequence:     a.sequence.Load(),
		Accelerators: uint32(a.Accelerators),
		Cores:        uint32(a.Cores),
		MemoryBytes:  uint64(a.Memory),
		Owners:       a.owners,
		Leaving:      a.leaving,
		OwnerVersion: a.ownerVersion(),
	}
	for _, r := range a.records {
		s.Tasks = append(s.Tasks, r.toProto())
	}
	a.state.Store(s)
	return s
}
