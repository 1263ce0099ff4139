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

// claimReader is a reader of the stream of claims.
type claimReader struct {
	*Claims
	reader
}

const shortTTL = 40 * time.Minute

func newClaimReader() *claimReader {
	c := &Claims{TTL: shortTTL, waiting: map[string]chan ClaimResult{}}
	return &claimReader{Claims: c, reader: reader{apply: c.Apply, missed: c.Missed}}
}

// resultOf returns a channel that receives the result of a claim.
func (c *claimReader) resultOf(id string) <-chan ClaimResult {
	w := make(chan ClaimResult, 1)
	c.waiting[id] = w
	return w
}

// competingClaim is a claim and its results at its own reader and at the full one.
type competingClaim struct {
	id                    string
	ownResult, fullResult <-chan ClaimResult
}

// Claims race, are voided and expire while records are repeated and appended late,
// and the log trims what was refreshed in time. Readers at the end of the stream must
// agree on the order of each key's claims, and a reader may only report a claim as
// won when the reader of the full stream does.
func TestClaimsAgree(t *testing.T) {
	checkRapid(t, func(t *rapid.T) {
		s := newStream()
		full := newClaimReader()
		entries := []*claimReader{newClaimReader(), newClaimReader()}
		var inFlight []Record
		var competing []competingClaim
		n := 0
		pick := func() *claimReader { return entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")] }
		pickInFlight := func() int {
			if len(inFlight) == 0 {
				t.Skip("no record in flight")
			}
			return rapid.IntRange(0, len(inFlight)-1).Draw(t, "record")
		}
		addInFlight := func(r Record) Record {
			n++
			r.ID = fmt.Sprint(n)
			inFlight = append(inFlight, r)
			return r
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				e := pick()
				r := claimRecord("", "d", e.Claims.Next())
				r.Claim.Key = rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
				r = addInFlight(r)
				competing = append(competing, competingClaim{r.ID, e.resultOf(r.ID), full.resultOf(r.ID)})
			},
			"release": func(t *rapid.T) {
				e := pick()
				k := claimKey{"t", rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")}
				if len(e.keys[k]) == 0 {
					t.Skip("no claim")
				}
				addInFlight(voidClaim(e.Claims.Next(), e.keys[k][0].ID, e.keys[k][0].Claim))
			},
			"abandon": func(*rapid.T) {
				if r := inFlight[pickInFlight()]; r.Kind == KindClaim {
					addInFlight(voidClaim(r.AsOf, r.ID, *r.Claim))
				}
			},
			"land": func(t *rapid.T) {
				i := pickInFlight()
				s.add(inFlight[i])
				if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
			},
			"read": func(t *rapid.T) {
				s.read(&pick().reader, rapid.IntRange(1, 5).Draw(t, "records"))
			},
			"trim": func(t *rapid.T) {
				s.read(&full.reader, allRecords)
				first := rapid.Uint64Range(s.first, uint64(len(s.records))).Draw(t, "first")
				kept := s.now.Add(-time.Duration(uint64(len(s.records))-first) * time.Minute)
				for _, claims := range full.keys {
					for _, h := range claims {
						if !h.refreshed.After(kept) {
							t.Skip("a claim isn't refreshed yet")
						}
					}
				}
				s.first = first
			},
			"refresh": func(*rapid.T) {
				s.read(&full.reader, allRecords)
				for _, r := range full.Due(s.now) {
					s.add(r)
				}
			},
			"late refresh": func(*rapid.T) {
				for _, r := range pick().Due(s.now.Add(time.Hour)) {
					addInFlight(r)
				}
			},
			"restart": func(t *rapid.T) {
				entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")] = newClaimReader()
			},
			"": func(t *rapid.T) {
				s.read(&full.reader, allRecords)
				for _, e := range entries {
					if e.Claims.Next() == full.Claims.Next() {
						if d := cmp.Diff(full.order(e.start), e.order(0)); d != "" {
							t.Fatalf("readers differ: %s", d)
						}
					}
				}
				for _, c := range competing {
					checkCompetingClaim(t, c)
				}
			},
		})
	})
}

// order lists the claims of each key, in order, that a reader from the start offset
// must know.
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
	// The full reader is never behind the others, so its result is there.
	if own, full := <-c.ownResult, <-c.fullResult; own.Won && !full.Won {
		t.Fatalf("claim %s won at its own reader only", c.id)
	}
}

// A snapshot is appended after other claims of its key, after a release, or after the
// claim has expired. It is read by a reader of the full stream and by one that starts
// after trimmed records.
func TestLateClaimSnapshot(t *testing.T) {
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
		late    time.Duration // Extra delay of the last record.
		want    []string
	}{
		{"after another claim", []Record{first, second, snapshot(1)}, 0, 0, []string{"ka", "kb"}},
		{"after another claim, first one trimmed", []Record{first, second, snapshot(1)}, 1, 0, []string{"ka", "kb"}},
		{"after a repeated append, first one trimmed", []Record{first, second, first, snapshot(3)}, 1, 0, []string{"ka", "kb"}},
		{"after a release", []Record{first, release, snapshot(1)}, 0, 0, nil},
		{"after a release, first one trimmed", []Record{first, release, snapshot(1)}, 1, 0, nil},
		{"after a release that was trimmed", []Record{first, release, snapshot(1)}, 2, 0, nil},
		{"after the claim expired", []Record{first, snapshot(1)}, 1, shortTTL, nil},
		{"with a claim that its writer can't have read", []Record{first, snapshot(0)}, 1, 0, nil},
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

// A claim made before a reader's start may have been voided by a trimmed record. A
// later claim of the same key must neither win nor get a holder until a snapshot
// shows whether the earlier one holds the key.
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
	beforeSnapshot, afterSnapshot := c.resultOf("b"), c.resultOf("c")
	s.read(&c.reader, allRecords)
	if d := cmp.Diff(ClaimResult{}, <-beforeSnapshot); d != "" {
		t.Errorf("before the snapshot: %s", d)
	}
	if d := cmp.Diff(ClaimResult{Holder: *first.Claim, RecordID: "a"}, <-afterSnapshot); d != "" {
		t.Errorf("after the snapshot: %s", d)
	}
}

// Claims must hold their keys for the whole TTL although the log keeps records for a
// sixth of that time, through outages and for readers that start late, and then
// expire.
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
			t.Errorf("after the first claim expired the key is held by %+v", d)
		}
	})
}
