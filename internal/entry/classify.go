package entry

import (
	"context"
	"time"

	"sniperill.example/sniperill/internal/estimate"
	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/quarantine"
	"sniperill.example/sniperill/internal/queue"
	"sniperill.example/sniperill/internal/roster"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// jobPhase is the phase of a live job. It decides what the planner does about the job.
type jobPhase int

const (
	phaseWaiting     jobPhase = iota // It waits for a start.
	phaseActive                      // An attempt starts or runs.
	phaseUncertain                   // An attempt may run somewhere; check again later.
	phaseDone                        // Its gang is done.
	phaseFailed                      // Its gang failed.
	phaseInterrupted                 // Its gang was stopped, preempted or lost; it may run again.
	phaseCancelled                   // Its caller cancelled it.
)

// classifyJob returns the phase of a live job, given what the log, the agents and this
// planner know of it. An attempt that has been missing for longer than expireAfter has
// expired.
func classifyJob(l platform.LiveJob, r run, reported bool, j *progress, now time.Time, expireAfter time.Duration) jobPhase {
	highest := max(l.Attempt, j.attempt)
	current := reported && r.attempt >= highest
	switch {
	case j.starting != nil && !j.started:
		return phaseActive
	case current && l.Cancelled:
		return phaseCancelled
	case current && r.doneWithoutLead() && !j.attemptExpired(now, expireAfter):
		return phaseUncertain
	case current && r.doneWithoutLead():
		return phaseInterrupted
	case current:
		return classifyRun(r)
	case highest > j.endedAttempt && !j.attemptExpired(now, expireAfter):
		return phaseUncertain
	case l.Cancelled:
		return phaseCancelled
	case highest > j.endedAttempt:
		return phaseInterrupted
	default:
		return phaseWaiting
	}
}

// attemptExpired reports whether the highest attempt has been missing for so long that
// none of its tasks run any more. The first call sets missingSince.
func (j *progress) attemptExpired(now time.Time, expireAfter time.Duration) bool {
	if j.missingSince.IsZero() {
		j.missingSince = now
	}
	return now.Sub(j.missingSince) > expireAfter
}

// classifyRun returns the phase of a job from what agents report of its highest attempt.
func classifyRun(r run) jobPhase {
	for _, m := range r.members {
		if s := gang.TaskState(m.State); s == gang.Failed {
			return phaseFailed
		}
	}
	switch s := r.state(); s {
	case gang.Done:
		return phaseDone
	case gang.Stopped, gang.Preempted:
		for _, m := range r.members {
			if occupies(m) {
				return phaseUncertain
			}
		}
		return phaseInterrupted
	default:
		return phaseActive
	}
}

// buildView handles every live job by its phase, and returns what the next plan depends on.
func (p *planner) buildView(ctx context.Context, config *shop.Config, inv *inventory, now time.Time) queue.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := queue.View{Now: now, Config: config, Fleet: inv.fleet, Reservations: p.reservations}
	live := make(map[string]bool)
	for _, l := range p.streams.jobs.Live() {
		if l.Region != p.Place.Region {
			continue
		}
		live[l.ID] = true
		p.addJobToView(ctx, &v, l, config)
	}
	for _, r := range p.runs.all() {
		if r.Region == p.Place.Region {
			p.stopReplaced(ctx, r)
		}
		if !live[r.ID] && r.Region == p.Place.Region {
			p.addOrphan(ctx, &v, r)
		}
	}
	p.pruneProgress(live)
	return v
}

func (p *planner) addJobToView(ctx context.Context, v *queue.View, l platform.LiveJob, config *shop.Config) {
	j := p.progressOf(l.ID)
	if j.stepRunning {
		return
	}
	j.noteRecordedAttempt(l.Attempt)
	class, _ := config.Classes.Find(l.Class)
	r, reported := p.runs.find(l.ID)
	if reported && j.starting != nil && r.attempt >= j.starting.Attempt && j.started {
		j.starting, j.started = nil, false
	}
	if reported && r.attempt >= max(l.Attempt, j.attempt) && !r.doneWithoutLead() {
		j.missingSince = time.Time{}
	}
	switch classifyJob(l, r, reported, j, v.Now, p.Times.ExpireAfter()) {
	case phaseWaiting:
		p.enqueue(v, l.Job, j, max(l.Attempt, j.attempt))
	case phaseActive, phaseUncertain:
		p.addRunning(v, l.Job, r, reported, j)
	case phaseDone:
		p.observe(r, v.Now)
		p.finish(ctx, l.Job, r, j, shop.Done, "")
	case phaseFailed:
		p.handleFailed(ctx, v, l, r, j, class)
	case phaseInterrupted:
		p.handleInterrupted(ctx, v, l, r, reported, j, class)
	case phaseCancelled:
		p.finish(ctx, l.Job, r, j, shop.Cancelled, "cancelled by its caller")
	}
}

