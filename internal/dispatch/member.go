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

// status is how far an order for a member has come.
type status int

const (
	adopted  status = iota // Claimed by an earlier planner; its worker has not reported yet.
	claimed                // Its claim is being stored.
	starting               // To be started, or the start is on its way.
	running
	stopping // To be stopped, or being stopped; it is over when its end is known.
)

// member is one task of a run on a worker, until it is over for certain.
type member struct {
	job      *job
	key      clusterstate.UnitKey
	index    int
	run      int
	task     string
	worker   *worker
	lifetime string
	// laterLifetime is a later lifetime of the worker under the same id, in which a start that was on
	// its way can still take effect; empty when there is none.
	laterLifetime string
	status        status
	orderInFlight bool          // An order for the status is on its way.
	lastStopAt    clock.Instant // When the last stop was sent.
	percent       int
	progressedAt  clock.Instant // When the percent changed last.
}

func (m *member) step() *workflow.Step { return &m.job.spec.Steps[m.key.Step] }

func (r *activePlanner) addMember(j *job, key clusterstate.UnitKey, at clusterstate.Member, run int, s status) *member {
	w, ok := r.workers[at.Node]
	if !ok {
		w = r.addWorker(clusterstate.Address{Name: at.Node})
	}
	m := &member{
		job: j, key: key, index: at.Index, run: run, worker: w, lifetime: at.Lifetime, status: s,
		task:         clusterstate.TaskID{Job: j.spec.ID, Occurrence: key.Occurrence, Step: key.Step, Index: at.Index}.String(),
		progressedAt: clock.Now(),
	}
	r.members[m.task] = m
	w.members[m.task] = m
	return m
}

// mayRunIn says whether the member may run in a lifetime of its worker.
func (m *member) mayRunIn(lifetime string) bool {
	return m.lifetime == lifetime || m.laterLifetime == lifetime
}

// stopInCurrentLifetime asks the worker's present lifetime for the member's stop when a start that was meant for
// the lifetime before can reach it: a worker tells lifetimes apart by its id alone.
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

// requestStop asks for a member's stop.
func (m *member) requestStop() {
	if m.status != stopping {
		m.status, m.orderInFlight, m.lastStopAt = stopping, false, 0
	}
}

// requestUnitStop asks for the stop of all members of a unit.
func (r *activePlanner) requestUnitStop(j *job, key clusterstate.UnitKey) {
	for _, m := range j.progress.Units[key].Members {
		if live := r.member(j, key, m.Index); live != nil {
			live.requestStop()
		}
	}
}

func (r *activePlanner) member(j *job, key clusterstate.UnitKey, index int) *member {
	t := clusterstate.TaskID{Job: j.spec.ID, Occurrence: key.Occurrence, Step: key.Step, Index: index}
	return r.members[t.String()]
}

// runEnded takes in that a member's run is over. End is zero when nothing is known of how.
func (r *activePlanner) runEnded(m *member, end host.End, checkpoint string, why string) {
	delete(r.members, m.task)
	delete(m.worker.members, m.task)
	countEnd(end)
	j := m.job
	u := j.removeMember(m.key, m.index)
	if checkpoint != "" {
		u.Checkpoint = checkpoint
	}
	switch end {
	case host.Done:
		if !m.step().Endless {
			u.Done = true
		}
	case host.Failed:
		r.countFailure(m, &u)
	}
	j.setUnit(m.key, u)
	r.Log.Info().Str("task", m.task).Int("run", m.run).Str("node", m.worker.name).Str("lifetime", m.lifetime).
		Int("end", int(end)).Str("why", why).Int("failures", u.Failures).Msg("A run is over.")
	if m.key.IsGang() && !u.Done {
		r.requestUnitStop(j, m.key)
	}
	if u.Done && j.finishIfDone() {
		r.Log.Info().Str("job", j.spec.ID).Msg("A job is done.")
	}
}

// countFailure counts a failure, once for all members of a gang.
func (r *activePlanner) countFailure(m *member, u *clusterstate.UnitProgress) {
	live := m.job.unitState(m.key)
	live.avoidLifetime = m.lifetime
	if live.lastFailedRun == m.run || m.step().Endless {
		return
	}
	live.lastFailedRun = m.run
	u.Failures++
	if u.Failures < max(1, r.currentQueue(m.job).MaxAttempts) || m.job.final() {
		return
	}
	m.job.finish(shop.Failed)
	r.Log.Info().Str("job", m.job.spec.ID).Str("task", m.task).Int("failures", u.Failures).
		Msg("A job has failed: a task has no attempts left.")
}

// currentQueue returns the newest terms of a job's queue.
func (r *activePlanner) currentQueue(j *job) workflow.Queue {
	if rules := r.Rules(); rules != nil {
		if q, ok := rules.Queue(j.spec.Queue.Name); ok {
			return q
		}
	}
	return j.spec.Queue
}

// checkMembers acts on what follows from time and cancellations alone.
func (r *activePlanner) checkMembers() {
	now := clock.Now()
	for _, m := range sortedMembers(r.members) {
		switch {
		case m.worker.lifetimeEnded(m.lifetime) && !m.stopInCurrentLifetime():
			r.runEnded(m, 0, "", "the worker's lifetime is over")
		case now > r.leaseEnd(m.worker):
			r.runEnded(m, 0, "", "the worker's lease has lapsed")
		case m.status != stopping && m.job.final():
			m.requestStop()
		case r.stuck(m, now):
			r.restartElsewhere(m, now)
		}
	}
}

const (
	// stuckAfter is how long a task may show no progress beside what its size explains;
	// agents report once a second.
	stuckAfter = 3 * time.Second
	// stuckPause is how long a worker on which a task stood still gets no new ones.
	stuckPause = 4 * time.Second
)

// stuck says whether a running task has stopped to get on. Progress is shown in whole
// percent, so that a percent of a long task may take minutes.
func (r *activePlanner) stuck(m *member, now clock.Instant) bool {
	if m.status != running || m.step().Endless || now.Sub(m.worker.receivedAt) > maxReportAge {
		return false
	}
	percent := time.Duration(r.RemoteFactor * float64(m.step().Estimate) / 100)
	return now.Sub(m.progressedAt) > stuckAfter+2*percent
}

// restartElsewhere runs a task that stands still on another worker.
func (r *activePlanner) restartElsewhere(m *member, now clock.Instant) {
	r.Log.Warn().Str("task", m.task).Int("run", m.run).Str("node", m.worker.name).Int("percent", m.percent).
		Dur("since", now.Sub(m.progressedAt)).Msg("A task stands still; it runs again elsewhere.")
	m.job.unitState(m.key).avoidLifetime = m.lifetime
	m.worker.pausedUntil = max(m.worker.pausedUntil, now.Add(stuckPause))
	r.requestUnitStop(m.job, m.key)
}

// sortedMembers returns members in a stable order.
func sortedMembers(members map[string]*member) []*member {
	return slices.SortedFunc(maps.Values(members), func(a, b *member) int { return cmp.Compare(a.task, b.task) })
}

// sortedWorkers returns the workers by name.
func (r *activePlanner) sortedWorkers() []*worker {
	return slices.SortedFunc(maps.Values(r.workers), func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
}

// sortedJobs returns the jobs in the order in which they were accepted.
func (r *activePlanner) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(r.jobs), func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.acceptedOffset, b.acceptedOffset), cmp.Compare(a.spec.ID, b.spec.ID))
	})
}
