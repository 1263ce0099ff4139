package caller

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Submission is a job to submit.
type Submission struct {
	// ID is the id of the job within the team. Submitting the same id again refers to
	// the same job.
	ID    string
	Class string
	// Shape is the shape of the job; nil means the shape of its class.
	Shape   *shop.Shape
	RunTime time.Duration
	Payload []byte
}

// Submit submits a job and returns its id. With an error that wraps shop.ErrNotRun the
// job was rejected and never runs. With one that wraps shop.ErrMayHaveRun the job may
// have been accepted.
func (c *Client) Submit(ctx context.Context, s Submission) (string, error) {
	r := &sniperillv1.SubmitRequest{Id: s.ID, Class: s.Class, Payload: s.Payload}
	if s.RunTime > 0 {
		r.RunTime = durationpb.New(s.RunTime)
	}
	if s.Shape != nil {
		r.Shape = &sniperillv1.Shape{
			Tasks: uint32(s.Shape.Tasks), Accelerators: uint32(s.Shape.Accelerators), Cores: uint32(s.Shape.Cores),
			MemoryBytes: uint64(s.Shape.Memory), Adjacency: string(s.Shape.Adjacency),
		}
	}
	res, err := peer.Call(ctx, c.service.Submit, r)
	if err != nil {
		return s.ID, fmt.Errorf("caller.Submit: %w", classifyError(err))
	}
	if shop.Outcome(res.Outcome) == shop.OutcomeNotRun {
		return res.Id, fmt.Errorf("caller.Submit: job %s: %s: %w", res.Id, res.Reason, shop.ErrNotRun)
	}
	return res.Id, nil
}

// Status is the status of a job.
type Status struct {
	ID      string
	Team    string
	Class   string
	State   shop.JobState
	Workers []string
	Attempt int
	Answer  []byte
	Reason  string
	// Submitted, Started and Ended are zero until they are known.
	Submitted time.Time
	Started   time.Time
	Ended     time.Time
}

// Times of Wait.
const (
	// pollTimeout is how long an entry waits for the job's end in one call.
	pollTimeout = 20 * time.Second
	// retryDelay keeps Wait from polling in a tight loop.
	retryDelay = 50 * time.Millisecond
)

// Wait waits until the job has ended and returns its status. It retries while entries
// are unavailable or shutting down, until the context ends, and fails on any other
// error.
func (c *Client) Wait(ctx context.Context, id string) (Status, error) {
	for {
		res, err := peer.Call(ctx, c.service.Wait, &sniperillv1.WaitRequest{Id: id, Timeout: durationpb.New(pollTimeout)})
		if err == nil {
			if s := StatusOf(res.Job); s.State.Final() {
				return s, nil
			}
		} else if connect.CodeOf(err) != connect.CodeUnavailable {
			return Status{ID: id}, fmt.Errorf("caller.Wait: %w", err)
		}
		if err := clock.Pause(ctx, retryDelay); err != nil {
			return Status{ID: id}, fmt.Errorf("caller.Wait: %w", err)
		}
	}
}

// Status returns the current status of a job.
func (c *Client) Status(ctx context.Context, id string) (Status, error) {
	res, err := peer.Call(ctx, c.service.Wait, &sniperillv1.WaitRequest{Id: id, Timeout: durationpb.New(0)})
	if err != nil {
		return Status{ID: id}, fmt.Errorf("caller.Status: %w", err)
	}
	return StatusOf(res.Job), nil
}

// Cancel requests that a job is cancelled, if it has not ended, and returns its status.
func (c *Client) Cancel(ctx context.Context, id string) (Status, error) {
	res, err := peer.Call(ctx, c.service.Cancel, &sniperillv1.CancelRequest{Id: id})
	if err != nil {
		return Status{ID: id}, fmt.Errorf("caller.Cancel: %w", err)
	}
	return StatusOf(res.Job), nil
}

// StatusOf converts a job's status from its protocol message.
func StatusOf(j *sniperillv1.JobStatus) Status {
	return Status{
		ID: j.GetId(), Team: j.GetTeam(), Class: j.GetClass(), State: shop.JobState(j.GetState()),
		Workers: j.GetWorkers(), Attempt: int(j.GetAttempt()), Answer: j.GetAnswer(), Reason: j.GetReason(),
		Submitted: timeOf(j.GetSubmittedUnixMs()), Started: timeOf(j.GetStartedUnixMs()), Ended: timeOf(j.GetEndedUnixMs()),
	}
}

// timeOf converts Unix milliseconds; zero means no time.
func timeOf(unixMilli int64) time.Time {
	if unixMilli == 0 {
		return time.Time{}
	}
	return time.UnixMilli(unixMilli)
}
