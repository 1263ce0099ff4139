package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

const (
	// outcomeTimeout bounds how long a caller waits for an undecided outcome. A slow store takes
	// 1 s for a write. After the timeout the write goes on, and the caller's retry joins it.
	outcomeTimeout = 1500 * time.Millisecond
	// undecidedRetryDelay is the delay before a submission that can't be refused is tried again. A
	// slow store takes about 400 ms to answer.
	undecidedRetryDelay = 200 * time.Millisecond
	// hedgeDelay is how long the local call may take before it is forwarded to a peer, too. A
	// write takes 10 ms, and 400 ms with a slow store.
	hedgeDelay = 500 * time.Millisecond
	// peerTimeout bounds a forwarded call. The peer may have to wait for its own write.
	peerTimeout = 700 * time.Millisecond
	// probeTimeout bounds a probe of whether a peer reaches the store. A probe takes 2 ms.
	probeTimeout = 150 * time.Millisecond
	// introductionDelay is the time between two looks whether the peers are known, after which they are
	// probed for the first time. A load balancer sends the first calls 1 s after a start.
	introductionDelay = 20 * time.Millisecond
	// probeInterval is the time between two regular probes of a peer.
	probeInterval = time.Second
	// silentPeerTimeout is how long a peer that is gone may have an undecided write of a job whose
	// caller still retries. Callers give up after 3 s, and the last successful probe may have come
	// just before the peer stopped answering.
	silentPeerTimeout = 3*time.Second + probeInterval
)

// call is a caller's request, with functions that make it here and at a peer.
type call struct {
	name, job, team string
	// refusalIsFinal is set if a refusal promises that the job never runs.
	refusalIsFinal bool
	local          func(context.Context) error
	forward        func(context.Context, sniperillv1connect.DeskServiceClient) (pb.DeskResult, error)
}

// errNotPassedOn is returned for a call that no peer has got or may still get, while its local outcome is open.
var errNotPassedOn = errors.New("no peer took the call")

// decided reports whether a call's outcome here or at a peer settles the whole call.
func decided(err error) bool {
	return err == nil || errors.Is(err, shop.ErrNotFound) || errors.Is(err, ErrTooLarge)
}

// execute makes a call here and, if the store can't be reached or doesn't answer within
// hedgeDelay, at a peer. It succeeds as soon as one of them does. It returns ErrUnavailable only
// if neither can take effect any more.
func (s *Service) execute(ctx context.Context, c call) error {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	local := make(chan error, 1)
	go func() { local <- c.local(ctx) }()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	select {
	case err := <-local:
		if decided(err) {
			return err
		}
		return s.forward(ctx, c, err)
	case <-hedge.C:
	}
	forwarded := make(chan error, 1)
	go func() { forwarded <- s.forward(ctx, c, errNotPassedOn) }()
	var localErr, forwardErr error
	select {
	case localErr = <-local:
		if decided(localErr) {
			return localErr
		}
		if forwardErr = <-forwarded; decided(forwardErr) {
			return forwardErr
		}
	case forwardErr = <-forwarded:
		if decided(forwardErr) {
			return forwardErr
		}
		if localErr = <-local; decided(localErr) {
			return localErr
		}
	}
	if !errors.Is(forwardErr, errNotPassedOn) {
		return forwardErr // The peer may still carry it out.
	}
	if !c.refusalIsFinal || !errors.Is(localErr, ErrUnavailable) {
		return localErr
	}
	// What the peers knew when the call was about to be passed on says nothing about the time until now.
	return s.surveyPeers(ctx, c.job).qualify(localErr)
}

// forward makes the call at a peer that reaches the store, if there is one. If there is none or
// the peer refuses, the local result err counts.
func (s *Service) forward(ctx context.Context, c call, err error) error {
	survey := s.surveyPeers(ctx, c.job)
	if c.refusalIsFinal && survey.accepted {
		s.callLog(c.team).Info().AnErr("own", err).Str("job", c.job).Msg("A job was submitted again that has been accepted.")
		return nil
	}
	if c.refusalIsFinal {
		err = survey.qualify(err)
	}
	if !survey.hasReady {
		return err
	}
	result, forwardErr := s.forwardTo(ctx, c, survey.ready)
	s.callLog(c.team).Info().Str("job", c.job).Str("call", c.name).Str("peer", survey.ready.Name).Stringer("result", result).
		AnErr("failed", forwardErr).AnErr("own", err).Msg("Passed a call on.")
	switch result {
	case pb.DeskResult_DESK_RESULT_DONE:
		return nil
	case pb.DeskResult_DESK_RESULT_NOT_FOUND:
		return fmt.Errorf("intake.Service: job %q: %w", c.job, shop.ErrNotFound)
	case pb.DeskResult_DESK_RESULT_UNAVAILABLE:
		return err
	default:
		return fmt.Errorf("intake.Service: %s at %s: %w: %w", c.name, survey.ready.Name, ErrUndecided, forwardErr)
	}
}

