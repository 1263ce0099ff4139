package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

const (
	// outcomeTimeout bounds how long a caller waits for an outcome that stays open: a slow
	// store takes 1 s for a write. The write goes on, and the caller's next try joins it.
	outcomeTimeout = 1500 * time.Millisecond
	// undecidedRetryDelay is the wait before a job that can't be refused is tried again. A slow store's
	// answer takes some 400 ms.
	undecidedRetryDelay = 200 * time.Millisecond
	// hedgeDelay is how long this entry's own write may take before a peer is asked, too.
	// A write takes 10 ms, to a slow store 400 ms.
	hedgeDelay = 500 * time.Millisecond
	// peerTimeout bounds a call to a peer, which may have to wait for its own write.
	peerTimeout = 700 * time.Millisecond
	// probeTimeout bounds the question whether a peer reaches the store; it takes 2 ms.
	probeTimeout = 150 * time.Millisecond
	// probeInterval is the time between two questions to each peer.
	probeInterval = time.Second
	// silentPeerTimeout is how long a peer that has fallen silent may hold an open write of a job
	// whose caller still tries: callers give up 3 s after they began, and a probe may have
	// come just before the peer fell silent.
	silentPeerTimeout = 3*time.Second + probeInterval
)

// call is a caller's request in three forms: made here, and passed on to a peer.
type call struct {
	name, job string
	// refusalIsFinal says that a refusal promises that the job never runs.
	refusalIsFinal bool
	local          func(context.Context) error
	forward        func(context.Context, sniperillv1connect.DeskServiceClient) (pb.DeskResult, error)
}

// execute makes a call here and, when the store can't be reached or doesn't answer in time,
// at a peer. It is done when either is. It is unavailable only when neither can take
// effect any more.
func (d *Service) execute(ctx context.Context, c call) error {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	own := make(chan error, 1)
	go func() { own <- c.local(ctx) }()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	select {
	case err := <-own:
		if err == nil || errors.Is(err, shop.ErrNotFound) {
			return err
		}
		return d.forward(ctx, c, err)
	case <-hedge.C:
	}
	peers := make(chan error, 1)
	go func() { peers <- d.forward(ctx, c, ErrUndecided) }()
	select {
	case err := <-own:
		if err == nil || errors.Is(err, shop.ErrNotFound) {
			return err
		}
		return <-peers
	case err := <-peers:
		if err == nil || errors.Is(err, shop.ErrNotFound) {
			return err
		}
		return <-own
	}
}

// forward makes the call at a peer that reaches the store, if there is one. Err is what
// the call came to here.
func (d *Service) forward(ctx context.Context, c call, err error) error {
	s := d.surveyPeers(ctx, c.job)
	if c.refusalIsFinal && s.accepted {
		d.Log.Info().AnErr("own", err).Str("job", c.job).Msg("A job was submitted again; a peer has accepted it.")
		return nil
	}
	if c.refusalIsFinal {
		err = s.qualify(err)
	}
	if !s.hasReady {
		return err
	}
	result, failed := d.forwardTo(ctx, c, s.ready)
	d.Log.Info().Str("job", c.job).Str("call", c.name).Str("peer", s.ready.Name).Stringer("result", result).
		AnErr("failed", failed).AnErr("own", err).Msg("Passed a call on.")
	switch result {
	case pb.DeskResult_DESK_RESULT_DONE:
		return nil
	case pb.DeskResult_DESK_RESULT_NOT_FOUND:
		return fmt.Errorf("intake.Desk: job %q: %w", c.job, shop.ErrNotFound)
	case pb.DeskResult_DESK_RESULT_UNAVAILABLE:
		return err
	default:
		return fmt.Errorf("intake.Desk: %s at %s: %w: %w", c.name, s.ready.Name, ErrUndecided, failed)
	}
}

// peerSurvey is what the peers say when this entry can't reach the store.
type peerSurvey struct {
	// ready is the nearest peer that reaches the store. To pass a call on to another would
	// make a refusal that is certain into an outcome that nobody knows.
	ready    Peer
	hasReady bool
	// open says that a peer may write the job that the call is about; unheard, that one may
	// which has fallen silent lately, or isn't known yet.
	open, silent bool
	// accepted says that a peer knows the job to be in the journal.
	accepted bool
}

// qualify turns a refusal into an open outcome when a peer may still write the job.
func (s peerSurvey) qualify(err error) error {
	switch {
	case !errors.Is(err, ErrUnavailable):
		return err
	case s.open:
		return fmt.Errorf("%w: by a peer: %v", errMayBeWritten, err) // No longer a refusal.
	case s.silent:
		return fmt.Errorf("%w: by a peer that is not heard: %v", errMayBeWritten, err)
	default:
		return err
	}
}