// addOrphan counts the resources that a run uses whose job the log does not list as
// live. It stops the run if the job has ended, and records the job if it was started
// while the log was unavailable.
func (p *planner) addOrphan(ctx context.Context, v *queue.View, r run) {
	j := p.progressOf(r.ID)
	if s := r.state(); !s.Final() {
		p.addRunning(v, r.Job, r, true, j)
	}
	if j.stepRunning || p.streams.unavailable() || v.Now.Sub(r.started()) < p.Times.ExpireAfter() {
		return
	}
	if _, ended := p.endedJobs.find(r.ID); ended {
		p.stopOrphan(ctx, r, j)
		return
	}
	p.recordOrphan(ctx, r, j)
}

func (p *planner) progressOf(id string) *progress {
	j, ok := p.jobs[id]
	if !ok {
		j = &progress{}
		p.jobs[id] = j
	}
	return j
}

// pruneProgress drops the progress of jobs that are neither live nor reported by agents and
// have no start or end step in progress.
func (p *planner) pruneProgress(live map[string]bool) {
	for id, j := range p.jobs {
		if live[id] || j.starting != nil || j.stepRunning {
			continue
		}
		if _, ok := p.runs.find(id); !ok {
			delete(p.jobs, id)
		}
	}
}

func (p *planner) enqueue(v *queue.View, job shop.Job, j *progress, attempt int) {
	if v.Now.Before(j.notBefore) {
		return
	}
	since := job.Submitted
	if !j.preemptedAt.IsZero() {
		since = j.preemptedAt
	}
	v.Queued = append(v.Queued, queue.Job{
		Job:         job,
		Estimate:    p.estimates.RunTime(job.Team, job.Class, job.RunTime, runTimeQuantile),
		Attempt:     attempt + 1,
		Preemptions: j.preemptions,
		QueuedSince: since,
	})
}

func (p *planner) addRunning(v *queue.View, job shop.Job, r run, reported bool, j *progress) {
	if j.starting != nil && (!reported || r.attempt < j.starting.Attempt) {
		v.Running = append(v.Running, *j.starting)
		return
	}
	if !reported {
		return
	}
	started := r.started()
	if started.IsZero() {
		started = v.Now
	}
	remaining := p.estimates.Remaining(job.Team, job.Class, job.RunTime, v.Now.Sub(started), runTimeQuantile)
	v.Running = append(v.Running, queue.Running{
		Job: job, Attempt: r.attempt, Parts: r.parts(), Started: started, ExpectedEnd: v.Now.Add(remaining),
		Preemptions: j.preemptions, Stopping: j.preemptingAttempt == r.attempt,
	})
}

