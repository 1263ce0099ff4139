package entry

import (
	"context"
	"errors"

	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/pkg/shop"
)

// unrecordedJob is a job that this entry started while the log was unavailable.
type unrecordedJob struct {
	shop.Job

	attempt int
}

// addUnrecorded remembers a job until it and its attempt are in the log. Its agents know both, too, but
// they may fail before the log is available again, and the caller was told that the
// job is accepted. A planner that neither reads of the attempt nor hears of it from an agent would start
// another one beside it.
func (p *planner) addUnrecorded(job shop.Job, attempt int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unrecorded[job.ID] = unrecordedJob{job, attempt}
}

// isUnrecorded reports whether this planner has started a job whose attempt is not in the log yet.
func (p *planner) isUnrecorded(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.unrecorded[id]
	return ok
}

// recordUnrecordedJobs appends the unrecorded jobs to the log once it is available. The
// entry that started them does so, whether or not it plans for its region.
func (p *planner) recordUnrecordedJobs(ctx context.Context) {
	if p.streams.unavailable() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, u := range p.unrecorded {
		recorded, live := p.streams.jobs.Find(id)
		_, ended := p.endedJobs.find(id)
		if ended || live && recorded.Attempt >= u.attempt {
			delete(p.unrecorded, id)
			continue
		}
		if j := p.progressOf(id); !j.stepRunning {
			p.recordRunningJob(ctx, u.Job, u.attempt, j)
		}
	}
}

// recordRunningJob appends a job that was started without the log to it. An attempt that
// is already claimed in the log counts as recorded.
func (p *planner) recordRunningJob(ctx context.Context, job shop.Job, attempt int, j *progress) {
	p.runJobStep(ctx, job.ID, j, "Recording a running job in the log", func(ctx context.Context) error {
		if _, live := p.streams.jobs.Find(job.ID); !live {
			if err := p.streams.jobs.Accept(ctx, job); err != nil {
				return err
			}
		}
		err := p.streams.jobs.ClaimAttempt(ctx, shop.Attempt{Job: job.ID, Number: attempt}, attempt, p.Name)
		if errors.Is(err, platform.ErrAttemptClaimed) {
			return nil
		}
		return err
	})
}
