package dispatch

import (
	"slices"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/schedule"
)

// viewIndex maps the indices of a schedule.View to what they stand for.
type viewIndex struct {
	workers []*worker
	running []runningUnit
	waiting []waitingUnit
}

type runningUnit struct {
	job *job
	key clusterstate.UnitKey
}

type waitingUnit struct {
	job *job
	key clusterstate.UnitKey
}

// plan decides which units start and which are preempted, claims a run of each unit that starts, and
// returns the members of these runs.
func (ap *activePlanner) plan() []*member {
	view, idx := ap.buildView(time.Now())
	if len(view.Waiting) == 0 || ap.blind() {
		return nil
	}
	var next schedule.Plan
	timed(planDuration, func() { next = schedule.ComputePlan(view) })
	preemptions.Add(len(next.Preemptions))
	for _, s := range next.Preemptions {
		u := idx.running[s.VictimIndex]
		w := idx.waiting[s.PreemptorIndex]
		state, preemptor := u.job.unitState(u.key), w.job.unitState(w.key)
		cost := view.Running[s.VictimIndex].PreemptionCost()
		state.gaveWay++
		preemptor.preemptionCost += cost
		ap.Log.Info().Str("job", u.job.spec.ID).Int("step", u.key.Step).Int("index", u.key.Index).Str("for", w.job.spec.ID).
			Dur("lost", view.Running[s.VictimIndex].LostRunTime).Int("times", state.gaveWay).Float64("cost", cost).
			Float64("cost_so_far", preemptor.preemptionCost).Msg("A run gives way.")
		ap.stopUnit(u.job, u.key, stopPreempted)
	}
	for _, d := range next.Deferrals {
		w := view.Waiting[d.WaitingIndex]
		if u := idx.waiting[d.WaitingIndex]; u.job.markDeferred(u.key) {
			ap.lines.Logger(&ap.Log, u.job.spec.Team).Info().Str("job", u.job.spec.ID).Int("occurrence", u.key.Occurrence).Int("step", u.key.Step).
				Int("free", d.Free).Int("kept", d.RequiredFree).Dur("estimate", w.Estimate).Dur("left", w.Objective.Sub(view.Now)).
				Msg("A step waits, as free accelerators are kept for urgent work.")
		}
	}
	for _, u := range idx.waiting {
		u.job.unitState(u.key).reservedLifetimes = nil
	}
	for _, k := range next.Reservations {
		u := idx.waiting[k.WaitingIndex]
		state := u.job.unitState(u.key)
		for _, i := range k.Workers {
			state.reservedLifetimes = append(state.reservedLifetimes, idx.workers[i].lifetime)
		}
	}
	var members []*member
	for _, s := range next.Starts {
		members = append(members, ap.claim(idx.waiting[s.WaitingIndex], idx, s.Workers)...)
	}
	return members
}

// claim records the next run of a unit on the given workers.
func (ap *activePlanner) claim(w waitingUnit, idx *viewIndex, workers []int) []*member {
	u := w.job.progress.Units[w.key]
	u.Run++
	u.Members, u.FailedMembers = nil, nil
	for i, at := range workers {
		index := w.key.Index
		if w.key.IsGang() {
			index = i
		}
		u.Members = append(u.Members, clusterstate.Member{
			Index: index, AgentName: idx.workers[at].name, Lifetime: idx.workers[at].lifetime,
		})
	}
	w.job.setUnit(w.key, u)
	state := w.job.unitState(w.key)
	waited := time.Since(state.readySince)
	state.readySince = time.Time{}
	state.startedAt, state.stopReason = clock.Now(), ""
	claims.Inc()
	waitDuration.Update(waited.Seconds())
	members := make([]*member, 0, len(u.Members))
	for _, m := range u.Members {
		members = append(members, ap.addMember(w.job, w.key, m, u.Run, claimed))
	}
	ap.Log.Info().Str("job", w.job.spec.ID).Int("occurrence", w.key.Occurrence).Int("step", w.key.Step).
		Int("index", w.key.Index).Int("run", u.Run).Int("members", len(members)).Int("racks", countRacks(idx, workers)).Str("node", u.Members[0].AgentName).
		Int64("epoch", ap.epoch).Uint64("report", idx.workers[workers[0]].reportNumber).
		Int("priority", ap.currentQueue(w.job).Priority).Float64("pace", ap.slowestPace(idx, workers)).Dur("waited", waited).Msg("Claimed a run.")
	return members
}

