package platform

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
)

// Parameters of a restore.
const (
	// DefaultRestoreDelay is how long the log must have lacked the newest version
	// before a restore is proposed.
	DefaultRestoreDelay = 30 * time.Second
	// DefaultRestoreGrace is how long other readers may object to a proposal.
	DefaultRestoreGrace  = 15 * time.Second
	restoreCheckInterval = time.Second
	// RestoreVersionStep is added to the restored version, so that versions which an
	// unreachable process may already know are not used twice.
	RestoreVersionStep = 1 << 20
)

// proposal is a proposed restore that no reader has objected to so far.
type proposal struct {
	id     string
	config AcceptedConfig
}

// applyProposal adds a proposal to restore an earlier configuration. A reader that
// knows the same or a newer version from the log objects by appending a snapshot.
// A proposal with a newer version replaces those with older ones.
func (c *Configs) applyProposal(r Record) {
	a := AcceptedConfig{Config: r.Config.Config, Author: r.Config.Author}
	c.Learn(a)
	c.snapshotRequested = c.snapshotRequested || !c.newestUnknown && c.newest.Version >= a.Version
	c.proposals = slices.DeleteFunc(c.proposals, func(p proposal) bool { return p.config.Version < a.Version })
	c.proposals = append(c.proposals, proposal{id: r.ID, config: a})
}

// applyConfirmation makes a proposal the newest version, unless a snapshot, a change
// or another confirmation was appended since, whether or not it had an effect. All
// readers that have read the proposal reach the same decision.
func (c *Configs) applyConfirmation(r Record) {
	defer func() { c.proposals = nil }()
	i := slices.IndexFunc(c.proposals, func(p proposal) bool { return p.id == r.Config.Proposal })
	if i < 0 {
		// Other readers may have read the proposal, if it lies before this reader's
		// start, and applied it. Snapshots as of earlier offsets may be outdated.
		c.minSnapshotAsOf = r.Offset + 1
		return
	}
	a := c.proposals[i].config
	c.newest = AcceptedConfig{Config: a.WithVersion(a.Version + RestoreVersionStep), Author: a.Author}
	c.newestUnknown, c.pendingChanges = false, nil
	c.refreshed = time.Time{}
	c.snapshotRequested = true
}

// restoreAttempt is one reader's attempt to restore the configuration.
type restoreAttempt struct {
	// lackingSince is when this reader saw that the log lacks the newest version.
	lackingSince time.Time
	proposedAt   time.Time
	// Record is the proposal.
	Record
}

// Run restores the configuration when the log has lost the newest version, and
// objects to restores of a configuration that the log still has, until the context
// ends.
func (c *Configs) Run(ctx context.Context) error {
	t := time.NewTicker(restoreCheckInterval)
	defer t.Stop()
	var attempt restoreAttempt
	for {
		select {
		case now := <-t.C:
			c.checkRestore(ctx, &attempt, now)
		case <-ctx.Done():
			return nil
		}
	}
}

// checkRestore makes the next step of a restore when one is needed.
func (c *Configs) checkRestore(ctx context.Context, attempt *restoreAttempt, now time.Time) {
	c.appendRequestedSnapshot(ctx)
	a := c.Current()
	switch {
	case a == nil || !c.lacks(*a):
		*attempt = restoreAttempt{}
	case attempt.lackingSince.IsZero():
		attempt.lackingSince = now
	case attempt.proposedAt.IsZero():
		if now.Sub(attempt.lackingSince) >= c.restoreDelay() {
			attempt.Record = c.restoreRecord(KindConfigRestore, ConfigRecord{Author: a.Author, Config: a.Config})
			attempt.proposedAt = now
			_, _ = c.Append(ctx, attempt.Record)
		}
	case now.Sub(attempt.proposedAt) >= c.restoreGrace():
		if a.Version == attempt.Config.Config.Version {
			_, _ = c.Append(ctx, c.restoreRecord(KindConfigConfirm, ConfigRecord{Proposal: attempt.ID}))
		}
		*attempt = restoreAttempt{lackingSince: now} // Retried when it had no effect.
	}
}

func (c *Configs) restoreRecord(k Kind, r ConfigRecord) Record {
	return Record{ID: uuid.NewString(), Kind: k, AsOf: c.Next(), Config: &r}
}

// appendRequestedSnapshot appends a snapshot when a proposal or a confirmation has
// requested one.
func (c *Configs) appendRequestedSnapshot(ctx context.Context) {
	c.mu.Lock()
	requested := c.snapshotRequested && !c.newestUnknown
	var r Record
	if requested {
		r = c.snapshotRecord()
	}
	c.mu.Unlock()
	if !requested {
		return
	}
	if _, err := c.Append(ctx, r); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshotRequested = false
}

// lacks reports whether the log, as read so far, doesn't reach the version of a.
func (c *Configs) lacks(a AcceptedConfig) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestUnknown || c.newest.Version < a.Version
}

func (c *Configs) restoreDelay() time.Duration {
	if c.RestoreDelay == 0 {
		return DefaultRestoreDelay
	}
	return c.RestoreDelay
}

func (c *Configs) restoreGrace() time.Duration {
	if c.RestoreGrace == 0 {
		return DefaultRestoreGrace
	}
	return c.RestoreGrace
}
