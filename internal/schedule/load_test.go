package schedule_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/schedule"
	"sniperill.example/sniperill/pkg/workflow"
)

const (
	dayLength            = 40 * time.Second
	tickInterval         = 25 * time.Millisecond
	burstLength          = 5 * time.Second
	crossRackFactor      = 3      // Run time factor of a same-rack gang that spans several racks.
	slowWorkerFactor     = 1.3    // Run time factor on every third worker, from the site files.
	guaranteedShare      = 0.62   // Share of all accelerators that is guaranteed to the teams in total.
	wastedCoreSecondCost = 0.0019 // Value of a core second that is thrown away, from the site files.
	windowLength         = 2 * time.Second
)

// loadJob is a job of a simulated day.
type loadJob struct {
	class          *jobClass
	number         int
	submitted      time.Time
	runTime        time.Duration // Of each task.
	remainingUnits int           // Units that are not done yet.
	step           *workflow.Step
	team           int
	ended          time.Time
	value          float64
}

// loadUnit is a task or gang of a loadJob.
type loadUnit struct {
	job             *loadJob
	members         int
	remaining       time.Duration
	workers         []int // Nil while the unit waits.
	started         time.Time
	stopEnds        time.Time
	readySince      time.Time
	reservedWorkers []int
	preemptionCost  float64
	gaveWay         int
}

// loadResult summarises a simulated day.
type loadResult struct {
	earnedShare, worstWindowsShare, wastedShare, urgentLateShare float64
	// maxRelativeTime is the longest time that a job of priority 1 took, as a multiple of its
	// objective.
	maxRelativeTime float64
}

// score combines the results as the goals in the site files do.
func (r loadResult) score() float64 {
	return (0.95*r.earnedShare+0.25*r.worstWindowsShare)/1.2 - r.wastedShare
}

// loadSimulation simulates a day of an order desk's load in virtual time.
type loadSimulation struct {
	classes         []jobClass
	rng             *rand.Rand
	workers         []schedule.Worker
	teams           int
	workersPerRack  int
	stopTime        time.Duration
	now             time.Time
	jobs            []*loadJob
	units           []*loadUnit
	lostCoreSeconds float64
	// computePlan is the scheduler under test.
	computePlan func(*schedule.View) schedule.Plan
	// powerLossAt is the time since testStart at which all workers lose their running units, zero
	// for never.
	powerLossAt time.Duration
	// paces holds the run time factors of the workers, in turn.
	paces []float64
	// told makes views tell the run time that remains to a unit, as its progress does.
	told bool
}

func newLoadSimulation(c loadCase, seed uint64) *loadSimulation {
	l := &loadSimulation{classes: c.classes, rng: rand.New(rand.NewPCG(seed, 7)), workers: newWorkers(c.workers), teams: c.teams, workersPerRack: c.workersPerRack, stopTime: c.stopTime, now: testStart, computePlan: schedule.ComputePlan, powerLossAt: c.powerLossAt, paces: []float64{1, 1, slowWorkerFactor}}
	for i := range l.workers {
		l.workers[i].Resources.MilliCores, l.workers[i].Resources.MemoryMB = c.milliCores, c.memoryMB
		l.workers[i].Rack = fmt.Sprint("rack-", i/c.workersPerRack)
	}
	return l
}

// guaranteed divides the guaranteed accelerators evenly among the teams.
func (l *loadSimulation) guaranteed() map[string]int {
	accelerators := 0
	for _, w := range l.workers {
		accelerators += w.Resources.Accelerators
	}
	out := make(map[string]int)
	for i := range l.teams {
		out[teamName(i)] = int(guaranteedShare * float64(accelerators) / float64(l.teams))
	}
	return out
}

func teamName(i int) string { return string(rune('a' + i)) }

// drawJobs draws the day's jobs at random, in order of submission.
func (l *loadSimulation) drawJobs() []*loadJob {
	var out []*loadJob
	for i := range l.classes {
		class := &l.classes[i]
		burstStart := time.Duration(l.rng.Float64() * float64(dayLength-burstLength))
		for at := time.Duration(0); at < dayLength; {
			rate := class.arrivalRate
			if at >= burstStart && at < burstStart+burstLength {
				rate *= class.burstFactor
			}
			at += time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second))
			out = append(out, l.drawJob(class, len(out), testStart.Add(at)))
		}
	}
	slices.SortFunc(out, func(a, b *loadJob) int { return a.submitted.Compare(b.submitted) })
	return out
}