// countRacks returns in how many racks workers are.
func countRacks(idx *viewIndex, workers []int) int {
	racks := make(map[string]bool)
	for _, i := range workers {
		racks[idx.workers[i].hardware.Rack] = true
	}
	return len(racks)
}

// buildView returns the planner's state as the schedule package takes it, and what its indices
// stand for.
func (ap *activePlanner) buildView(now time.Time) (*schedule.View, *viewIndex) {
	v := &schedule.View{Now: now, Guaranteed: make(map[string]int), RemoteFactor: ap.RemoteFactor}
	if rules := ap.Rules(); rules != nil {
		for _, t := range rules.Teams {
			v.Guaranteed[t.Name] = t.Guaranteed
		}
	}
	idx := &viewIndex{}
	indices := ap.appendWorkers(v, idx)
	ap.appendRunning(v, idx, indices)
	ap.appendWaiting(v, idx, indices)
	ap.appendUrgentArrivals(v)
	return v, idx
}

// appendUrgentArrivals adds the urgent work that was submitted lately. It is taken from the jobs, so a planner that
// steps up knows it too.
func (ap *activePlanner) appendUrgentArrivals(v *schedule.View) {
	ap.recentJobs = slices.DeleteFunc(ap.recentJobs, func(j *job) bool {
		return v.Now.Sub(j.submitted) > schedule.UrgentMemory || ap.jobs[j.spec.ID] != j
	})
	for _, j := range ap.recentJobs {
		q := ap.currentQueue(j)
		if q.Priority != 0 {
			continue
		}
		a := schedule.UrgentArrival{Service: q.Service, Submitted: j.submitted}
		for i := range j.spec.Steps {
			if s := &j.spec.Steps[i]; s.Count*s.Resources.Accelerators > a.Accelerators {
				a.Accelerators, a.Estimate = s.Count*s.Resources.Accelerators, s.Estimate
			}
		}
		v.UrgentArrivals = append(v.UrgentArrivals, a)
	}
	slices.SortStableFunc(v.UrgentArrivals, func(a, b schedule.UrgentArrival) int { return a.Submitted.Compare(b.Submitted) })
}

func (ap *activePlanner) appendWorkers(v *schedule.View, idx *viewIndex) map[*worker]int {
	now := clock.Now()
	ap.learn(now)
	evacuations, _ := ap.evacuations()
	indices := make(map[*worker]int)
	for _, w := range ap.sortedWorkers() {
		if w.lifetime == "" {
			continue
		}
		indices[w] = len(v.Workers)
		idx.workers = append(idx.workers, w)
		v.Workers = append(v.Workers, schedule.Worker{
			Worker:      w.hardware,
			Schedulable: !w.draining && !w.unreachable && now.Sub(w.receivedAt) < maxReportAge && !evacuations.Evacuated(w.zone),
			Paused:      now < w.pausedUntil,
			Pace:        ap.learner.told[w.machineName()],
			Cold:        max(0, w.coldUntil.Sub(now)),
		})
	}
	return indices
}

