package dispatch

import (
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/schedule"
)

// viewIndex is what a view's indices stand for.
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

// plan decides what starts and what gives way, and claims the starts.
func (r *activePlanner) plan() []*member {
	view, p := r.view(time.Now())
	if len(view.Waiting) == 0 {
		return nil
	}
	var next schedule.Plan
	timed(planDuration, func() { next = schedule.ComputePlan(view) })
	evictions.Add(len(next.Preemptions))
	for _, s := range next.Preemptions {
		u := p.running[s.VictimIndex]
		w := p.waiting[s.PreemptorIndex]
		r.Log.Info().Str("job", u.job.spec.ID).Int("step", u.key.Step).Str("for", w.job.spec.ID).
			Dur("lost", view.Running[s.VictimIndex].LostRunTime).Msg("A run gives way.")
		r.requestUnitStop(u.job, u.key)
	}
	for _, d := range next.Deferrals {
		w := view.Waiting[d.WaitingIndex]
		if u := p.waiting[d.WaitingIndex]; u.job.markDeferred(u.key) {
			r.Log.Info().Str("job", u.job.spec.ID).Int("occurrence", u.key.Occurrence).Int("step", u.key.Step).
				Int("free", d.Free).Int("kept", d.RequiredFree).Dur("estimate", w.Estimate).Dur("left", w.Objective.Sub(view.Now)).
				Msg("A step waits, as free accelerators are kept for urgent work.")
		}
	}
	for _, u := range p.waiting {
		u.job.unitState(u.key).reservedLifetimes = nil
	}
	for _, k := range next.Reservations {
		u := p.waiting[k.WaitingIndex]
		live := u.job.unitState(u.key)
		for _, at := range k.Workers {
			live.reservedLifetimes = append(live.reservedLifetimes, p.workers[at].lifetime)
		}
	}
	var claimed []*member
	for _, s := range next.Starts {
		claimed = append(claimed, r.claim(p.waiting[s.WaitingIndex], p, s.Workers)...)
	}
	return claimed
}

// claim places a unit's next run.
func (r *activePlanner) claim(w waitingUnit, p *viewIndex, workers []int) []*member {
	u := w.job.progress.Units[w.key]
	u.Run++
	u.Members = nil
	for i, at := range workers {
		index := w.key.Index
		if w.key.IsGang() {
			index = i
		}
		u.Members = append(u.Members, clusterstate.Member{
			Index: index, Node: p.workers[at].name, Lifetime: p.workers[at].lifetime,
		})
	}
	w.job.setUnit(w.key, u)
	live := w.job.unitState(w.key)
	waited := time.Since(live.readySince)
	live.readySince = time.Time{}
	live.startedAt = clock.Now()
	claims.Inc()
	waitDuration.Update(waited.Seconds())
	members := make([]*member, 0, len(u.Members))
	for _, m := range u.Members {
		members = append(members, r.addMember(w.job, w.key, m, u.Run, claimed))
	}
	r.Log.Info().Str("job", w.job.spec.ID).Int("occurrence", w.key.Occurrence).Int("step", w.key.Step).
		Int("index", w.key.Index).Int("run", u.Run).Int("members", len(members)).Str("node", u.Members[0].Node).
		Dur("waited", waited).Msg("Claimed a run.")
	return members
}

// view shows the planner's state to the schedule.
func (r *activePlanner) view(now time.Time) (*schedule.View, *viewIndex) {
	v := &schedule.View{Now: now, Guaranteed: make(map[string]int)}
	if rules := r.Rules(); rules != nil {
		for _, t := range rules.Teams {
			v.Guaranteed[t.Name] = t.Guaranteed
		}
	}
	p := &viewIndex{}
	indices := r.viewWorkers(v, p)
	r.viewRunning(v, p, indices)
	r.viewWaiting(v, p, indices)
	return v, p
}

func (r *activePlanner) viewWorkers(v *schedule.View, p *viewIndex) map[*worker]int {
	now := clock.Now()
	indices := make(map[*worker]int)
	for _, w := range r.sortedWorkers() {
		if w.lifetime == "" {
			continue
		}
		indices[w] = len(v.Workers)
		p.workers = append(p.workers, w)
		v.Workers = append(v.Workers, schedule.Worker{
			Worker:      w.hardware,
			Schedulable: !w.draining && !w.unreachable && now >= w.pausedUntil && now.Sub(w.receivedAt) < maxReportAge,
		})
	}
	return indices
}

