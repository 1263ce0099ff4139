package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/queue"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Limits of the execution of a plan.
const (
	startTimeout = 15 * time.Second
	endTimeout   = 10 * time.Second
	// minStepDelay is the minimum delay after a step of recording or ending a job.
	minStepDelay = 500 * time.Millisecond
	// maxStepDelay bounds that delay, which doubles with every failed step.
	maxStepDelay = 10 * time.Second
	// minStartRetryDelay is the minimum delay before a refused start is tried again, which
	// prevents a busy loop. It doubles with each refusal in a row, at most maxRefusals times.
	minStartRetryDelay = 50 * time.Millisecond
	maxRefusals        = 4
)

// Ranks of plans: a hold of a lower rank yields to one of another planner with a higher
// rank.
const (
	rankNormal uint64 = iota + 1
	rankLarge
	rankUrgent
)

// execute begins the starts, preemptions, moves and refusals of a plan.
func (p *planner) execute(ctx context.Context, v queue.View, plan queue.Plan, inv *inventory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reservations = plan.Reservations
	for _, s := range plan.Starts {
		job, ok := queuedJob(v, s.Job)
		if !ok {
			continue
		}
		p.startInBackground(ctx, s, job, v)
	}
	for _, s := range plan.Preempts {
		p.preempt(ctx, s.Attempt, s.For)
	}
	for _, s := range plan.Moves {
		p.preempt(ctx, s.Attempt, s.For)
	}
	if !inv.stable {
		return
	}
	for _, r := range plan.Refusals {
		job, ok := queuedJob(v, r.Job)
		if !ok {
			continue
		}
		p.finish(ctx, job.Job, run{Job: job.Job}, p.progressOf(r.Job), shop.NotRun, r.Err.Error())
	}
}

func queuedJob(v queue.View, id string) (queue.Job, bool) {
	for _, j := range v.Queued {
		if j.ID == id {
			return j, true
		}
	}
	return queue.Job{}, false
}

// startInBackground begins the start of an attempt. The caller holds p.mu.
func (p *planner) startInBackground(ctx context.Context, s queue.Start, job queue.Job, v queue.View) {
	j := p.progressOf(job.ID)
	j.attempt = s.Attempt.Number
	j.missingSince = time.Time{}
	j.started = false
	j.starting = &queue.Running{
		Job: job.Job, Attempt: s.Attempt.Number, Parts: s.Parts, Started: v.Now,
		ExpectedEnd: v.Now.Add(job.Estimate), Preemptions: job.Preemptions,
	}
	for _, part := range s.Parts {
		p.quarantine = p.quarantine.WithProbe(v.Now, part.Worker)
	}
	plan := p.gangPlan(s, job.Job, v.Config, j.checkpoint)
	class, _ := v.Config.Classes.Find(job.Class)
	known := j.recordedAttempt
	go func() {
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		result, err := p.claimAndStart(ctx, job.Job, plan, class, known)
		p.recordStartResult(job.ID, s.Attempt.Number, result, err)
	}()
}

// claimAndStart claims the attempt in the log, then starts the gang. While the log is
// unavailable, only jobs that may run again are started, because two planners might start
// the same attempt. The plan knows of the attempts in the log up to known.
func (p *planner) claimAndStart(
	ctx context.Context, job shop.Job, plan gang.Plan, class shop.Class, known int,
) (gang.Result, error) {
	if p.streams.unavailable() {
		if !class.Idempotent {
			return gang.Result{Outcome: gang.NotRun}, fmt.Errorf("planner.claimAndStart: the platform's log is unavailable: %w", shop.ErrUnavailable)
		}
		result, err := p.starter().Start(ctx, plan)
		if result.Outcome != gang.NotRun {
			p.addUnrecorded(job, int(plan.Attempt.Number))
		}
		return result, err
	}
	a := shop.Attempt{Job: plan.Attempt.Job, Number: int(plan.Attempt.Number)}
	if err := p.streams.jobs.ClaimAttempt(ctx, a, known, p.Name, workersOf(plan.Parts)...); err != nil {
		return gang.Result{Outcome: gang.NotRun}, fmt.Errorf("planner.claimAndStart: %w", err)
	}
	p.noteClaimed(a)
	return p.starter().Start(ctx, plan)
}

