package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"sniperill.example/sniperill/pkg/shop"
)

// maxChangeResults bounds the changes whose verdict is remembered.
const maxChangeResults = 1024

// AcceptedConfig is a configuration that won its version, and who published it.
type AcceptedConfig struct {
	shop.Config
	Author string
}

// ConflictError is a shop.ErrConflict that names the change that won.
type ConflictError struct {
	Author  string
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: version %d by %s is newer", shop.ErrConflict, e.Version, e.Author)
}

// Is makes errors.Is(err, shop.ErrConflict) hold.
func (e *ConflictError) Is(target error) bool { return target == shop.ErrConflict }

// changeResult is what the log's order decided about a change.
type changeResult struct {
	version uint64
	err     error
}

// Configs is the history of the configuration. A change names the version that
// it is based on; it is accepted when that is the newest version accepted
// before it in the log, and is a conflict otherwise. All readers come to the
// same verdict, and versions only grow.
//
// A reader that starts behind trimmed records can't judge changes until it has
// read a snapshot made since its start: until then changes wait.
//
// When the log has lost the newest version, Run restores it from what peers and
// agents know: one reader proposes a restore, and confirms it when nobody has
// objected by a snapshot within a grace time.
type Configs struct {
	// Append adds a record to the configuration's stream.
	Append func(context.Context, Record) (uint64, error)
	// RestoreDelay is how long the log must have lacked the newest version
	// before a restore is proposed, RestoreGrace how long others may object.
	RestoreDelay time.Duration
	RestoreGrace time.Duration

	current atomic.Pointer[AcceptedConfig]

	mu sync.Mutex
	timeline
	newest            AcceptedConfig
	newestUnknown     bool // The newest version isn't known yet.
	pendingChanges    []Record
	refreshed         time.Time
	results           map[string]changeResult
	resultOrder       []string
	changed           chan struct{}
	proposals         []proposal
	minSnapshotAsOf   uint64 // A reader that knows nothing yet trusts no snapshot as of before.
	snapshotRequested bool   // A snapshot is wanted at once.
}

// Current returns the newest configuration known, and nil before the first.
// It takes no lock.
func (c *Configs) Current() *AcceptedConfig { return c.current.Load() }

// Learn takes the newest configuration that a peer or agent knows. It never
// goes back, and has no part in judging the log's records.
func (c *Configs) Learn(a AcceptedConfig) {
	for {
		old := c.current.Load()
		if a.Version == 0 || old != nil && a.Version <= old.Version {
			return
		}
		if c.current.CompareAndSwap(old, &a) {
			return
		}
	}
}

// Missed tells that records before first were trimmed unread.
func (c *Configs) Missed(first uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restart(first)
	c.newestUnknown = true
	c.pendingChanges, c.proposals, c.minSnapshotAsOf = nil, nil, 0
	c.refreshed = time.Time{}
}

// Apply takes the next record of the stream.
func (c *Configs) Apply(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.advance(r) {
		return
	}
	switch r.Kind {
	case KindConfigRestore:
		c.applyProposal(r)
	case KindConfigConfirm:
		c.applyConfirmation(r)
	case KindConfigChange:
		c.proposals = nil
		if c.newestUnknown {
			c.pendingChanges = append(c.pendingChanges, r)
			return
		}
		c.applyChange(r)
	case KindConfigSnapshot:
		c.proposals = nil
		c.applySnapshot(r)
	}
	if !c.newestUnknown {
		c.Learn(c.newest)
	}
	c.wake()
}

// applyChange decides about a change.
func (c *Configs) applyChange(r Record) {
	v := changeResult{version: r.Config.Base + 1}
	if r.Config.Base == c.newest.Version {
		c.newest = AcceptedConfig{Config: r.Config.Config.WithVersion(v.version), Author: r.Config.Author}
	} else {
		v = changeResult{err: &ConflictError{Author: c.newest.Author, Version: c.newest.Version}}
	}
	c.storeResult(r.ID, v)
}

