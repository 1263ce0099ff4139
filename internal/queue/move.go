package queue

import (
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// moveSmallJobs plans to checkpoint small jobs and move them to other workers where
// that lets a large job with a reservation start earlier, and the wait it saves
// outweighs the cost of the moves.
func (p *Planner) moveSmallJobs() {
	if !p.Policy.Move {
		return
	}
	for i := range min(len(p.reservations), maxMoveTrials) {
		res := &p.reservations[i]
		if res.candidate.started || !isLarge(res.candidate.Shape) || p.overQuota(res.candidate) {
			continue
		}
		p.savedFleet.CopyFrom(&p.fleet)
		if !p.moveForReservation(res) {
			p.fleet, p.savedFleet = p.savedFleet, p.fleet
		}
	}
}

// moveForReservation tries to make room for one reservation by moving jobs. When it
// returns false, p.fleet may be left modified; the caller restores it.
func (p *Planner) moveForReservation(res *activeReservation) bool {
	q := res.request
	q.Evict = placement.EvictMovable
	p.fleet.Release(res.request, res.Parts, res.Drain)
	found, ok := p.fleet.Fit(q)
	if !ok || len(found.Evict) == 0 || len(found.Evict) > maxMoves || !p.worthMoving(res, found.Evict) {
		return false
	}
	for _, index := range found.Evict {
		p.fleet.Evict(index)
	}
	p.fleet.Reserve(res.request, found.Parts, p.view.Now, true)
	var moves []Move
	for _, index := range found.Evict {
		move, ok := p.moveJob(index, res.Job)
		if !ok {
			return false
		}
		moves = append(moves, move)
	}
	res.Parts = found.Parts
	res.Drain = true
	p.plan.Moves = append(p.plan.Moves, moves...)
	return true
}

// moveJob finds another place for the running job at the given index of View.Running.
func (p *Planner) moveJob(index int, forJob string) (Move, bool) {
	r := &p.view.Running[index]
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
		For:     forJob,
	}, true
}

// worthMoving reports whether the wait that the moves save the large job outweighs
// the run time that the moved jobs lose, by the weights of the policy.
func (p *Planner) worthMoving(res *activeReservation, indexes []int) bool {
	var cost time.Duration
	for _, index := range indexes {
		cost += restartCost * time.Duration(max(1, p.view.Running[index].Shape.TotalAccelerators()))
	}
	saved := res.ExpectedStart.Sub(p.view.Now).Abs() * time.Duration(res.candidate.Shape.TotalAccelerators())
	policy := &p.view.Config.Policy
	return policy.FragmentationWeight*float64(saved) > policy.CompletionWeight*float64(cost)
}
