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

// Submission is a job to be accepted.
type Submission struct {
	// ID names the job within the team, so that a repeat is the same job.
	ID    string
	Class string
	// Shape of the job; nil takes the class's.
	Shape   *shop.Shape
	RunTime time.Duration
	Payload []byte
}

// Submit asks for a job to be accepted and returns its id. An error that wraps
// shop.ErrNotRun says that it was refused and never runs.
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

// Status is the state of a job.
type Status struct {
	ID      string
	Team    string
	Class   string
	State   shop.JobState
	Workers []string
	Attempt int
	Answer  []byte
	Reason  string
	// Times are zero as long as they have not come.
	Submitted time.Time
	Started   time.Time
	Ended     time.Time
}

// Times of waiting for a job.
const (
	// pollTimeout is how long one call lets an entry wait.
	pollTimeout = 20 * time.Second
	// retryDelay keeps a waiting caller from asking in a tight loop.
	retryDelay = 50 * time.Millisecond
)

// Wait returns once the job has ended, or with the context's error. It goes on
// through an entry that is leaving or away.
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

// Status returns the state of a job as it is now.
func (c *Client) Status(ctx context.Context, id string) (Status, error) {
	res, err := peer.Call(ctx, c.service.Wait, &sniperillv1.WaitRequest{Id: id, Timeout: durationpb.New(0)})
	if err != nil {
		return Status{ID: id}, fmt.Errorf("caller.Look: %w", err)
	}
	return StatusOf(res.Job), nil
}

// Cancel ends a job that has not ended by itself.
func (c *Client) Cancel(ctx context.Context, id string) (Status, error) {
	res, err := peer.Call(ctx, c.service.Cancel, &sniperillv1.CancelRequest{Id: id})
	if err != nil {
		return Status{ID: id}, fmt.Errorf("caller.Cancel: %w", err)
	}
	return StatusOf(res.Job), nil
}

// StatusOf changes the message of a job's state.
func StatusOf(j *sniperillv1.JobStatus) Status {
	return Status{
		ID: j.GetId(), Team: j.GetTeam(), Class: j.GetClass(), State: shop.JobState(j.GetState()),
		Workers: j.GetWorkers(), Attempt: int(j.GetAttempt()), Answer: j.GetAnswer(), Reason: j.GetReason(),
		Submitted: timeOf(j.GetSubmittedUnixMs()), Started: timeOf(j.GetStartedUnixMs()), Ended: timeOf(j.GetEndedUnixMs()),
	}
}

func timeOf(unixMilli int64) time.Time {
	if unixMilli == 0 {
		return time.Time{}
	}
	return time.UnixMilli(unixMilli)
}
