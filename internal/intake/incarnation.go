package intake

import (
	"sync"

	"sniperill.example/sniperill/internal/clock"
)

// incarnations remembers which incarnations of the entries this one has heard of. An entry that has started again
// knows nothing of what its earlier incarnation was writing. The zero value is empty.
type incarnations struct {
	mu         sync.Mutex
	newest     map[string]string // By the entry's name.
	replacedAt clock.Instant     // When an entry was last seen to have another one; zero if never.
}

// note records an incarnation of an entry, both of which are empty for an entry of an earlier version.
func (i *incarnations) note(name, incarnation string) {
	if incarnation == "" {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.newest == nil {
		i.newest = make(map[string]string)
	}
	if before, ok := i.newest[name]; ok && before != incarnation {
		i.replacedAt = clock.Now()
	}
	i.newest[name] = incarnation
}

// replacedRecently reports whether an earlier incarnation of an entry may have an undecided write of a job whose
// caller still retries.
func (i *incarnations) replacedRecently() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.replacedAt != 0 && clock.Since(i.replacedAt) < silentPeerTimeout
}
