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
	// maxUnregistered bounds the entries that have called this one before it has read that they registered.
	maxUnregistered = 100
)

var refusedUnregistered = metrics.NewCounter("sniperill_intake_unregistered_refused_total")

// unregistered remembers the entries that have called before they were known to be registered. Any caller of the
// port for other entries can make up names. The zero value is empty.
type unregistered struct {
	mu    sync.Mutex
	names map[string]bool
}

// admit reports whether an entry is among the first maxUnregistered.
func (u *unregistered) admit(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.names[name] {
		return true
	}
	if len(u.names) >= maxUnregistered {
		return false
	}
	if u.names == nil {
		u.names = make(map[string]bool)
	}
	u.names[name] = true
	return true
}

// checkEntry returns an error for a call of an entry of which nothing is to be remembered.
func (s *Service) checkEntry(name, incarnation string) error {
	if err := checkNames(name, incarnation); err != nil {
		return err
	}
	if name == "" || s.ClusterState.HasEntry(name) || s.unregistered.admit(name) {
		return nil
	}
	refusedUnregistered.Inc()
	s.callLog("").Warn().Str("peer", name).Int("limit", maxUnregistered).Msg("Refused a call of an entry that has not registered.")
	return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("entry %q has not registered, nor have %d others that called", name, maxUnregistered))
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
