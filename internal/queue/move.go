package queue

import (
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// moveSmallJobs checkpoints and moves small jobs when that makes room for a reserved one
// that would wait longer than the moves are worth.
func (p *Planner) moveSmallJobs() {
	if !p.Policy.Move {
		return
	}
	for i := range min(len(p.reservations), maxMoveTrials) {
		h := &p.reservations[i]
		if h.candidate.started || !isLarge(h.candidate.Shape) || p.overQuota(h.candidate) {
			continue
		}
		p.savedFleet.CopyFrom(&p.fleet)
		if !p.moveForReservation(h) {
			p.fleet, p.savedFleet = p.savedFleet, p.fleet
		}
	}
}

// moveForReservation tries to make room for one reservation. When it fails, the fleet is
// left changed.
func (p *Planner) moveForReservation(h *activeReservation) bool {
	q := h.request
	q.Evict = placement.EvictMovable
	p.fleet.Release(h.request, h.Parts, h.Drain)
	found, ok := p.fleet.Fit(q)
	if !ok || len(found.Evict) == 0 || len(found.Evict) > maxMoves || !p.worthMoving(h, found.Evict) {
		return false
	}
	for _, number := range found.Evict {
		p.fleet.Evict(number)
	}
	p.fleet.Reserve(h.request, found.Parts, p.view.Now, true)
	var moves []Move
	for _, number := range found.Evict {
		m, ok := p.moveJob(number, h.Job)
		if !ok {
			return false
		}
		moves = append(moves, m)
	}
	h.Parts = found.Parts
	h.Drain = true
	p.plan.Moves = append(p.plan.Moves, moves...)
	return true
}

// moveJob finds another place for a running job.
func (p *Planner) moveJob(number int, to string) (Move, bool) {
	r := &p.view.Running[number]
	q := placement.Request{
		Shape:       r.Shape,
		Team:        p.fleet.TeamIndex(r.Team),
		Region:      r.Region,
		Preemptible: true,
		End:         r.ExpectedEnd,
	}
	if q.Team < 0 {
		return Move{}, false
	}
	found, ok := p.fleet.Fit(q)
	if !ok {
		return Move{}, false
	}
	p.fleet.Allocate(q, found.Parts)
	return Move{
		Attempt: shop.Attempt{Job: r.ID, Number: r.Attempt},
		To:      found.Parts,
		For:     to,
	}, true
}

// worthMoving weighs the wait that moves save a large job against the run time
// that they cost the moved ones.
func (p *Planner) worthMoving(h *activeReservation, numbers []int) bool {
	var cost time.Duration
	for _, number := range numbers {
		cost += restartCost * time.Duration(max(1, p.view.Running[number].Shape.TotalAccelerators()))
	}
	saved := h.ExpectedStart.Sub(p.view.Now).Abs() * time.Duration(h.candidate.Shape.TotalAccelerators())
	policy := &p.view.Config.Policy
	return policy.FragmentationWeight*float64(saved) > policy.CompletionWeight*float64(cost)
}
