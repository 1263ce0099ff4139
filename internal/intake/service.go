// Package intake accepts and cancels callers' jobs and reports their states. An accepted
// job is in the journal. A refused job has not been and never will be written there.
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
	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// Errors of calls.
var (
	// ErrUnavailable means that the call had no effect and never will. The caller may retry.
	ErrUnavailable = errors.New("the store can't be reached")
	// ErrUndecided means that it is not known yet whether the call took effect.
	ErrUndecided = errors.New("the outcome is not known yet")
	// errMayBeWritten is the ErrUndecided of a submission that can't be refused only because
	// the write of an earlier submission of the same job may still be undecided.
	errMayBeWritten = fmt.Errorf("%w: an earlier call may be written", ErrUndecided)
	// ErrTooLarge means that the call had no effect, as the store does not take records of its size.
	ErrTooLarge = errors.New("the store does not take the record")
	// ErrImpossible means that the job was not accepted because no worker can ever run it.
	ErrImpossible = errors.New("no worker can run the job")
)

// maxStateAge is the age up to which the cluster state counts as current: the time since the
// last read that reached the journal's end. A read waits up to 0.7 s for a new record, and a
// slow store answers half a second late.
const maxStateAge = 1400 * time.Millisecond

// Service handles callers' jobs. Its exported fields are set before Run.
type Service struct {
	// Name and Incarnation are those of this entry.
	Name, Incarnation string
	// MemoryMB is the memory of this entry, in MB; zero if it is not known.
	MemoryMB int
	// MaxPeerCalls is the most calls to peers that callers' requests may cause at the same time; zero if there is no
	// limit.
	MaxPeerCalls int

	ClusterState *clusterstate.State
	Follower     *journal.Follower
	Writer       *journal.Writer
	// Peers returns the other entries, which may reach the store when this one can't.
	Peers func() []Peer
	// Stopping reports whether this entry leaves, so that peers pass no calls on to it; nil means never.
	Stopping func() bool
	Log      zerolog.Logger

	silentSince  sync.Map // The clock.Instant since which a peer has not answered, by its name.
	calledAt     sync.Map // The clock.Instant at which a peer last asked for this entry's state, by its name.
	incarnations incarnations
	introduction sync.Once
	pending      pendingJobs
	reserved     reservations
	peerCalls    peerCalls
	unregistered unregistered
	store        storeProbe
	lines        telemetry.CallLines
}

// callLog returns the logger for a line about a call of a team.
func (s *Service) callLog(team string) *zerolog.Logger { return s.lines.Logger(&s.Log, team) }

// StateCurrent reports whether the journal has been read to its end recently.
func (s *Service) StateCurrent() bool {
	c := s.Follower.CaughtUpAt()
	return c != 0 && clock.Since(c) < maxStateAge
}

func (s *Service) stopping() bool { return s.Stopping != nil && s.Stopping() }

// storeReachable reports whether the store has answered the newest calls of this entry.
func (s *Service) storeReachable() bool {
	return s.StateCurrent() && s.Writer.UnavailableFor() == 0 && clock.Since(s.Follower.AnsweredAt()) < maxReadyAge
}

// Limits of the delay after which a refused caller is told to retry.
const (
	minRetryAfter = time.Second // The smallest value that the callers' interface can express.
	maxRetryAfter = 4 * time.Second
)

// RetryAfter returns the delay after which a refused caller should retry. It is the time
// for which the store has been unavailable, within limits, so that a few retries outlast a
// long outage and a short outage delays the caller little.
func (s *Service) RetryAfter() time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, s.Writer.UnavailableFor(), clock.Since(s.Follower.AnsweredAt())))
}

// Submit accepts a job. Repeated submissions, to any entry, accept it only once.
func (s *Service) Submit(ctx context.Context, j *workflow.Job) error {
	if err := s.checkFeasible(j); err != nil {
		return err
	}
	end, ok := s.reserve(j)
	if !ok {
		return s.RefuseFull(ctx, j.ID)
	}
	defer end()
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for {
		err := s.submitOnce(ctx, j)
		// A job that can't be refused is tried until the timeout. A caller that learns at
		// once that the outcome is undecided would use up its retries within a moment.
		if !errors.Is(err, errMayBeWritten) {
			return err
		}
		if clock.Pause(ctx, undecidedRetryDelay) != nil {
			s.callLog(j.Team).Warn().Err(err).Str("job", j.ID).Msg("A job was not refused, as an earlier call may be written.")
			return err
		}
	}
}

// Refuse refuses a submission without writing anything. It returns ErrUnavailable only if no earlier
// submission of the job was or may be written, nil if one was accepted, and ErrUndecided otherwise.
func (s *Service) Refuse(ctx context.Context, id string) error {
	done := s.pending.begin(id)
	if _, accepted := s.known(id); accepted {
		return done(nil)
	}
	return done(s.surveyPeers(ctx, id).qualify(fmt.Errorf("intake.Service: refuse: %w", ErrUnavailable)))
}

