package platform

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/btree"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/pkg/shop"
)

// DefaultClaimTTL is how long a claim holds its key.
const DefaultClaimTTL = 12 * time.Hour

// ErrKeyReused means that an idempotency key was used again with another body.
var ErrKeyReused = fmt.Errorf("idempotency key used for another body: %w", shop.ErrInvalid)

// Claim binds a caller's idempotency key to one request and to the agent process
// that may run it.
type Claim struct {
	Team string `json:"team"`
	Key  string `json:"key"`
	// Digest is the digest of the request's body.
	Digest string `json:"digest"`
	// Request is the id of the request on the agent.
	Request string `json:"request"`
	// Agent and Incarnation identify the agent process whose memory decides whether
	// the request runs.
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
}

type claimKey struct{ team, key string }

func (c Claim) key() claimKey { return claimKey{c.Team, c.Key} }

// ClaimResult is the result of a claim.
type ClaimResult struct {
	// Won says that this claim holds the key, so that its request may be sent.
	Won bool
	// Holder is the claim that holds the key, and RecordID the id of its record;
	// empty when the holder isn't known.
	Holder   Claim
	RecordID string
}

// Claims decides which request holds an idempotency key. It is a state machine over
// the stream of claims: the first claim of a key that isn't voided holds it. A
// request is sent only after its claim was read and holds the key, so a request
// whose claim has an unknown outcome can be answered as not run. Such a claim is
// voided as soon as the log is available again. Until then, an entry that finds the
// claim has the agent seal its request and calls Release.
type Claims struct {
	// Append appends a record to the stream of claims.
	Append func(context.Context, Record) (uint64, error)
	// TTL is how long a claim holds its key; zero means DefaultClaimTTL.
	TTL    time.Duration
	Logger zerolog.Logger

	mu sync.Mutex
	timeline
	keys       map[claimKey][]trackedClaim  // The claims of each key, by offset.
	voids      map[string]bool              // Ids of voided records.
	byOffset   *btree.BTreeG[claimPosition] // All claims by offset.
	pruneQueue []pruneEntry
	// earlierHolders are the claims that held their keys when the log was replaced
	// by a new one.
	earlierHolders map[claimKey]HeldClaim
	waiting        map[string]chan ClaimResult // Calls of Claim by the id of their record.
	// abandoned are claims to be voided when the log is available again.
	abandoned []Record
}

func (c *Claims) ttl() time.Duration {
	if c.TTL == 0 {
		return DefaultClaimTTL
	}
	return c.TTL
}

// Next returns the offset after the last record read.
func (c *Claims) Next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// Missed is called when records before first were trimmed before they were read.
// Claims that still hold their keys are appended again as snapshots. When first was
// read already, the log has been replaced by a new one; the claims that held their
// keys then precede those of the new log.
func (c *Claims) Missed(first uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first < c.next {
		c.saveHolders()
	}
	c.restart(first)
	c.keys, c.voids, c.byOffset, c.pruneQueue = nil, nil, nil, nil
}

// Apply applies the next record of the stream.
func (c *Claims) Apply(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.advance(r) {
		return
	}
	if c.keys == nil {
		c.keys, c.voids = map[claimKey][]trackedClaim{}, map[string]bool{}
		c.byOffset = btree.NewG(claimTreeDegree, claimPosition.less)
	}
	c.prune(r.Appended)
	switch r.Kind {
	case KindVoid:
		c.applyVoid(r)
	case KindClaim:
		c.applyClaim(r)
	case KindClaimSnapshot:
		c.applySnapshot(r)
	}
}

// applyVoid voids claims, whether they were appended before the void record or are
// appended later.
func (c *Claims) applyVoid(r Record) {
	for _, id := range r.Voids {
		c.voids[id] = true
	}
	if r.Claim != nil {
		k := r.Claim.key()
		c.keys[k] = slices.DeleteFunc(c.keys[k], func(h trackedClaim) bool { return c.voids[h.ID] })
		if c.voids[c.earlierHolders[k].ID] {
			delete(c.earlierHolders, k)
		}
	}
	c.pruneQueue = append(c.pruneQueue, pruneEntry{offset: r.Offset, voids: r.Voids})
}

// applyClaim applies a claim. A claim made before this reader's start may have been
// voided by a record that was trimmed. Until a snapshot contains the claim, this
// reader can't tell which claim holds the key.
func (c *Claims) applyClaim(r Record) {
	if r.stale() || c.voids[r.ID] {
		c.notify(r.ID, ClaimResult{})
		return
	}
	h := HeldClaim{Claim: *r.Claim, ID: r.ID, Offset: r.Offset, Appended: r.Appended}
	c.insert(trackedClaim{HeldClaim: h, refreshed: c.timeAt(r.AsOf), possiblyVoided: r.AsOf < c.start})
	first := c.keys[r.Claim.key()][0]
	if first.possiblyVoided {
		c.notify(r.ID, ClaimResult{})
		return
	}
	c.notify(r.ID, ClaimResult{Won: first.ID == r.ID, Holder: first.Claim, RecordID: first.ID})
}

