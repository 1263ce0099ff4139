package queue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"sniperill.example/sniperill/internal/placement"
)

// byAge orders jobs by arrival.
func byAge(a, b candidate) int {
	return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
}

// bySortKey orders the jobs of one team.
func bySortKey(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
}

// rank orders the jobs within their teams: urgent ones first, then short ones,
// where an ageing period of waiting makes up for a doubling of the run time.
func (p *Planner) rank() {
	policy := &p.view.Config.Policy
	weight := policy.CompletionWeight / (policy.CompletionWeight + policy.FragmentationWeight)
	for i := range p.candidates {
		it := &p.candidates[i]
		doublings := math.Log2(max(1, float64(it.Estimate)/float64(baseRunTime)))
		it.sortKey = 2*weight*doublings - p.ageingPeriodsWaited(it)
		if it.class.Urgent {
			it.sortKey = math.Inf(-1)
		}
	}
	slices.SortFunc(p.candidates, bySortKey)
	for i := range p.candidates {
		team := p.candidates[i].team
		p.byTeam[team] = append(p.byTeam[team], int32(i))
	}
}

// ageingPeriodsWaited returns the ageing periods that a job has waited.
func (p *Planner) ageingPeriodsWaited(it *candidate) float64 {
	return float64(p.view.Now.Sub(it.Submitted)) / float64(time.Duration(p.view.Config.Policy.AgeingPeriod))
}

// reclaim starts jobs on what their own teams own: on what is free there for all
// teams first, lest one borrows what another is about to use.
func (p *Planner) reclaim() {
	if !p.Policy.Reclaim {
		return
	}
	p.forEachOwnerJob(func(it *candidate) { p.tryStart(it, p.ownRequest(it)) })
	p.forEachOwnerJob(p.reclaimFor)
}

// forEachOwnerJob calls do with each waiting job that what its team owns could hold.
func (p *Planner) forEachOwnerJob(do func(*candidate)) {
	for team, numbers := range p.byTeam {
		for _, i := range numbers {
			it := &p.candidates[i]
			total := it.Shape.TotalAccelerators()
			if !it.started && total > 0 && total <= p.owned[team] {
				do(it)
			}
		}
	}
}

func (p *Planner) ownRequest(it *candidate) placement.Request {
	q := p.request(it)
	q.OwnedOnly = true
	q.ReservationUse = placement.IgnoreReservations
	return q
}

// reclaimFor evicts borrowers. When the job fits on room elsewhere that nobody
// owns, it runs there and the borrowers stay.
func (p *Planner) reclaimFor(it *candidate) {
	own := p.ownRequest(it)
	own.Evict = placement.EvictBorrowers
	if p.overQuota(it) || p.alreadyFailed(own) {
		return
	}
	found, ok := p.fleet.Fit(own)
	if !ok {
		p.recordFailure(own)
		return
	}
	elsewhere := p.request(it)
	elsewhere.Preemptible = false
	if !p.tryStart(it, elsewhere) {
		p.start(it, own, found)
	}
}

// startUrgent starts urgent work, evicting other work where it has to.
func (p *Planner) startUrgent() {
	urgent := p.candidates[:0:0]
	for i := range p.candidates {
		if it := &p.candidates[i]; it.class.Urgent && !it.started {
			urgent = append(urgent, *it)
		}
	}
	slices.SortFunc(urgent, byAge)
	started := make(map[string]bool)
	for i := range urgent {
		it := &urgent[i]
		started[it.ID] = p.startUrgentJob(it)
	}
	for i := range p.candidates {
		it := &p.candidates[i]
		it.started = it.started || started[it.ID]
	}
}

func (p *Planner) startUrgentJob(it *candidate) bool {
	for _, holds := range [...]placement.ReservationUse{placement.RespectReservations, placement.UseUndrained, placement.IgnoreReservations} {
		q := p.request(it)
		q.ReservationUse = holds
		if p.tryStart(it, q) {
			return true
		}
		if holds == placement.RespectReservations || !p.Policy.Reclaim {
			continue
		}
		q.Evict = placement.EvictNonUrgent
		if p.tryStart(it, q) {
			return true
		}
	}
	return false
}

