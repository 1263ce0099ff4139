package queue

import (
	"slices"
	"time"

	"sniperill.example/sniperill/internal/placement"
)

// activeReservation is a reservation that is entered in the fleet of this plan.
type activeReservation struct {
	Reservation
	request   placement.Request
	candidate *candidate
}

// restoreReservations keeps the reservations of the plan before that still stand.
func (p *Planner) restoreReservations() {
	if !p.Policy.Reserve {
		return
	}
	for _, r := range p.view.Reservations {
		i := slices.IndexFunc(p.candidates, func(it candidate) bool { return it.ID == r.Job })
		if i < 0 || len(p.reservations) == maxReservations || !p.reservationValid(r) {
			continue
		}
		it := &p.candidates[i]
		r.Drain = p.isOverdue(it)
		p.addReservation(it, r)
	}
}

// reservationValid says whether all workers of a reservation still take work, and
// nothing of it is reserved twice.
func (p *Planner) reservationValid(r Reservation) bool {
	for _, part := range r.Parts {
		i, ok := p.fleet.WorkerIndex(part.Worker)
		if !ok || p.fleet.Worker(i).Flags != 0 {
			return false
		}
	}
	for _, h := range p.reservations {
		if h.Parts.Overlaps(r.Parts) {
			return false
		}
	}
	return true
}

// largeJobAgeBonus is how much earlier than an overdue large job a small one may have come
// and still give way to it.
func (p *Planner) largeJobAgeBonus() time.Duration {
	policy := &p.view.Config.Policy
	return time.Duration(float64(policy.LargeWait) * min(maxWeightRatio, policy.FragmentationWeight/max(policy.CompletionWeight, 1/maxWeightRatio)))
}

// missedStart says whether a reservation should have started long ago, so that
// another place may be better.
func (p *Planner) missedStart(r Reservation) bool {
	overdue := p.view.Now.Sub(r.ExpectedStart)
	return overdue > time.Minute && overdue > r.ExpectedStart.Sub(r.ReservedSince)/10
}

// releaseAll takes all reservations out of the fleet and returns them.
func (p *Planner) releaseAll() []activeReservation {
	for _, h := range p.reservations {
		p.fleet.Release(h.request, h.Parts, h.Drain)
	}
	all := slices.Clone(p.reservations)
	p.reservations = p.reservations[:0]
	clear(p.failedRequests)
	return all
}

// isOverdue says whether a job has waited so long that its room drains.
func (p *Planner) isOverdue(it *candidate) bool {
	return p.Policy.Drain && p.view.Now.Sub(it.waitingSince()) >= time.Duration(p.view.Config.Policy.LargeWait)
}

func (p *Planner) addReservation(it *candidate, r Reservation) {
	h := activeReservation{Reservation: r, request: p.request(it), candidate: it}
	p.fleet.Reserve(h.request, h.Parts, h.ExpectedStart, h.Drain)
	p.reservations = append(p.reservations, h)
}

// startReserved tries a job that room is reserved for, without that reservation.
// Once its time has come, preemptible work gives way.
func (p *Planner) startReserved(it *candidate, q placement.Request) bool {
	i := slices.IndexFunc(p.reservations, func(h activeReservation) bool { return h.Job == it.ID })
	if i < 0 {
		return false
	}
	h := &p.reservations[i]
	p.fleet.Release(h.request, h.Parts, h.Drain)
	switch {
	case h.Drain && isLarge(it.Shape):
		q.Evict = placement.EvictBackfill
		q.Submitted = q.Submitted.Add(-p.largeJobAgeBonus())
	case !p.view.Now.Before(h.ExpectedStart):
		q.Evict = placement.EvictBackfill
		q.EvictStartedSince = h.ReservedSince
	}
	clear(p.failedRequests)
	if p.tryStart(it, q) {
		p.reservations = slices.Delete(p.reservations, i, i+1)
		return true
	}
	p.fleet.Reserve(h.request, h.Parts, h.ExpectedStart, h.Drain)
	clear(p.failedRequests)
	return false
}

// reserve keeps room for a blocked job, where it is expected to fit first. A
// large job that is overdue evicts when that lets it start.
func (p *Planner) reserve(it *candidate) {
	if !p.Policy.Reserve || slices.ContainsFunc(p.reservations, func(h activeReservation) bool { return h.Job == it.ID }) {
		return
	}
	drain := p.isOverdue(it)
	q := p.request(it)
	if drain && isLarge(it.Shape) {
		q.Evict = placement.EvictBackfill
		q.Submitted = q.Submitted.Add(-p.largeJobAgeBonus())
		if p.tryStart(it, q) {
			return
		}
	}
	if len(p.reservations) == maxReservations || !isLarge(it.Shape) && (!drain || p.countSmallReservations() >= maxSmallReservations) {
		return
	}
	parts, start, ok := p.fleet.EarliestFit(q, p.view.Now)
	if !ok {
		return
	}
	p.addReservation(it, Reservation{
		Job:           it.ID,
		Parts:         parts,
		ReservedSince: p.view.Now,
		ExpectedStart: start,
		Drain:         drain,
	})
	clear(p.failedRequests)
}

// countSmallReservations counts the reservations for jobs that aren't large.
func (p *Planner) countSmallReservations() int {
	n := 0
	for _, h := range p.reservations {
		if !isLarge(h.request.Shape) {
			n++
		}
	}
	return n
}

// reportReservations lists the reservations that stand.
func (p *Planner) reportReservations() {
	for _, h := range p.reservations {
		p.plan.Reservations = append(p.plan.Reservations, h.Reservation)
	}
	slices.SortStableFunc(p.plan.Reservations, func(a, b Reservation) int { return a.ReservedSince.Compare(b.ReservedSince) })
}
