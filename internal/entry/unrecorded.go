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

// addUnrecorded remembers a job until it is in the log. Its agents know it, too, but
// they may fail before the log is available again, and the caller was told that the
// job is accepted.
func (p *planner) addUnrecorded(job shop.Job, attempt int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unrecorded[job.ID] = unrecordedJob{job, attempt}
}

// isUnrecorded reports whether this planner has accepted a job that is not in the log yet.
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
		_, live := p.streams.jobs.Find(id)
		_, ended := p.endedJobs.find(id)
		if live || ended {
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
		if err := p.streams.jobs.Accept(ctx, job); err != nil {
			return err
		}
		err := p.streams.jobs.ClaimAttempt(ctx, shop.Attempt{Job: job.ID, Number: attempt}, p.Name)
		if errors.Is(err, platform.ErrAttemptClaimed) {
			return nil
		}
		return err
	})
}
