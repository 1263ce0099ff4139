package matrix

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/pkg/shop"
)

// maxJobTime is the maximum time in which a job must end, including the effects of faults.
const maxJobTime = 4 * time.Minute

// runJob submits a job, retrying until it is accepted or refused for good, and waits until it ends.
func (w *workload) runJob(i int, s entry.Submission) {
	j := &jobResult{submission: s}
	w.mu.Lock()
	w.jobs = append(w.jobs, j)
	w.mu.Unlock()
	end := time.Now().Add(maxJobTime)
	for try := 0; time.Now().Before(end); try++ {
		status, ok := w.trySubmit(i+try, s)
		if ok && status.State == shop.NotRun {
			w.recordEnd(j, status)
			return
		}
		if ok {
			w.mu.Lock()
			j.accepted = true
			w.mu.Unlock()
			w.waitForJob(i, j, end)
			return
		}
		time.Sleep(retryDelay)
	}
	w.d.errorf("job %s was neither accepted nor refused", s.ID)
}

// trySubmit submits a job to an entry once. It returns false when the caller must retry.
func (w *workload) trySubmit(i int, s entry.Submission) (entry.Status, bool) {
	_, e, entryCtx := w.d.readyEntry(i)
	if e == nil {
		return entry.Status{}, false
	}
	ctx, cancel := context.WithTimeout(entryCtx, 20*time.Second)
	defer cancel()
	status, err := e.Submit(ctx, s)
	if entryCtx.Err() != nil {
		return status, false
	}
	if err == nil {
		return status, true
	}
	w.d.logf("submit %s: %v", s.ID, err)
	// Any other refusal is temporary.
	return status, errors.Is(err, shop.ErrNeverFits)
}

// recordEnd records the final status that the caller was given, and the time.
func (w *workload) recordEnd(j *jobResult, s entry.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j.status, j.learnedAt = s, time.Now()
}

// waitForJob asks the entries in turn until one reports that the job has ended.
func (w *workload) waitForJob(i int, j *jobResult, end time.Time) {
	s := j.submission
	last := ""
	for try := 0; time.Now().Before(end); try++ {
		n, e, entryCtx := w.d.readyEntry(i + try)
		if e != nil {
			ctx, cancel := context.WithTimeout(entryCtx, 12*time.Second)
			status, err := e.Wait(ctx, s.Team, s.ID, 10*time.Second)
			cancel()
			last = fmt.Sprintf("%s says %q, attempt %d at %v, %v", n.name, status.State, status.Attempt, status.Workers, err)
			if err == nil && entryCtx.Err() == nil && status.State.Final() {
				w.recordEnd(j, status)
				return
			}
		}
		time.Sleep(retryDelay)
	}
	w.d.errorf("accepted job %s did not end: %s", s.ID, last)
}

// cancelJob cancels a job, retrying until an entry accepts the request.
func (w *workload) cancelJob(j *jobResult) {
	s := j.submission
	for try := range 200 {
		_, e, entryCtx := w.d.readyEntry(try)
		if e != nil {
			ctx, cancel := context.WithTimeout(entryCtx, 10*time.Second)
			status, err := e.Cancel(ctx, s.Team, s.ID)
			cancel()
			if err == nil && entryCtx.Err() == nil {
				w.mu.Lock()
				if !status.State.Final() {
					j.cancelledAt = time.Now()
				}
				w.mu.Unlock()
				return
			}
		}
		time.Sleep(retryDelay)
	}
}

func (w *workload) findJob(id string) *jobResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.submission.ID == id {
			return j
		}
	}
	return nil
}