// startOverdue starts the jobs that waited past the bound, the oldest first, and
// drains room for those that are blocked.
func (p *Planner) startOverdue() {
	if !p.Policy.Drain {
		return
	}
	var overdue []*candidate
	for i := range p.candidates {
		if it := &p.candidates[i]; !it.started && p.isOverdue(it) {
			overdue = append(overdue, it)
		}
	}
	slices.SortFunc(overdue, func(a, b *candidate) int {
		return cmp.Or(a.waitingSince().Compare(b.waitingSince()), byAge(*a, *b))
	})
	overdue = p.yieldingLast(overdue)
	// An older job's reservation goes before a younger one's.
	carried := p.releaseAll()
	for _, it := range overdue {
		p.startOverdueJob(it, carried)
	}
	for _, h := range carried {
		if !h.candidate.started && !p.isOverdue(h.candidate) && p.reservationValid(h.Reservation) {
			p.addReservation(h.candidate, h.Reservation)
		}
	}
}

// yieldingLast moves small jobs that would give way to a large one of the list behind all
// others: the next plan would evict them again.
func (p *Planner) yieldingLast(overdue []*candidate) []*candidate {
	yields := func(it *candidate) bool {
		return it.class.Preemptible && !it.class.Urgent && !isLarge(it.Shape) &&
			slices.ContainsFunc(overdue, func(o *candidate) bool {
				return isLarge(o.Shape) && it.Submitted.After(o.Submitted.Add(-p.largeJobAgeBonus()))
			})
	}
	first := make([]*candidate, 0, len(overdue))
	var last []*candidate
	for _, it := range overdue {
		if yields(it) {
			last = append(last, it)
			continue
		}
		first = append(first, it)
	}
	return append(first, last...)
}

func (p *Planner) startOverdueJob(it *candidate, carried []activeReservation) {
	i := slices.IndexFunc(carried, func(h activeReservation) bool { return h.Job == it.ID })
	if i >= 0 && !p.missedStart(carried[i].Reservation) && p.reservationValid(carried[i].Reservation) {
		p.addReservation(it, carried[i].Reservation)
	}
	p.startOrReserve(it)
	if i < 0 || it.started || len(p.reservations) == 0 {
		return
	}
	if last := &p.reservations[len(p.reservations)-1]; last.Job == it.ID {
		last.ReservedSince = carried[i].ReservedSince
	}
}

// startByFairShare starts the rest by weighted fair share: the team that uses the least
// for its weight goes next.
func (p *Planner) startByFairShare() {
	h := make(teamHeap, 0, len(p.byTeam))
	for team, numbers := range p.byTeam {
		if len(numbers) > 0 {
			h = append(h, p.teamEntryOf(team, 0))
		}
	}
	heap.Init(&h)
	for len(h) > 0 {
		t := h[0]
		it := &p.candidates[p.byTeam[t.team][t.nextJob]]
		if !it.started && !(p.Policy.Drain && p.isOverdue(it)) {
			p.startOrReserve(it)
		}
		if t.nextJob+1 == len(p.byTeam[t.team]) {
			heap.Pop(&h)
			continue
		}
		h[0] = p.teamEntryOf(t.team, t.nextJob+1)
		heap.Fix(&h, 0)
	}
}

func (p *Planner) startOrReserve(it *candidate) {
	if p.overQuota(it) {
		return
	}
	q := p.request(it)
	if p.startReserved(it, q) {
		return
	}
	if p.tryStart(it, q) {
		return
	}
	if len(p.reservations) > 0 {
		q.ReservationUse = placement.Backfill
		if p.tryStart(it, q) {
			return
		}
	}
	p.reserve(it)
}

// teamEntry is a team's place in the order of fair share.
type teamEntry struct {
	weightedUsage float64
	team          int
	nextJob       int // Of the team's jobs.
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

// teamHeap orders teams by fair share, ties by name.
type teamHeap []teamEntry

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].weightedUsage != h[j].weightedUsage {
		return h[i].weightedUsage < h[j].weightedUsage
	}
	return h[i].team < h[j].team
}

func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is unused: teams only leave the heap.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(teamEntry)) }

// Pop removes the last team.
func (h *teamHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
