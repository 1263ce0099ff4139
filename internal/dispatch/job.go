package dispatch

import (
	"slices"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// job is a job as the planner has it; its progress may be ahead of the journal.
type job struct {
	spec           *workflow.Job
	acceptedOffset int64 // Offset of the record that accepted it.
	progress       clusterstate.Progress
	cancelled      bool
	dirty          bool
	finalizedAt    clock.Instant // When this planner made it final, zero if it didn't.
	finalSent      bool          // Its final state has been handed to the store.
	unitStates     map[clusterstate.UnitKey]*unitState
	deferred       map[[2]int]bool // Occurrences and steps of which it was logged that they wait.
}

// unitState is what the planner knows of a unit beside its progress.
type unitState struct {
	readySince        time.Time // Since when it waits.
	lastFailedRun     int       // The newest run that was counted as failed.
	avoidLifetime     string    // Lifetime of the worker on which it failed last.
	startedAt         clock.Instant
	reservedLifetimes []string // Lifetimes of the workers on which room is being made for it.
}

func newJob(l *clusterstate.Job) *job {
	return &job{
		spec: l.Spec, acceptedOffset: l.AcceptedOffset, progress: l.Progress.Clone(), cancelled: l.Cancelled,
		unitStates: make(map[clusterstate.UnitKey]*unitState),
	}
}

func (j *job) unitState(key clusterstate.UnitKey) *unitState {
	u, ok := j.unitStates[key]
	if !ok {
		u = &unitState{}
		j.unitStates[key] = u
	}
	return u
}

// markDeferred says whether a step waits beside kept room for the first time.
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

// final says whether nothing more is to be started.
func (j *job) final() bool { return j.cancelled || j.progress.State.Final() }

// liveMembers counts the members that may still run.
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
	j.dirty = true
}

// removeMember removes a member that is over.
func (j *job) removeMember(key clusterstate.UnitKey, index int) clusterstate.UnitProgress {
	u := j.progress.Units[key]
	u.Members = slices.DeleteFunc(slices.Clone(u.Members), func(m clusterstate.Member) bool { return m.Index == index })
	j.setUnit(key, u)
	return u
}

// forEachUnit calls f with every unit of a step until it returns false.
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

// stepDone says whether all tasks of a step have ended as done.
func (j *job) stepDone(occurrence, number int) bool {
	return forEachUnit(&j.spec.Steps[number], occurrence, number, func(k clusterstate.UnitKey) bool {
		return j.progress.Units[k].Done
	})
}

// dependenciesDone says whether the steps before one are all done.
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

// finishIfDone sets the job's state when its last task is done.
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

// finish makes the job final.
func (j *job) finish(state shop.JobState) {
	j.progress.State = state
	j.finalizedAt = clock.Now()
	j.dirty = true
}