// notify sends the result of a claim to the call of Claim that waits for it, if any.
func (c *Claims) notify(id string, result ClaimResult) {
	if waiter, ok := c.waiting[id]; ok {
		waiter <- result
		delete(c.waiting, id)
	}
}

// prune drops claims that have expired at the given time by the log's clock, and
// voided ids that no record can refer to any more.
func (c *Claims) prune(now time.Time) {
	c.expire(now)
	n := 0
	for n < len(c.pruneQueue) && c.next-c.pruneQueue[n].offset > MaxLag+1 {
		for _, id := range c.pruneQueue[n].voids {
			delete(c.voids, id)
		}
		n++
	}
	c.pruneQueue = c.pruneQueue[n:]
}

// Claim tries to bind the key to a request. It fails with shop.ErrNotRun when the
// log is unavailable or the result isn't known in time; the request must not be
// sent then. It fails with ErrKeyReused when the key is held for another body.
func (c *Claims) Claim(ctx context.Context, claim Claim) (ClaimResult, error) {
	r := Record{ID: uuid.NewString(), Kind: KindClaim, AsOf: c.Next(), Claim: &claim}
	results := make(chan ClaimResult, 1)
	c.mu.Lock()
	if h, ok := c.earlierHolder(claim.key()); ok {
		c.mu.Unlock()
		result := ClaimResult{Holder: h.Claim, RecordID: h.ID}
		return result, c.resultError(claim, result)
	}
	if c.waiting == nil {
		c.waiting = map[string]chan ClaimResult{}
	}
	c.waiting[r.ID] = results
	c.mu.Unlock()
	_, err := c.Append(ctx, r)
	if err == nil {
		select {
		case result := <-results:
			if result.RecordID == "" {
				c.abandon(r) // For other readers it may hold the key.
			}
			return result, c.resultError(claim, result)
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	c.mu.Lock()
	delete(c.waiting, r.ID)
	c.mu.Unlock()
	if !errors.Is(err, ErrNotAppended) {
		c.abandon(r)
	}
	return ClaimResult{}, fmt.Errorf("platform.Claim: %w: %w: %w", shop.ErrNotRun, shop.ErrUnavailable, err)
}

// resultError returns the error of a claim's result.
func (c *Claims) resultError(claim Claim, result ClaimResult) error {
	switch {
	case result.Won:
		return nil
	case result.RecordID == "":
		return fmt.Errorf("platform.Claim: claim came too late, or near a gap: %w", shop.ErrNotRun)
	case result.Holder.Digest != claim.Digest:
		return fmt.Errorf("platform.Claim: %w", ErrKeyReused)
	default:
		return nil
	}
}

// Release voids the claim that holds a key, so that the key is free again. The agent
// must have sealed the claim's request, so that it has not run and never will.
func (c *Claims) Release(ctx context.Context, result ClaimResult) error {
	if _, err := c.Append(ctx, voidClaim(c.Next(), result.RecordID, result.Holder)); err != nil {
		return fmt.Errorf("platform.Release: %w", err)
	}
	return nil
}

// voidClaim returns a record that voids the claim with the given record id.
func voidClaim(asOf uint64, id string, claim Claim) Record {
	key := Claim{Team: claim.Team, Key: claim.Key, Request: claim.Request}
	return Record{ID: uuid.NewString(), Kind: KindVoid, AsOf: asOf, Voids: []string{id}, Claim: &key}
}

// abandon schedules a claim to be voided. Its request is answered as not run and is
// never sent.
func (c *Claims) abandon(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = append(c.abandoned, r)
}

// AbandonedClaims returns the number of claims that are still to be voided.
func (c *Claims) AbandonedClaims() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.abandoned)
}

// VoidInterval is the time between two tries to void abandoned claims.
const VoidInterval = time.Second

// Run voids abandoned claims at intervals until the context ends.
func (c *Claims) Run(ctx context.Context) error {
	t := time.NewTicker(VoidInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.voidAbandoned(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// voidAbandoned voids the abandoned claims in order, until one append fails.
func (c *Claims) voidAbandoned(ctx context.Context) {
	for {
		c.mu.Lock()
		if len(c.abandoned) == 0 {
			c.mu.Unlock()
			return
		}
		r := c.abandoned[0]
		c.mu.Unlock()
		if _, err := c.Append(ctx, voidClaim(r.AsOf, r.ID, *r.Claim)); err != nil {
			c.Logger.Warn().Err(err).Msg("Voiding an abandoned claim failed; retrying.")
			return
		}
		c.mu.Lock()
		c.abandoned = c.abandoned[1:]
		c.mu.Unlock()
	}
}
