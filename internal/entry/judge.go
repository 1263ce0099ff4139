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

// verdict is what is to be done about a live job.
type verdict int

const (
	waits    verdict = iota // Queue it.
	runsOn                  // It starts or runs; leave it.
	unclear                 // An attempt may run somewhere; look again later.
	finished                // Its gang is done.
	broke                   // Its gang failed.
	gaveWay                 // Its gang was stopped or lost; it may run again.
	withdrew                // Its caller cancelled it.
)

// judge decides about a live job from what the log, the agents and this planner
// know of it.
func judge(l platform.LiveJob, r run, reported bool, j *progress, now time.Time, over time.Duration) verdict {
	highest := max(l.Attempt, j.attempt)
	known := reported && r.attempt >= highest
	switch {
	case j.starting != nil && !j.begun:
		return runsOn
	case known && l.Cancelled:
		return withdrew
	case known && r.headless() && !j.missed(now, over):
		return unclear
	case known && r.headless():
		return gaveWay
	case known:
		return judgeRun(r)
	case highest > j.over && !j.missed(now, over):
		return unclear
	case l.Cancelled:
		return withdrew
	case highest > j.over:
		return gaveWay
	default:
		return waits
	}
}

// missed says whether the highest attempt has been missed for so long that
// nothing of it runs any more.
func (j *progress) missed(now time.Time, over time.Duration) bool {
	if j.lost.IsZero() {
		j.lost = now
	}
	return now.Sub(j.lost) > over
}

// judgeRun decides from what agents report of the highest attempt.
func judgeRun(r run) verdict {
	for _, m := range r.members {
		if s := gang.TaskState(m.State); s == gang.Failed {
			return broke
		}
	}
	switch s := r.state(); s {
	case gang.Done:
		return finished
	case gang.Stopped, gang.Preempted:
		for _, m := range r.members {
			if occupies(m) {
				return unclear
			}
		}
		return gaveWay
	default:
		return runsOn
	}
}

// view judges every live job and gathers what the plan depends on.
func (p *planner) view(ctx context.Context, config *shop.Config, inv *inventory, now time.Time) queue.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := queue.View{Now: now, Config: config, Fleet: inv.fleet, Reservations: p.reservations}
	live := make(map[string]bool)
	for _, l := range p.streams.jobs.Live() {
		if l.Region != p.Place.Region {
			continue
		}
		live[l.ID] = true
		p.viewJob(ctx, &v, l, config)
	}
	for _, r := range p.runs.all() {
		if r.Region == p.Place.Region {
			p.stopOthers(ctx, r)
		}
		if !live[r.ID] && r.Region == p.Place.Region {
			p.viewStray(ctx, &v, r)
		}
	}
	p.forget(live)
	return v
}

func (p *planner) viewJob(ctx context.Context, v *queue.View, l platform.LiveJob, config *shop.Config) {
	j := p.progressOf(l.ID)
	if j.ending {
		return
	}
	class, _ := config.Classes.Find(l.Class)
	r, reported := p.runs.find(l.ID)
	if reported && j.starting != nil && r.attempt >= j.starting.Attempt && j.begun {
		j.starting, j.begun = nil, false
	}
	if reported && r.attempt >= max(l.Attempt, j.attempt) && !r.headless() {
		j.lost = time.Time{}
	}
	switch judge(l, r, reported, j, v.Now, p.Times.ExpireAfter()) {
	case waits:
		p.enqueue(v, l.Job, j, max(l.Attempt, j.attempt))
	case runsOn, unclear:
		p.addRunning(v, l.Job, r, reported, j)
	case finished:
		p.observe(r, v.Now)
		p.finish(ctx, l.Job, r, j, shop.Done, "")
	case broke:
		p.broken(ctx, v, l, r, j, class)
	case gaveWay:
		p.again(ctx, v, l, r, reported, j, class)
	case withdrew:
		p.finish(ctx, l.Job, r, j, shop.Cancelled, "cancelled by its caller")
	}
}

// viewStray counts the room of a job that the log does not list as live, and
// enters one that was started while the log was away.
func (p *planner) viewStray(ctx context.Context, v *queue.View, r run) {
	j := p.progressOf(r.ID)
	if s := r.state(); !s.Final() {
		p.addRunning(v, r.Job, r, true, j)
	}
	if j.ending || p.streams.away() || v.Now.Sub(r.started()) < p.Times.ExpireAfter() {
		return
	}
	if _, ended := p.book.find(r.ID); ended {
		p.stopStray(ctx, r, j)
		return
	}
	p.adopt(ctx, r, j)
}

