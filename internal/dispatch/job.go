package dispatch

import (
	"slices"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// job is the planner's copy of a job; its progress may be ahead of the journal.
type job struct {
	spec           *workflow.Job
	submitted      time.Time // By this process's monotonic clock.
	adopted        bool      // An earlier planner knew it.
	acceptedOffset int64     // Offset of the record by which it was accepted.
	progress       clusterstate.Progress
	cancelled      bool
	dirty          bool
	changed        map[clusterstate.UnitKey]bool // Units that have changed since the job was stored.
	blocks         []int                         // Of its progress that the journal had when this planner took it over.
	rejected       bool                          // The store has rejected its newest records.
	retryAt        clock.Instant                 // They are stored again then.
	finalizedAt    clock.Instant                 // When this planner made it final; zero if it didn't.
	finalSent      bool                          // Its final state is in a batch that was passed to the store.
	unitStates     map[clusterstate.UnitKey]*unitState
	// Of each lifetime of a worker, the first end of a run of this job that is not stored, or is being stored.
	unstoredEnds, storingEnds map[workerLifetime]uint64
	deferred                  map[[2]int]bool // Occurrence and step of each deferral that was logged.
}

// workerLifetime is a lifetime of a worker.
type workerLifetime struct {
	worker   *worker
	lifetime string
}

// unitState is what the planner knows of a unit in addition to its progress. It is not stored.
type unitState struct {
	readySince        time.Time // Since when it has been waiting; zero if it isn't.
	avoidLifetimes    []string  // Lifetimes of the workers on which it last failed or got stuck.
	avoidUntil        time.Time // From then on those workers are used if no other has room.
	startedAt         clock.Instant
	stopReason        string   // Why its run was told to stop; empty if it wasn't, or for a reason that its end tells.
	gaveWay           int      // How many of its runs were preempted.
	preemptionCost    float64  // What preempting others for it has cost so far, in core seconds.
	standstills       int      // How many of its runs were stopped as they stood still.
	reservedLifetimes []string // Lifetimes of the workers that are reserved for it.
}

// newJob returns the planner's copy of a job that was submitted no longer ago than maxAge.
func newJob(stored *clusterstate.Job, maxAge time.Duration) *job {
	return &job{
		spec: stored.Spec, submitted: submittedAt(stored.Spec.Submitted, time.Now(), maxAge),
		acceptedOffset: stored.AcceptedOffset, progress: stored.Progress().Clone(), cancelled: stored.Cancelled,
		blocks: stored.Blocks(), unitStates: make(map[clusterstate.UnitKey]*unitState), changed: make(map[clusterstate.UnitKey]bool),
	}
}

// submittedAt returns when a job was submitted, given that time by the clock of an entry. Both clocks' times of
// day may jump, so a time that can't be right is moved to the nearest that can, and the result has a monotonic reading.
func submittedAt(byEntry, now time.Time, maxAge time.Duration) time.Time {
	return now.Add(-min(max(0, now.Sub(byEntry)), maxAge))
}

// due returns when an occurrence is due.
func (j *job) due(occurrence int) time.Time {
	if j.spec.Scheduled() {
		return j.spec.Due(occurrence)
	}
	return j.submitted
}

// unitState returns the state of a unit, which it creates if there is none.
func (j *job) unitState(key clusterstate.UnitKey) *unitState {
	u, ok := j.unitStates[key]
	if !ok {
		u = &unitState{}
		j.unitStates[key] = u
	}
	return u
}

// avoidDuration is how long a unit waits for another worker than the one on which it has failed. Users
// expect a task that can run to start within 3 s.
const avoidDuration = 2 * time.Second

// avoid keeps the unit off the worker of a lifetime for a while.
func (u *unitState) avoid(lifetime string) {
	now := time.Now()
	if now.After(u.avoidUntil) {
		u.avoidLifetimes = nil
	}
	if !slices.Contains(u.avoidLifetimes, lifetime) {
		u.avoidLifetimes = append(u.avoidLifetimes, lifetime)
	}
	u.avoidUntil = now.Add(avoidDuration)
}

// markDeferred marks a step as deferred, and reports whether it wasn't before.
func (j *job) markDeferred(key clusterstate.UnitKey) bool {
	step := [2]int{key.Occurrence, key.Step}
	if j.deferred[step] {
		return false
	}
	if j.deferred == nil {
		j.deferred = make(map[[2]int]bool)
	}
	j.deferred[step] = true
	return true
}

// final reports whether the job is cancelled or in a final state, so that nothing more starts.
func (j *job) final() bool { return j.cancelled || j.progress.State.Final() }

// liveMembers counts the members that may still be running.
func (j *job) liveMembers() int {
	n := 0
	for _, u := range j.progress.Units {
		n += len(u.Members)
	}
	return n
}

// setUnit replaces a unit's progress.
func (j *job) setUnit(key clusterstate.UnitKey, u clusterstate.UnitProgress) {
	j.progress.Units[key] = u
	j.changed[key] = true
	j.dirty = true
}

// takeRecords returns the records that store what has changed.
func (j *job) takeRecords() []journal.Record {
	var records []journal.Record
	records, j.progress.Split = clusterstate.ProgressRecords(j.spec, j.progress, j.changed, j.blocks)
	j.dirty = false
	clear(j.changed)
	j.unstoredEnds, j.storingEnds = nil, j.unstoredEnds
	return records
}

// recordEnd records that the job's progress has the end of a run, which is not stored yet.
func (j *job) recordEnd(at workerLifetime, number uint64) {
	if first, ok := j.unstoredEnds[at]; ok && first < number {
		return
	}
	if j.unstoredEnds == nil {
		j.unstoredEnds = make(map[workerLifetime]uint64)
	}
	j.unstoredEnds[at] = number
}

// storeRetryDelay is the delay before records that the store has rejected are stored again.
const storeRetryDelay = time.Second

// retry makes all of the job's records be stored again later, as the store has rejected some.
func (j *job) retry() {
	j.rejected, j.dirty, j.finalSent = true, true, false
	j.retryAt = clock.Now().Add(storeRetryDelay)
	j.progress.Split = false // So that all of its blocks are stored.
	for at, number := range j.storingEnds {
		j.recordEnd(at, number)
	}
	j.storingEnds = nil
}

// removeMember removes a member whose run has ended from its unit's progress.
func (j *job) removeMember(key clusterstate.UnitKey, index int) clusterstate.UnitProgress {
	u := j.progress.Units[key]
	u.Members = slices.DeleteFunc(slices.Clone(u.Members), func(m clusterstate.Member) bool { return m.Index == index })
	j.setUnit(key, u)
	return u
}

// forEachUnit calls f with every unit of a step until f returns false, and reports whether f
// returned true for all of them.
func forEachUnit(step *workflow.Step, occurrence, number int, f func(clusterstate.UnitKey) bool) bool {
	if step.Gang {
		return f(clusterstate.GangKey(occurrence, number))
	}
	for i := range step.Count {
		if !f(clusterstate.UnitKey{Occurrence: occurrence, Step: number, Index: i}) {
			return false
		}
	}
	return true
}

// stepDone reports whether all tasks of a step are done.
func (j *job) stepDone(occurrence, number int) bool {
	return forEachUnit(&j.spec.Steps[number], occurrence, number, func(k clusterstate.UnitKey) bool {
		return j.progress.Units[k].Done
	})
}

// dependenciesDone reports whether all steps that a step depends on are done.
func (j *job) dependenciesDone(occurrence, number int) bool {
	for _, a := range j.spec.Steps[number].After {
		if !j.stepDone(occurrence, a) {
			return false
		}
	}
	return true
}

// forEachStartable calls f with every unit that may start now.
func (j *job) forEachStartable(now time.Time, f func(clusterstate.UnitKey)) {
	if j.final() {
		return
	}
	for o := range j.spec.Occurrences() {
		if j.spec.Scheduled() && j.spec.Due(o).After(now) {
			break
		}
		for s := range j.spec.Steps {
			if !j.dependenciesDone(o, s) {
				continue
			}
			forEachUnit(&j.spec.Steps[s], o, s, func(k clusterstate.UnitKey) bool {
				if u := j.progress.Units[k]; !u.Done && len(u.Members) == 0 {
					f(k)
				}
				return true
			})
		}
	}
}

// finishIfDone makes the job final if all its tasks are done, and reports whether it did.
func (j *job) finishIfDone() bool {
	if j.final() || j.spec.Endless() {
		return false
	}
	for o := range j.spec.Occurrences() {
		for s := range j.spec.Steps {
			if !j.stepDone(o, s) {
				return false
			}
		}
	}
	j.finish(shop.Done)
	return true
}

// finish sets the job's final state.
func (j *job) finish(state shop.JobState) {
	j.progress.State = state
	j.finalizedAt = clock.Now()
	j.dirty = true
}
