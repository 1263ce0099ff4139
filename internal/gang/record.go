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

// Final says whether the attempt has ended on the agent.
func (s TaskState) Final() bool {
	return s == Done || s == Failed || s == Stopped || s == Preempted
}

// Reasons that tell a member why its attempt is abandoned.
const (
	ReasonPreempted = "preempted"
	reasonLapsed    = "gang lease ended"
	reasonPause     = "agent was paused"
	reasonUnknown   = "unknown attempt"
)

// record is what the ledger knows of one attempt on its worker.
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
	victims     []*record // Borrowers that leave before this one may prepare.

	state       TaskState
	reason      string
	deadline    time.Time // Of the hold, of the prepared task or of the gang lease.
	members     []*sniperillv1.Member
	lead        bool
	confirmed   bool // The lead has seen this member prepared.
	checkpoint  []byte
	answer      []byte
	started     time.Time
	ended       time.Time
	finalStates map[string]TaskState // Ends of single tasks.
	throttled   map[string]bool

	renewals        map[string]renewal // By agent; on the lead.
	lastRenewal     time.Time          // Start of the last renewal round.
	stopping        bool               // The worker may still run a task.
	startSent       bool               // A start was sent to the worker.
	workerLeaseEnd  time.Time          // No task of the worker outlives this.
	renewing        bool               // A renewal round is under way.
	membersNotified bool               // The members that must stop, too, were told.
	tasksStarted    bool               // The worker has accepted all tasks.
	tasksDone       bool               // All tasks here are done.

	workerDeadline time.Time // Deadline that the worker knows.

	releaseLock *semaphore.Weighted // Makes repeats of a release wait for the first.
	workerLock  *semaphore.Weighted // Orders the effects on the worker.
}

// renewal is what the lead knows of another member.
type renewal struct {
	sent time.Time // When the last renewal that was answered was sent.
	done bool
}

// occupiesResources says whether the record still takes resources of the worker.
func (r *record) occupiesResources() bool { return !r.state.Final() || r.stopping }

// isAttempt says whether the record is of the given attempt.
func (r *record) isAttempt(a *sniperillv1.Attempt) bool {
	return r.attempt.GetNumber() == a.GetNumber()
}

// taskName returns the worker's name of task i.
func (r *record) taskName(i int) string {
	return fmt.Sprintf("%s/%d/%d", r.attempt.GetJob(), r.attempt.GetNumber(), i)
}

// taskMask returns the accelerators of task i.
func (r *record) taskMask(i int) shop.Mask {
	each := r.mask.Len() / r.tasks
	before := r.mask.First(i * each)
	return (r.mask &^ before).First(each)
}

// toProto returns the record as agents report it.
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
