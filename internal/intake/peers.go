package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

const (
	// hedgeAfter is how long this entry's own write may take before a peer is asked, too.
	// A write takes 10 ms, to a slow store 400 ms.
	hedgeAfter = 500 * time.Millisecond
	// peerTimeout bounds a call to a peer, which may have to wait for its own write.
	peerTimeout = 700 * time.Millisecond
	// probeTimeout bounds the question whether a peer reaches the store; it takes 2 ms.
	probeTimeout = 150 * time.Millisecond
	// maxProbes bounds the peers that are asked that for one call.
	maxProbes = 3
	// silentPause is how long a peer that didn't answer is left out.
	silentPause = 3 * time.Second
)

// call is a caller's request in three forms: made here, and passed on to a peer.
type call struct {
	name, job string
	own       func(context.Context) error
	pass      func(context.Context, sniperillv1connect.DeskServiceClient) (pb.DeskResult, error)
}

// do makes a call here and, when the store can't be reached or doesn't answer in time,
// at a peer. It is done when either is. It is unavailable only when neither can take
// effect any more.
func (d *Desk) do(ctx context.Context, c call) error {
	own := make(chan error, 1)
	go func() { own <- c.own(ctx) }()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	select {
	case err := <-own:
		if err == nil || errors.Is(err, shop.ErrNotFound) {
			return err
		}
		return d.passOn(ctx, c, err)
	case <-hedge.C:
	}
	peers := make(chan error, 1)
	go func() { peers <- d.passOn(ctx, c, ErrUndecided) }()
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

// passOn makes the call at a peer that reaches the store, if there is one. Err is what
// the call came to here.
func (d *Desk) passOn(ctx context.Context, c call, err error) error {
	peer, ok := d.readyPeer(ctx)
	if !ok {
		return err
	}
	result, failed := d.ask(ctx, c, peer)
	d.Log.Info().Str("job", c.job).Str("call", c.name).Str("peer", peer.Name).Stringer("result", result).
		AnErr("failed", failed).AnErr("own", err).Msg("Passed a call on.")
	switch result {
	case pb.DeskResult_DESK_RESULT_DONE:
		return nil
	case pb.DeskResult_DESK_RESULT_NOT_FOUND:
		return fmt.Errorf("intake.Desk: job %q: %w", c.job, shop.ErrNotFound)
	case pb.DeskResult_DESK_RESULT_UNAVAILABLE:
		return err
	default:
		return fmt.Errorf("intake.Desk: %s at %s: %w: %w", c.name, peer.Name, ErrUndecided, failed)
	}
}

// readyPeer returns a peer that says that it reaches the store. To pass a call on to
// another would make a refusal that is certain into an outcome that nobody knows.
func (d *Desk) readyPeer(ctx context.Context) (Peer, bool) {
	probes := 0
	for _, peer := range d.Peers() {
		if since, ok := d.silent.Load(peer.Name); ok && clock.Since(since.(clock.Instant)) < silentPause {
			continue
		}
		if probes++; probes > maxProbes || ctx.Err() != nil {
			break
		}
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		resp, err := peer.Client.Ready(probe, connect.NewRequest(&pb.DeskReadyRequest{}))
		cancel()
		if err != nil {
			d.silent.Store(peer.Name, clock.Now())
			d.Log.Warn().Err(err).Str("peer", peer.Name).Msg("A peer doesn't answer.")
			continue
		}
		if resp.Msg.GetReady() {
			return peer, true
		}
	}
	return Peer{}, false
}

// ask makes the call at one peer.
func (d *Desk) ask(ctx context.Context, c call, peer Peer) (pb.DeskResult, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	result, err := c.pass(ctx, peer.Client)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return pb.DeskResult_DESK_RESULT_UNAVAILABLE, err // The call never left.
	}
	return result, err
}

// Ask says whether an entry answers and reaches the store.
func (d *Desk) Ask(ctx context.Context, name string) bool {
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
type Handler struct{ Desk *Desk }

func result(err error) pb.DeskResult {
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

// Ready says whether the entry reaches the store.
func (h Handler) Ready(context.Context, *connect.Request[pb.DeskReadyRequest]) (*connect.Response[pb.DeskReadyResponse], error) {
	return connect.NewResponse(&pb.DeskReadyResponse{Ready: h.Desk.Current() && h.Desk.Writer.Away() == 0}), nil
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
	return connect.NewResponse(&pb.DeskSubmitResponse{Result: result(h.Desk.submit(ctx, &j))}), nil
}

// State returns a job's state.
func (h Handler) State(ctx context.Context, r *connect.Request[pb.DeskStateRequest]) (*connect.Response[pb.DeskStateResponse], error) {
	state, err := h.Desk.state(ctx, r.Msg.GetJob(), r.Msg.GetTeam())
	return connect.NewResponse(&pb.DeskStateResponse{Result: result(err), State: string(state)}), nil
}

// Cancel cancels a job.
func (h Handler) Cancel(ctx context.Context, r *connect.Request[pb.DeskCancelRequest]) (*connect.Response[pb.DeskCancelResponse], error) {
	err := h.Desk.cancel(ctx, r.Msg.GetJob(), r.Msg.GetTeam())
	return connect.NewResponse(&pb.DeskCancelResponse{Result: result(err)}), nil
}