func (r *activePlanner) viewRunning(v *schedule.View, p *viewIndex, indices map[*worker]int) {
	type unitName struct {
		job *job
		key clusterstate.UnitKey
	}
	at := make(map[unitName]int)
	for _, m := range sortedMembers(r.members) {
		w, ok := indices[m.worker]
		if !ok || !m.mayRunIn(m.worker.lifetime) {
			continue // It holds no room of a lifetime that is known.
		}
		name := unitName{m.job, m.key}
		i, known := at[name]
		if !known {
			i = len(v.Running)
			at[name] = i
			lost, left := r.lostAndLeft(m)
			v.Running = append(v.Running, schedule.RunningUnit{
				Team: m.job.spec.Team, Priority: r.currentQueue(m.job).Priority, Submitted: m.job.spec.Submitted,
				Step: m.step(), LostRunTime: lost, RemainingRunTime: left, JobFinal: m.job.final(),
			})
			p.running = append(p.running, runningUnit{job: m.job, key: m.key})
		}
		v.Running[i].Workers = append(v.Running[i].Workers, w)
		v.Running[i].Stopping = v.Running[i].Stopping || m.status == stopping
	}
}

// lostAndLeft estimates what a stop throws away and how long the task still runs.
func (r *activePlanner) lostAndLeft(m *member) (lost, left time.Duration) {
	estimate := m.step().Estimate
	ran := clock.Since(m.job.unitState(m.key).startedAt)
	if m.job.unitState(m.key).startedAt == 0 {
		ran = estimate * time.Duration(m.percent) / 100
	}
	lost = ran
	if m.step().Checkpoints {
		lost = min(lost, r.CheckpointInterval)
	}
	left = max(0, estimate-ran)
	if m.percent > 0 {
		left = ran * time.Duration(100-m.percent) / time.Duration(m.percent)
	}
	return lost, left
}

func (r *activePlanner) viewWaiting(v *schedule.View, p *viewIndex, indices map[*worker]int) {
	byLifetime := make(map[string]int)
	for w, i := range indices {
		byLifetime[w.lifetime] = i
	}
	for _, j := range r.sortedJobs() {
		q := r.currentQueue(j)
		span := time.Duration(q.Stretch*float64(j.spec.Chain())) + q.Target
		var step [2]int // Occurrence and step of the newest group.
		first := true
		j.forEachStartable(v.Now, func(k clusterstate.UnitKey) {
			if at := [2]int{k.Occurrence, k.Step}; first || at != step {
				first, step = false, at
				v.SpreadCounts = append(v.SpreadCounts, r.countStepTasks(j, k, indices))
			}
			live := j.unitState(k)
			if live.readySince.IsZero() {
				live.readySince = v.Now
			}
			spec := &j.spec.Steps[k.Step]
			due := j.spec.Due(k.Occurrence)
			w := schedule.WaitingUnit{
				Team: j.spec.Team, Service: q.Service, Priority: q.Priority, Step: spec, Members: 1,
				ReadySince: live.readySince, Submitted: j.spec.Submitted,
				Objective: due.Add(span), HardDeadline: due.Add(lateFactor * span),
				Estimate: spec.Estimate, SpreadGroup: len(v.SpreadCounts) - 1, AvoidWorker: -1,
			}
			if k.IsGang() {
				w.Members = spec.Count
			}
			if i, ok := byLifetime[live.avoidLifetime]; ok {
				w.AvoidWorker = i
			}
			for _, lifetime := range live.reservedLifetimes {
				if i, ok := byLifetime[lifetime]; ok {
					w.ReservedWorkers = append(w.ReservedWorkers, i)
				}
			}
			v.Waiting = append(v.Waiting, w)
			p.waiting = append(p.waiting, waitingUnit{j, k})
		})
	}
}

// lateFactor is how many times its objective a job may take and still be worth something.
const lateFactor = 3

// countStepTasks counts the other tasks of a step by the worker that they run on.
func (r *activePlanner) countStepTasks(j *job, key clusterstate.UnitKey, indices map[*worker]int) map[int]int {
	step := &j.spec.Steps[key.Step]
	if step.MaxPerWorker == 0 {
		return nil
	}
	out := make(map[int]int)
	forEachUnit(step, key.Occurrence, key.Step, func(k clusterstate.UnitKey) bool {
		for _, m := range j.progress.Units[k].Members {
			if live := r.member(j, k, m.Index); live != nil {
				if w, ok := indices[live.worker]; ok {
					out[w]++
				}
			}
		}
		return true
	})
	return out
}
