package intake

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"sniperill.example/sniperill/internal/clock"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

// Peers that were told that this entry leaves, and those that were not, which take it for one that fell silent.
var (
	peersTold   = metrics.NewCounter(`sniperill_entry_leave_calls_total{result="told"}`)
	peersUntold = metrics.NewCounter(`sniperill_entry_leave_calls_total{result="failed"}`)
)

// Leave tells the peers that this process writes nothing any more, and which jobs it may have written that they may
// not know of. Call it once the writer has stopped; calls that are still in progress count as undecided then. A peer
// that doesn't hear of it takes this entry for one that fell silent.
func (s *Service) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := &pb.DeskLeaveRequest{Entry: s.Name, Life: s.Incarnation}
	request.Open, request.Accepted = s.pending.unknownToPeers()
	var wg sync.WaitGroup
	for _, peer := range s.Peers() {
		wg.Go(func() {
			if _, err := peer.Client.Leave(ctx, connect.NewRequest(request)); err != nil {
				peersUntold.Inc()
				s.Log.Warn().Err(err).Str("peer", peer.Name).Msg("Could not tell a peer that this entry leaves.")
				return
			}
			peersTold.Inc()
		})
	}
	wg.Wait()
	s.Log.Info().Int("open", len(request.Open)).Int("accepted", len(request.Accepted)).Msg("Told the peers that this entry leaves.")
}

// Leave records that a peer has left, and takes over what it knew of jobs.
func (h Handler) Leave(_ context.Context, r *connect.Request[pb.DeskLeaveRequest]) (*connect.Response[pb.DeskLeaveResponse], error) {
	s := h.Service
	if err := s.checkEntry(r.Msg.GetEntry(), r.Msg.GetLife()); err != nil {
		return nil, err
	}
	s.pending.takeOver(r.Msg.GetOpen(), r.Msg.GetAccepted()) // Before the peer stops counting as silent.
	s.incarnations.noteLeft(r.Msg.GetEntry(), r.Msg.GetLife())
	s.callLog("").Info().Str("peer", r.Msg.GetEntry()).Int("open", len(r.Msg.GetOpen())).Int("accepted", len(r.Msg.GetAccepted())).Msg("A peer leaves.")
	return connect.NewResponse(&pb.DeskLeaveResponse{}), nil
}

// introduce calls all peers once, before this entry writes the first job, which waits for that: a peer that was told
// that an earlier incarnation left must not take this one for it.
func (s *Service) introduce(ctx context.Context) {
	if s.Follower.CaughtUpAt() == 0 {
		return // The peers are not known yet.
	}
	s.introduction.Do(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		s.probePeers(ctx)
	})
}

// probePeers probes all peers concurrently.
func (s *Service) probePeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range s.Peers() {
		wg.Go(func() { _, _ = s.probe(ctx, peer, "") }) // It notes a failure.
	}
	wg.Wait()
}

// unknownToPeers returns the jobs that this entry may have written, and those that it has written so lately that
// their callers may still retry and peers may not have read them.
func (p *pendingJobs) unknownToPeers() (open, accepted []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for id, j := range p.jobs {
		switch {
		case j.expired(now):
		case !j.accepted:
			open = append(open, id)
		case now < j.expires.Add(silentPeerTimeout-acceptedRetention):
			accepted = append(accepted, id)
		}
	}
	return open, accepted
}

// takeOver remembers jobs of a peer that has left.
func (p *pendingJobs) takeOver(open, accepted []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range open {
		j := p.getOrCreate(id)
		j.expires = max(j.expires, clock.Now().Add(undecidedRetention))
	}
	for _, id := range accepted {
		j := p.getOrCreate(id)
		j.accepted, j.settled, j.expires = true, nil, clock.Now().Add(acceptedRetention)
	}
}
