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

// maxChangeResults is the maximum number of changes whose result is kept.
const maxChangeResults = 1024

// AcceptedConfig is an accepted version of the configuration and its author.
type AcceptedConfig struct {
	shop.Config
	Author string
}

// ConflictError is a shop.ErrConflict with the version that was accepted instead.
type ConflictError struct {
	Author  string
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: version %d by %s is newer", shop.ErrConflict, e.Version, e.Author)
}

// Is makes errors.Is(err, shop.ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == shop.ErrConflict }

// changeResult is the outcome of a change: the version that it created, or an error.
type changeResult struct {
	version uint64
	err     error
}

// Configs keeps track of the configuration. It is a state machine over the
// configuration's stream. A change names the version that it is based on. It is
// accepted when that is the newest version accepted before it in the log, and is a
// conflict otherwise. All readers reach the same result, and versions only
// increase.
//
// A reader that starts after trimmed records can't evaluate changes until it has
// read a snapshot as of its start or later; changes are held back until then.
//
// When the log has lost the newest version, Run restores it from what peers and
// agents know. A reader proposes a restore, and confirms it when no other reader
// has objected by appending a snapshot within a grace period.
type Configs struct {
	// Append appends a record to the configuration's stream.
	Append func(context.Context, Record) (uint64, error)
	// RestoreDelay is how long the log must have lacked the newest version before a
	// restore is proposed; zero means DefaultRestoreDelay.
	RestoreDelay time.Duration
	// RestoreGrace is how long other readers may object to a proposal; zero means
	// DefaultRestoreGrace.
	RestoreGrace time.Duration

	current atomic.Pointer[AcceptedConfig]

	mu sync.Mutex
	timeline
	newest            AcceptedConfig
	newestUnknown     bool                    // The newest version can't be told from the log yet.
	pendingChanges    []Record                // Changes held back until the newest version is known.
	refreshed         time.Time               // The newest version was last appended as of this time.
	results           map[string]changeResult // By the id of the change's record.
	resultOrder       []string                // Ids in results, oldest first.
	changed           chan struct{}
	proposals         []proposal
	minSnapshotAsOf   uint64 // Snapshots as of earlier offsets may be outdated.
	snapshotRequested bool   // A snapshot is to be appended at once.
}

// Current returns the newest configuration known, or nil when there is none yet. It
// takes no lock.
func (c *Configs) Current() *AcceptedConfig { return c.current.Load() }

// Learn updates Current with the configuration that a peer or agent knows, if that
// one is newer. It doesn't affect how the log's records are evaluated.
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

// Missed is called when records before first were trimmed before they were read, or
// when the log was replaced by a new one.
func (c *Configs) Missed(first uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restart(first)
	c.newestUnknown = true
	c.pendingChanges, c.proposals, c.minSnapshotAsOf = nil, nil, 0
	c.refreshed = time.Time{}
}

// Apply applies the next record of the stream.
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

// applyChange accepts or rejects a change.
func (c *Configs) applyChange(r Record) {
	result := changeResult{version: r.Config.Base + 1}
	if r.Config.Base == c.newest.Version {
		c.newest = AcceptedConfig{Config: r.Config.Config.WithVersion(result.version), Author: r.Config.Author}
	} else {
		result = changeResult{err: &ConflictError{Author: c.newest.Author, Version: c.newest.Version}}
	}
	c.storeResult(r.ID, result)
}

// storeResult keeps the result of a change for its publisher. A retried append may
// be in the log more than once; the first record counts.
func (c *Configs) storeResult(id string, result changeResult) {
	if _, stored := c.results[id]; stored {
		return
	}
	if c.results == nil {
		c.results = map[string]changeResult{}
	}
	c.results[id] = result
	c.resultOrder = append(c.resultOrder, id)
	if len(c.resultOrder) > maxChangeResults {
		delete(c.results, c.resultOrder[0])
		c.resultOrder = c.resultOrder[1:]
	}
}

// applySnapshot applies a snapshot of the state before offset AsOf. A reader that
// knows the newest version only updates the time of the last refresh.
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
	pending := c.pendingChanges
	c.pendingChanges = nil
	for _, change := range pending {
		if change.Offset >= r.AsOf {
			c.applyChange(change)
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Due returns a snapshot when the newest version was last refreshed before the given
// time, and nothing otherwise.
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

// Publish appends a change based on a version and waits until this reader knows its
// result. It returns the new version, or a ConflictError when another change was
// accepted. It fails with ErrNotAppended and ErrRebuilding while the base isn't
// known from the log. With ErrOutcomeUnknown the change may still be accepted; it
// is safe to publish it again on the same base, as at most one of the two is
// accepted.
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
	result, err := c.wait(ctx, r.ID)
	if err != nil {
		p := PendingAppend{Stream: ConfigStream, From: r.AsOf, RecordIDs: []string{r.ID}}
		return 0, fmt.Errorf("platform.Publish: %w", &OutcomeUnknownError{PendingAppend: p, Cause: err})
	}
	if result.err != nil {
		return 0, fmt.Errorf("platform.Publish: %w", result.err)
	}
	return result.version, nil
}

// Next returns the offset after the last record read.
func (c *Configs) Next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// ErrRebuilding means that the newest version isn't known from the log yet.
var ErrRebuilding = errors.New("state is being rebuilt from the log")

// rebuilding reports whether the log, as read so far, doesn't reach the base version.
func (c *Configs) rebuilding(base uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestUnknown || c.newest.Version < base
}

// wait returns the result of an appended change, once this reader knows it.
func (c *Configs) wait(ctx context.Context, id string) (changeResult, error) {
	for {
		c.mu.Lock()
		result, ok := c.results[id]
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed, unknown := c.changed, c.newestUnknown
		c.mu.Unlock()
		if ok {
			return result, nil
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

// wake makes waiting publishers check for their result again. The caller must hold
// the mutex.
func (c *Configs) wake() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
