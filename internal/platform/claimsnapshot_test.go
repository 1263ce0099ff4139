package platform

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sniperill.example/sniperill/internal/standin"
)

// claimReader is a reader of claims in a property test.
type claimReader struct {
	*Claims
	reader
}

const shortTTL = 40 * time.Minute

func newClaimReader() *claimReader {
	c := &Claims{TTL: shortTTL, waiting: map[string]chan ClaimResult{}}
	return &claimReader{Claims: c, reader: reader{apply: c.Apply, missed: c.Missed}}
}

func (c *claimReader) resultOf(id string) <-chan ClaimResult {
	w := make(chan ClaimResult, 1)
	c.waiting[id] = w
	return w
}

// competingClaim is a claim and what its own reader and the whole one say of it.
type competingClaim struct {
	id                    string
	ownResult, fullResult <-chan ClaimResult
}

// Claims race, are voided and expire while records are repeated, land late, and
// the log trims what was refreshed in time: readers at the end of the stream
// agree on the order of each key's claims, and whoever is told that its claim
// won is right.
func TestClaimsAgree(t *testing.T) {
	checkRapid(t, func(t *rapid.T) {
		s := newStream()
		whole := newClaimReader()
		entries := []*claimReader{newClaimReader(), newClaimReader()}
		var held []Record
		var contenders []competingClaim
		n := 0
		pick := func() *claimReader { return entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")] }
		pickHeld := func() int {
			if len(held) == 0 {
				t.Skip("nothing held")
			}
			return rapid.IntRange(0, len(held)-1).Draw(t, "held")
		}
		hold := func(r Record) Record {
			n++
			r.ID = fmt.Sprint(n)
			held = append(held, r)
			return r
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				e := pick()
				r := claimRecord("", "d", e.Claims.Next())
				r.Claim.Key = rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
				r = hold(r)
				contenders = append(contenders, competingClaim{r.ID, e.resultOf(r.ID), whole.resultOf(r.ID)})
			},
			"release": func(t *rapid.T) {
				e := pick()
				k := claimKey{"t", rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")}
				if len(e.keys[k]) == 0 {
					t.Skip("no claim")
				}
				hold(voidClaim(e.Claims.Next(), e.keys[k][0].ID, e.keys[k][0].Claim))
			},
			"abandon": func(*rapid.T) {
				if r := held[pickHeld()]; r.Kind == KindClaim {
					hold(voidClaim(r.AsOf, r.ID, *r.Claim))
				}
			},
			"land": func(t *rapid.T) {
				i := pickHeld()
				s.add(held[i])
				if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
					held = append(held[:i], held[i+1:]...)
				}
			},
			"read": func(t *rapid.T) {
				s.read(&pick().reader, rapid.IntRange(1, 5).Draw(t, "records"))
			},
			"trim": func(t *rapid.T) {
				s.read(&whole.reader, allRecords)
				first := rapid.Uint64Range(s.first, uint64(len(s.records))).Draw(t, "first")
				kept := s.now.Add(-time.Duration(uint64(len(s.records))-first) * time.Minute)
				for _, claims := range whole.keys {
					for _, h := range claims {
						if !h.refreshed.After(kept) {
							t.Skip("a claim isn't refreshed yet")
						}
					}
				}
				s.first = first
			},
			"refresh": func(*rapid.T) {
				s.read(&whole.reader, allRecords)
				for _, r := range whole.Due(s.now) {
					s.add(r)
				}
			},
			"late refresh": func(*rapid.T) {
				for _, r := range pick().Due(s.now.Add(time.Hour)) {
					hold(r)
				}
			},
			"restart": func(t *rapid.T) {
				entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")] = newClaimReader()
			},
			"": func(t *rapid.T) {
				s.read(&whole.reader, allRecords)
				for _, e := range entries {
					if e.Claims.Next() == whole.Claims.Next() {
						if d := cmp.Diff(whole.order(e.start), e.order(0)); d != "" {
							t.Fatalf("readers differ: %s", d)
						}
					}
				}
				for _, c := range contenders {
					checkCompetingClaim(t, c)
				}
			},
		})
	})
}

// order lists the claims of each key that a reader from the start offset knows.
func (c *claimReader) order(start uint64) []string {
	var l []string
	for _, key := range []string{"k", "l"} {
		for _, h := range c.keys[claimKey{"t", key}] {
			if !h.possiblyVoided && (start == 0 || !h.refreshed.Before(c.timeAt(start))) {
				l = append(l, key+h.ID)
			}
		}
	}
	return l
}

func checkCompetingClaim(t *rapid.T, c competingClaim) {
	if len(c.ownResult) == 0 {
		return
	}
	// The whole reader is ahead of all others.
	if own, whole := <-c.ownResult, <-c.fullResult; own.Won && !whole.Won {
		t.Fatalf("claim %s won to its reader only", c.id)
	}
}