func (l *loadSimulation) drawJob(class *jobClass, number int, at time.Time) *loadJob {
	runTime := min(class.maxRunTime, time.Duration(float64(class.meanRunTime)*math.Exp(class.runTimeSigma*l.rng.NormFloat64()-class.runTimeSigma*class.runTimeSigma/2)))
	count := min(class.maxTasks, max(1, int(math.Round(class.meanTasks*math.Exp(0.8*l.rng.NormFloat64()-0.32)))))
	estimateFactor := 1 + class.maxEstimateError*(2*l.rng.Float64()-1)
	gang := count > 1 && l.rng.Float64() < class.gangShare
	s := &workflow.Step{
		Count: count, Estimate: time.Duration(estimateFactor * float64(runTime)), Gang: gang, SameRack: gang && l.rng.Float64() < class.sameRackShare,
		Checkpoints: l.rng.Float64() < class.checkpointShare,
		Resources:   workflow.Resources{MilliCores: class.milliCores, MemoryMB: class.memoryMB, Accelerators: class.accelerators[l.rng.IntN(len(class.accelerators))]},
	}
	j := &loadJob{class: class, number: number, submitted: at, runTime: runTime, remainingUnits: s.Count, step: s, team: l.rng.IntN(l.teams)}
	if gang {
		s.Count = min(s.Count, l.gangCapacity(s))
	}
	meanAccelerators := 0.0
	for _, a := range class.accelerators {
		meanAccelerators += float64(a) / float64(len(class.accelerators))
	}
	meanSize := class.meanTasks * class.meanRunTime.Seconds() * (float64(class.milliCores)/1000 + 8*meanAccelerators)
	size := float64(s.Count) * runTime.Seconds() * float64(s.AccountedMilliCores()) / 1000
	j.value = min(4, 0.3+0.7*size/meanSize)
	return j
}

// gangCapacity returns how many members of a gang fit on the empty workers that it may run on:
// those of one rack, or a quarter of all.
func (l *loadSimulation) gangCapacity(s *workflow.Step) int {
	workers := (len(l.workers) + 3) / 4
	if s.SameRack {
		workers = l.workersPerRack
	}
	return workers * l.workers[0].Resources.FitCount(s.Resources, s.Count)
}

func (l *loadSimulation) run() loadResult {
	if l.jobs == nil {
		l.jobs = l.drawJobs()
	}
	arrivals := l.jobs
	for left := len(arrivals); left > 0; l.now = l.now.Add(tickInterval) {
		changed := false
		for len(arrivals) > 0 && !arrivals[0].submitted.After(l.now) {
			l.submit(arrivals[0])
			arrivals = arrivals[1:]
			changed = true
		}
		if l.powerLossAt > 0 && l.now.Sub(testStart) == l.powerLossAt {
			l.loseRunningUnits()
			changed = true
		}
		ended, freed := l.endUnits()
		left -= ended
		if changed || freed {
			l.plan()
		}
		if l.now.Sub(testStart) > 10*dayLength {
			break // Jobs that starve count as never done.
		}
	}
	return l.result()
}

// loseRunningUnits makes all workers lose their running units, which start over.
func (l *loadSimulation) loseRunningUnits() {
	for _, u := range l.units {
		if u.workers != nil {
			u.workers, u.stopEnds, u.readySince, u.remaining = nil, time.Time{}, l.now, u.job.runTime
		}
	}
}

func (l *loadSimulation) submit(j *loadJob) {
	n, members := j.step.Count, 1
	if j.step.Gang {
		n, members = 1, j.step.Count
	}
	j.remainingUnits = n
	for range n {
		l.units = append(l.units, &loadUnit{job: j, members: members, remaining: j.runTime, readySince: l.now})
	}
}

