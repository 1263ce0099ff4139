// Package intake takes jobs from callers and answers for them. What it accepted is in
// the journal; what it refused was never written there.
package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// What an answer may be instead of success.
var (
	// ErrUnavailable says that nothing was done and the caller may come back.
	ErrUnavailable = errors.New("the store can't be reached")
	// ErrUndecided says that nobody can know yet whether the call took effect.
	ErrUndecided = errors.New("the outcome is not known yet")
	// errMayBeWritten is the ErrUndecided of a call that would have been refused, were there
	// not an earlier one of the same job whose write may be open.
	errMayBeWritten = fmt.Errorf("%w: an earlier call may be written", ErrUndecided)
	// ErrImpossible says that no worker could ever run the job, so that it was not accepted.
	ErrImpossible = errors.New("no worker can run the job")
)

// maxStateAge is the age of the newest complete read up to which the ledger counts as
// current. A read waits 0.7 s for a record, and a slow store answers half a second late.
const maxStateAge = 1400 * time.Millisecond

// Service takes jobs. Set its fields before Run.
type Service struct {
	ClusterState *clusterstate.State
	Follower     *journal.Follower
	Writer       *journal.Writer
	// Peers returns other entries that may reach the store when this one can't.
	Peers func() []Peer
	Log   zerolog.Logger

	silentSince sync.Map // Since when a peer hasn't answered, by its name.
	pending     pendingJobs
}

// StateCurrent says whether the ledger has been read to its end lately.
func (d *Service) StateCurrent() bool {
	c := d.Follower.CaughtUpAt()
	return c != 0 && clock.Since(c) < maxStateAge
}

// Bounds of what a refused caller is told to wait.
const (
	minRetryAfter = time.Second // The least that callers' interfaces can say.
	maxRetryAfter = 4 * time.Second
)

// RetryAfter returns when a refused caller should come back: in as long again as the store
// has been away, so that a few tries outlast a long outage and a short one costs little.
func (d *Service) RetryAfter() time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, d.Writer.UnavailableFor()))
}

// Submit accepts a job once, whichever entry it is submitted to and however often.
func (d *Service) Submit(ctx context.Context, j *workflow.Job) error {
	if err := d.checkFeasible(j); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for {
		err := d.submitOnce(ctx, j)
		// What can't be refused is tried until the time is over: a caller that is told at
		// once that the outcome is open spends its tries within a moment.
		if !errors.Is(err, errMayBeWritten) {
			return err
		}
		if clock.Pause(ctx, undecidedRetryDelay) != nil {
			d.Log.Warn().Err(err).Str("job", j.ID).Msg("A job was not refused, as an earlier call may be written.")
			return err
		}
	}
}

func (d *Service) submitOnce(ctx context.Context, j *workflow.Job) error {
	done := d.pending.begin(j.ID)
	err := d.execute(ctx, call{
		name: "submit", job: j.ID, refusalIsFinal: true,
		local: func(ctx context.Context) error { return d.submit(ctx, j) },
		forward: func(ctx context.Context, peer sniperillv1connect.DeskServiceClient) (pb.DeskResult, error) {
			data, err := json.Marshal(j)
			if err != nil {
				return pb.DeskResult_DESK_RESULT_UNAVAILABLE, err
			}
			resp, err := peer.Submit(ctx, connect.NewRequest(&pb.DeskSubmitRequest{Job: data}))
			if err != nil {
				return pb.DeskResult_DESK_RESULT_UNDECIDED, err
			}
			return resp.Msg.GetResult(), nil
		},
	})
	return done(err)
}

func (d *Service) submit(ctx context.Context, j *workflow.Job) error {
	log := d.Log.Info().Str("job", j.ID).Str("team", j.Team).Str("queue", j.Queue.Name).Int("tasks", j.Tasks())
	if known, ok := d.ClusterState.Job(j.ID); ok {
		log.Str("state", string(known.State())).Int64("offset", known.AcceptedOffset).Msg("A job was submitted again.")
		return nil
	}
	if _, accepted := d.pending.status(j.ID); accepted {
		log.Msg("A job was submitted again before the journal returned it.")
		return nil
	}
	if err := d.awaitPendingWrite(ctx, j.ID); err != nil {
		return err
	}
	offset, err := d.Writer.Add(ctx, clusterstate.JobRecord(j))
	if err != nil {
		d.pending.noteUndecided(j.ID, err)
		return d.appendError("submit", j.ID, err)
	}
	log.Int64("offset", offset).Msg("Accepted a job.")
	return nil
}

// known says whether a job may be written by this entry, or may have been, and whether it is known
// to be in the journal.
func (d *Service) known(id string) (open, accepted bool) {
	open, accepted = d.pending.status(id)
	_, followed := d.ClusterState.Job(id)
	return open, accepted || followed
}

