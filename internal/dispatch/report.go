package dispatch

import (
	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

// applyReport takes in what an agent reports.
func (r *activePlanner) applyReport(w *worker, m *pb.WatchResponse) {
	w.agentIncarnation, w.reportNumber, w.reportVersion = m.GetAgentLife(), m.GetReport(), m.GetVersion()
	w.receivedAt = clock.Now()
	w.endedLifetimes = m.GetOver()
	w.unreachable = m.GetUnreachable()
	h := m.GetWorker()
	if l := h.GetLifetime(); l != w.lifetime {
		r.Log.Info().Str("node", w.name).Str("lifetime", l).Str("before", w.lifetime).Msg("A worker is in another lifetime.")
		w.lifetime = l
		w.appliedEnds, w.storedEnds = endPosition{lifetime: l}, endPosition{lifetime: l}
		w.health = health{}
	}
	w.hardware = workflow.Worker{
		Service: h.GetService(), Rack: h.GetRack(), Labels: h.GetLabels(),
		Room: workflow.Room{
			MilliCores: int(h.GetMilliCores()), MemoryMB: int(h.GetMemoryMb()), Accelerators: int(h.GetAccelerators()),
		},
	}
	w.draining = h.GetDraining()
	if w.lifetime == "" || !m.GetLooked() {
		return
	}
	if w.unreachable {
		w.resetProgressTimes()
	}
	r.applyRunning(w, m.GetRunning())
	for _, e := range m.GetEnded() {
		r.applyEnd(w, e)
	}
	r.stopAbsent(w, m.GetRunning())
}

// applyRunning takes in what runs.
func (r *activePlanner) applyRunning(w *worker, tasks []*pb.RunningTask) {
	for _, t := range tasks {
		m, ok := r.members[t.GetTask()]
		if !ok || m.run != int(t.GetRun()) || m.worker != w || !m.mayRunIn(w.lifetime) {
			r.stopUnclaimed(w, t)
			continue
		}
		if m.status == adopted {
			m.status = running
			r.Log.Info().Str("task", m.task).Int("run", m.run).Str("node", w.name).Msg("Took over a running task.")
		}
		if int(t.GetPercent()) != m.percent {
			m.percent, m.progressedAt = int(t.GetPercent()), clock.Now()
		}
		if t.GetCheckpoint() != "" {
			r.saveCheckpoint(m, t.GetCheckpoint())
		}
	}
}

// resetProgressTimes takes in that nothing is known of how a worker's tasks get on.
func (w *worker) resetProgressTimes() {
	for _, m := range w.members {
		m.progressedAt = clock.Now()
	}
}

// saveCheckpoint keeps a running task's newest checkpoint; it is stored with the next
// change of the job.
func (r *activePlanner) saveCheckpoint(m *member, checkpoint string) {
	u := m.job.progress.Units[m.key]
	if u.Checkpoint != checkpoint {
		u.Checkpoint = checkpoint
		m.job.progress.Units[m.key] = u
	}
}

// stopUnclaimed stops a run that nobody claims any more.
func (r *activePlanner) stopUnclaimed(w *worker, t *pb.RunningTask) {
	r.Log.Warn().Str("task", t.GetTask()).Int64("run", t.GetRun()).Str("node", w.name).Msg("Stopping a run that nobody claims.")
	w.unclaimedRuns = append(w.unclaimedRuns, &pb.StopTask{Task: t.GetTask(), Run: t.GetRun()})
	w.wakeOrders()
}

// applyEnd takes in an end that has not been taken in yet.
func (r *activePlanner) applyEnd(w *worker, e *pb.EndedTask) {
	if e.GetNumber() <= w.appliedEnds.number {
		return
	}
	w.appliedEnds.number = e.GetNumber()
	m, ok := r.members[e.GetTask()]
	if !ok || m.run != int(e.GetRun()) || m.worker != w || !m.mayRunIn(w.lifetime) {
		return // An earlier planner stored it, or it was known to be over.
	}
	end := host.End(e.GetEnd())
	r.updateHealth(w, m, end)
	r.runEnded(m, end, e.GetCheckpoint(), "listed")
}

// stopAbsent stops what an earlier planner claimed and the worker doesn't show: its
// start was never sent, or is still on its way.
func (r *activePlanner) stopAbsent(w *worker, tasks []*pb.RunningTask) {
	for _, m := range sortedMembers(w.members) {
		if m.lifetime == w.lifetime && m.status == adopted {
			r.Log.Info().Str("task", m.task).Int("run", m.run).Str("node", w.name).Int("running", len(tasks)).
				Msg("A claimed run is not shown; stopping it.")
			r.requestUnitStop(m.job, m.key)
		}
	}
}
