package platform

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sniperill.example/sniperill/pkg/shop"
)

// jobReader is a reader of jobs in a property test.
type jobReader struct {
	*Jobs
	reader
}

func newJobReader() *jobReader {
	j := &Jobs{}
	return &jobReader{Jobs: j, reader: reader{apply: j.Apply, missed: j.Missed}}
}

// attemptClaim is a claim of an attempt and the planner that waits for its verdict.
type attemptClaim struct {
	Record
	planner *jobReader
	landed  bool
	offset  uint64
	// voided says that the planner settled the claim before it landed.
	voided bool
	won    bool
}

// Planners race for the attempts of a job while records are repeated after lost
// answers, voided, land late, and the log trims what was refreshed in time, and
// planners restart: one planner at most wins each number, it is the one that
// the whole stream names, and a planner that missed nothing learns so.
func TestAttemptClaimedOnce(t *testing.T) {
	checkRapid(t, func(t *rapid.T) {
		s := newStream()
		whole := newJobReader()
		planners := []*jobReader{newJobReader(), newJobReader()}
		holders := map[int]string{} // By attempt, as the whole stream has it.
		var starters []*attemptClaim
		n := 0
		s.add(Record{ID: "job", Kind: KindJobAccepted, Job: &JobRecord{ID: "job", Job: &shop.Job{ID: "job"}}})
		pick := func() *jobReader {
			return planners[rapid.IntRange(0, len(planners)-1).Draw(t, "planner")]
		}
		pickStarter := func() *attemptClaim {
			if len(starters) == 0 {
				t.Skip("no claims")
			}
			return starters[rapid.IntRange(0, len(starters)-1).Draw(t, "claim")]
		}
		land := func(c *attemptClaim) {
			if !c.landed {
				c.landed, c.offset = true, uint64(len(s.records))
			}
			s.add(c.Record)
		}
		readWhole := func() {
			for whole.Jobs.Next() < uint64(len(s.records)) {
				s.read(&whole.reader, 1)
				if j := whole.jobs["job"]; j != nil && j.claimID != "" {
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
				starters = append(starters, c)
				if rapid.Bool().Draw(t, "lands at once") {
					land(c)
				}
			},
			"land": func(*rapid.T) {
				land(pickStarter()) // Again and again: answers are lost.
			},
			"settle": func(*rapid.T) {
				c := pickStarter()
				c.voided = c.voided || !c.landed
				s.add(Record{ID: "void-" + c.ID, Kind: KindVoid, AsOf: c.AsOf, Voids: []string{c.ID}})
			},
			"read": func(t *rapid.T) {
				s.read(&pick().reader, rapid.IntRange(1, 5).Draw(t, "records"))
			},
			"trim": func(t *rapid.T) {
				readWhole()
				first := rapid.Uint64Range(s.first, uint64(len(s.records))).Draw(t, "first")
				kept := s.now.Add(-time.Duration(uint64(len(s.records))-first) * time.Minute)
				if rapid.Bool().Draw(t, "careful") && !whole.jobs["job"].refreshed.After(kept) {
					t.Skip("the job isn't refreshed yet")
				}
				s.first = first
			},
			"refresh": func(*rapid.T) {
				readWhole()
				for _, r := range whole.Due(s.now, allRecords) {
					s.add(r)
				}
			},
			"restart": func(t *rapid.T) {
				planners[rapid.IntRange(0, len(planners)-1).Draw(t, "planner")] = newJobReader()
			},
			"": func(t *rapid.T) {
				readWhole()
				for _, c := range starters {
					c.checkResult(t, holders)
				}
				checkWinners(t, starters)
			},
		})
	})
}

// checkResult asks the planner's reader for the verdict as Start does.
func (c *attemptClaim) checkResult(t *rapid.T, holders map[int]string) {
	if !c.landed || c.voided || c.planner.Jobs.Next() <= c.offset {
		return
	}
	err := c.planner.checkClaim(c.Record, c.offset)
	holds := holders[c.Job.Attempt] == c.ID
	switch {
	case err == nil && !holds:
		t.Fatalf("claim %s of attempt %d won, but %q holds it", c.ID, c.Job.Attempt, holders[c.Job.Attempt])
	case errors.Is(err, ErrAttemptClaimed) && holds && c.planner.start <= c.AsOf && c.planner.jobs["job"].attempt == c.Job.Attempt:
		t.Fatalf("claim %s holds attempt %d, but lost", c.ID, c.Job.Attempt)
	}
	c.won = c.won || err == nil
}

func checkWinners(t *rapid.T, starters []*attemptClaim) {
	winners := map[int]string{}
	for _, c := range starters {
		if !c.won {
			continue
		}
		if other, ok := winners[c.Job.Attempt]; ok {
			t.Fatalf("claims %s and %s both won attempt %d", c.ID, other, c.Job.Attempt)
		}
		winners[c.Job.Attempt] = c.ID
	}
}
