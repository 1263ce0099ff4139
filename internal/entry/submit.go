package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/pkg/shop"
)

// Submission is a job that a caller submits.
type Submission struct {
	// ID is the caller's own ID of the job. A repeated submission with the same ID is the
	// same job. If it is empty, the entry generates one.
	ID      string
	Team    string
	Class   string
	Shape   *shop.Shape // If nil, the class's shape is used.
	RunTime time.Duration
	Payload []byte
}

// lookUpTimeout is how long a look-up waits for an entry that lags behind the log.
const lookUpTimeout = time.Second

// jobID returns the system-wide ID of a job. It begins with the team, so that no team can
// see or cancel another team's job.
func jobID(team, id string) string { return team + "/" + id }

// IDWithoutTeam returns the ID that the team uses for the job with a system-wide ID.
func IDWithoutTeam(id string) string {
	_, teamID, _ := strings.Cut(id, "/")
	return teamID
}

// Submit accepts or refuses a job, or returns shop.ErrMayHaveRun if neither is certain. An
// accepted job is in the platform's log or held by all its agents. A refused job never runs.
func (e *Entry) Submit(ctx context.Context, s Submission) (Status, error) {
	e.init()
	defer e.inFlight.begin("submit " + s.Team + "/" + s.ID)()
	idFromCaller := s.ID != ""
	if !idFromCaller {
		s.ID = uuid.NewString()
	}
	known, ok, err := e.acceptedStatus(jobID(s.Team, s.ID))
	if ok || err != nil {
		return known, err
	}
	class, ticket, err := e.admit(s.Team, s.Class)
	if err != nil {
		return Status{Job: shop.Job{ID: jobID(s.Team, s.ID)}, State: shop.NotRun}, fmt.Errorf("entry.Submit: %w", err)
	}
	job, err := e.newJob(ctx, s, class)
	if err != nil {
		ticket.Release()
		return Status{Job: shop.Job{ID: jobID(s.Team, s.ID)}, State: shop.NotRun}, err
	}
	unrepeatable := idFromCaller && !class.Idempotent
	if e.streams.unavailable() {
		defer ticket.Release()
		return e.submitWithoutLog(ctx, job, unrepeatable)
	}
	err = e.streams.jobs.Accept(ctx, job)
	if err == nil {
		e.tickets.keep(job.ID, ticket)
		return Status{Job: job, State: shop.Queued}, nil
	}
	ticket.Release()
	if errors.Is(err, platform.ErrNotAppended) {
		return e.submitWithoutLog(ctx, job, unrepeatable)
	}
	return Status{Job: job}, fmt.Errorf("entry.Submit: the platform's log gave no answer: %w: %w", shop.ErrMayHaveRun, err)
}

// acceptedStatus returns the status of a job if it is known to be accepted. If only agents know
// the job and no gang has started, it may be a job whose start was refused and which is never
// recorded in the log. Then the log decides; while it is unavailable, the outcome is unknown.
func (e *Entry) acceptedStatus(id string) (known Status, accepted bool, err error) {
	if recorded, ok := e.recorded(id); ok {
		return recorded, true, nil
	}
	r, reported := e.runOf(id)
	if !reported {
		return Status{}, false, nil
	}
	known = r.status(Status{Job: r.Job})
	switch {
	case known.State == shop.Running, e.planner.isUnrecorded(id):
		return known, true, nil
	case e.streams.unavailable():
		return Status{Job: r.Job}, false, fmt.Errorf("entry.Submit: the platform's log is away and attempt %d has not begun: %w", r.attempt, shop.ErrMayHaveRun)
	default:
		return Status{}, false, nil
	}
}

