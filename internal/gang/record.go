package gang

import (
	"fmt"
	"time"

	"golang.org/x/sync/semaphore"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// TaskState is the state of an attempt on one agent.
type TaskState string

// States of an attempt on one agent. Done, Failed, Stopped and Preempted are final.
const (
	Held      TaskState = "held"
	Prepared  TaskState = "prepared"
	Running   TaskState = "running"
	Done      TaskState = "done"
	Failed    TaskState = "failed"
	Stopped   TaskState = "stopped"
	Preempted TaskState = "preempted"
)

// Final reports whether the attempt has ended on the agent.
func (s TaskState) Final() bool {
	return s == Done || s == Failed || s == Stopped || s == Preempted
}

// Reasons for ending or refusing an attempt, as sent to other members.
const (
	ReasonPreempted  = "preempted"
	reasonLeaseEnded = "gang lease ended"
	reasonPause      = "agent was paused"
	reasonUnknown    = "unknown attempt"
)

// record is the state of one attempt on the worker.
type record struct {
	attempt     *sniperillv1.Attempt
	job         *sniperillv1.Job
	tasks       int
	mask        shop.Mask
	cores       int
	memory      shop.Bytes
	rank        uint64
	preemptible bool
	planner     string
	victims     []*record // Borrowers to preempt before this record can be prepared.

	state      TaskState
	reason     string
	deadline   time.Time // End of the hold, of the prepared state or of the gang lease.
	members    []*sniperillv1.Member
	lead       bool
	confirmed  bool // The lead has confirmed that this member is prepared.
	checkpoint []byte
	answer     []byte
	started    time.Time
	ended      time.Time
	doneTasks  map[string]TaskState // Final states by task.
	throttled  map[string]bool

	renewals        map[string]renewal // By agent; only used on the lead.
	lastRenewal     time.Time          // Start of the last renewal round.
	stopping        bool               // The record has ended, but the worker may still run a task of it.
	startSent       bool               // A start request was sent to the worker.
	workerLeaseEnd  time.Time          // The worker runs no task of the record after this.
	renewing        bool               // A renewal round is in progress.
	membersNotified bool               // No more notices of the end are to be queued.
	tasksStarted    bool               // The worker has accepted all tasks.
	tasksDone       bool               // All tasks on this worker are done.

	workerDeadline time.Time // Deadline as last sent to the worker.

	releaseLock *semaphore.Weighted // Makes a repeated release wait for the first one.
	workerLock  *semaphore.Weighted // Serializes the calls to the worker that change its tasks.
}

// renewal is what the lead knows about another member.
type renewal struct {
	sent time.Time // Send time of the last renewal that was answered.
	done bool      // All tasks of the member are done.
}

// occupiesResources reports whether the record still uses resources of the worker.
func (r *record) occupiesResources() bool { return !r.state.Final() || r.stopping }

// isAttempt reports whether the record has the number of the given attempt.
func (r *record) isAttempt(a *sniperillv1.Attempt) bool {
	return r.attempt.GetNumber() == a.GetNumber()
}

// taskName returns the name of task i at the worker.
func (r *record) taskName(i int) string {
	return fmt.Sprintf("%s/%d/%d", r.attempt.GetJob(), r.attempt.GetNumber(), i)
}

// taskMask returns the accelerators of task i.
func (r *record) taskMask(i int) shop.Mask {
	each := r.mask.Len() / r.tasks
	before := r.mask.First(i * each)
	return (r.mask &^ before).First(each)
}

// toProto returns the record in the form that agents report it.
func (r *record) toProto() *sniperillv1.AgentTask {
	m := &sniperillv1.AgentTask{
		Attempt:      r.attempt,
		Job:          r.job,
		Tasks:        uint32(r.tasks),
		Accelerators: uint64(r.mask),
		State:        string(r.state),
		Lead:         r.lead,
		Preemptible:  r.preemptible,
		Members:      r.members,
		Reason:       r.reason,
		Checkpoint:   r.checkpoint,
	}
	if !r.started.IsZero() {
		m.StartedUnixMs = r.started.UnixMilli()
	}
	return m
}
