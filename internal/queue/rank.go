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
func byAge(a, b item) int {
	return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
}

// byKey orders the jobs of one team.
func byKey(a, b item) int {
	return cmp.Or(cmp.Compare(a.key, b.key), a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
}

// rank orders the jobs within their teams: urgent ones first, then short ones,
// where an ageing period of waiting makes up for a doubling of the run time.
func (p *Planner) rank() {
	policy := &p.view.Config.Policy
	weight := policy.CompletionWeight / (policy.CompletionWeight + policy.FragmentationWeight)
	for i := range p.items {
		it := &p.items[i]
		doublings := math.Log2(max(1, float64(it.Estimate)/float64(estimateStep)))
		it.key = 2*weight*doublings - p.steps(it)
		if it.class.Urgent {
			it.key = math.Inf(-1)
		}
	}
	slices.SortFunc(p.items, byKey)
	for i := range p.items {
		team := p.items[i].team
		p.byTeam[team] = append(p.byTeam[team], int32(i))
	}
}

// steps returns the ageing periods that a job has waited.
func (p *Planner) steps(it *item) float64 {
	return float64(p.view.Now.Sub(it.Submitted)) / float64(time.Duration(p.view.Config.Policy.AgeingPeriod))
}

// reclaim starts jobs on what their own teams own: on what is free there for all
// teams first, lest one borrows what another is about to use.
func (p *Planner) reclaim() {
	if !p.Policy.Reclaim {
		return
	}
	p.eachOwner(func(it *item) { p.try(it, p.ownRequest(it)) })
	p.eachOwner(p.reclaimOne)
}

// eachOwner calls do with each waiting job that what its team owns could hold.
func (p *Planner) eachOwner(do func(*item)) {
	for team, numbers := range p.byTeam {
		for _, i := range numbers {
			it := &p.items[i]
			total := it.Shape.TotalAccelerators()
			if !it.started && total > 0 && total <= p.owned[team] {
				do(it)
			}
		}
	}
}

func (p *Planner) ownRequest(it *item) placement.Request {
	q := p.request(it)
	q.Own = true
	q.Holds = placement.IgnoreHolds
	return q
}

// reclaimOne evicts borrowers. When the job fits on room elsewhere that nobody
// owns, it runs there and the borrowers stay.
func (p *Planner) reclaimOne(it *item) {
	own := p.ownRequest(it)
	own.Evict = placement.EvictBorrowers
	if p.overQuota(it) || p.known(own) {
		return
	}
	found, ok := p.fleet.Fit(own)
	if !ok {
		p.remember(own)
		return
	}
	elsewhere := p.request(it)
	elsewhere.Preemptible = false
	if !p.try(it, elsewhere) {
		p.start(it, own, found)
	}
}

// urgent starts urgent work, evicting other work where it has to.
func (p *Planner) urgent() {
	urgent := p.items[:0:0]
	for i := range p.items {
		if it := &p.items[i]; it.class.Urgent && !it.started {
			urgent = append(urgent, *it)
		}
	}
	slices.SortFunc(urgent, byAge)
	started := make(map[string]bool)
	for i := range urgent {
		it := &urgent[i]
		started[it.ID] = p.urgentOne(it)
	}
	for i := range p.items {
		it := &p.items[i]
		it.started = it.started || started[it.ID]
	}
}

func (p *Planner) urgentOne(it *item) bool {
	for _, holds := range [...]placement.Holds{placement.RespectHolds, placement.PassHolds, placement.IgnoreHolds} {
		q := p.request(it)
		q.Holds = holds
		if p.try(it, q) {
			return true
		}
		if holds == placement.RespectHolds || !p.Policy.Reclaim {
			continue
		}
		q.Evict = placement.EvictLower
		if p.try(it, q) {
			return true
		}
	}
	return false
}

// overdue starts the jobs that waited past the bound, the oldest first, and
// drains room for those that are blocked.
func (p *Planner) overdue() {
	if !p.Policy.Drain {
		return
	}
	var overdue []*item
	for i := range p.items {
		if it := &p.items[i]; !it.started && p.drains(it) {
			overdue = append(overdue, it)
		}
	}
	slices.SortFunc(overdue, func(a, b *item) int {
		return cmp.Or(a.waitingSince().Compare(b.waitingSince()), byAge(*a, *b))
	})
	overdue = p.yieldingLast(overdue)
	// An older job's reservation goes before a younger one's.
	carried := p.releaseAll()
	for _, it := range overdue {
		p.overdueOne(it, carried)
	}
	for _, h := range carried {
		if !h.it.started && !p.drains(h.it) && p.stands(h.Reservation) {
			p.hold(h.it, h.Reservation)
		}
	}
}

// yieldingLast moves small jobs that would give way to a large one of the list behind all
// others: the next plan would evict them again.
func (p *Planner) yieldingLast(overdue []*item) []*item {
	yields := func(it *item) bool {
		return it.class.Preemptible && !it.class.Urgent && !large(it.Shape) &&
			slices.ContainsFunc(overdue, func(o *item) bool {
				return large(o.Shape) && it.Submitted.After(o.Submitted.Add(-p.grace()))
			})
	}
	first := make([]*item, 0, len(overdue))
	var last []*item
	for _, it := range overdue {
		if yields(it) {
			last = append(last, it)
			continue
		}
		first = append(first, it)
	}
	return append(first, last...)
}

func (p *Planner) overdueOne(it *item, carried []hold) {
	i := slices.IndexFunc(carried, func(h hold) bool { return h.Job == it.ID })
	if i >= 0 && !p.late(carried[i].Reservation) && p.stands(carried[i].Reservation) {
		p.hold(it, carried[i].Reservation)
	}
	p.shareOne(it)
	if i < 0 || it.started || len(p.held) == 0 {
		return
	}
	if last := &p.held[len(p.held)-1]; last.Job == it.ID {
		last.Since = carried[i].Since
	}
}

// share starts the rest by weighted fair share: the team that uses the least
// for its weight goes next.
func (p *Planner) share() {
	h := make(teamHeap, 0, len(p.byTeam))
	for team, numbers := range p.byTeam {
		if len(numbers) > 0 {
			h = append(h, p.turnOf(team, 0))
		}
	}
	heap.Init(&h)
	for len(h) > 0 {
		t := h[0]
		it := &p.items[p.byTeam[t.team][t.next]]
		if !it.started && !(p.Policy.Drain && p.drains(it)) {
			p.shareOne(it)
		}
		if t.next+1 == len(p.byTeam[t.team]) {
			heap.Pop(&h)
			continue
		}
		h[0] = p.turnOf(t.team, t.next+1)
		heap.Fix(&h, 0)
	}
}

func (p *Planner) shareOne(it *item) {
	if p.overQuota(it) {
		return
	}
	q := p.request(it)
	if p.startReserved(it, q) {
		return
	}
	if p.try(it, q) {
		return
	}
	if len(p.held) > 0 {
		q.Holds = placement.Backfill
		if p.try(it, q) {
			return
		}
	}
	p.reserve(it)
}

// turn is a team's place in the order of fair share.
type turn struct {
	share float64
	team  int
	next  int // Of the team's jobs.
}

func (p *Planner) turnOf(team, next int) turn {
	u := p.usage[team]
	used := float64(u.accelerators) / float64(max(1, p.total.accelerators))
	used = max(used, float64(u.cores)/float64(max(1, p.total.cores)))
	aged := ageingShare * p.steps(&p.items[p.byTeam[team][next]])
	return turn{
		share: used/p.view.Config.Teams[team].Weight - aged,
		team:  team,
		next:  next,
	}
}

// teamHeap orders teams by fair share, ties by name.
type teamHeap []turn

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].team < h[j].team
}

func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is unused: teams only leave the heap.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(turn)) }

// Pop removes the last team.
func (h *teamHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