// peerSurvey summarizes the peers' answers to a probe while this entry can't reach the store.
type peerSurvey struct {
	// ready is the nearest peer that reaches the store. Forwarding the call to any other
	// peer could turn a certain refusal into an unknown outcome.
	ready    Peer
	hasReady bool
	// pending is set if a peer may be writing the job of the call or may have written it. silent is
	// set if this may hold for a peer that stopped answering recently without leaving or is not known yet, or for an earlier
	// incarnation of an entry.
	pending, silent bool
	// alone is set if no peer answers and none has left. This entry may be cut off itself then.
	alone bool
	// accepted is set if a peer or this entry knows that the job is in the journal.
	accepted bool
}

// qualify turns a refusal into an undecided outcome if a peer may still write the job, and into a success if the job
// has been accepted.
func (s peerSurvey) qualify(err error) error {
	switch {
	case !errors.Is(err, ErrUnavailable):
		return err
	case s.accepted:
		return nil
	case s.pending:
		return fmt.Errorf("%w: by a peer: %v", errMayBeWritten, err) // %v, so that it doesn't count as a refusal.
	case s.silent, s.alone:
		return fmt.Errorf("%w: by a silent, unknown or replaced entry: %v", errMayBeWritten, err)
	default:
		return err
	}
}

// surveyPeers probes all peers concurrently that are not known to be silent.
func (s *Service) surveyPeers(ctx context.Context, job string) peerSurvey {
	// The probes must not end with the caller's context, which says nothing about the peers.
	ctx = context.WithoutCancel(ctx)
	peers := s.Peers()
	release, err := s.acquirePeerCalls(ctx, len(peers))
	if err != nil {
		_, accepted := s.known(job)
		return peerSurvey{silent: true, accepted: accepted}
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make([]*pb.DeskReadyResponse, len(peers))
	gone := make([]bool, len(peers)) // It has left, and nothing runs at its address.
	var wg sync.WaitGroup
	for i, peer := range peers {
		left := s.incarnations.hasLeft(peer.Name)
		if _, silent := s.silentSince.Load(peer.Name); silent && !left {
			continue
		}
		wg.Go(func() {
			var err error
			answers[i], err = s.probe(ctx, peer, job)
			// A next incarnation that can't be reached may be writing the job.
			gone[i] = left && errors.Is(err, syscall.ECONNREFUSED)
		})
	}
	wg.Wait()
	// An entry doesn't know its peers until it has read the journal to its end.
	survey := peerSurvey{silent: s.Follower.CaughtUpAt() == 0 || s.incarnations.replacedRecently()}
	// What a peer is silent for is its own doing only if the silence began well before the newest read of the journal.
	lastRead := s.Follower.CaughtUpAt()
	if slices.ContainsFunc(answers, (*pb.DeskReadyResponse).GetReady) {
		lastRead = clock.Now()
	}
	survey.alone = len(peers) > 0
	for i, a := range answers {
		survey.alone = survey.alone && a == nil && !gone[i]
		if a == nil {
			since, silent := s.silence(peers[i].Name)
			// One that is no longer silent has come back since it was passed over, and has not been asked.
			survey.silent = survey.silent || !gone[i] && (!silent || lastRead.Sub(since) < silentPeerTimeout)
			continue
		}
		survey.pending = survey.pending || a.GetOpen()
		survey.accepted = survey.accepted || a.GetAccepted()
		if a.GetReady() && !survey.hasReady {
			survey.hasReady, survey.ready = true, peers[i]
		}
	}
	if _, accepted := s.known(job); accepted { // The record may have been read since the call began.
		survey.accepted = true
	}
	return survey
}

// silence returns since when a peer has neither answered nor called, and false if it has answered the newest probe.
func (s *Service) silence(peer string) (since clock.Instant, silent bool) {
	v, silent := s.silentSince.Load(peer)
	if !silent {
		return 0, false
	}
	since = v.(clock.Instant)
	if called, ok := s.calledAt.Load(peer); ok {
		since = max(since, called.(clock.Instant))
	}
	return since, true
}

// Run probes all peers regularly, so that the service knows which are silent and for how long. It
// ends with ctx.
func (s *Service) Run(ctx context.Context) error {
	for s.Follower.CaughtUpAt() == 0 && clock.Pause(ctx, introductionDelay) == nil {
		continue
	}
	s.introduce(ctx)
	for clock.Pause(ctx, probeInterval) == nil {
		probes, cancel := context.WithTimeout(ctx, probeInterval)
		s.probePeers(probes)
		cancel()
	}
	return ctx.Err()
}

// probe asks one peer whether it is ready and what it knows of a job. It fails if the peer doesn't answer.
func (s *Service) probe(ctx context.Context, peer Peer, job string) (*pb.DeskReadyResponse, error) {
	resp, err := peer.Client.Ready(ctx, connect.NewRequest(&pb.DeskReadyRequest{Job: job, Entry: s.Name, Life: s.Incarnation}))
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, ctx.Err() // This process is shutting down.
	}
	if err != nil {
		if _, before := s.silentSince.LoadOrStore(peer.Name, clock.Now()); !before {
			s.Log.Warn().Err(err).Str("peer", peer.Name).Msg("Lost a peer.")
		}
		return nil, err
	}
	_, silent := s.silentSince.Load(peer.Name)
	s.incarnations.note(peer.Name, resp.Msg.GetLife(), silent) // Before it stops counting as silent.
	if since, ok := s.silentSince.LoadAndDelete(peer.Name); ok {
		s.Log.Info().Str("peer", peer.Name).Dur("silent", clock.Since(since.(clock.Instant))).Msg("A peer is back.")
	}
	return resp.Msg, nil
}