// noteClaimed records that this planner has claimed an attempt in the log.
func (p *planner) noteClaimed(a shop.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.progressOf(a.Job)
	j.recordedAttempt = max(j.recordedAttempt, a.Number)
}

func workersOf(parts gang.PartList) []string {
	var out []string
	for _, m := range parts.Members() {
		out = append(out, m.Agent)
	}
	return out
}

// recordStartResult updates the job's progress with the result of a start.
func (p *planner) recordStartResult(id string, attempt int, result gang.Result, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.progressOf(id)
	if j.starting == nil || j.starting.Attempt != attempt {
		return
	}
	now := p.Now()
	switch {
	case result.Outcome == gang.Started:
		j.started = true
		j.refusals = 0
		j.missingSince = now
	case errors.Is(err, platform.ErrAttemptClaimed), errors.Is(err, platform.ErrOutcomeUnknown):
		// Another planner runs this attempt or may run it.
		j.starting = nil
		j.missingSince = now
	case result.Outcome == gang.NotRun, result.Outcome == gang.Ended:
		if result.Outcome == gang.NotRun {
			j.noteNeverRan(attempt)
		}
		j.starting = nil
		j.endedAttempt = attempt
		j.notBefore = now.Add(max(j.nextRetryDelay(), result.RetryAfter))
	default:
		j.starting = nil
		j.missingSince = now
	}
	if err != nil {
		p.Logger.Info().Err(err).Str("job", id).Int("attempt", attempt).Msg("Starting an attempt failed.")
	}
	p.wake()
}

// nextRetryDelay returns how long to wait after a refused start, and counts the refusal.
func (j *progress) nextRetryDelay() time.Duration {
	delay := minStartRetryDelay << j.refusals
	j.refusals = min(j.refusals+1, maxRefusals)
	return delay
}

func (p *planner) gangPlan(s queue.Start, job shop.Job, config *shop.Config, checkpoint []byte) gang.Plan {
	class, _ := config.Classes.Find(job.Class)
	plan := gang.Plan{
		Attempt:     &sniperillv1.Attempt{Job: job.ID, Number: uint32(s.Attempt.Number)},
		Job:         jobToProto(job),
		Rank:        rankOf(job, class),
		Preemptible: class.Preemptible,
		Checkpoint:  checkpoint,
		Planner:     p.Name,
	}
	var evict []*sniperillv1.Attempt
	for _, a := range s.Evict {
		evict = append(evict, &sniperillv1.Attempt{Job: a.Job, Number: uint32(a.Number)})
	}
	for _, part := range s.Parts {
		m, ok := p.roster.View().Agents.Find(part.Worker)
		if !ok {
			continue
		}
		state := m.State
		plan.Parts = append(plan.Parts, gang.Part{
			Member: &sniperillv1.Member{
				Agent: state.Name, Address: state.Address, Incarnation: state.Incarnation,
			},
			Tasks:        part.Tasks,
			Accelerators: part.Accelerators,
			Evict:        evict,
		})
	}
	return plan
}

func rankOf(job shop.Job, class shop.Class) uint64 {
	switch {
	case class.Urgent:
		return rankUrgent
	case job.Shape.TotalAccelerators() > 1:
		return rankLarge
	default:
		return rankNormal
	}
}

