package dispatch

import (
	"errors"
	"slices"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

// minStartWindow is the least time that an agent gets to carry out an order for starts; orders take a few milliseconds
// to it, and some hundred if packets are lost.
const minStartWindow = 500 * time.Millisecond

// evacuationsKnown reports whether the operators' records have been read, if there are any.
func (p *Planner) evacuationsKnown() bool {
	_, asOf := p.evacuations()
	return p.Evacuations == nil || asOf != 0
}

// evacuations returns which zones operators evacuate, and since when they may have decided otherwise.
func (p *Planner) evacuations() (workflow.Evacuations, clock.Instant) {
	if p.Evacuations == nil {
		return workflow.Evacuations{}, clock.Now()
	}
	return p.Evacuations()
}

// startWindow returns how long after now an agent may carry out an order for starts, given since when operators may
// have evacuated the worker's zone: until then, the evacuation can't be longer ago than its bound.
func (p *Planner) startWindow(now, asOf clock.Instant) time.Duration {
	if p.EvacuationBound == 0 {
		return startWindow
	}
	return min(startWindow, asOf.Add(p.EvacuationBound-host.StartTimeout).Sub(now))
}

const (
	// maxBlind is how long a planner that sends no starts, as the operators' records are not known, goes on planning
	// although it reads the journal: another entry may know them.
	maxBlind = time.Second
	// blindDelay is how much later than others an entry that doesn't know them steps up. Leases outlast it.
	blindDelay = 2 * time.Second
)

// errBlind is the cause for which a planner resigns that doesn't know the operators' records.
var errBlind = errors.New("the operators' records are not known")

// blind reports whether the operators' records are known too little for starts to be sent.
func (p *Planner) blind() bool {
	_, asOf := p.evacuations()
	return p.startWindow(clock.Now(), asOf) < minStartWindow
}

// checkSight resigns if the planner has been blind for long, but not if it was when it stepped up: all entries may be,
// and the workers' leases have to be renewed.
func (ap *activePlanner) checkSight() {
	now := clock.Now()
	switch {
	case !ap.blind():
		ap.sighted, ap.blindSince = true, 0
	case ap.blindSince == 0:
		ap.blindSince = now
	case ap.sighted && now.Sub(ap.blindSince) > maxBlind && now.Sub(ap.Follower.CaughtUpAt()) < maxReadAge:
		ap.Log.Warn().Msg("Resigning, as the operators' records can't be read.")
		ap.giveUp()
	}
}

// tellEvacuation returns what a call tells a worker's agent of the evacuation of its zone.
func (ap *activePlanner) tellEvacuation(w *worker, e workflow.Evacuations) *pb.Evacuation {
	if ap.Evacuations == nil {
		return nil
	}
	w.toldEvacuated = e.Evacuated(w.zone)
	return &pb.Evacuation{Position: e.Position(), Evacuated: w.toldEvacuated}
}

// unitEvacuated reports whether a member's unit has a member in an evacuated zone. A gang starts whole or not at all.
func (ap *activePlanner) unitEvacuated(m *member, e workflow.Evacuations) bool {
	return e.Any() && slices.ContainsFunc(m.job.progress.Units[m.key].Members, func(at clusterstate.Member) bool {
		other := ap.member(m.job, m.key, at.Index)
		return other != nil && e.Evacuated(other.worker.zone)
	})
}

// withdrawUnit ends the members of a unit that have not been sent, and stops the others.
func (ap *activePlanner) withdrawUnit(m *member, e workflow.Evacuations) {
	var unsent []*member
	ap.forEachLiveMember(m.job, m.key, func(other *member) {
		if other.neverSent() {
			unsent = append(unsent, other)
		}
	})
	ap.requestUnitStop(m.job, m.key)
	withdrawnStarts.Add(len(unsent))
	ap.Log.Info().Str("task", m.task).Int("run", m.run).Str("node", m.worker.name).Strs("zones", e.Zones()).
		Int64("position", e.Position()).Int("unsent", len(unsent)).Msg("Withdrew a start, as a zone is evacuated.")
	for _, other := range unsent {
		ap.runEnded(other, 0, "", "never sent: a zone is evacuated")
	}
	ap.wake()
}

// neverSent reports whether the start of a member was claimed by this planner, and is yet to be sent for the first time.
func (m *member) neverSent() bool {
	return m.status == starting && !m.orderInFlight && m.lateUntil == 0
}

// withhold records that the start of a member isn't sent for now.
func (ap *activePlanner) withhold(m *member, age time.Duration) {
	if m.withheld {
		return
	}
	m.withheld = true
	withheldStarts.Inc()
	ap.Log.Warn().Str("task", m.task).Int("run", m.run).Str("node", m.worker.name).Dur("age", age).
		Msg("A start waits, as the operators' newest records are not known.")
}

// evacuatedZone counts what is in a zone that operators evacuate.
type evacuatedZone struct{ workers, tasks int }

// noteEvacuations logs evacuations that begin or end, and updates their metrics.
func (ap *activePlanner) noteEvacuations() {
	e, _ := ap.evacuations()
	if !e.Any() && len(ap.evacuatedZones) == 0 {
		return
	}
	zones := make(map[string]evacuatedZone)
	for _, zone := range e.Zones() {
		zones[zone] = evacuatedZone{}
	}
	left, tasks := 0, 0
	for _, w := range ap.workers {
		z, evacuated := zones[w.zone]
		switch {
		case evacuated:
			zones[w.zone] = evacuatedZone{z.workers + 1, z.tasks + len(w.members)}
			tasks += len(w.members)
		case w.lifetime != "":
			left += w.hardware.Resources.Accelerators
		}
	}
	evacuatedZones.Set(float64(len(zones)))
	evacuatedTasks.Set(float64(tasks))
	for zone, z := range zones {
		before, known := ap.evacuatedZones[zone]
		switch {
		case !known && z.workers == 0:
			ap.Log.Warn().Str("zone", zone).Int64("position", e.Position()).Msg("A zone is evacuated that has no workers.")
		case !known:
			ap.Log.Info().Str("zone", zone).Int64("position", e.Position()).Int("workers", z.workers).Int("tasks", z.tasks).
				Msg("A zone is evacuated.")
		case before.tasks > 0 && z.tasks == 0:
			ap.Log.Info().Str("zone", zone).Msg("No task is left in an evacuated zone.")
		}
	}
	for zone, before := range ap.evacuatedZones {
		if _, still := zones[zone]; !still {
			ap.Log.Info().Str("zone", zone).Int64("position", e.Position()).Int("tasks", before.tasks).Msg("A zone is taken back.")
		}
	}
	ap.evacuatedZones = zones
	ap.noteUnbacked(left)
}

// noteUnbacked logs when the guarantees begin or cease to exceed the accelerators that are left outside evacuated zones.
func (ap *activePlanner) noteUnbacked(left int) {
	unbacked := 0
	// Before, not all agents have reported to this planner.
	if len(ap.evacuatedZones) > 0 && clock.Since(ap.startedAt) > maxReportAge {
		unbacked = max(0, ap.guaranteedAccelerators()-left)
	}
	unbackedAccelerators.Set(float64(unbacked))
	switch {
	case unbacked > 0 && ap.unbacked == 0:
		ap.Log.Warn().Int("accelerators", unbacked).Int("left", left).
			Msg("The guarantees don't fit on what is left outside evacuated zones.")
	case unbacked == 0 && ap.unbacked > 0:
		ap.Log.Info().Int("left", left).Msg("The guarantees fit again.")
	}
	ap.unbacked = unbacked
}

// guaranteedAccelerators returns how many accelerators are guaranteed to teams.
func (ap *activePlanner) guaranteedAccelerators() int {
	n := 0
	if rules := ap.Rules(); rules != nil {
		for _, t := range rules.Teams {
			n += t.Guaranteed
		}
	}
	return n
}

// forgetEvacuations clears the metrics of a planner that stops.
func forgetEvacuations() {
	evacuatedZones.Set(0)
	evacuatedTasks.Set(0)
	unbackedAccelerators.Set(0)
}
