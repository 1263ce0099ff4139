package intake

import (
	"fmt"
	"sync"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxPeerName bounds what another process calls itself, a job or a team, in bytes.
	maxPeerName = 1000
	// maxStrangers bounds the entries that have called this one before it has read that they registered.
	maxStrangers = 100
)

var refusedStrangers = metrics.NewCounter("sniperill_intake_strangers_refused_total")

// strangers remembers the entries that have called before they were known to be registered. Whoever reaches the port
// for other entries can make up names. The zero value is empty.
type strangers struct {
	mu    sync.Mutex
	names map[string]bool
}

// admit reports whether a stranger is among the first maxStrangers.
func (s *strangers) admit(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] {
		return true
	}
	if len(s.names) >= maxStrangers {
		return false
	}
	if s.names == nil {
		s.names = make(map[string]bool)
	}
	s.names[name] = true
	return true
}

// checkEntry returns an error for a call of an entry of which nothing is to be remembered.
func (s *Service) checkEntry(name, incarnation string) error {
	if err := checkNames(name, incarnation); err != nil {
		return err
	}
	if name == "" || s.ClusterState.HasEntry(name) || s.strangers.admit(name) {
		return nil
	}
	refusedStrangers.Inc()
	s.callLog("").Warn().Str("peer", name).Int("limit", maxStrangers).Msg("Refused a call of an entry that has not registered.")
	return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("entry %q has not registered, nor have %d others that called", name, maxStrangers))
}

// checkNames returns an error if a name in a call is longer than any that this system gives.
func checkNames(names ...string) error {
	for _, n := range names {
		if len(n) > maxPeerName {
			return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("name of %d bytes, %.40q", len(n), n))
		}
	}
	return nil
}