// endUnits updates the units that have ended or stopped. It returns how many jobs are done, and
// whether any resources were freed.
func (l *loadSimulation) endUnits() (jobs int, freed bool) {
	l.units = slices.DeleteFunc(l.units, func(u *loadUnit) bool {
		switch {
		case u.workers == nil:
			return false
		case !u.stopEnds.IsZero():
			if l.now.Before(u.stopEnds) {
				return false
			}
			u.workers, u.stopEnds, u.readySince, freed = nil, time.Time{}, l.now, true
			return false
		case l.now.Before(u.started.Add(l.runTime(u))):
			return false
		}
		freed = true
		if u.job.remainingUnits--; u.job.remainingUnits == 0 {
			u.job.ended = l.now
			jobs++
		}
		return true
	})
	return jobs, freed
}

// runTime returns how long a unit runs on its workers: as long as on the slowest of them.
func (l *loadSimulation) runTime(u *loadUnit) time.Duration {
	apart := slices.ContainsFunc(u.workers, func(w int) bool { return l.workers[w].Rack != l.workers[u.workers[0]].Rack })
	slowest := 0.0
	for _, w := range u.workers {
		slowest = max(slowest, l.paces[w%len(l.paces)])
	}
	out := time.Duration(slowest * float64(u.remaining))
	if u.job.step.SameRack && apart {
		out *= crossRackFactor
	}
	return out
}

func (l *loadSimulation) plan() {
	v := &schedule.View{Now: l.now, Workers: l.workers, Guaranteed: l.guaranteed()}
	var running, waiting []*loadUnit
	for _, u := range l.units {
		j := u.job
		if u.workers != nil {
			running = append(running, u)
			ran := l.now.Sub(u.started)
			lost := ran
			if j.step.Checkpoints {
				lost = 0 // A stop saves what was done.
			}
			remaining := max(0, j.step.Estimate-ran)
			if l.told {
				remaining = max(0, l.runTime(u)-ran)
			}
			v.Running = append(v.Running, schedule.RunningUnit{
				Team: teamName(j.team), Priority: j.class.priority, Submitted: j.submitted, Step: j.step, Workers: u.workers,
				Stopping: !u.stopEnds.IsZero(), LostRunTime: lost, RemainingRunTime: remaining, GaveWay: u.gaveWay,
			})
			continue
		}
		waiting = append(waiting, u)
		objective := time.Duration(j.class.stretch*float64(j.step.Estimate)) + j.class.target
		v.Waiting = append(v.Waiting, schedule.WaitingUnit{
			Team: teamName(j.team), Service: "s", Priority: j.class.priority, Step: j.step, Members: u.members, ReadySince: u.readySince,
			Submitted: j.submitted, Objective: j.submitted.Add(objective), HardDeadline: j.submitted.Add(3 * objective),
			Estimate: j.step.Estimate, SpreadGroup: len(v.SpreadCounts), ReservedWorkers: u.reservedWorkers, PreemptionCost: u.preemptionCost,
		})
		v.SpreadCounts = append(v.SpreadCounts, nil)
		u.reservedWorkers = nil
	}
	for _, j := range l.jobs {
		if age := l.now.Sub(j.submitted); j.class.priority == 0 && age >= 0 && age <= schedule.UrgentMemory {
			v.UrgentArrivals = append(v.UrgentArrivals, schedule.UrgentArrival{
				Service: "s", Submitted: j.submitted, Accelerators: j.step.Count * j.step.Resources.Accelerators, Estimate: j.step.Estimate,
			})
		}
	}
	plan := l.computePlan(v)
	for _, s := range plan.Starts {
		u := waiting[s.WaitingIndex]
		u.workers, u.started = s.Workers, l.now
	}
	for _, r := range plan.Reservations {
		waiting[r.WaitingIndex].reservedWorkers = r.Workers
	}
	for _, s := range plan.Preemptions {
		u := running[s.VictimIndex]
		u.gaveWay++
		u.stopEnds = l.now.Add(l.stopTime)
		waiting[s.PreemptorIndex].preemptionCost += v.Running[s.VictimIndex].PreemptionCost()
		ran := l.now.Sub(u.started)
		lost := ran
		if u.job.step.Checkpoints {
			lost = 0
			u.remaining -= ran
		}
		l.lostCoreSeconds += lost.Seconds() * float64(len(u.workers)*u.job.step.AccountedMilliCores()) / 1000
	}
}