func (ap *activePlanner) appendRunning(v *schedule.View, idx *viewIndex, indices map[*worker]int) {
	type unitName struct {
		job *job
		key clusterstate.UnitKey
	}
	at := make(map[unitName]int)
	for _, m := range sortedMembers(ap.members) {
		w, ok := indices[m.worker]
		if !ok || !m.mayRunIn(m.worker.lifetime) {
			continue // It uses no resources of the worker's current lifetime.
		}
		name := unitName{m.job, m.key}
		i, known := at[name]
		if !known {
			i = len(v.Running)
			at[name] = i
			lost, remaining := ap.lostAndRemaining(m)
			v.Running = append(v.Running, schedule.RunningUnit{
				Team: m.job.spec.Team, Priority: ap.currentQueue(m.job).Priority, Submitted: m.job.submitted,
				Step: m.step(), LostRunTime: lost, RemainingRunTime: remaining, JobFinal: m.job.final(),
				GaveWay: m.job.unitState(m.key).gaveWay,
			})
			idx.running = append(idx.running, runningUnit{job: m.job, key: m.key})
		}
		v.Running[i].Workers = append(v.Running[i].Workers, w)
		v.Running[i].Stopping = v.Running[i].Stopping || m.status == stopping
	}
}

func (ap *activePlanner) appendWaiting(v *schedule.View, idx *viewIndex, indices map[*worker]int) {
	byLifetime := make(map[string]int)
	for w, i := range indices {
		byLifetime[w.lifetime] = i
	}
	for _, j := range ap.sortedJobs() {
		q := ap.currentQueue(j)
		objective := time.Duration(q.Stretch*float64(j.spec.CriticalPath())) + q.Target
		var step [2]int // Occurrence and step of the newest spread group.
		first := true
		j.forEachStartable(v.Now, func(k clusterstate.UnitKey) {
			if at := [2]int{k.Occurrence, k.Step}; first || at != step {
				first, step = false, at
				v.SpreadCounts = append(v.SpreadCounts, ap.countStepTasks(j, k, indices))
			}
			state := j.unitState(k)
			if state.readySince.IsZero() {
				state.readySince = v.Now
				if j.adopted && len(j.spec.Steps[k.Step].After) == 0 && j.progress.Units[k].Run == 0 {
					state.readySince = j.due(k.Occurrence) // Before this planner stepped up.
				}
			}
			spec := &j.spec.Steps[k.Step]
			due := j.due(k.Occurrence)
			w := schedule.WaitingUnit{
				Team: j.spec.Team, Service: q.Service, Priority: q.Priority, Step: spec, Members: 1,
				ReadySince: state.readySince, Submitted: j.submitted,
				Objective: due.Add(objective), HardDeadline: due.Add(lateFactor * objective),
				Estimate: spec.Estimate, SpreadGroup: len(v.SpreadCounts) - 1,
				PreemptionCost: state.preemptionCost,
			}
			if k.IsGang() {
				w.Members = spec.Count
			}
			for _, lifetime := range state.avoidLifetimes {
				if i, ok := byLifetime[lifetime]; ok {
					w.AvoidWorkers, w.AvoidUntil = append(w.AvoidWorkers, i), state.avoidUntil
				}
			}
			for _, lifetime := range state.reservedLifetimes {
				if i, ok := byLifetime[lifetime]; ok {
					w.ReservedWorkers = append(w.ReservedWorkers, i)
				}
			}
			v.Waiting = append(v.Waiting, w)
			idx.waiting = append(idx.waiting, waitingUnit{j, k})
		})
	}
}

// lateFactor is how many times its objective a job may take before its result is worthless.
const lateFactor = 3

// countStepTasks counts the running tasks of a step by worker. It returns nil if the step has
// no limit per worker.
func (ap *activePlanner) countStepTasks(j *job, key clusterstate.UnitKey, indices map[*worker]int) map[int]int {
	step := &j.spec.Steps[key.Step]
	if step.MaxPerWorker == 0 {
		return nil
	}
	out := make(map[int]int)
	forEachUnit(step, key.Occurrence, key.Step, func(k clusterstate.UnitKey) bool {
		for _, m := range j.progress.Units[k].Members {
			if live := ap.member(j, k, m.Index); live != nil {
				if w, ok := indices[live.worker]; ok {
					out[w]++
				}
			}
		}
		return true
	})
	return out
}
