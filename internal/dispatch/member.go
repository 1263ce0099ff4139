package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// status is the state of a member, from the claim of its run to the stop.
type status int

const (
	adopted  status = iota // Claimed by an earlier planner; the worker has not reported it yet.
	claimed                // The claim is being stored.
	starting               // The start is to be sent, or has not been answered.
	running
	stopping // The stop is to be sent, or the end is not known yet.
)

// member is one task of a run on a worker. It exists until the run has ended for certain.
type member struct {
	job      *job
	key      clusterstate.UnitKey
	index    int
	run      int
	task     string
	worker   *worker
	lifetime string
	// laterLifetime is a later lifetime of the worker with the same id, in which a delayed start
	// can still take effect; empty if there is none.
	laterLifetime string
	status        status
	orderInFlight bool          // A start or stop was sent and has not been answered.
	lateUntil     clock.Instant // Until then its start may take effect; zero if it can no longer, or if an earlier planner sent it.
	withheld      bool          // Its start waited, as the operators' records weren't known.
	settled       bool          // Its start was answered, and no attempt of it is on its way.
	lastStopAt    clock.Instant // When the newest stop was sent.
	// ackedEndAtStop is up to which number the worker had forgotten its ended runs by then, at least.
	ackedEndAtStop uint64
	missingFor     time.Duration // For how long its worker has left it out of its lists, counting only the time of reports.
	progress
}

func (m *member) step() *workflow.Step { return &m.job.spec.Steps[m.key.Step] }

func (ap *activePlanner) addMember(j *job, key clusterstate.UnitKey, at clusterstate.Member, run int, s status) *member {
	w, ok := ap.workers[at.AgentName]
	if !ok {
		w = ap.addWorker(clusterstate.Address{Name: at.AgentName})
	}
	m := &member{
		job: j, key: key, index: at.Index, run: run, worker: w, lifetime: at.Lifetime, status: s,
		task: clusterstate.TaskID{Job: j.spec.ID, Occurrence: key.Occurrence, Step: key.Step, Index: at.Index}.String(),
	}
	ap.members[m.task] = m
	w.members[m.task] = m
	return m
}

// mayRunIn reports whether the member may be running in a lifetime of its worker.
func (m *member) mayRunIn(lifetime string) bool {
	return lifetime != "" && (m.lifetime == lifetime || m.laterLifetime == lifetime)
}

// doneIn reports whether an end of the member's run in a lifetime shows that its task is done. It does in any
// lifetime with the same id, which a delayed start can reach, also if the one before isn't known to be over, as
// the worker's time of day has jumped back.
func (m *member) doneIn(lifetime string, end host.End) bool {
	now, err1 := host.ParseLifetime(lifetime)
	then, err2 := host.ParseLifetime(m.lifetime)
	return end == host.Done && err1 == nil && err2 == nil && now.ID == then.ID
}

// stopInCurrentLifetime requests a stop in the worker's current lifetime if a start that was
// sent to the lifetime before can reach it, and reports whether it can: a worker distinguishes
// lifetimes by the id alone, and the id may be the same in both.
func (m *member) stopInCurrentLifetime() bool {
	now, err1 := host.ParseLifetime(m.worker.lifetime)
	then, err2 := host.ParseLifetime(m.lifetime)
	if err1 != nil || err2 != nil || now.ID != then.ID {
		return false
	}
	if m.laterLifetime != m.worker.lifetime {
		m.laterLifetime = m.worker.lifetime
		m.status, m.orderInFlight, m.lastStopAt = stopping, false, 0
	}
	return true
}

// requestStop marks a member to be stopped.
func (m *member) requestStop() {
	if m.status != stopping {
		m.status, m.orderInFlight, m.lastStopAt = stopping, false, 0
	}
}

// requestUnitStop marks all members of a unit to be stopped.
func (ap *activePlanner) requestUnitStop(j *job, key clusterstate.UnitKey) {
	ap.forEachLiveMember(j, key, (*member).requestStop)
}

