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
	left       map[string]string // The incarnation that has told that it leaves, by the entry's name.
	replacedAt clock.Instant     // When an entry that had not left was last seen to have another one; zero if never.
}

// note records an incarnation of an entry, both of which are empty for an entry of an earlier version, given whether the
// entry has been silent. It reports whether it has not heard of the incarnation before.
func (i *incarnations) note(name, incarnation string, silent bool) (isNew bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if incarnation == "" {
		delete(i.left, name) // The one that left is followed by one that can't be told from others.
		return false
	}
	if i.newest == nil {
		i.newest = make(map[string]string)
	}
	before, known := i.newest[name]
	if known && before != incarnation && before != i.left[name] || !known && silent {
		i.replacedAt = clock.Now() // It may have been silent as another one, which this entry had not heard of.
	}
	isNew = before != incarnation
	i.newest[name] = incarnation
	return isNew
}

// replacedRecently reports whether an earlier incarnation of an entry may have an undecided write of a job whose
// caller still retries.
func (i *incarnations) replacedRecently() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.replacedAt != 0 && clock.Since(i.replacedAt) < silentPeerTimeout
}

// noteLeft records that an incarnation of an entry has told that it leaves.
func (i *incarnations) noteLeft(name, incarnation string) {
	if incarnation == "" {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.newest == nil {
		i.newest = make(map[string]string)
	}
	if i.left == nil {
		i.left = make(map[string]string)
	}
	if _, known := i.newest[name]; !known {
		i.newest[name] = incarnation
	}
	i.left[name] = incarnation
}

// hasLeft reports whether the newest known incarnation of an entry has told that it leaves.
func (i *incarnations) hasLeft(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	newest := i.newest[name]
	return newest != "" && i.left[name] == newest
}