// newJob returns the job of a submission, or an error if the job can never run.
func (e *Entry) newJob(ctx context.Context, s Submission, class shop.Class) (shop.Job, error) {
	job := shop.Job{
		ID: jobID(s.Team, s.ID), Team: s.Team, Class: s.Class, Shape: class.Shape,
		RunTime: s.RunTime, Submitted: e.Now(), Region: e.Place.Region, Payload: s.Payload,
	}
	if s.Shape != nil {
		job.Shape = *s.Shape
		job.Shape.SetDefaults()
	}
	if job.RunTime <= 0 {
		job.RunTime = time.Duration(class.RunTime)
	}
	if err := job.Shape.Validate().Err(); err != nil {
		return job, fmt.Errorf("entry.Submit: %w: %w", shop.ErrNotRun, err)
	}
	if err := e.planner.checkFeasible(ctx, job); err != nil {
		return job, fmt.Errorf("entry.Submit: %w: %w", shop.ErrNotRun, err)
	}
	return job, nil
}

// submitWithoutLog starts a job now or refuses it, while the platform's log is unavailable.
// Until the log is available again, only the agents' reports and this entry know the job. A
// job that runs at most once and has an ID from its caller is refused: the caller might
// submit it to another entry, too, and only the log prevents that both start it.
func (e *Entry) submitWithoutLog(ctx context.Context, job shop.Job, unrepeatable bool) (Status, error) {
	if unrepeatable {
		return Status{Job: job, State: shop.NotRun}, fmt.Errorf(
			"entry.Submit: the platform's log is away and the job runs at most once: %w: %w", shop.ErrUnavailable, shop.ErrNotRun)
	}
	status, err := e.planner.startNow(ctx, job)
	if err != nil {
		return status, fmt.Errorf("entry.Submit: the platform's log is away: %w", err)
	}
	return status, nil
}

// Wait returns the status of a team's job once the job has ended, the timeout has passed or
// this entry leaves.
func (e *Entry) Wait(ctx context.Context, team, id string, timeout time.Duration) (Status, error) {
	e.init()
	defer e.inFlight.begin("wait " + team + "/" + id)()
	found, err := e.lookUp(ctx, jobID(team, id))
	if err != nil {
		return found, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e.endedJobs.wait(ctx, func() bool {
		found, err = e.status(jobID(team, id))
		return err == nil && found.State.Final() || e.leaving.Load()
	})
	if err != nil || found.AnswerAt == "" {
		return found, err
	}
	answer, err := e.router.Fetch(ctx, team, id, 0)
	if err != nil {
		return found, fmt.Errorf("entry.Wait: answer kept by %s: %w", found.AnswerAt, err)
	}
	found.Answer = answer.Body
	return found, nil
}

// Cancel cancels a team's job. It appends a single record, whatever the length of the queue.
func (e *Entry) Cancel(ctx context.Context, team, id string) (Status, error) {
	e.init()
	defer e.inFlight.begin("cancel " + team + "/" + id)()
	status, err := e.lookUp(ctx, jobID(team, id))
	if err != nil || status.State.Final() {
		return status, err
	}
	if err := e.streams.jobs.Cancel(ctx, status.ID); err != nil {
		return status, fmt.Errorf("entry.Cancel: %w: %w", shop.ErrUnavailable, err)
	}
	return status, nil
}

// lookUp returns the status of a job. It waits up to lookUpTimeout for a job that another
// entry may just have accepted and that this entry has not read from the log yet.
func (e *Entry) lookUp(ctx context.Context, id string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	var found Status
	var err error
	e.endedJobs.wait(ctx, func() bool {
		found, err = e.status(id)
		return err == nil
	})
	return found, err
}

// status returns the status of an ended, accepted or running job.
func (e *Entry) status(id string) (Status, error) {
	if s, ok := e.recorded(id); ok {
		return s, nil
	}
	if run, running := e.runOf(id); running {
		return run.status(Status{Job: run.Job}), nil
	}
	return Status{}, fmt.Errorf("entry.status: job %q: %w", id, shop.ErrNotFound)
}

// recorded returns the status of a job that is in the log, whether live or ended.
func (e *Entry) recorded(id string) (Status, bool) {
	if s, ok := e.endedJobs.find(id); ok {
		return s, true
	}
	l, ok := e.streams.jobs.Find(id)
	if !ok {
		return Status{}, false
	}
	s := Status{Job: l.Job, State: shop.Queued, Attempt: l.Attempt}
	if run, running := e.runOf(id); running {
		return run.status(s), true
	}
	return s, true
}
