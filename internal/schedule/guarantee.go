package schedule

import (
	"cmp"
	"slices"
	"time"
)

// urgentUnit is an urgent unit, running or waiting, that counts towards its team's guarantee.
type urgentUnit struct {
	team         string
	submitted    time.Time
	accelerators int
	running      bool
	index        int // In the view's list of running or waiting units.
}

// assignGuarantees decides which urgent units are within their teams' guarantees: those
// submitted first, as many as fit. It goes by submission and not by what runs, so that a
// unit is on the same side before and after it gives way; otherwise two units could evict
// each other in turn.
func (p *planner) assignGuarantees() {
	p.runningGuaranteed = make([]bool, len(p.Running))
	p.waitingGuaranteed = make([]bool, len(p.Waiting))
	left := make(map[string]int, len(p.Guaranteed))
	for team, n := range p.Guaranteed {
		left[team] = n
	}
	for _, c := range p.urgentUnits() {
		if c.accelerators > left[c.team] {
			continue
		}
		left[c.team] -= c.accelerators
		if c.running {
			p.runningGuaranteed[c.index] = true
		} else {
			p.waitingGuaranteed[c.index] = true
		}
	}
}

// urgentUnits lists the urgent units by submission; of one job, those that run come first.
func (p *planner) urgentUnits() []urgentUnit {
	var out []urgentUnit
	for i := range p.Running {
		if r := &p.Running[i]; r.Priority == 0 && !r.JobFinal {
			out = append(out, urgentUnit{r.Team, r.Submitted, r.accelerators(), true, i})
		}
	}
	for i := range p.Waiting {
		if w := &p.Waiting[i]; w.Priority == 0 {
			out = append(out, urgentUnit{w.Team, w.Submitted, w.accelerators(), false, i})
		}
	}
	slices.SortStableFunc(out, func(a, b urgentUnit) int {
		return cmp.Compare(a.submitted.UnixNano(), b.submitted.UnixNano())
	})
	return out
}
