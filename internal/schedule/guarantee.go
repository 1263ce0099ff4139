package schedule

import (
	"cmp"
	"slices"
	"time"
)

// claimant is an urgent unit, running or waiting, that counts towards its team's guarantee.
type claimant struct {
	team         string
	submitted    time.Time
	accelerators int
	running      bool
	index        int // In the view's list of running or waiting units.
}

// shareGuarantees decides which urgent units are within their teams' guarantees: those
// submitted first, as many as fit. It goes by submission and not by what runs, so that a
// unit is on the same side before and after it gives way; otherwise two units could evict
// each other in turn.
func (p *planner) shareGuarantees() {
	p.runsGuaranteed = make([]bool, len(p.Running))
	p.waitsGuaranteed = make([]bool, len(p.Waiting))
	left := make(map[string]int, len(p.Guaranteed))
	for team, n := range p.Guaranteed {
		left[team] = n
	}
	for _, c := range p.claimants() {
		if c.accelerators > left[c.team] {
			continue
		}
		left[c.team] -= c.accelerators
		if c.running {
			p.runsGuaranteed[c.index] = true
		} else {
			p.waitsGuaranteed[c.index] = true
		}
	}
}

// claimants lists the urgent units by submission; of one job, those that run come first.
func (p *planner) claimants() []claimant {
	var out []claimant
	for i := range p.Running {
		if r := &p.Running[i]; r.Priority == 0 && !r.Abandoned {
			out = append(out, claimant{r.Team, r.Submitted, r.accelerators(), true, i})
		}
	}
	for i := range p.Waiting {
		if w := &p.Waiting[i]; w.Priority == 0 {
			out = append(out, claimant{w.Team, w.Submitted, w.accelerators(), false, i})
		}
	}
	slices.SortStableFunc(out, func(a, b claimant) int {
		return cmp.Compare(a.submitted.UnixNano(), b.submitted.UnixNano())
	})
	return out
}