// surveyPeers asks all peers at once.
func (d *Service) surveyPeers(ctx context.Context, job string) peerSurvey {
	// A caller whose time is over says nothing about the peers.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	peers := d.Peers()
	answers := make([]*pb.DeskReadyResponse, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		if _, silent := d.silentSince.Load(peer.Name); !silent {
			wg.Go(func() { answers[i] = d.probe(ctx, peer, job) })
		}
	}
	wg.Wait()
	// Before this entry has read the journal, it doesn't know its peers.
	s := peerSurvey{silent: d.Follower.CaughtUpAt() == 0}
	for i, a := range answers {
		if a == nil {
			since, silent := d.silentSince.Load(peers[i].Name)
			s.silent = s.silent || silent && clock.Since(since.(clock.Instant)) < silentPeerTimeout
			continue
		}
		s.open = s.open || a.GetOpen()
		s.accepted = s.accepted || a.GetAccepted()
		if a.GetReady() && !s.hasReady {
			s.hasReady, s.ready = true, peers[i]
		}
	}
	return s
}

// Run asks all peers at intervals, so that it is known which are silent and for how long.
// It ends with ctx.
func (d *Service) Run(ctx context.Context) error {
	for clock.Pause(ctx, probeInterval) == nil {
		probes, cancel := context.WithTimeout(ctx, probeInterval)
		var wg sync.WaitGroup
		for _, peer := range d.Peers() {
			wg.Go(func() { d.probe(probes, peer, "") })
		}
		wg.Wait()
		cancel()
	}
	return ctx.Err()
}

// probe asks one peer, and returns nil when it doesn't answer.
func (d *Service) probe(ctx context.Context, peer Peer, job string) *pb.DeskReadyResponse {
	resp, err := peer.Client.Ready(ctx, connect.NewRequest(&pb.DeskReadyRequest{Job: job}))
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil // This process stops.
	}
	if err != nil {
		if _, before := d.silentSince.LoadOrStore(peer.Name, clock.Now()); !before {
			d.Log.Warn().Err(err).Str("peer", peer.Name).Msg("Lost a peer.")
		}
		return nil
	}
	if since, ok := d.silentSince.LoadAndDelete(peer.Name); ok {
		d.Log.Info().Str("peer", peer.Name).Dur("silent", clock.Since(since.(clock.Instant))).Msg("A peer is back.")
	}
	return resp.Msg
}

// forwardTo makes the call at one peer.
func (d *Service) forwardTo(ctx context.Context, c call, peer Peer) (pb.DeskResult, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	result, err := c.forward(ctx, peer.Client)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return pb.DeskResult_DESK_RESULT_UNAVAILABLE, err // The call never left.
	}
	return result, err
}

// PeerReady says whether an entry answers and reaches the store.
func (d *Service) PeerReady(ctx context.Context, name string) bool {
	for _, peer := range d.Peers() {
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

// Handler serves peers that can't reach the store.
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

// Ready says whether the entry reaches the store, and what it knows of a job if one is named.
func (h Handler) Ready(_ context.Context, r *connect.Request[pb.DeskReadyRequest]) (*connect.Response[pb.DeskReadyResponse], error) {
	out := &pb.DeskReadyResponse{Ready: h.Service.StateCurrent() && h.Service.Writer.UnavailableFor() == 0}
	if id := r.Msg.GetJob(); id != "" {
		out.Open, out.Accepted = h.Service.known(id)
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
	done := h.Service.pending.begin(j.ID)
	return connect.NewResponse(&pb.DeskSubmitResponse{Result: resultOf(done(h.Service.submit(ctx, &j)))}), nil
}

// State returns a job's state.
func (h Handler) State(ctx context.Context, r *connect.Request[pb.DeskStateRequest]) (*connect.Response[pb.DeskStateResponse], error) {
	state, err := h.Service.state(ctx, r.Msg.GetJob(), r.Msg.GetTeam())
	return connect.NewResponse(&pb.DeskStateResponse{Result: resultOf(err), State: string(state)}), nil
}

// Cancel cancels a job.
func (h Handler) Cancel(ctx context.Context, r *connect.Request[pb.DeskCancelRequest]) (*connect.Response[pb.DeskCancelResponse], error) {
	err := h.Service.cancel(ctx, r.Msg.GetJob(), r.Msg.GetTeam())
	return connect.NewResponse(&pb.DeskCancelResponse{Result: resultOf(err)}), nil
}
