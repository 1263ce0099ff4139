package platform

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"
)

const (
	// claimsPerSnapshot bounds the claims of one snapshot record.
	claimsPerSnapshot = 200
	claimTreeDegree   = 32
)

// HeldClaim is a claim with its place in the stream, as a snapshot carries it.
// Among the claims of a key the first in the stream holds it.
type HeldClaim struct {
	Claim
	// ID of the claim's own record, and where and when the log took it.
	ID       string    `json:"id"`
	Offset   uint64    `json:"offset"`
	Appended time.Time `json:"appended"`
}

// HeldClaimList is claims, sorted by offset.
type HeldClaimList []HeldClaim

func (l HeldClaimList) complete() bool {
	return len(l) > 0 && !slices.ContainsFunc(l, func(h HeldClaim) bool {
		return h.Key == "" || h.Request == "" || h.ID == ""
	})
}

// trackedClaim is a claim and the time as of which the log was last told of it.
type trackedClaim struct {
	HeldClaim
	refreshed time.Time
	// possiblyVoided says that the claim may have been voided before this reader began.
	possiblyVoided bool
}

func (h trackedClaim) compareOffset(other trackedClaim) int {
	return cmp.Compare(h.Offset, other.Offset)
}

// claimPosition is a claim's place in the order in which claims expire.
type claimPosition struct {
	offset uint64
	claimKey
}

func (o claimPosition) less(other claimPosition) bool { return o.offset < other.offset }

// insert puts a claim in its place among those of its key. One that is there
// already is refreshed, and moves when its first record comes to light: a
// retried append may be in the stream twice.
func (c *Claims) insert(h trackedClaim) {
	k := h.key()
	held := c.keys[k]
	same := func(other trackedClaim) bool { return other.ID == h.ID }
	if i := slices.IndexFunc(held, same); i >= 0 {
		known := held[i]
		if known.Offset <= h.Offset {
			h.HeldClaim = known.HeldClaim
		}
		h.refreshed = later(known.refreshed, h.refreshed)
		h.possiblyVoided = known.possiblyVoided && h.possiblyVoided
		held = slices.Delete(held, i, i+1)
	}
	i, _ := slices.BinarySearchFunc(held, h, trackedClaim.compareOffset)
	c.keys[k] = slices.Insert(held, i, h)
	c.byOffset.ReplaceOrInsert(claimPosition{h.Offset, k})
}

// applySnapshot takes in claims that its writer had read. What was voided since is
// known to this reader when it began before the writer's offset.
func (c *Claims) applySnapshot(r Record) {
	if r.AsOf < c.start || r.stale() {
		return
	}
	refreshed := c.timeAt(r.AsOf)
	for _, h := range r.HeldClaims {
		if h.Offset < r.AsOf && !c.voids[h.ID] && !c.expired(h, r.Appended) {
			c.insert(trackedClaim{HeldClaim: h, refreshed: refreshed})
		}
	}
}

func (c *Claims) expired(h HeldClaim, now time.Time) bool { return now.Sub(h.Appended) > c.ttl() }

// expire drops the claims that hold no longer.
func (c *Claims) expire(now time.Time) {
	for {
		o, ok := c.byOffset.Min()
		if !ok {
			return
		}
		held := c.keys[o.claimKey]
		i := slices.IndexFunc(held, func(h trackedClaim) bool { return h.Offset == o.offset })
		if i >= 0 && !c.expired(held[i].HeldClaim, now) {
			return
		}
		if i >= 0 {
			c.keys[o.claimKey] = slices.Delete(held, i, i+1)
		}
		if len(c.keys[o.claimKey]) == 0 {
			delete(c.keys, o.claimKey)
		}
		c.byOffset.DeleteMin()
	}
}

// saveHolders remembers who holds each key when the log starts over. The order
// of the new log can't be compared with the old one's.
func (c *Claims) saveHolders() {
	if c.earlierHolders == nil {
		c.earlierHolders = map[claimKey]HeldClaim{}
	}
	for k, held := range c.keys {
		if _, ok := c.earlierHolders[k]; !ok && len(held) > 0 {
			c.earlierHolders[k] = held[0].HeldClaim
		}
	}
}

// earlierHolder returns who held a key in a log before this one, and still does.
func (c *Claims) earlierHolder(k claimKey) (HeldClaim, bool) {
	h, ok := c.earlierHolders[k]
	if ok && c.expired(h, time.Now()) {
		delete(c.earlierHolders, k)
		return HeldClaim{}, false
	}
	return h, ok
}

// Due returns snapshots of the claims that hold and were last refreshed before
// that time.
func (c *Claims) Due(before time.Time) []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due HeldClaimList
	for _, held := range c.keys {
		for _, h := range held {
			if !h.possiblyVoided && h.refreshed.Before(before) {
				due = append(due, h.HeldClaim)
			}
		}
	}
	slices.SortFunc(due, func(a, b HeldClaim) int { return cmp.Compare(a.Offset, b.Offset) })
	var l []Record
	for chunk := range slices.Chunk(due, claimsPerSnapshot) {
		l = append(l, Record{ID: uuid.NewString(), Kind: KindClaimSnapshot, AsOf: c.next, HeldClaims: chunk})
	}
	return l
}