// storeResult keeps a verdict for its publisher. A retried append may be in the
// log again later; the first one counts.
func (c *Configs) storeResult(id string, v changeResult) {
	if _, again := c.results[id]; again {
		return
	}
	if c.results == nil {
		c.results = map[string]changeResult{}
	}
	c.results[id] = v
	c.resultOrder = append(c.resultOrder, id)
	if len(c.resultOrder) > maxChangeResults {
		delete(c.results, c.resultOrder[0])
		c.resultOrder = c.resultOrder[1:]
	}
}

// applySnapshot takes a snapshot of the state before offset AsOf. A reader that
// knows the newest version only notes that it was refreshed.
func (c *Configs) applySnapshot(r Record) {
	if r.AsOf < c.start || r.AsOf > r.Offset {
		return
	}
	c.refreshed = later(c.refreshed, c.timeAt(r.AsOf))
	if !c.newestUnknown || r.AsOf < c.minSnapshotAsOf {
		return
	}
	c.newestUnknown = false
	c.newest = AcceptedConfig{Config: r.Config.Config, Author: r.Config.Author}
	waiting := c.pendingChanges
	c.pendingChanges = nil
	for _, w := range waiting {
		if w.Offset >= r.AsOf {
			c.applyChange(w)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Due returns the snapshot record that is needed when the newest configuration
// was last refreshed before that time.
func (c *Configs) Due(before time.Time) []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newestUnknown || c.newest.Version == 0 || !c.refreshed.Before(before) {
		return nil
	}
	return []Record{c.snapshotRecord()}
}

func (c *Configs) snapshotRecord() Record {
	return Record{
		ID:     uuid.NewString(),
		Kind:   KindConfigSnapshot,
		AsOf:   c.next,
		Config: &ConfigRecord{Author: c.newest.Author, Config: c.newest.Config},
	}
}

// Publish appends a change based on a version and waits until this reader has
// seen the log's verdict. It returns the new version, or a ConflictError when
// another change won. With ErrUnknown the change may still be accepted; it is
// safe to publish it again on the same base, as one of the two at most wins.
func (c *Configs) Publish(ctx context.Context, config shop.Config, base uint64, author string) (uint64, error) {
	if a := c.Current(); a != nil && a.Version > base {
		return 0, fmt.Errorf("platform.Publish: %w", &ConflictError{Author: a.Author, Version: a.Version})
	}
	if c.rebuilding(base) {
		return 0, fmt.Errorf("platform.Publish: %w: %w", ErrNotAppended, ErrRebuilding)
	}
	r := Record{
		ID:     uuid.NewString(),
		Kind:   KindConfigChange,
		AsOf:   c.Next(),
		Config: &ConfigRecord{Base: base, Author: author, Config: config.WithVersion(0)},
	}
	if _, err := c.Append(ctx, r); err != nil {
		return 0, fmt.Errorf("platform.Publish: %w", err)
	}
	v, err := c.wait(ctx, r.ID)
	if err != nil {
		p := PendingAppend{Stream: ConfigStream, From: r.AsOf, RecordIDs: []string{r.ID}}
		return 0, fmt.Errorf("platform.Publish: %w", &OutcomeUnknownError{PendingAppend: p, Cause: err})
	}
	if v.err != nil {
		return 0, fmt.Errorf("platform.Publish: %w", v.err)
	}
	return v.version, nil
}

// Next returns the offset after the last record read.
func (c *Configs) Next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// ErrRebuilding says that the newest version isn't known from the log yet.
var ErrRebuilding = errors.New("state is being rebuilt from the log")

// rebuilding says whether the log, as read so far, can't lead to the base.
func (c *Configs) rebuilding(base uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestUnknown || c.newest.Version < base
}

// wait returns the verdict about a record that was appended.
func (c *Configs) wait(ctx context.Context, id string) (changeResult, error) {
	for {
		c.mu.Lock()
		v, ok := c.results[id]
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed, unknown := c.changed, c.newestUnknown
		c.mu.Unlock()
		if ok {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if unknown {
				return changeResult{}, fmt.Errorf("%w: %w", ErrRebuilding, ctx.Err())
			}
			return changeResult{}, ctx.Err()
		}
	}
}

// wake lets waiting publishers look again. The caller holds the mutex.
func (c *Configs) wake() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
