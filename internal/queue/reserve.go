package queue

import (
	"slices"
	"time"

	"sniperill.example/sniperill/internal/placement"
)

// activeReservation is a reservation that is part of the fleet of this plan.
type activeReservation struct {
	Reservation
	request   placement.Request
	candidate *candidate
}

// restoreReservations adds the reservations of the previous plan that are still valid.
func (p *Planner) restoreReservations() {
	if !p.Policy.Reserve {
		return
	}
	for _, r := range p.view.Reservations {
		i := slices.IndexFunc(p.candidates, func(c candidate) bool { return c.ID == r.Job })
		if i < 0 || len(p.reservations) == maxReservations || !p.reservationValid(r) {
			continue
		}
		c := &p.candidates[i]
		r.Drain = p.isOverdue(c)
		p.addReservation(c, r)
	}
}

// reservationValid reports whether all workers of a reservation still accept work and
// none of its accelerators is reserved already.
func (p *Planner) reservationValid(r Reservation) bool {
	for _, part := range r.Parts {
		i, ok := p.fleet.WorkerIndex(part.Worker)
		if !ok || p.fleet.Worker(i).Flags != 0 {
			return false
		}
	}
	for _, res := range p.reservations {
		if res.Parts.Overlaps(r.Parts) {
			return false
		}
	}
	return true
}

// largeJobAgeBonus returns by how much an overdue large job counts as submitted earlier
// than it was. Small jobs submitted after that earlier time may be evicted for it. The
// bonus is LargeWait times the ratio of the fragmentation weight to the completion
// weight, which is limited to maxWeightRatio.
func (p *Planner) largeJobAgeBonus() time.Duration {
	policy := &p.view.Config.Policy
	return time.Duration(float64(policy.LargeWait) * min(maxWeightRatio, policy.FragmentationWeight/max(policy.CompletionWeight, 1/maxWeightRatio)))
}

// missedStart reports whether the expected start of a reservation has passed by more
// than a minute and by more than a tenth of the forecast wait. Another place may then
// allow an earlier start.
func (p *Planner) missedStart(r Reservation) bool {
	overdue := p.view.Now.Sub(r.ExpectedStart)
	return overdue > time.Minute && overdue > r.ExpectedStart.Sub(r.ReservedSince)/10
}

// releaseAll removes all reservations from the fleet and returns them.
func (p *Planner) releaseAll() []activeReservation {
	for _, res := range p.reservations {
		p.fleet.Release(res.request, res.Parts, res.Drain)
	}
	all := slices.Clone(p.reservations)
	p.reservations = p.reservations[:0]
	clear(p.failedRequests)
	return all
}

// isOverdue reports whether a job has waited so long that its reservation drains.
func (p *Planner) isOverdue(c *candidate) bool {
	return p.Policy.Drain && p.view.Now.Sub(c.waitingSince()) >= time.Duration(p.view.Config.Policy.LargeWait)
}

func (p *Planner) addReservation(c *candidate, r Reservation) {
	res := activeReservation{Reservation: r, request: p.request(c), candidate: c}
	p.fleet.Reserve(res.request, res.Parts, res.ExpectedStart, res.Drain)
	p.reservations = append(p.reservations, res)
}

// startReserved tries to start a job that has a reservation, and reports whether it
// did. The room reserved for the job counts as free. The job may evict preemptible
// jobs when it is large and its reservation drains. Otherwise, from its expected start
// on, it may evict those that started since the room was reserved.
func (p *Planner) startReserved(c *candidate, q placement.Request) bool {
	i := slices.IndexFunc(p.reservations, func(res activeReservation) bool { return res.Job == c.ID })
	if i < 0 {
		return false
	}
	res := &p.reservations[i]
	p.fleet.Release(res.request, res.Parts, res.Drain)
	switch {
	case res.Drain && isLarge(c.Shape):
		q.Evict = placement.EvictBackfill
		q.Submitted = q.Submitted.Add(-p.largeJobAgeBonus())
	case !p.view.Now.Before(res.ExpectedStart):
		q.Evict = placement.EvictBackfill
		q.EvictStartedSince = res.ReservedSince
	}
	clear(p.failedRequests)
	if p.tryStart(c, q) {
		p.reservations = slices.Delete(p.reservations, i, i+1)
		return true
	}
	p.fleet.Reserve(res.request, res.Parts, res.ExpectedStart, res.Drain)
	clear(p.failedRequests)
	return false
}

// reserve reserves room for a blocked job where it is expected to fit first. An
// overdue large job starts at once instead if evictions allow it.
func (p *Planner) reserve(c *candidate) {
	if !p.Policy.Reserve || slices.ContainsFunc(p.reservations, func(res activeReservation) bool { return res.Job == c.ID }) {
		return
	}
	drain := p.isOverdue(c)
	q := p.request(c)
	if drain && isLarge(c.Shape) {
		q.Evict = placement.EvictBackfill
		q.Submitted = q.Submitted.Add(-p.largeJobAgeBonus())
		if p.tryStart(c, q) {
			return
		}
	}
	if len(p.reservations) == maxReservations || !isLarge(c.Shape) && (!drain || p.countSmallReservations() >= maxSmallReservations) {
		return
	}
	parts, start, ok := p.fleet.EarliestFit(q, p.view.Now)
	if !ok {
		return
	}
	p.addReservation(c, Reservation{
		Job:           c.ID,
		Parts:         parts,
		ReservedSince: p.view.Now,
		ExpectedStart: start,
		Drain:         drain,
	})
	clear(p.failedRequests)
}

// countSmallReservations counts the reservations for small jobs.
func (p *Planner) countSmallReservations() int {
	n := 0
	for _, res := range p.reservations {
		if !isLarge(res.request.Shape) {
			n++
		}
	}
	return n
}

// reportReservations adds the reservations to the plan, the oldest first.
func (p *Planner) reportReservations() {
	for _, res := range p.reservations {
		p.plan.Reservations = append(p.plan.Reservations, res.Reservation)
	}
	slices.SortStableFunc(p.plan.Reservations, func(a, b Reservation) int { return a.ReservedSince.Compare(b.ReservedSince) })
}
