package dispatch

import (
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

// applyReport applies an agent's report, given when it was asked for.
func (ap *activePlanner) applyReport(w *worker, m *pb.WatchResponse, asked clock.Instant) {
	now := clock.Now()
	if m.GetAgentLife() != w.agentIncarnation { // Another process may have renewed the lease, also for an earlier planner.
		w.otherLeaseEnd, w.lifetimeSince = ap.leaseEnd(w.contactAt), now
	}
	w.agentIncarnation, w.reportNumber, w.reportVersion, w.askedAt = m.GetAgentLife(), m.GetReport(), m.GetVersion(), asked
	// An agent that was silent may have been frozen, and reports what it knew before.
	observed := min(now.Sub(w.receivedAt), maxReportInterval)
	w.receivedAt = now
	w.endedLifetimes, w.goneLifetimes = m.GetOver(), m.GetGone()
	w.unreachable, w.answered = m.GetUnreachable(), m.GetLooked()
	h := m.GetWorker()
	if l := h.GetLifetime(); l != w.lifetime {
		ap.Log.Info().Str("node", w.name).Str("lifetime", l).Str("before", w.lifetime).Str("life", w.agentIncarnation).Str("address", w.address).
			Msg("A worker has another lifetime.")
		w.lifetime, w.lifetimeSince = l, now
		if l != "" {
			w.epochDue = w.epochDue || w.hadLifetime // In the first one, no call of this planner can be late.
			w.hadLifetime = true
			ap.raiseEpoch(w)
		}
		w.appliedEnds, w.storedEnds = endPosition{lifetime: l}, endPosition{lifetime: l}
		w.ackingEnd, w.ackingFor, w.ackedEnd, w.unprovenAbsences = 0, 0, 0, nil
		w.toldEnd, w.toldAt, w.moreEnds = 0, 0, false
		w.health = health{}
	}
	if w.inContact() {
		w.contactAt = now
	}
	w.hardware = workflow.Worker{
		Service: h.GetService(), Rack: h.GetRack(), Labels: h.GetLabels(),
		Resources: workflow.Resources{
			MilliCores: int(h.GetMilliCores()), MemoryMB: int(h.GetMemoryMb()), Accelerators: int(h.GetAccelerators()),
		},
	}
	w.machine, w.coldUntil = h.GetMachine(), now.Add(h.GetColdLeft().AsDuration())
	w.draining = h.GetDraining()
	w.drainUntil = now.Add(h.GetDrainLeft().AsDuration())
	if w.lifetime == "" || !m.GetLooked() {
		return
	}
	if w.unreachable {
		w.resetProgressTimes()
	}
	for _, m := range w.members {
		if !m.mayRunIn(w.lifetime) && w.lifetimeEnded(m.lifetime) {
			m.stopInCurrentLifetime() // Before the report's ends are applied: they may have its run.
		}
	}
	listedAt := clock.Instant(0) // An agent of an earlier version doesn't tell.
	if ago := m.GetLookedAgo(); ago != nil {
		listedAt = now.Add(-ago.AsDuration())
	}
	ap.applyRunning(w, m.GetRunning(), observed, listedAt)
	before := w.appliedEnds.number
	for _, e := range m.GetEnded() {
		ap.applyEnd(w, e)
	}
	if w.appliedEnds.number > before {
		w.moreEnds = m.GetMoreEnded() || now.Sub(w.toldAt) < followingEnds
	}
	w.updateAckedEnd(observed)
	ap.settleAbsences(w, asked)
	if !m.GetMoreEnded() {
		ap.stopAbsent(w, m.GetRunning())
	}
	if !w.unreachable {
		ap.stopMissingRuns(w, m.GetRunning(), observed)
	}
}

// updateAckedEnd updates up to which number the worker has forgotten its ended runs for certain, given for how
// long the agent has reported since the last time.
func (w *worker) updateAckedEnd(observed time.Duration) {
	w.ackingFor += observed
	switch {
	case w.unreachable: // Then the agent acknowledges nothing.
		w.ackingFor = 0
	case w.ackingFor >= ackTimeout:
		w.ackedEnd, w.ackingEnd, w.ackingFor = w.ackingEnd, w.storedEnds.number, 0
	}
}

// settleAbsences decides on the runs that an agent of an earlier version called absent, with a report that was
// asked for after that. Such an agent takes a list of ended runs that is cut as complete. A cut one had
// minCutList runs or more, and the agent has reported them by now.
func (ap *activePlanner) settleAbsences(w *worker, asked clock.Instant) {
	var later []absence
	for _, a := range w.unprovenAbsences {
		switch {
		case a.since >= asked:
			later = append(later, a)
		case ap.members[a.member.task] != a.member: // Its end was reported.
		case w.appliedEnds.number < a.member.ackedEndAtStop+minCutList:
			ap.runEnded(a.member, 0, "", "it never ran, as far as an agent of an earlier version tells")
		}
	}
	w.unprovenAbsences = later
}

// maxReportInterval is the longest time between two reports of an agent that isn't silent.
const maxReportInterval = watchWait + watchRetryDelay

// applyRunning applies the list of running tasks of a report, given the time for which it tells
// whether they made progress, and when the worker gave the list, if that is known.
func (ap *activePlanner) applyRunning(w *worker, tasks []*pb.RunningTask, observed time.Duration, listedAt clock.Instant) {
	for _, t := range tasks {
		m, ok := ap.members[t.GetTask()]
		if !ok || m.run != int(t.GetRun()) || m.worker != w || !m.mayRunIn(w.lifetime) {
			ap.stopUnclaimed(w, t)
			continue
		}
		if m.status == adopted {
			m.status = running
			ap.Log.Info().Str("task", m.task).Int("run", m.run).Str("node", w.name).Msg("Took over a running task.")
		}
		if m.settled && t.GetListed() && m.lifetime == w.lifetime {
			m.lateUntil = 0
		}
		m.report(int(t.GetPercent()), clock.Now(), observed)
		if t.GetListed() && listedAt != 0 {
			ap.noteProgress(m, int(t.GetPercent()), listedAt)
		}
		if t.GetCheckpoint() != "" {
			ap.saveCheckpoint(m, t.GetCheckpoint())
		}
	}
}

// resetProgressTimes restarts the time since a worker's tasks last made progress, as their
// progress is not known while the worker is unreachable.
func (w *worker) resetProgressTimes() {
	for _, m := range w.members {
		m.unchangedFor, m.missingFor = 0, 0
	}
}

// saveCheckpoint sets a running task's newest checkpoint. It is stored with the next change of
// the job.
func (ap *activePlanner) saveCheckpoint(m *member, checkpoint string) {
	u := m.job.progress.Units[m.key]
	if u.Checkpoint != checkpoint {
		u.Checkpoint = checkpoint
		m.job.progress.Units[m.key] = u
		m.job.changed[m.key] = true
	}
}

// stopUnclaimed stops a run that is not or no longer claimed.
func (ap *activePlanner) stopUnclaimed(w *worker, t *pb.RunningTask) {
	ap.Log.Warn().Str("task", t.GetTask()).Int64("run", t.GetRun()).Str("node", w.name).Msg("Stopping a run that is not claimed.")
	unclaimedRuns.Inc()
	w.unclaimedRuns = append(w.unclaimedRuns, &pb.StopTask{Task: t.GetTask(), Run: t.GetRun()})
	w.wakeOrders()
}

// applyEnd applies the end of a run unless it has been applied already.
func (ap *activePlanner) applyEnd(w *worker, e *pb.EndedTask) {
	if e.GetNumber() <= w.appliedEnds.number {
		return
	}
	w.appliedEnds.number = e.GetNumber()
	m, ok := ap.members[e.GetTask()]
	end := host.End(e.GetEnd())
	if !ok || m.run != int(e.GetRun()) || m.worker != w || !m.mayRunIn(w.lifetime) && !m.doneIn(w.lifetime, end) {
		return // An earlier planner stored the end, or the run was known to have ended.
	}
	m.job.recordEnd(workerLifetime{w, w.lifetime}, e.GetNumber())
	ap.updateHealth(w, m, end)
	ap.noteEnd(m, end)
	ap.runEnded(m, end, e.GetCheckpoint(), "listed")
}

// stopAbsent stops runs that an earlier planner claimed and the worker doesn't list: the start
// was never sent, or has not arrived yet.
func (ap *activePlanner) stopAbsent(w *worker, tasks []*pb.RunningTask) {
	for _, m := range sortedMembers(w.members) {
		if m.lifetime == w.lifetime && m.status == adopted {
			ap.Log.Info().Str("task", m.task).Int("run", m.run).Str("node", w.name).Int("running", len(tasks)).
				Msg("A claimed run is not in the report of its worker; stopping it.")
			ap.requestUnitStop(m.job, m.key)
		}
	}
}

// maxMissing is how long a worker that answers may leave a running task out of its lists.
const maxMissing = 3 * time.Second

// stopMissingRuns stops runs that a worker neither lists as running nor as ended for a while, given for how long its agent
// has reported since the last time. Their ends may be lost, as a call may have acknowledged them that was meant for an
// earlier lifetime. The answer to the stop tells whether an end still follows.
func (ap *activePlanner) stopMissingRuns(w *worker, tasks []*pb.RunningTask, observed time.Duration) {
	listed := make(map[string]int64, len(tasks))
	for _, t := range tasks {
		listed[t.GetTask()] = t.GetRun()
	}
	for _, m := range w.members {
		if m.status != running || !m.mayRunIn(w.lifetime) || listed[m.task] == int64(m.run) {
			m.missingFor = 0
			continue
		}
		if m.missingFor += observed; m.missingFor < maxMissing {
			continue
		}
		ap.Log.Warn().Str("task", m.task).Int("run", m.run).Str("node", w.name).Str("lifetime", w.lifetime).Dur("for", m.missingFor).
			Msg("A worker no longer lists a running task; stopping it.")
		missingRuns.Inc()
		ap.stopUnit(m.job, m.key, stopMissing)
	}
}
