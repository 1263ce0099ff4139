package platform

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sniperill.example/sniperill/pkg/shop"
)

// jobReader is a reader of the stream of jobs.
type jobReader struct {
	*Jobs
	reader
}

func newJobReader() *jobReader {
	j := &Jobs{}
	return &jobReader{Jobs: j, reader: reader{apply: j.Apply, missed: j.Missed}}
}

// attemptClaim is a claim of an attempt and the planner that made it.
type attemptClaim struct {
	Record
	planner *jobReader
	// inLog says that the record has been appended; offset is where it was appended first.
	inLog  bool
	offset uint64
	// voided says that the planner voided the claim before it was appended.
	voided bool
	// won says that the planner was told that its claim holds the attempt.
	won bool
}

// Planners race to claim the attempts of a job. Meanwhile records are repeated after
// lost responses, voided and appended late, the log trims what was refreshed in
// time, and planners restart. At most one planner may win each number, it must be
// the one that the full stream gives, and a planner that missed no record must be
// told that it won.
func TestAttemptClaimedOnce(t *testing.T) {
	checkRapid(t, func(t *rapid.T) {
		s := newStream()
		full := newJobReader()
		planners := []*jobReader{newJobReader(), newJobReader()}
		holders := map[int]string{} // Claim ids by attempt, according to the full stream.
		var claims []*attemptClaim
		n := 0
		s.add(Record{ID: "job", Kind: KindJobAccepted, Job: &JobRecord{ID: "job", Job: &shop.Job{ID: "job"}}})
		pick := func() *jobReader {
			return planners[rapid.IntRange(0, len(planners)-1).Draw(t, "planner")]
		}
		pickClaim := func() *attemptClaim {
			if len(claims) == 0 {
				t.Skip("no claims")
			}
			return claims[rapid.IntRange(0, len(claims)-1).Draw(t, "claim")]
		}
		appendRecord := func(c *attemptClaim) {
			if !c.inLog {
				c.inLog, c.offset = true, uint64(len(s.records))
			}
			s.add(c.Record)
		}
		readFull := func() {
			for full.Jobs.Next() < uint64(len(s.records)) {
				s.read(&full.reader, 1)
				if j := full.jobs["job"]; j != nil && j.claimID != "" {
					holders[j.attempt] = j.claimID
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				p := pick()
				known := 0
				if j := p.jobs["job"]; j != nil {
					known = j.attempt
				}
				n++
				r := p.newRecord(KindJobAttempt, JobRecord{ID: "job", Attempt: known + rapid.IntRange(1, 2).Draw(t, "ahead")})
				r.ID = fmt.Sprint(n)
				c := &attemptClaim{Record: r, planner: p}
				claims = append(claims, c)
				if rapid.Bool().Draw(t, "appended at once") {
					appendRecord(c)
				}
			},
			"land": func(*rapid.T) {
				appendRecord(pickClaim()) // May be repeated, as after a lost response.
			},
			"settle": func(*rapid.T) {
				c := pickClaim()
				c.voided = c.voided || !c.inLog
				s.add(Record{ID: "void-" + c.ID, Kind: KindVoid, AsOf: c.AsOf, Voids: []string{c.ID}})
			},
			"read": func(t *rapid.T) {
				s.read(&pick().reader, rapid.IntRange(1, 5).Draw(t, "records"))
			},
			"trim": func(t *rapid.T) {
				readFull()
				first := rapid.Uint64Range(s.first, uint64(len(s.records))).Draw(t, "first")
				kept := s.now.Add(-time.Duration(uint64(len(s.records))-first) * time.Minute)
				if rapid.Bool().Draw(t, "careful") && !full.jobs["job"].refreshed.After(kept) {
					t.Skip("the job isn't refreshed yet")
				}
				s.first = first
			},
			"refresh": func(*rapid.T) {
				readFull()
				for _, r := range full.Due(s.now, allRecords) {
					s.add(r)
				}
			},
			"restart": func(t *rapid.T) {
				planners[rapid.IntRange(0, len(planners)-1).Draw(t, "planner")] = newJobReader()
			},
			"": func(t *rapid.T) {
				readFull()
				for _, c := range claims {
					c.checkResult(t, holders)
				}
				checkWinners(t, claims)
			},
		})
	})
}