// A snapshot lands after other claims of its key, after a release or after the
// end of the claim, at a reader that has read all and at one that starts there.
func TestClaimSnapshotLands(t *testing.T) {
	first, second := claimRecord("a", "d", 0), claimRecord("b", "d", 0)
	snapshot := func(asOf uint64) Record {
		h := HeldClaim{Claim: *first.Claim, ID: "a", Appended: newStream().now.Add(time.Minute)}
		return Record{ID: "s", Kind: KindClaimSnapshot, AsOf: asOf, HeldClaims: HeldClaimList{h}}
	}
	second.AsOf = 1
	release := voidClaim(1, "a", *first.Claim)
	tests := []struct {
		name    string
		records []Record
		from    uint64
		late    time.Duration // Of the last record.
		want    []string
	}{
		{"behind another claim", []Record{first, second, snapshot(1)}, 0, 0, []string{"ka", "kb"}},
		{"behind another claim, first one trimmed", []Record{first, second, snapshot(1)}, 1, 0, []string{"ka", "kb"}},
		{"after a repeat, first one trimmed", []Record{first, second, first, snapshot(3)}, 1, 0, []string{"ka", "kb"}},
		{"after a release", []Record{first, release, snapshot(1)}, 0, 0, nil},
		{"after a release, first one trimmed", []Record{first, release, snapshot(1)}, 1, 0, nil},
		{"after a release that was trimmed", []Record{first, release, snapshot(1)}, 2, 0, nil},
		{"after the claim's end", []Record{first, snapshot(1)}, 1, shortTTL, nil},
		{"of what its writer can't have read", []Record{first, snapshot(0)}, 1, 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStream()
			for i, r := range tt.records {
				if i == len(tt.records)-1 {
					s.now = s.now.Add(tt.late)
				}
				s.add(r)
			}
			s.first = tt.from
			c := newClaimReader()
			s.read(&c.reader, allRecords)
			if d := cmp.Diff(tt.want, c.order(0)); d != "" {
				t.Error(d)
			}
		})
	}
}

// A claim from before a reader's start may have been voided before that: a claim
// behind it neither wins nor learns of a holder, until a snapshot tells.
func TestClaimAfterPossiblyVoidedClaim(t *testing.T) {
	first, second, third := claimRecord("a", "d", 0), claimRecord("b", "d", 2), claimRecord("c", "d", 3)
	snapshot := Record{ID: "s", Kind: KindClaimSnapshot, AsOf: 2, HeldClaims: HeldClaimList{
		{Claim: *first.Claim, ID: "a", Offset: 1, Appended: newStream().now.Add(2 * time.Minute)},
	}}
	s := newStream()
	for _, r := range []Record{endedRecord("x", 0), first, second, snapshot, third} {
		s.add(r)
	}
	s.first = 1
	c := newClaimReader()
	behind, after := c.resultOf("b"), c.resultOf("c")
	s.read(&c.reader, allRecords)
	if d := cmp.Diff(ClaimResult{}, <-behind); d != "" {
		t.Errorf("before the snapshot: %s", d)
	}
	if d := cmp.Diff(ClaimResult{Holder: *first.Claim, RecordID: "a"}, <-after); d != "" {
		t.Errorf("after the snapshot: %s", d)
	}
}

// Claims hold their keys although the log keeps records for a sixth of that
// time, also through outages, to readers that start late; then they end.
func TestClaimsOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		const retention, claims = 2 * time.Hour, claimsPerSnapshot + 1
		start := func() *Claims {
			b := &Batcher{Log: f.log, Stream: ClaimStream}
			c := &Claims{Append: b.Append}
			f.follow(&Follower{Stream: ClaimStream, PollTimeout: time.Minute, Handle: c.Apply, Missed: c.Missed})
			n := &Snapshotter{Retention: retention, Due: c.Due, Append: b.Append}
			go func() { _ = b.Run(f.ctx) }()
			go func() { _ = n.Run(f.ctx) }()
			time.Sleep(time.Second)
			synctest.Wait()
			return c
		}
		claim := func(c *Claims, key, request string) ClaimResult {
			d, err := c.Claim(f.ctx, Claim{Team: "t", Key: key, Digest: "d", Request: request})
			if err != nil {
				t.Error(err)
			}
			return d
		}
		all := func(do func(int)) {
			var group sync.WaitGroup
			for i := range claims {
				group.Go(func() { do(i) })
			}
			group.Wait()
		}
		c := start()
		all(func(i int) { claim(c, fmt.Sprint("k", i), fmt.Sprint("r", i)) })
		lost := claim(c, "k0", "second")
		if lost.Won {
			t.Error("second claim won")
		}
		for half := range 11 * 2 {
			f.standIn.SetFaults(standin.LogFaults{Down: half%8 == 2})
			time.Sleep(20 * time.Minute)
			f.standIn.SetFaults(standin.LogFaults{})
			time.Sleep(10 * time.Minute)
			f.standIn.TrimOlder(retention)
		}
		fresh := start()
		all(func(i int) {
			if d := claim(fresh, fmt.Sprint("k", i), "late"); d.Won || d.Holder.Request != fmt.Sprint("r", i) {
				t.Errorf("key %d is held by %+v", i, d)
			}
		})
		time.Sleep(2 * time.Hour)
		if d := claim(start(), "k1", "again"); d.Won || d.Holder.Request != "late" {
			t.Errorf("after the first claim's end the key is held by %+v", d)
		}
	})
}
