package platform

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
)

// Times and numbers of a restore.
const (
	// DefaultRestoreDelay is how long the log must have lacked the newest version.
	DefaultRestoreDelay = 30 * time.Second
	// DefaultRestoreGrace is how long others have to object to a proposal.
	DefaultRestoreGrace  = 15 * time.Second
	restoreCheckInterval = time.Second
	// RestoreVersionStep is added to the version that is restored, so that no version
	// is used twice that a process out of reach may know.
	RestoreVersionStep = 1 << 20
)

// proposal is a restore that nobody has objected to so far.
type proposal struct {
	id     string
	config AcceptedConfig
}

// applyProposal takes a proposal to restore a version that was in force. A reader that
// knows as much from the log objects by a snapshot. A better informed proposal
// takes the place of others.
func (c *Configs) applyProposal(r Record) {
	a := AcceptedConfig{Config: r.Config.Config, Author: r.Config.Author}
	c.Learn(a)
	c.snapshotRequested = c.snapshotRequested || !c.newestUnknown && c.newest.Version >= a.Version
	c.proposals = slices.DeleteFunc(c.proposals, func(p proposal) bool { return p.config.Version < a.Version })
	c.proposals = append(c.proposals, proposal{id: r.ID, config: a})
}

// applyConfirmation puts a proposal in force, if nothing else was written since: no
// snapshot, change or other confirmation, whatever that one came to. All who
// have read the proposal agree.
func (c *Configs) applyConfirmation(r Record) {
	defer func() { c.proposals = nil }()
	i := slices.IndexFunc(c.proposals, func(p proposal) bool { return p.id == r.Config.Proposal })
	if i < 0 {
		// Its proposal may lie before this reader's start.
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
	lackingSince time.Time // Since when the log lacks the newest version.
	proposedAt   time.Time
	Record
}

// Run restores the configuration when the log has lost it, and objects to
// others that want to restore what the log still has, until the context ends.
func (c *Configs) Run(ctx context.Context) error {
	t := time.NewTicker(restoreCheckInterval)
	defer t.Stop()
	var r restoreAttempt
	for {
		select {
		case now := <-t.C:
			c.checkRestore(ctx, &r, now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Configs) checkRestore(ctx context.Context, r *restoreAttempt, now time.Time) {
	c.appendRequestedSnapshot(ctx)
	a := c.Current()
	switch {
	case a == nil || !c.lacks(*a):
		*r = restoreAttempt{}
	case r.lackingSince.IsZero():
		r.lackingSince = now
	case r.proposedAt.IsZero():
		if now.Sub(r.lackingSince) >= c.restoreDelay() {
			r.Record = c.restoreRecord(KindConfigRestore, ConfigRecord{Author: a.Author, Config: a.Config})
			r.proposedAt = now
			_, _ = c.Append(ctx, r.Record)
		}
	case now.Sub(r.proposedAt) >= c.restoreGrace():
		if a.Version == r.Config.Config.Version {
			_, _ = c.Append(ctx, c.restoreRecord(KindConfigConfirm, ConfigRecord{Proposal: r.ID}))
		}
		*r = restoreAttempt{lackingSince: now} // Tried anew if it came to nothing.
	}
}

func (c *Configs) restoreRecord(k Kind, r ConfigRecord) Record {
	return Record{ID: uuid.NewString(), Kind: k, AsOf: c.Next(), Config: &r}
}

// appendRequestedSnapshot appends a snapshot when a proposal asked for one.
func (c *Configs) appendRequestedSnapshot(ctx context.Context) {
	c.mu.Lock()
	asked := c.snapshotRequested && !c.newestUnknown
	var r Record
	if asked {
		r = c.snapshotRecord()
	}
	c.mu.Unlock()
	if !asked {
		return
	}
	if _, err := c.Append(ctx, r); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshotRequested = false
}

// lacks says whether the log, as read so far, doesn't lead to that version.
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