// ensureStopped makes sure that no task of the highest attempt runs when the next one
// starts, and reports whether that is certain. If not, it begins to end the attempt at its
// agents.
func (p *planner) ensureStopped(ctx context.Context, l platform.LiveJob, r run, reported bool, j *progress) bool {
	a, members := r.attemptProto(), r.gangMembers
	if highest := max(l.Attempt, j.attempt); !reported || r.attempt < highest {
		a = &sniperillv1.Attempt{Job: l.ID, Number: uint32(highest)}
		members = func() []*sniperillv1.Member { return p.claimedAgents(l) }
	}
	agents := members()
	if j.stoppedAttempt >= int(a.Number) || len(agents) == 0 {
		return true
	}
	p.runJobStep(ctx, l.ID, j, "Ending an interrupted or failed attempt", func(ctx context.Context) error {
		s, err := p.starter().EndAttempt(ctx, a, agents)
		if err != nil {
			return err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		j.stoppedAttempt = max(j.stoppedAttempt, int(a.Number))
		j.notBefore = p.Now().Add(s.Wait)
		if s.Outcome == gang.NotRun {
			j.noteNeverRan(int(a.Number))
		}
		return nil
	})
	return false
}

// noteRecordedAttempt records the highest attempt in the log. If another planner has claimed it, this
// planner's own tries of that number and later ones never held a claim, and say nothing about whether the
// attempt runs.
func (j *progress) noteRecordedAttempt(n int) {
	if n <= j.recordedAttempt || j.starting != nil {
		return
	}
	j.recordedAttempt = n
	j.attempt = min(j.attempt, n)
	j.endedAttempt = min(j.endedAttempt, n-1)
	j.stoppedAttempt = min(j.stoppedAttempt, n-1)
	j.neverRanAttempt = min(j.neverRanAttempt, n-1)
	j.missingSince = time.Time{}
}

// noteNeverRan records that an attempt never ran. This says that the job never ran only
// if the same is known of all earlier attempts.
func (j *progress) noteNeverRan(attempt int) {
	if j.neverRanAttempt == attempt-1 {
		j.neverRanAttempt = attempt
	}
}

// claimedAgents returns the agents for which the highest attempt was claimed, without
// the dead ones: their tasks have stopped because their leases have expired.
func (p *planner) claimedAgents(l platform.LiveJob) []*sniperillv1.Member {
	var out []*sniperillv1.Member
	agents := p.roster.View().Agents
	for _, name := range l.Workers {
		m, ok := agents.Find(name)
		if !ok || m.Health == roster.Dead {
			continue
		}
		out = append(out, &sniperillv1.Member{
			Agent: name, Address: m.State.Address, Incarnation: m.State.Incarnation,
		})
	}
	return out
}

// handleFailed queues a job again whose gang failed, or ends it if it runs at most once
// or its failures rule out another attempt.
func (p *planner) handleFailed(ctx context.Context, v *queue.View, l platform.LiveJob, r run, j *progress, class shop.Class) {
	if j.countedAttempt < r.attempt {
		j.countedAttempt = r.attempt
		p.countFailure(l.Job, r, v.Now)
	}
	if !class.Idempotent {
		p.finish(ctx, l.Job, r, j, shop.Failed, "failed, and runs at most once: "+r.reason())
		return
	}
	if !p.ensureStopped(ctx, l, r, true, j) {
		return
	}
	if err := p.quarantine.CheckJob(v.Now, l.ID); err != nil {
		p.finish(ctx, l.Job, r, j, shop.Failed, err.Error())
		return
	}
	p.enqueue(v, l.Job, j, max(l.Attempt, j.attempt))
}

// handleInterrupted queues a job again whose gang was stopped, preempted or lost. A job
// that runs at most once and may have run ends as failed.
func (p *planner) handleInterrupted(ctx context.Context, v *queue.View, l platform.LiveJob, r run, reported bool, j *progress, class shop.Class) {
	if !p.ensureStopped(ctx, l, r, reported, j) {
		return
	}
	if !class.Idempotent && j.neverRanAttempt != max(l.Attempt, j.attempt) {
		p.finish(ctx, l.Job, r, j, shop.Failed, "stopped, and runs at most once: it may have run")
		return
	}
	if reported {
		if c := r.checkpoint(); c != nil {
			j.checkpoint = c
		}
		if gang.TaskState(r.state()) == gang.Preempted && j.countedAttempt < r.attempt {
			j.countedAttempt = r.attempt
			j.preemptions++
			j.preemptedAt = v.Now
		}
	}
	j.starting, j.started, j.missingSince = nil, false, time.Time{}
	j.endedAttempt = max(j.endedAttempt, l.Attempt, j.attempt)
	p.enqueue(v, l.Job, j, max(l.Attempt, j.attempt))
}

// observe adds a successful run to the run time estimates and the quarantine statistics.
// A run that resumed from a checkpoint says nothing about the run time of the whole job.
func (p *planner) observe(r run, now time.Time) {
	if started := r.started(); !started.IsZero() && len(r.checkpoint()) == 0 {
		p.estimates = p.estimates.With(estimate.RunTimeObservation(r.Team, r.Class, r.RunTime, now.Sub(started)))
	}
	var results []quarantine.Result
	for _, m := range r.members {
		results = append(results, quarantine.Result{Worker: m.agent.Name, Job: r.ID, Class: r.Class, Started: true})
	}
	p.quarantine = p.quarantine.Observe(now, results...)
}

// countFailure adds a failed run to the quarantine statistics of the workers that failed.
func (p *planner) countFailure(job shop.Job, r run, now time.Time) {
	for _, m := range r.members {
		if gang.TaskState(m.State) == gang.Failed {
			p.quarantine = p.quarantine.Observe(now, quarantine.Result{Worker: m.agent.Name, Job: job.ID, Class: job.Class})
		}
	}
}