func (p *planner) starter() gang.Starter {
	return gang.Starter{
		Times: p.Times,
		Hold: func(ctx context.Context, m *sniperillv1.Member, r *sniperillv1.HoldRequest) (*sniperillv1.HoldResponse, error) {
			res, err := peer.Call(ctx, p.Peers.Agent(m.Address).Hold, r)
			p.noteConnectFailure(m.Agent, err)
			return res, err
		},
		Prepare: func(ctx context.Context, m *sniperillv1.Member, r *sniperillv1.PrepareRequest) (*sniperillv1.PrepareResponse, error) {
			return peer.Call(ctx, p.Peers.Agent(m.Address).Prepare, r)
		},
		Release: func(ctx context.Context, m *sniperillv1.Member, r *sniperillv1.ReleaseRequest) (*sniperillv1.ReleaseResponse, error) {
			return peer.Call(ctx, p.Peers.Agent(m.Address).Release, r)
		},
		Renew: func(ctx context.Context, m *sniperillv1.Member, r *sniperillv1.RenewRequest) (*sniperillv1.RenewResponse, error) {
			return peer.Call(ctx, p.Peers.Agent(m.Address).Renew, r)
		},
		Abandon: func(ctx context.Context, m *sniperillv1.Member, r *sniperillv1.AbandonRequest) (*sniperillv1.AbandonResponse, error) {
			return peer.Call(ctx, p.Peers.Agent(m.Address).Abandon, r)
		},
	}
}

// noteConnectFailure records that no connection to an agent could be opened. No work is
// placed there until a later heartbeat of the agent.
func (p *planner) noteConnectFailure(agent string, err error) {
	if !errors.Is(err, peer.ErrNotConnected) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectFailedAt[agent] = p.Now()
}

// preempt preempts a gang: its lead checkpoints the job and stops all members. The caller
// holds p.mu.
func (p *planner) preempt(ctx context.Context, a shop.Attempt, forJob string) {
	j := p.progressOf(a.Job)
	r, ok := p.runs.find(a.Job)
	if !ok || j.preemptingAttempt == a.Number {
		return
	}
	lead, ok := r.lead()
	if !ok {
		return
	}
	j.preemptingAttempt = a.Number
	grace := time.Duration(shop.DefaultGrace)
	if class, ok := p.Config().Classes.Find(r.Class); ok {
		grace = time.Duration(class.Grace)
	}
	p.Logger.Info().Str("job", a.Job).Int("attempt", a.Number).Str("for", forJob).Msg("Preempting.")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, endTimeout)
		defer cancel()
		_, err := peer.Call(ctx, p.Peers.Agent(lead.agent.Address).Preempt, &sniperillv1.PreemptRequest{
			Attempt: r.attemptProto(), Grace: durationpb.New(grace),
		})
		if err == nil {
			return
		}
		p.Logger.Warn().Err(err).Str("job", a.Job).Msg("Preempting an attempt failed.")
		p.mu.Lock()
		defer p.mu.Unlock()
		j.preemptingAttempt = 0
	}()
}

// startNow starts a job at once or refuses it. It is used while the log is unavailable,
// because a job that isn't in the log can't be queued reliably.
func (p *planner) startNow(ctx context.Context, job shop.Job) (Status, error) {
	refused := Status{Job: job, State: shop.NotRun}
	inv, config := p.inventory.Load(), p.Config()
	if inv == nil || config == nil {
		return refused, fmt.Errorf("planner.startNow: workers are not known yet: %w", shop.ErrNotRun)
	}
	v := queue.View{Now: p.Now(), Config: config, Fleet: inv.fleet}
	p.mu.Lock()
	j := p.progressOf(job.ID)
	j.attempt++
	number := j.attempt
	v.Queued = queue.JobList{{Job: job, Estimate: job.RunTime, Attempt: number, QueuedSince: job.Submitted}}
	for _, r := range p.runs.all() {
		if !r.state().Final() {
			p.addRunning(&v, r.Job, r, true, &progress{})
		}
	}
	p.mu.Unlock()
	plan := queue.Next(v)
	if len(plan.Starts) == 0 {
		return refused, fmt.Errorf("planner.startNow: no room now: %w", shop.ErrNotRun)
	}
	result, err := p.starter().Start(ctx, p.gangPlan(plan.Starts[0], job, config, nil))
	switch result.Outcome {
	case gang.Started:
		p.addUnrecorded(job, number)
		return Status{Job: job, State: shop.Running, Attempt: number}, nil
	case gang.NotRun:
		return refused, fmt.Errorf("planner.startNow: %w: %w", shop.ErrNotRun, err)
	default:
		return Status{Job: job}, fmt.Errorf("planner.startNow: %w: %w", shop.ErrMayHaveRun, err)
	}
}
