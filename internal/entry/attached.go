package entry

import (
	"context"
	"errors"

	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/pkg/shop"
)

// attachedJob is a job that this entry started while the log was away.
type attachedJob struct {
	shop.Job

	attempt int
}

// attach remembers a job until it is in the log. Its agents hold it, but they
// may be gone before the log is back, and its caller was told that it is accepted.
func (p *planner) attach(job shop.Job, attempt int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attached[job.ID] = attachedJob{job, attempt}
}

// isAttached says whether this planner has accepted a job that is not in the log yet.
func (p *planner) isAttached(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.attached[id]
	return ok
}

// enterAttached enters the attached jobs in the log once it is back. The entry
// that started them does so, whether it plans for its region or not.
func (p *planner) enterAttached(ctx context.Context) {
	if p.streams.away() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, a := range p.attached {
		_, live := p.streams.jobs.Find(id)
		_, ended := p.book.find(id)
		if live || ended {
			delete(p.attached, id)
			continue
		}
		if j := p.progressOf(id); !j.ending {
			p.enter(ctx, a.Job, a.attempt, j)
		}
	}
}

// enter puts a job that was started without the log into it.
func (p *planner) enter(ctx context.Context, job shop.Job, attempt int, j *progress) {
	p.inBackground(ctx, job.ID, j, "Entering a running job in the log", func(ctx context.Context) error {
		if err := p.streams.jobs.Accept(ctx, job); err != nil {
			return err
		}
		err := p.streams.jobs.Start(ctx, shop.Attempt{Job: job.ID, Number: attempt}, p.Name)
		if errors.Is(err, platform.ErrLost) {
			return nil
		}
		return err
	})
}