func (l *loadSimulation) result() loadResult {
	var r loadResult
	var possible, earned, urgent, late float64
	type window struct{ possible, earned float64 }
	windows := make(map[int]window)
	for _, j := range l.jobs {
		objective := time.Duration(j.class.stretch*float64(j.runTime)) + j.class.target
		gained := 0.0
		took := j.ended.Sub(j.submitted)
		switch {
		case j.ended.IsZero() || took > 3*objective:
		case took > objective:
			gained = j.class.lateValue * j.value
		default:
			gained = j.class.onTimeValue * j.value
		}
		if j.class.priority == 1 {
			r.maxRelativeTime = max(r.maxRelativeTime, float64(took)/float64(objective))
		}
		if j.class.priority == 0 {
			urgent++
			if took > objective {
				late++
			}
		}
		w := windows[int(j.submitted.Sub(testStart)/windowLength)]
		w.possible += j.class.onTimeValue * j.value
		w.earned += gained
		windows[int(j.submitted.Sub(testStart)/windowLength)] = w
		possible += j.class.onTimeValue * j.value
		earned += gained
	}
	var shares []float64
	for _, w := range windows {
		shares = append(shares, w.earned/w.possible)
	}
	slices.SortFunc(shares, cmp.Compare)
	r.earnedShare, r.worstWindowsShare = earned/possible, (shares[0]+shares[min(1, len(shares)-1)])/2
	r.wastedShare, r.urgentLateShare = wastedCoreSecondCost*l.lostCoreSeconds/possible, late/max(1, urgent)
	return r
}

// TestNoJobStarves checks that every job that fits on the workers ends, even with bursts of urgent
// work.
func TestNoJobStarves(t *testing.T) {
	for seed := range uint64(40) {
		l := newLoadSimulation(loadCases[0], seed)
		l.run()
		for _, j := range l.jobs {
			if j.ended.IsZero() && l.workerList().CanRun(&workflow.Job{Queue: workflow.Queue{Service: "s"}, Steps: []workflow.Step{*j.step}}) == nil {
				t.Errorf("seed %d: job %d (%d tasks of %d accelerators) has not ended after %v",
					seed, j.number, j.step.Count, j.step.Resources.Accelerators, l.now.Sub(testStart))
			}
		}
	}
}

// workerList returns the resources that the workers offer.
func (l *loadSimulation) workerList() (out workflow.WorkerList) {
	for _, w := range l.workers {
		out = append(out, w.Worker)
	}
	return out
}

// meanResult simulates days and returns the mean of their results.
func (c loadCase) meanResult(days int, computePlan func(*schedule.View) schedule.Plan) loadResult {
	var sum loadResult
	for i := range days {
		l := newLoadSimulation(c, uint64(i))
		l.computePlan = computePlan
		r := l.run()
		sum.earnedShare += r.earnedShare
		sum.worstWindowsShare += r.worstWindowsShare
		sum.wastedShare += r.wastedShare
		sum.urgentLateShare += r.urgentLateShare
		sum.maxRelativeTime += r.maxRelativeTime
	}
	n := float64(days)
	return loadResult{sum.earnedShare / n, sum.worstWindowsShare / n, sum.wastedShare / n, sum.urgentLateShare / n, sum.maxRelativeTime / n}
}

// BenchmarkLoad simulates days with bursts of urgent and of large work and inaccurate estimates,
// and reports the results by the users' goals.
func BenchmarkLoad(b *testing.B) {
	for _, tt := range append(tightCases, loadCases...) {
		b.Run(tt.name, func(b *testing.B) {
			mean := tt.meanResult(b.N, schedule.ComputePlan)
			b.ReportMetric(mean.score(), "worth/day")
			b.ReportMetric(mean.earnedShare, "whole/day")
			b.ReportMetric(mean.worstWindowsShare, "windows/day")
			b.ReportMetric(mean.wastedShare, "wasted/day")
			b.ReportMetric(mean.urgentLateShare, "urgent-late/day")
			b.ReportMetric(mean.maxRelativeTime, "longest/day")
		})
	}
}
