package schedule

import (
	"slices"
	"time"
)

// urgentUnit is an urgent unit, running or waiting, that counts towards its team's guarantee.
type urgentUnit struct {
	team         string
	submitted    time.Time
	accelerators int
	running      bool
	index        int // Into View.Running or View.Waiting.
}

// assignGuarantees decides which urgent units are within their teams' guarantees: in order of
// submission, each that still fits. It goes by submission and not by what is running, so that
// preempting a unit doesn't change whether it is within the guarantee. Otherwise two units could
// preempt each other in turn.
func (p *planner) assignGuarantees() {
	p.runningGuaranteed = make([]bool, len(p.Running))
	p.waitingGuaranteed = make([]bool, len(p.Waiting))
	remaining := make(map[string]int, len(p.Guaranteed))
	for team, n := range p.Guaranteed {
		remaining[team] = n
	}
	for _, u := range p.urgentUnits() {
		if u.accelerators > remaining[u.team] {
			continue
		}
		remaining[u.team] -= u.accelerators
		if u.running {
			p.runningGuaranteed[u.index] = true
		} else {
			p.waitingGuaranteed[u.index] = true
		}
	}
}

// urgentUnits returns the urgent units by time of submission. Of one job, running units come
// first.
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
		return a.submitted.Compare(b.submitted)
	})
	return out
}