// checkFeasible refuses a job that would not fit if all workers were empty, or whose queue asks for what
// is not supported. While a worker is still unknown no job is refused for want of room, and one
// that may have been accepted before is not refused at all.
func (d *Service) checkFeasible(j *workflow.Job) error {
	if open, accepted := d.known(j.ID); open || accepted || !d.StateCurrent() {
		return nil
	}
	workers, complete := d.ClusterState.Workers()
	if !complete && j.Queue.CanServe() == nil {
		return nil
	}
	if err := workers.CanRun(j); err != nil {
		d.Log.Info().Err(err).Str("job", j.ID).Str("team", j.Team).Str("queue", j.Queue.Name).
			Int("workers", len(workers)).Msg("Refused a job that no worker can run.")
		return fmt.Errorf("intake.Desk: %w: %w", ErrImpossible, err)
	}
	return nil
}

// awaitPendingWrite waits until an earlier write of the same job is settled.
func (d *Service) awaitPendingWrite(ctx context.Context, id string) error {
	settled := d.pending.settled(id)
	if settled == nil {
		return nil
	}
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		d.Log.Warn().Str("job", id).Msg("An earlier write of the job is still open.")
		return fmt.Errorf("intake.Desk: submit: %w: an earlier write is open", ErrUndecided)
	}
}

// State returns a job's state, or shop.ErrNotFound when the journal doesn't have it.
func (d *Service) State(ctx context.Context, id, team string) (shop.JobState, error) {
	var state shop.JobState
	var mu sync.Mutex // Both ways may answer; the first that does counts.
	keep := func(s shop.JobState) {
		mu.Lock()
		defer mu.Unlock()
		if state == "" {
			state = s
		}
	}
	err := d.execute(ctx, call{
		name: "state", job: id,
		local: func(ctx context.Context) error {
			s, err := d.state(ctx, id, team)
			keep(s)
			return err
		},
		forward: func(ctx context.Context, peer sniperillv1connect.DeskServiceClient) (pb.DeskResult, error) {
			resp, err := peer.State(ctx, connect.NewRequest(&pb.DeskStateRequest{Job: id, Team: team}))
			if err != nil {
				return pb.DeskResult_DESK_RESULT_UNAVAILABLE, err // A question has no effect.
			}
			keep(shop.JobState(resp.Msg.GetState()))
			return resp.Msg.GetResult(), nil
		},
	})
	mu.Lock()
	defer mu.Unlock()
	return state, err
}

func (d *Service) state(ctx context.Context, id, team string) (shop.JobState, error) {
	j, err := d.find(ctx, id, team)
	if err != nil {
		return "", err
	}
	return j.State(), nil
}

// Cancel cancels a job. One that has ended stays as it is.
func (d *Service) Cancel(ctx context.Context, id, team string) error {
	return d.execute(ctx, call{
		name: "cancel", job: id,
		local: func(ctx context.Context) error { return d.cancel(ctx, id, team) },
		forward: func(ctx context.Context, peer sniperillv1connect.DeskServiceClient) (pb.DeskResult, error) {
			resp, err := peer.Cancel(ctx, connect.NewRequest(&pb.DeskCancelRequest{Job: id, Team: team}))
			if err != nil {
				return pb.DeskResult_DESK_RESULT_UNDECIDED, err
			}
			return resp.Msg.GetResult(), nil
		},
	})
}

func (d *Service) cancel(ctx context.Context, id, team string) error {
	j, err := d.find(ctx, id, team)
	if err != nil {
		return err
	}
	if j.State().Final() {
		d.Log.Info().Str("job", id).Str("state", string(j.State())).Msg("Nothing to cancel.")
		return nil
	}
	offset, err := d.Writer.Add(ctx, clusterstate.CancelRecord(id))
	if err != nil {
		return d.appendError("cancel", id, err)
	}
	d.Log.Info().Str("job", id).Int64("offset", offset).Msg("Cancelled a job.")
	return nil
}

// find returns a job of a team. It reads the journal to its end before it says that
// there is none.
func (d *Service) find(ctx context.Context, id, team string) (*clusterstate.Job, error) {
	j, ok := d.ClusterState.Job(id)
	if !ok {
		if err := d.Follower.Refresh(ctx); err != nil {
			d.Log.Warn().Err(err).Str("job", id).Msg("Can't tell whether the job exists.")
			return nil, fmt.Errorf("intake.Desk: %w: %w", ErrUnavailable, err)
		}
		j, ok = d.ClusterState.Job(id)
	}
	if !ok || j.Spec.Team != team {
		d.Log.Info().Str("job", id).Str("team", team).Bool("known", ok).Msg("No such job.")
		return nil, fmt.Errorf("intake.Desk: job %q: %w", id, shop.ErrNotFound)
	}
	return j, nil
}

// appendError says what the caller may take from an append that failed.
func (d *Service) appendError(call, id string, err error) error {
	kind := ErrUndecided
	if errors.Is(err, journal.ErrUnavailable) || errors.Is(err, journal.ErrFenced) {
		kind = ErrUnavailable
	}
	d.Log.Warn().Err(err).Str("job", id).Str("call", call).Bool("not_run", errors.Is(kind, ErrUnavailable)).
		Msg("A call could not be written.")
	return fmt.Errorf("intake.Desk: %s: %w: %w", call, kind, err)
}