// stopUnit marks all members of a unit to be stopped for a reason.
func (ap *activePlanner) stopUnit(j *job, key clusterstate.UnitKey, reason string) {
	if state := j.unitState(key); state.stopReason == "" {
		state.stopReason = reason
	}
	ap.requestUnitStop(j, key)
}

func (ap *activePlanner) member(j *job, key clusterstate.UnitKey, index int) *member {
	t := clusterstate.TaskID{Job: j.spec.ID, Occurrence: key.Occurrence, Step: key.Step, Index: index}
	return ap.members[t.String()]
}

// runEnded removes a member whose run has ended, and updates its job. End is zero if it is
// not known how the run ended.
func (ap *activePlanner) runEnded(m *member, end host.End, checkpoint string, why string) {
	delete(ap.members, m.task)
	delete(m.worker.members, m.task)
	countEnd(end)
	ap.countDiscarded(m, end)
	j := m.job
	u := j.removeMember(m.key, m.index)
	if checkpoint != "" {
		u.Checkpoint = checkpoint
	}
	switch end {
	case host.Done:
		if !m.step().Endless {
			u.Done, u.Checkpoint, u.FailedMembers = true, "", nil // It never starts again.
		}
	case host.Failed:
		ap.countFailure(m, &u)
	}
	j.setUnit(m.key, u)
	ap.Log.Info().Str("task", m.task).Int("run", m.run).Str("node", m.worker.name).Str("lifetime", m.lifetime).
		Int("end", int(end)).Str("why", why).Int("failures", u.Failures).Int("failed_run", u.FailedRun).Msg("A run is over.")
	if m.key.IsGang() && !u.Done {
		ap.requestUnitStop(j, m.key)
	}
	if u.Done && j.finishIfDone() {
		ap.Log.Info().Str("job", j.spec.ID).Msg("A job is done.")
	}
}

// countFailure counts a failed run, once for all members of a gang, and fails the job if the
// unit has no attempts left.
func (ap *activePlanner) countFailure(m *member, u *clusterstate.UnitProgress) {
	m.job.unitState(m.key).avoid(m.lifetime)
	u.FailedMembers = append(slices.Clone(u.FailedMembers), clusterstate.Member{Index: m.index, AgentName: m.worker.name, Lifetime: m.lifetime})
	if m.step().Endless || m.key.IsGang() && u.FailedRun == m.run {
		return
	}
	u.Failures++
	if m.key.IsGang() {
		u.FailedRun = m.run
	}
	if u.Failures < max(1, ap.currentQueue(m.job).MaxAttempts) || m.job.final() {
		return
	}
	m.job.finish(shop.Failed)
	ap.Log.Info().Str("job", m.job.spec.ID).Str("task", m.task).Int("failures", u.Failures).
		Msg("A job has failed: a task has no attempts left.")
}

// currentQueue returns a job's queue from the newest configuration, or as it was submitted if
// the queue is no longer configured.
func (ap *activePlanner) currentQueue(j *job) workflow.Queue {
	if rules := ap.Rules(); rules != nil {
		if q, ok := rules.Queue(j.spec.Queue.Name); ok {
			return q
		}
	}
	return j.spec.Queue
}

// checkMembers ends runs whose worker's lifetime or lease is over, and stops those that are
// cancelled or stuck.
func (ap *activePlanner) checkMembers() {
	now := clock.Now()
	for _, m := range sortedMembers(ap.members) {
		over := ap.whyOver(m, now)
		switch {
		case over != "" && ap.mayRunLate(m, now):
			ap.requestUnitStop(m.job, m.key)
		case over != "":
			ap.runEnded(m, 0, "", over)
		case m.status != stopping && m.job.final():
			m.requestStop()
		case ap.outlastsDrain(m, now):
			ap.evacuate(m, now)
		case ap.stuck(m):
			ap.restartElsewhere(m, now)
		}
	}
}

