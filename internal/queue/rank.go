package queue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"sniperill.example/sniperill/internal/placement"
)

// byAge orders jobs by submission, the oldest first.
func byAge(a, b candidate) int {
	return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
}

// bySortKey orders the jobs within a team.
func bySortKey(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
}

// rank orders the jobs within their teams: urgent jobs first, then short ones. With
// equal weights of the policy, one ageing period of waiting offsets one doubling of
// the run time, hence the factor 2.
func (p *Planner) rank() {
	policy := &p.view.Config.Policy
	weight := policy.CompletionWeight / (policy.CompletionWeight + policy.FragmentationWeight)
	for i := range p.candidates {
		c := &p.candidates[i]
		doublings := math.Log2(max(1, float64(c.Estimate)/float64(baseRunTime)))
		c.sortKey = 2*weight*doublings - p.ageingPeriodsWaited(c)
		if c.class.Urgent {
			c.sortKey = math.Inf(-1)
		}
	}
	slices.SortFunc(p.candidates, bySortKey)
	for i := range p.candidates {
		team := p.candidates[i].team
		p.byTeam[team] = append(p.byTeam[team], int32(i))
	}
}

// ageingPeriodsWaited returns the time since submission in ageing periods.
func (p *Planner) ageingPeriodsWaited(c *candidate) float64 {
	return float64(p.view.Now.Sub(c.Submitted)) / float64(time.Duration(p.view.Config.Policy.AgeingPeriod))
}

// reclaim starts jobs on what their teams own. All teams first start on what is free
// there, and only then evict borrowers; otherwise one team would borrow accelerators
// that their owner is about to use.
func (p *Planner) reclaim() {
	if !p.Policy.Reclaim {
		return
	}
	p.forEachOwnerJob(func(c *candidate) { p.tryStart(c, p.ownRequest(c)) })
	p.forEachOwnerJob(p.reclaimFor)
}

// forEachOwnerJob calls do for each waiting job that needs accelerators, but no more
// than its team owns.
func (p *Planner) forEachOwnerJob(do func(*candidate)) {
	for team, indexes := range p.byTeam {
		for _, i := range indexes {
			c := &p.candidates[i]
			total := c.Shape.TotalAccelerators()
			if !c.started && total > 0 && total <= p.owned[team] {
				do(c)
			}
		}
	}
}

func (p *Planner) ownRequest(c *candidate) placement.Request {
	q := p.request(c)
	q.OwnedOnly = true
	q.ReservationUse = placement.IgnoreReservations
	return q
}

// reclaimFor starts a job on what its team owns by evicting borrowers. When the job
// also fits elsewhere without borrowing, it starts there and the borrowers stay.
func (p *Planner) reclaimFor(c *candidate) {
	own := p.ownRequest(c)
	own.Evict = placement.EvictBorrowers
	if p.overQuota(c) || p.alreadyFailed(own) {
		return
	}
	found, ok := p.fleet.Fit(own)
	if !ok {
		p.recordFailure(own)
		return
	}
	elsewhere := p.request(c)
	elsewhere.Preemptible = false
	if !p.tryStart(c, elsewhere) {
		p.start(c, own, found)
	}
}

// startUrgent starts urgent jobs, evicting other jobs where necessary.
func (p *Planner) startUrgent() {
	urgent := p.candidates[:0:0]
	for i := range p.candidates {
		if c := &p.candidates[i]; c.class.Urgent && !c.started {
			urgent = append(urgent, *c)
		}
	}
	slices.SortFunc(urgent, byAge)
	started := make(map[string]bool)
	for i := range urgent {
		c := &urgent[i]
		started[c.ID] = p.startUrgentJob(c)
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		c.started = c.started || started[c.ID]
	}
}

func (p *Planner) startUrgentJob(c *candidate) bool {
	for _, use := range [...]placement.ReservationUse{placement.RespectReservations, placement.UseUndrained, placement.IgnoreReservations} {
		q := p.request(c)
		q.ReservationUse = use
		if p.tryStart(c, q) {
			return true
		}
		if use == placement.RespectReservations || !p.Policy.Reclaim {
			continue
		}
		q.Evict = placement.EvictNonUrgent
		if p.tryStart(c, q) {
			return true
		}
	}
	return false
}

