package entry

import (
	"context"
	"errors"

	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/pkg/shop"
)

// unrecordedJob is a job that this entry started while the log was away.
type unrecordedJob struct {
	shop.Job

	attempt int
}

// addUnrecorded remembers a job until it is in the log. Its agents hold it, but they
// may be gone before the log is back, and its caller was told that it is accepted.
func (p *planner) addUnrecorded(job shop.Job, attempt int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unrecorded[job.ID] = unrecordedJob{job, attempt}
}

// isUnrecorded says whether this planner has accepted a job that is not in the log yet.
func (p *planner) isUnrecorded(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.unrecorded[id]
	return ok
}

// recordUnrecordedJobs enters the attached jobs in the log once it is back. The entry
// that started them does so, whether it plans for its region or not.
func (p *planner) recordUnrecordedJobs(ctx context.Context) {
	if p.streams.unavailable() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, a := range p.unrecorded {
		_, live := p.streams.jobs.Find(id)
		_, ended := p.endedJobs.find(id)
		if live || ended {
			delete(p.unrecorded, id)
			continue
		}
		if j := p.progressOf(id); !j.ending {
			p.recordRunningJob(ctx, a.Job, a.attempt, j)
		}
	}
}

// recordRunningJob puts a job that was started without the log into it.
func (p *planner) recordRunningJob(ctx context.Context, job shop.Job, attempt int, j *progress) {
	p.runEndStep(ctx, job.ID, j, "Entering a running job in the log", func(ctx context.Context) error {
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