// RefuseFull is Refuse for a job that there is no room for. A refusal is ErrFull, too.
func (s *Service) RefuseFull(ctx context.Context, id string) error {
	err := s.Refuse(ctx, id)
	if errors.Is(err, ErrUnavailable) {
		return fmt.Errorf("%w: %w", err, ErrFull)
	}
	return err
}

func (s *Service) submitOnce(ctx context.Context, j *workflow.Job) error {
	done := s.pending.begin(j.ID)
	err := s.execute(ctx, call{
		name: "submit", job: j.ID, team: j.Team, refusalIsFinal: true,
		local: func(ctx context.Context) error { return s.submit(ctx, j) },
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

func (s *Service) submit(ctx context.Context, j *workflow.Job) error {
	line := func(log *zerolog.Logger) *zerolog.Event {
		return log.Info().Str("job", j.ID).Str("team", j.Team).Str("queue", j.Queue.Name).Int("tasks", j.Tasks())
	}
	if known, ok := s.ClusterState.Job(j.ID); ok {
		line(s.callLog(j.Team)).Str("state", string(known.State())).Int64("offset", known.AcceptedOffset).Msg("A job was submitted again.")
		return nil
	}
	if _, accepted := s.pending.status(j.ID); accepted {
		line(s.callLog(j.Team)).Msg("A job was submitted again before its record was read from the journal.")
		return nil
	}
	if err := s.awaitPendingWrite(ctx, j.ID, j.Team); err != nil {
		return err
	}
	if err := s.reachStore(ctx); err != nil {
		return s.appendError("submit", j.ID, j.Team, err)
	}
	s.introduce(ctx)
	offset, err := s.Writer.Add(ctx, clusterstate.JobRecord(j))
	if err != nil {
		s.pending.noteUndecided(j.ID, err)
		return s.appendError("submit", j.ID, j.Team, err)
	}
	line(&s.Log).Int64("offset", offset).Msg("Accepted a job.")
	return nil
}

// known reports whether this entry may be writing a job or may have written it, and whether the
// job is known to be in the journal.
func (s *Service) known(id string) (pending, accepted bool) {
	pending, accepted = s.pending.status(id)
	_, inState := s.ClusterState.Job(id)
	return pending, accepted || inState
}

// checkFeasible returns ErrImpossible for a job that would not fit even if all workers were empty,
// or whose queue requires something unsupported. While some workers are still unknown, it refuses
// no job for lack of room. It never refuses a job that may have been accepted before.
func (s *Service) checkFeasible(j *workflow.Job) error {
	if pending, accepted := s.known(j.ID); pending || accepted || !s.StateCurrent() {
		return nil
	}
	workers, complete := s.ClusterState.Workers()
	if !complete && j.Queue.CanServe() == nil {
		return nil
	}
	if err := workers.CanRun(j); err != nil {
		s.callLog(j.Team).Info().Err(err).Str("job", j.ID).Str("team", j.Team).Str("queue", j.Queue.Name).
			Int("workers", len(workers)).Msg("Refused a job that no worker can run.")
		return fmt.Errorf("intake.Desk: %w: %w", ErrImpossible, err)
	}
	return nil
}

// awaitPendingWrite waits until an earlier write of the same job is decided.
func (s *Service) awaitPendingWrite(ctx context.Context, id, team string) error {
	settled := s.pending.settled(id)
	if settled == nil {
		return nil
	}
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		s.callLog(team).Warn().Str("job", id).Msg("An earlier write of the job is still open.")
		return fmt.Errorf("intake.Service: submit: %w: an earlier write is undecided", ErrUndecided)
	}
}

// State returns a job's state, or shop.ErrNotFound if the journal has no such job of the team.
func (s *Service) State(ctx context.Context, id, team string) (shop.JobState, error) {
	var state shop.JobState
	var mu sync.Mutex // The local and the forwarded call may both answer; the first answer counts.
	keep := func(s shop.JobState) {
		mu.Lock()
		defer mu.Unlock()
		if state == "" {
			state = s
		}
	}
	err := s.execute(ctx, call{
		name: "state", job: id, team: team,
		local: func(ctx context.Context) error {
			own, err := s.state(ctx, id, team)
			keep(own)
			return err
		},
		forward: func(ctx context.Context, peer sniperillv1connect.DeskServiceClient) (pb.DeskResult, error) {
			resp, err := peer.State(ctx, connect.NewRequest(&pb.DeskStateRequest{Job: id, Team: team}))
			if err != nil {
				return pb.DeskResult_DESK_RESULT_UNAVAILABLE, err // A query has no effect.
			}
			keep(shop.JobState(resp.Msg.GetState()))
			return resp.Msg.GetResult(), nil
		},
	})
	mu.Lock()
	defer mu.Unlock()
	return state, err
}

func (s *Service) state(ctx context.Context, id, team string) (shop.JobState, error) {
	j, err := s.find(ctx, id, team)
	if err != nil {
		return "", err
	}
	return j.State(), nil
}

// Cancel cancels a job. It does nothing if the job has ended.
func (s *Service) Cancel(ctx context.Context, id, team string) error {
	return s.execute(ctx, call{
		name: "cancel", job: id, team: team,
		local: func(ctx context.Context) error { return s.cancel(ctx, id, team) },
		forward: func(ctx context.Context, peer sniperillv1connect.DeskServiceClient) (pb.DeskResult, error) {
			resp, err := peer.Cancel(ctx, connect.NewRequest(&pb.DeskCancelRequest{Job: id, Team: team}))
			if err != nil {
				return pb.DeskResult_DESK_RESULT_UNDECIDED, err
			}
			return resp.Msg.GetResult(), nil
		},
	})
}

func (s *Service) cancel(ctx context.Context, id, team string) error {
	j, err := s.findWritten(ctx, id, team)
	if err != nil {
		return err
	}
	if j.State().Final() {
		s.callLog(team).Info().Str("job", id).Str("state", string(j.State())).Msg("The job to cancel has already ended.")
		return nil
	}
	if err := s.reachStore(ctx); err != nil {
		return s.appendError("cancel", id, team, err)
	}
	offset, err := s.Writer.Add(ctx, clusterstate.CancelRecord(id))
	if err != nil {
		return s.appendError("cancel", id, team, err)
	}
	s.Log.Info().Str("job", id).Int64("offset", offset).Msg("Cancelled a job.")
	return nil
}

// findWritten returns a job of a team. It returns shop.ErrNotFound only once no entry may be writing the
// job: a job that is written after its cancellation was answered would run.
func (s *Service) findWritten(ctx context.Context, id, team string) (*clusterstate.Job, error) {
	for {
		// Asked before the journal is read: what is no longer open by then is found there.
		open := s.mayBeWritten(ctx, id)
		j, err := s.find(ctx, id, team)
		if !errors.Is(err, shop.ErrNotFound) || !open {
			return j, err
		}
		if clock.Pause(ctx, undecidedRetryDelay) != nil {
			s.callLog(team).Warn().Str("job", id).Msg("A cancellation is not answered, as the job may still be written.")
			return nil, fmt.Errorf("intake.Service: cancel: %w: the job may still be written", ErrUndecided)
		}
	}
}

// mayBeWritten reports whether an entry may be writing a job that is not in this entry's state.
func (s *Service) mayBeWritten(ctx context.Context, id string) bool {
	if _, ok := s.ClusterState.Job(id); ok {
		return false
	}
	if pending, accepted := s.known(id); pending || accepted {
		return true
	}
	survey := s.surveyPeers(ctx, id)
	return survey.pending || survey.accepted || survey.silent
}

// find returns a job of a team. It reads the journal to its end before it returns
// shop.ErrNotFound.
func (s *Service) find(ctx context.Context, id, team string) (*clusterstate.Job, error) {
	j, ok := s.ClusterState.Job(id)
	if !ok {
		if err := s.Follower.SharedRefresh(ctx); err != nil {
			s.callLog(team).Warn().Err(err).Str("job", id).Msg("Can't tell whether the job exists.")
			return nil, fmt.Errorf("intake.Service: %w: %w", ErrUnavailable, err)
		}
		j, ok = s.ClusterState.Job(id)
	}
	if !ok || j.Spec.Team != team {
		s.callLog(team).Info().Str("job", id).Str("team", team).Bool("known", ok).Msg("No such job.")
		return nil, fmt.Errorf("intake.Service: job %q: %w", id, shop.ErrNotFound)
	}
	return j, nil
}

// appendError returns the error of a call whose append failed: ErrUnavailable if nothing was
// or will be written, ErrUndecided otherwise.
func (s *Service) appendError(call, id, team string, err error) error {
	kind := ErrUndecided
	switch {
	case errors.Is(err, ErrUnavailable), errors.Is(err, journal.ErrUnavailable), errors.Is(err, journal.ErrFenced):
		kind = ErrUnavailable
	case errors.Is(err, journal.ErrRejected):
		kind = ErrTooLarge
	}
	s.callLog(team).Warn().Err(err).Str("job", id).Str("call", call).Bool("not_run", !errors.Is(kind, ErrUndecided)).
		Msg("A call could not be written.")
	return fmt.Errorf("intake.Service: %s: %w: %w", call, kind, err)
}