// checkResult asks the planner's reader for the claim's result as ClaimAttempt does,
// and checks it against the full stream.
func (c *attemptClaim) checkResult(t *rapid.T, holders map[int]string) {
	if !c.inLog || c.voided || c.planner.Jobs.Next() <= c.offset {
		return
	}
	err := c.planner.checkClaim(c.Record, c.offset)
	holds := holders[c.Job.Attempt] == c.ID
	switch {
	case err == nil && !holds:
		t.Fatalf("claim %s of attempt %d won, but %q holds it", c.ID, c.Job.Attempt, holders[c.Job.Attempt])
	case errors.Is(err, ErrAttemptClaimed) && holds && c.planner.start <= c.AsOf && c.planner.jobs["job"].attempt == c.Job.Attempt:
		t.Fatalf("claim %s holds attempt %d, but its planner was told that it doesn't", c.ID, c.Job.Attempt)
	}
	c.won = c.won || err == nil
}

// checkWinners checks that each attempt was won once at most, and only by a planner that had read of the
// attempts before it.
func checkWinners(t *rapid.T, claims []*attemptClaim) {
	winners := map[int]string{}
	for _, c := range claims {
		if !c.won {
			continue
		}
		if other, ok := winners[c.Job.Attempt]; ok {
			t.Fatalf("claims %s and %s both won attempt %d", c.ID, other, c.Job.Attempt)
		}
		winners[c.Job.Attempt] = c.ID
		for _, earlier := range claims {
			if earlier.won && earlier.offset < c.offset && earlier.offset >= c.AsOf {
				t.Fatalf("claim %s as of %d won attempt %d beside claim %s of attempt %d at %d",
					c.ID, c.AsOf, c.Job.Attempt, earlier.ID, earlier.Job.Attempt, earlier.offset)
			}
		}
	}
}

// TestAttemptClaimedUnseen guards against a second attempt beside one that was claimed by another planner
// since the claimant last read the log.
func TestAttemptClaimedUnseen(t *testing.T) {
	s := newStream()
	claim := func(id string, attempt int, asOf uint64) Record {
		r := Record{ID: id, Kind: KindJobAttempt, AsOf: asOf, Job: &JobRecord{ID: "job", Attempt: attempt}}
		s.add(r)
		return r
	}
	s.add(Record{ID: "job", Kind: KindJobAccepted, Job: &JobRecord{ID: "job", Job: &shop.Job{ID: "job"}}})
	first := claim("first", 1, 1)
	unseen := claim("unseen", 3, 1)
	j := newJobReader()
	s.read(&j.reader, allRecords)
	if err := j.checkClaim(first, 1); err != nil {
		t.Errorf("first claim: %v", err)
	}
	if err := j.checkClaim(unseen, 2); !errors.Is(err, ErrAttemptClaimed) {
		t.Errorf("claim that didn't see the first: %v", err)
	}
	j.CaughtUp()
	if l := j.Live(); len(l) != 1 || l[0].Attempt != 1 {
		t.Errorf("live jobs: %+v", l)
	}
	again := claim("again", 2, 3)
	s.read(&j.reader, allRecords)
	if err := j.checkClaim(again, 3); err != nil {
		t.Errorf("claim that saw the first: %v", err)
	}
}

// TestAttemptReadSincePlan checks that a claim fails when this reader has read of an attempt that the
// planner doesn't know of.
func TestAttemptReadSincePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		if err := e.jobs.ClaimAttempt(e.ctx, shop.Attempt{Job: "job", Number: 1}, 0, "entry"); err != nil {
			t.Fatal(err)
		}
		if err := e.jobs.ClaimAttempt(e.ctx, shop.Attempt{Job: "job", Number: 2}, 0, "entry"); !errors.Is(err, ErrAttemptClaimed) {
			t.Errorf("planner that knows no attempt: %v", err)
		}
		if err := e.jobs.ClaimAttempt(e.ctx, shop.Attempt{Job: "job", Number: 2}, 1, "entry"); err != nil {
			t.Errorf("planner that knows the attempt: %v", err)
		}
	})
}