func (p *planner) progressOf(id string) *progress {
	j, ok := p.jobs[id]
	if !ok {
		j = &progress{}
		p.jobs[id] = j
	}
	return j
}

// forget drops what is remembered of jobs that are gone.
func (p *planner) forget(live map[string]bool) {
	for id, j := range p.jobs {
		if live[id] || j.starting != nil || j.ending {
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
	if !j.gaveWay.IsZero() {
		since = j.gaveWay
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
	left := p.estimates.Remaining(job.Team, job.Class, job.RunTime, v.Now.Sub(started), runTimeQuantile)
	v.Running = append(v.Running, queue.Running{
		Job: job, Attempt: r.attempt, Parts: r.parts(), Started: started, ExpectedEnd: v.Now.Add(left),
		Preemptions: j.preemptions, Stopping: j.stopping == r.attempt,
	})
}

// settleFirst makes sure that nothing of a reported attempt runs before the next
// one, and says whether that is known.
func (p *planner) settleFirst(ctx context.Context, l platform.LiveJob, r run, reported bool, j *progress) bool {
	a, members := r.attemptProto(), r.gang
	if highest := max(l.Attempt, j.attempt); !reported || r.attempt < highest {
		a = &sniperillv1.Attempt{Job: l.ID, Number: uint32(highest)}
		members = func() []*sniperillv1.Member { return p.claimedBy(l) }
	}
	asked := members()
	if j.settled >= int(a.Number) || len(asked) == 0 {
		return true
	}
	p.inBackground(ctx, l.ID, j, "Settling an attempt", func(ctx context.Context) error {
		s, err := p.starter().EndAttempt(ctx, a, asked)
		if err != nil {
			return err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		j.settled = max(j.settled, int(a.Number))
		j.notBefore = p.Now().Add(s.Wait)
		if s.Outcome == gang.NotRun {
			j.noteNeverRan(int(a.Number))
		}
		return nil
	})
	return false
}

// noteNeverRan notes that an attempt never ran. It tells something of the job
// only when the same is known of all attempts before.
func (j *progress) noteNeverRan(attempt int) {
	if j.neverRan == attempt-1 {
		j.neverRan = attempt
	}
}

// claimedBy returns the agents that the highest attempt was claimed for, less
// those that are dead: their gangs have stopped by their lease.
func (p *planner) claimedBy(l platform.LiveJob) []*sniperillv1.Member {
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

// broken decides about a job whose gang failed.
func (p *planner) broken(ctx context.Context, v *queue.View, l platform.LiveJob, r run, j *progress, class shop.Class) {
	if j.counted < r.attempt {
		j.counted = r.attempt
		p.countFailure(l.Job, r, v.Now)
	}
	if !class.Idempotent {
		p.finish(ctx, l.Job, r, j, shop.Failed, "failed, and runs at most once: "+r.reason())
		return
	}
	if !p.settleFirst(ctx, l, r, true, j) {
		return
	}
	if err := p.quarantine.CheckJob(v.Now, l.ID); err != nil {
		p.finish(ctx, l.Job, r, j, shop.Failed, err.Error())
		return
	}
	p.enqueue(v, l.Job, j, max(l.Attempt, j.attempt))
}

// again queues a job whose gang gave way or was lost, unless it runs at most once.
func (p *planner) again(ctx context.Context, v *queue.View, l platform.LiveJob, r run, reported bool, j *progress, class shop.Class) {
	if !p.settleFirst(ctx, l, r, reported, j) {
		return
	}
	if !class.Idempotent && j.neverRan != max(l.Attempt, j.attempt) {
		p.finish(ctx, l.Job, r, j, shop.Failed, "stopped, and runs at most once: it may have run")
		return
	}
	if reported {
		if c := r.checkpoint(); c != nil {
			j.checkpoint = c
		}
		if gang.TaskState(r.state()) == gang.Preempted && j.counted < r.attempt {
			j.counted = r.attempt
			j.preemptions++
			j.gaveWay = v.Now
		}
	}
	j.starting, j.begun, j.lost = nil, false, time.Time{}
	j.over = max(j.over, l.Attempt, j.attempt)
	p.enqueue(v, l.Job, j, max(l.Attempt, j.attempt))
}

// observe learns from a run that is done.
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

// countFailure learns from a run that failed.
func (p *planner) countFailure(job shop.Job, r run, now time.Time) {
	for _, m := range r.members {
		if gang.TaskState(m.State) == gang.Failed {
			p.quarantine = p.quarantine.Observe(now, quarantine.Result{Worker: m.agent.Name, Job: job.ID, Class: job.Class})
		}
	}
}
