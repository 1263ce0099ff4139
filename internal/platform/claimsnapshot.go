package platform

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"
)

const (
	// claimsPerSnapshot is the maximum number of claims in one snapshot record.
	claimsPerSnapshot = 200
	// claimTreeDegree is the degree of the B-tree of claims.
	claimTreeDegree = 32
)

// HeldClaim is a claim with its position in the stream, as stored in a snapshot.
// The first claim of a key in the stream holds it.
type HeldClaim struct {
	Claim
	// ID is the id of the claim's own record; Offset and Appended are the position
	// and time that the log assigned to it.
	ID       string    `json:"id"`
	Offset   uint64    `json:"offset"`
	Appended time.Time `json:"appended"`
}

// HeldClaimList is a list of claims sorted by offset.
type HeldClaimList []HeldClaim

// complete reports whether there are claims and each has its required fields.
func (l HeldClaimList) complete() bool {
	return len(l) > 0 && !slices.ContainsFunc(l, func(h HeldClaim) bool {
		return h.Key == "" || h.Request == "" || h.ID == ""
	})
}

// trackedClaim is a claim and when it was last refreshed: the time as of which it,
// or a snapshot with it, was last appended.
type trackedClaim struct {
	HeldClaim
	refreshed time.Time
	// possiblyVoided says that the claim may have been voided before this reader's
	// start.
	possiblyVoided bool
}

func (h trackedClaim) compareOffset(other trackedClaim) int {
	return cmp.Compare(h.Offset, other.Offset)
}

// claimPosition is a claim's position in the stream. Claims expire in this order.
type claimPosition struct {
	offset uint64
	claimKey
}

func (p claimPosition) less(other claimPosition) bool { return p.offset < other.offset }

// insert adds a claim to those of its key, sorted by offset. A claim that is there
// already is refreshed. It moves to a lower offset when that becomes known, since a
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

// applySnapshot adds the claims of a snapshot, as of what its writer had read. The
// snapshot is ignored by a reader that started later than that, because it may not
// know which of the claims were voided since.
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

// expired reports whether a claim no longer holds its key at the given time.
func (c *Claims) expired(h HeldClaim, now time.Time) bool { return now.Sub(h.Appended) > c.ttl() }

// expire drops the claims that have expired.
func (c *Claims) expire(now time.Time) {
	for {
		oldest, ok := c.byOffset.Min()
		if !ok {
			return
		}
		held := c.keys[oldest.claimKey]
		i := slices.IndexFunc(held, func(h trackedClaim) bool { return h.Offset == oldest.offset })
		if i >= 0 && !c.expired(held[i].HeldClaim, now) {
			return
		}
		if i >= 0 {
			c.keys[oldest.claimKey] = slices.Delete(held, i, i+1)
		}
		if len(c.keys[oldest.claimKey]) == 0 {
			delete(c.keys, oldest.claimKey)
		}
		c.byOffset.DeleteMin()
	}
}

// saveHolders saves the claim that holds each key when the log is replaced by a new
// one. Offsets of the new log can't be compared with those of the old one.
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

// earlierHolder returns the claim that held a key in a previous log, unless it has
// expired.
func (c *Claims) earlierHolder(k claimKey) (HeldClaim, bool) {
	h, ok := c.earlierHolders[k]
	if ok && c.expired(h, time.Now()) {
		delete(c.earlierHolders, k)
		return HeldClaim{}, false
	}
	return h, ok
}

// Due returns snapshots of the claims that were last refreshed before the given time.
// It leaves out claims that may have been voided.
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