// startOverdue starts the jobs that have waited at least LargeWait, the longest wait
// first, and drains room for those that are blocked.
func (p *Planner) startOverdue() {
	if !p.Policy.Drain {
		return
	}
	var overdue []*candidate
	for i := range p.candidates {
		if c := &p.candidates[i]; !c.started && p.isOverdue(c) {
			overdue = append(overdue, c)
		}
	}
	slices.SortFunc(overdue, func(a, b *candidate) int {
		return cmp.Or(a.waitingSince().Compare(b.waitingSince()), byAge(*a, *b))
	})
	overdue = p.evictableLast(overdue)
	// Reservations are added again in this order, so that those of jobs that have
	// waited longer take precedence.
	released := p.releaseAll()
	for _, c := range overdue {
		p.startOverdueJob(c, released)
	}
	for _, res := range released {
		if !res.candidate.started && !p.isOverdue(res.candidate) && p.reservationValid(res.Reservation) {
			p.addReservation(res.candidate, res.Reservation)
		}
	}
}

// evictableLast moves small jobs that a large job in the list may evict to the end of
// the list. If they started first, the next plan would evict them again.
func (p *Planner) evictableLast(overdue []*candidate) []*candidate {
	evictable := func(c *candidate) bool {
		return c.class.Preemptible && !c.class.Urgent && !isLarge(c.Shape) &&
			slices.ContainsFunc(overdue, func(o *candidate) bool {
				return isLarge(o.Shape) && c.Submitted.After(o.Submitted.Add(-p.largeJobAgeBonus()))
			})
	}
	first := make([]*candidate, 0, len(overdue))
	var last []*candidate
	for _, c := range overdue {
		if evictable(c) {
			last = append(last, c)
			continue
		}
		first = append(first, c)
	}
	return append(first, last...)
}

func (p *Planner) startOverdueJob(c *candidate, released []activeReservation) {
	i := slices.IndexFunc(released, func(res activeReservation) bool { return res.Job == c.ID })
	if i >= 0 && !p.missedStart(released[i].Reservation) && p.reservationValid(released[i].Reservation) {
		p.addReservation(c, released[i].Reservation)
	}
	p.startOrReserve(c)
	if i < 0 || c.started || len(p.reservations) == 0 {
		return
	}
	if last := &p.reservations[len(p.reservations)-1]; last.Job == c.ID {
		last.ReservedSince = released[i].ReservedSince
	}
}

// startByFairShare starts the remaining jobs by weighted fair share: the next job is
// always that of the team with the lowest weighted usage.
func (p *Planner) startByFairShare() {
	h := make(teamHeap, 0, len(p.byTeam))
	for team, indexes := range p.byTeam {
		if len(indexes) > 0 {
			h = append(h, p.teamEntryOf(team, 0))
		}
	}
	heap.Init(&h)
	for len(h) > 0 {
		next := h[0]
		c := &p.candidates[p.byTeam[next.team][next.nextJob]]
		if !c.started && !(p.Policy.Drain && p.isOverdue(c)) {
			p.startOrReserve(c)
		}
		if next.nextJob+1 == len(p.byTeam[next.team]) {
			heap.Pop(&h)
			continue
		}
		h[0] = p.teamEntryOf(next.team, next.nextJob+1)
		heap.Fix(&h, 0)
	}
}

func (p *Planner) startOrReserve(c *candidate) {
	if p.overQuota(c) {
		return
	}
	q := p.request(c)
	if p.startReserved(c, q) {
		return
	}
	if p.tryStart(c, q) {
		return
	}
	if len(p.reservations) > 0 {
		q.ReservationUse = placement.Backfill
		if p.tryStart(c, q) {
			return
		}
	}
	p.reserve(c)
}

// teamEntry is an entry of teamHeap.
type teamEntry struct {
	weightedUsage float64 // Less the ageing of the next job.
	team          int
	nextJob       int // Index into Planner.byTeam[team].
}

func (p *Planner) teamEntryOf(team, next int) teamEntry {
	u := p.usage[team]
	used := float64(u.accelerators) / float64(max(1, p.capacity.accelerators))
	used = max(used, float64(u.cores)/float64(max(1, p.capacity.cores)))
	aged := ageingShare * p.ageingPeriodsWaited(&p.candidates[p.byTeam[team][next]])
	return teamEntry{
		weightedUsage: used/p.view.Config.Teams[team].Weight - aged,
		team:          team,
		nextJob:       next,
	}
}

// teamHeap orders teams by weighted usage, the lowest first, and ties by the order
// of the configuration, which is sorted by name.
type teamHeap []teamEntry

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].weightedUsage != h[j].weightedUsage {
		return h[i].weightedUsage < h[j].weightedUsage
	}
	return h[i].team < h[j].team
}

func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface. It is unused, as teams only leave the heap.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(teamEntry)) }

// Pop removes and returns the last element, for package heap.
func (h *teamHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