// whyOver returns why a member's run in its worker's lifetime is over, and an empty string if it may not be.
func (ap *activePlanner) whyOver(m *member, now clock.Instant) string {
	switch {
	case m.worker.lifetimeEnded(m.lifetime) && !m.stopInCurrentLifetime():
		return "the worker's lifetime is over"
	case ap.notRenewed(m):
		return "its agent has not renewed the lease of the lifetime for longer than it lasts"
	case now > ap.leaseEnd(m.worker.receivedAt):
		return "the worker's lease has lapsed"
	}
	return ""
}

// mayRunLate reports whether the start of a member may take effect in the next lifetime of its worker with the same
// id, or may have, and its run is under a lease there. No call reaches a worker that answers under another id.
func (ap *activePlanner) mayRunLate(m *member, now clock.Instant) bool {
	if m.lateUntil == 0 || m.worker.answersAsOther(m.lifetime) {
		return false
	}
	return now <= m.lateUntil.Add(host.LongestLease(ap.MaxLease)+ap.StopTimeout+leaseSlack)
}

// answersAsOther reports whether the worker answers its agent under another id than in a lifetime.
func (w *worker) answersAsOther(lifetime string) bool {
	now, err1 := host.ParseLifetime(w.lifetime)
	then, err2 := host.ParseLifetime(lifetime)
	return w.answered && err1 == nil && err2 == nil && now.ID != then.ID
}

// drainSlack is how much longer than announced a draining worker usually stays.
const drainSlack = 500 * time.Millisecond

// outlastsDrain reports whether a running task will not end before its worker leaves. Endless tasks run
// until then, and so does what still runs when the worker might leave at any moment.
func (ap *activePlanner) outlastsDrain(m *member, now clock.Instant) bool {
	if m.status != running || !m.worker.draining || m.step().Endless || now > m.worker.drainUntil {
		return false
	}
	_, remaining := ap.lostAndRemaining(m)
	return now.Add(remaining) > m.worker.drainUntil.Add(drainSlack)
}

// evacuate stops the unit of a task on a draining worker, so that it starts again elsewhere. Once the
// worker has left, its runs are known to be over only after their lease.
func (ap *activePlanner) evacuate(m *member, now clock.Instant) {
	_, remaining := ap.lostAndRemaining(m)
	ap.Log.Info().Str("task", m.task).Int("run", m.run).Str("node", m.worker.name).Int("percent", m.percent).
		Dur("remaining", remaining).Dur("left", m.worker.drainUntil.Sub(now)).
		Msg("A task can't end before its worker leaves; it runs again elsewhere.")
	evacuations.Inc()
	ap.stopUnit(m.job, m.key, stopLeaving)
}

// restartElsewhere stops the unit of a stuck task, so that it starts again on another worker.
func (ap *activePlanner) restartElsewhere(m *member, now clock.Instant) {
	percentTime, _ := m.percentTime()
	ap.Log.Warn().Str("task", m.task).Int("run", m.run).Str("node", m.worker.name).Int("percent", m.percent).
		Dur("since", m.unchangedFor).Dur("limit", ap.standstillLimit(m)).Dur("percent_time", percentTime).
		Msg("A task stands still; it runs again elsewhere.")
	standstills.Inc()
	state := m.job.unitState(m.key)
	state.avoid(m.lifetime)
	state.standstills++
	m.worker.pausedUntil = max(m.worker.pausedUntil, now.Add(stuckPause))
	ap.stopUnit(m.job, m.key, stopStandstill)
}

// sortedMembers returns members sorted by task.
func sortedMembers(members map[string]*member) []*member {
	return slices.SortedFunc(maps.Values(members), func(a, b *member) int { return cmp.Compare(a.task, b.task) })
}

// sortedWorkers returns the workers sorted by name.
func (ap *activePlanner) sortedWorkers() []*worker {
	return slices.SortedFunc(maps.Values(ap.workers), func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
}

// sortedJobs returns the jobs in the order in which they were accepted.
func (ap *activePlanner) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(ap.jobs), func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.acceptedOffset, b.acceptedOffset), cmp.Compare(a.spec.ID, b.spec.ID))
	})
}
