package entry

import (
	"context"
	"fmt"
	"slices"

	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// maxRecordedAnswer is the size in bytes up to which a job's end record carries its
// answer. A larger answer stays with the lead of the gang until it is acknowledged.
const maxRecordedAnswer = 64 << 10

// finish ends a job: it stops whatever still runs of the job, records its end, and only
// then lets its agents forget it. After a failure, a later plan tries again.
func (p *planner) finish(ctx context.Context, job shop.Job, r run, j *progress, state shop.JobState, reason string) {
	if j.stepRunning {
		return
	}
	p.runJobStep(ctx, job.ID, j, "Ending a job", func(ctx context.Context) error {
		return p.end(ctx, job, r, state, reason)
	})
}

func (p *planner) end(ctx context.Context, job shop.Job, r run, state shop.JobState, reason string) error {
	members := r.gangMembers()
	record := platform.JobRecord{
		ID: job.ID, Job: &job, Attempt: r.attempt, State: state, Reason: reason,
		Workers: r.workers(), Started: r.started(),
	}
	if state == shop.Done {
		if err := p.addAnswer(ctx, r, &record); err != nil {
			return err
		}
	} else if len(members) > 0 {
		if _, err := p.starter().EndAttempt(ctx, r.attemptProto(), members); err != nil {
			return err
		}
	}
	if err := p.streams.jobs.End(ctx, record); err != nil {
		return err
	}
	members = slices.DeleteFunc(slices.Clone(members), func(m *sniperillv1.Member) bool { return m.Agent == record.AnswerAt })
	p.acknowledge(ctx, job.ID, members)
	return nil
}

// addAnswer fetches the answer of a job from the lead of its gang and adds it to the record.
func (p *planner) addAnswer(ctx context.Context, r run, record *platform.JobRecord) error {
	lead, ok := r.lead()
	if !ok {
		return fmt.Errorf("planner.addAnswer: the lead of the gang is not known: %w", shop.ErrUnavailable)
	}
	res, err := peer.Call(ctx, p.ControlPeers.Agent(lead.agent.Address).FetchAnswer, &sniperillv1.FetchAnswerRequest{Id: r.ID})
	if err != nil {
		return err
	}
	if err := request.Verify(res.Answer, r.ID, res.Answer.GetAttempt()); err != nil {
		return fmt.Errorf("planner.addAnswer: %w", err)
	}
	if len(res.Answer.Body) > maxRecordedAnswer {
		record.AnswerAt = lead.agent.Name
		return nil
	}
	record.Answer = res.Answer.Body
	return nil
}

// acknowledge tells the agents that a job's end is recorded, so that they can forget
// the job. An unreachable agent forgets it later by itself.
func (p *planner) acknowledge(ctx context.Context, id string, members []*sniperillv1.Member) {
	for _, m := range members {
		_, err := peer.Call(ctx, p.ControlPeers.Agent(m.Address).Acknowledge, &sniperillv1.AcknowledgeRequest{Ids: []string{id}})
		if err != nil {
			p.Logger.Debug().Err(err).Str("agent", m.Agent).Msg("Acknowledging a job failed.")
		}
	}
}

// stopOrphan stops whatever still runs of a job whose end is recorded.
func (p *planner) stopOrphan(ctx context.Context, r run, j *progress) {
	p.runJobStep(ctx, r.ID, j, "Stopping an ended job", func(ctx context.Context) error {
		if _, err := p.starter().EndAttempt(ctx, r.attemptProto(), r.gangMembers()); err != nil {
			return err
		}
		p.acknowledge(ctx, r.ID, r.gangMembers())
		return nil
	})
}

// stopReplaced stops whatever still runs of attempts that have been replaced by another.
func (p *planner) stopReplaced(ctx context.Context, r run) {
	j := p.progressOf(r.ID)
	for _, m := range r.otherAttempts {
		if !occupies(m) || j.stepRunning {
			continue
		}
		p.runJobStep(ctx, r.ID, j, "Stopping a replaced attempt", func(ctx context.Context) error {
			_, err := peer.Call(ctx, p.Peers.Agent(m.agent.Address).Abandon, &sniperillv1.AbandonRequest{
				Attempt: m.Attempt, Reason: "replaced by another attempt",
			})
			return err
		})
	}
}

// runJobStep runs a step of recording or ending a job in the background. No other such
// step of the job runs at the same time, nor for stepDelay afterwards, because outdated
// reports of failed agents may still call for the same step. The caller holds p.mu.
func (p *planner) runJobStep(ctx context.Context, id string, j *progress, what string, step func(context.Context) error) {
	if p.Now().Before(j.nextStep) {
		return
	}
	j.stepRunning = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, endTimeout)
		defer cancel()
		err := step(ctx)
		if err != nil {
			p.Logger.Warn().Err(err).Str("job", id).Msg(what + " failed.")
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		j.stepRunning = false
		j.stepDelay = min(2*j.stepDelay, maxStepDelay)
		if err == nil {
			j.stepDelay = 0
			p.wake()
		}
		j.stepDelay = max(j.stepDelay, minStepDelay)
		j.nextStep = p.Now().Add(j.stepDelay)
	}()
}

// recordOrphan records a job that was started while the log was unavailable. A run that
// is only held is left alone: the hold expires with its lease.
func (p *planner) recordOrphan(ctx context.Context, r run, j *progress) {
	if gang.TaskState(r.state()) == gang.Held {
		return
	}
	p.recordRunningJob(ctx, r.Job, r.attempt, j)
}