// forwardTo makes the call at the given peer.
func (s *Service) forwardTo(ctx context.Context, c call, peer Peer) (pb.DeskResult, error) {
	release, err := s.acquirePeerCalls(ctx, 1)
	if err != nil {
		return pb.DeskResult_DESK_RESULT_UNAVAILABLE, err // The call was never sent.
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	result, err := c.forward(ctx, peer.Client)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return pb.DeskResult_DESK_RESULT_UNAVAILABLE, err // The call was never sent.
	}
	return result, err
}

// PeerReady reports whether the peer with a name answers and reaches the store.
func (s *Service) PeerReady(ctx context.Context, name string) bool {
	for _, peer := range s.Peers() {
		if peer.Name == name {
			resp, err := peer.Client.Ready(ctx, connect.NewRequest(&pb.DeskReadyRequest{}))
			return err == nil && resp.Msg.GetReady()
		}
	}
	return false
}

// Peer is another entry.
type Peer struct {
	Name   string
	Client sniperillv1connect.DeskServiceClient
}

// Handler serves DeskService to peers that can't reach the store.
type Handler struct{ Service *Service }

func resultOf(err error) pb.DeskResult {
	switch {
	case err == nil:
		return pb.DeskResult_DESK_RESULT_DONE
	case errors.Is(err, shop.ErrNotFound):
		return pb.DeskResult_DESK_RESULT_NOT_FOUND
	case errors.Is(err, ErrUnavailable):
		return pb.DeskResult_DESK_RESULT_UNAVAILABLE
	default:
		return pb.DeskResult_DESK_RESULT_UNDECIDED
	}
}

// Ready reports whether the entry reaches the store, and what it knows of the job if the request
// names one.
func (h Handler) Ready(_ context.Context, r *connect.Request[pb.DeskReadyRequest]) (*connect.Response[pb.DeskReadyResponse], error) {
	s := h.Service
	if err := s.checkEntry(r.Msg.GetEntry(), r.Msg.GetLife()); err != nil {
		return nil, err
	}
	if name := r.Msg.GetEntry(); name != "" {
		s.calledAt.Store(name, clock.Now())
		_, silent := s.silentSince.Load(name)
		if s.incarnations.note(name, r.Msg.GetLife(), silent) {
			s.silentSince.Delete(name) // It was the one before that has been silent.
		}
	}
	out := &pb.DeskReadyResponse{Ready: s.storeReachable() && !s.stopping(), Life: s.Incarnation}
	if id := r.Msg.GetJob(); id != "" {
		out.Open, out.Accepted = s.known(id)
		out.Open = out.Open || s.incarnations.replacedRecently()
	}
	return connect.NewResponse(out), nil
}

// Submit accepts a job.
func (h Handler) Submit(ctx context.Context, r *connect.Request[pb.DeskSubmitRequest]) (*connect.Response[pb.DeskSubmitResponse], error) {
	var j workflow.Job
	if err := json.Unmarshal(r.Msg.GetJob(), &j); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("job: %w", err))
	}
	if err := j.Validate().Err(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := checkNames(j.ID, j.Team); err != nil {
		return nil, err
	}
	done := h.Service.pending.begin(j.ID)
	end, ok := h.Service.reserve(&j)
	if !ok {
		err := fmt.Errorf("intake.Handler: %w: %w", ErrUnavailable, ErrFull)
		return connect.NewResponse(&pb.DeskSubmitResponse{Result: resultOf(done(err))}), nil
	}
	defer end()
	return connect.NewResponse(&pb.DeskSubmitResponse{Result: resultOf(done(h.Service.submit(ctx, &j)))}), nil
}

// State returns a job's state.
func (h Handler) State(ctx context.Context, r *connect.Request[pb.DeskStateRequest]) (*connect.Response[pb.DeskStateResponse], error) {
	if err := checkNames(r.Msg.GetJob(), r.Msg.GetTeam()); err != nil {
		return nil, err
	}
	state, err := h.Service.state(ctx, r.Msg.GetJob(), r.Msg.GetTeam())
	return connect.NewResponse(&pb.DeskStateResponse{Result: resultOf(err), State: string(state)}), nil
}

// Cancel cancels a job.
func (h Handler) Cancel(ctx context.Context, r *connect.Request[pb.DeskCancelRequest]) (*connect.Response[pb.DeskCancelResponse], error) {
	if err := checkNames(r.Msg.GetJob(), r.Msg.GetTeam()); err != nil {
		return nil, err
	}
	err := h.Service.cancel(ctx, r.Msg.GetJob(), r.Msg.GetTeam())
	return connect.NewResponse(&pb.DeskCancelResponse{Result: resultOf(err)}), nil
}
