package intake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"
)

// peerCallWait is how long a call to peers waits while there are as many as there may be. Each ends within
// probeTimeout or peerTimeout.
const peerCallWait = 400 * time.Millisecond

var limitedPeerCalls = metrics.NewCounter("sniperill_intake_peer_calls_limited_total")

// peerCalls bounds the calls to peers that callers' requests cause. The zero value is ready to use.
type peerCalls struct {
	once  sync.Once
	slots *semaphore.Weighted
}

// acquirePeerCalls waits until n calls to peers may be made. The returned function says that they have ended.
func (s *Service) acquirePeerCalls(ctx context.Context, n int) (release func(), err error) {
	if s.MaxPeerCalls == 0 {
		return func() {}, nil
	}
	s.peerCalls.once.Do(func() { s.peerCalls.slots = semaphore.NewWeighted(int64(s.MaxPeerCalls)) })
	weight := int64(min(n, s.MaxPeerCalls))
	ctx, cancel := context.WithTimeout(ctx, peerCallWait)
	defer cancel()
	if err := s.peerCalls.slots.Acquire(ctx, weight); err != nil {
		limitedPeerCalls.Inc()
		s.callLog("").Warn().Int("limit", s.MaxPeerCalls).Msg("A call to peers was not made, as there are too many.")
		return nil, fmt.Errorf("intake.Service: %d calls to peers are under way: %w", s.MaxPeerCalls, err)
	}
	return func() { s.peerCalls.slots.Release(weight) }, nil
}
