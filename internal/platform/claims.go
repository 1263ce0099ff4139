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

// ErrKeyReused says that an idempotency key came again with another body.
var ErrKeyReused = fmt.Errorf("idempotency key used for another body: %w", shop.ErrInvalid)

// Claim binds a caller's idempotency key to one request and to the one agent
// that may run it.
type Claim struct {
	Team string `json:"team"`
	Key  string `json:"key"`
	// Digest of the request's body.
	Digest string `json:"digest"`
	// Request is the id that the agent knows the request by.
	Request string `json:"request"`
	// Agent and Incarnation name the one memory that decides about the request.
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
}

type claimKey struct{ team, key string }

func (c Claim) key() claimKey { return claimKey{c.Team, c.Key} }

// ClaimResult is the answer to a claim.
type ClaimResult struct {
	// Won says that this claim holds the key: its request may be sent.
	Won bool
	// Holder is the claim that holds the key, and ID its record.
	Holder   Claim
	RecordID string
}

// Claims decides which request holds an idempotency key: the first in the
// stream of claims that isn't voided. A request is sent only after its claim
// was seen to hold, so a claim of unknown outcome can be answered as not run:
// it is voided as soon as the log is back, and until then whoever finds it has
// its request sealed by its agent and calls Release.
type Claims struct {
	// Append adds a record to the stream of claims.
	Append func(context.Context, Record) (uint64, error)
	// TTL is how long a claim holds its key.
	TTL    time.Duration
	Logger zerolog.Logger

	mu sync.Mutex
	timeline
	keys       map[claimKey][]trackedClaim
	voids      map[string]bool
	byOffset   *btree.BTreeG[claimPosition] // The claims in the order of the stream.
	pruneQueue []pruneEntry
	// earlierHolders are the claims that held when the log started over.
	earlierHolders map[claimKey]HeldClaim
	waiting        map[string]chan ClaimResult
	// abandoned are claims to be voided once the log is back.
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

// Missed tells that records before first were trimmed unread. The claims that
// still hold come again as snapshots. When first was read already, the log has
// started over, and the claims that held go before those of the new log.
func (c *Claims) Missed(first uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first < c.next {
		c.saveHolders()
	}
	c.restart(first)
	c.keys, c.voids, c.byOffset, c.pruneQueue = nil, nil, nil, nil
}

// Apply takes the next record of the stream.
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

// applyVoid takes back claims that landed before, and those that land later.
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

// applyClaim takes a claim. One that was made before this reader began may have been
// voided by a record that was trimmed: until a snapshot brings it again, nobody
// here can say who holds its key.
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

func (c *Claims) notify(id string, d ClaimResult) {
	if w, ok := c.waiting[id]; ok {
		w <- d
		delete(c.waiting, id)
	}
}

// prune drops claims that no longer hold at that time by the log's clock, and
// voids that no record can refer to any more.
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

// Claim tries to bind the key to a request. It fails with shop.ErrNotRun when
// the log is away or the claim can't be seen in time: the request must not be
// sent then. It fails with ErrKeyReused when the key holds another body.
func (c *Claims) Claim(ctx context.Context, claim Claim) (ClaimResult, error) {
	r := Record{ID: uuid.NewString(), Kind: KindClaim, AsOf: c.Next(), Claim: &claim}
	want := make(chan ClaimResult, 1)
	c.mu.Lock()
	if h, ok := c.earlierHolder(claim.key()); ok {
		c.mu.Unlock()
		d := ClaimResult{Holder: h.Claim, RecordID: h.ID}
		return d, c.check(claim, d)
	}
	if c.waiting == nil {
		c.waiting = map[string]chan ClaimResult{}
	}
	c.waiting[r.ID] = want
	c.mu.Unlock()
	_, err := c.Append(ctx, r)
	if err == nil {
		select {
		case d := <-want:
			if d.RecordID == "" {
				c.abandon(r) // To other readers it may hold.
			}
			return d, c.check(claim, d)
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

func (c *Claims) check(claim Claim, d ClaimResult) error {
	switch {
	case d.Won:
		return nil
	case d.RecordID == "":
		return fmt.Errorf("platform.Claim: claim came too late, or near a gap: %w", shop.ErrNotRun)
	case d.Holder.Digest != claim.Digest:
		return fmt.Errorf("platform.Claim: %w", ErrKeyReused)
	default:
		return nil
	}
}

// Release voids the claim of a request that never ran and never will, because
// its agent has sealed it, so that the key is free again.
func (c *Claims) Release(ctx context.Context, d ClaimResult) error {
	if _, err := c.Append(ctx, voidClaim(c.Next(), d.RecordID, d.Holder)); err != nil {
		return fmt.Errorf("platform.Release: %w", err)
	}
	return nil
}

func voidClaim(asOf uint64, id string, claim Claim) Record {
	key := Claim{Team: claim.Team, Key: claim.Key, Request: claim.Request}
	return Record{ID: uuid.NewString(), Kind: KindVoid, AsOf: asOf, Voids: []string{id}, Claim: &key}
}

// abandon notes a claim whose request is answered as not run and never sent.
func (c *Claims) abandon(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = append(c.abandoned, r)
}

// AbandonedClaims counts the claims that are still to be voided.
func (c *Claims) AbandonedClaims() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.abandoned)
}

// VoidInterval is how often abandoned claims are looked at.
const VoidInterval = time.Second

// Run voids abandoned claims until the context ends.
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

// voidAbandoned voids the abandoned claims, one after another until one fails.
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
			c.Logger.Warn().Err(err).Msg("Claim not voided yet.")
			return
		}
		c.mu.Lock()
		c.abandoned = c.abandoned[1:]
		c.mu.Unlock()
	}
}
