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
	loadDay      = 40 * time.Second
	loadTick     = 25 * time.Millisecond
	loadBurst    = 5 * time.Second
	loadRemote   = 3      // Times as long as in one rack.
	loadSlowness = 1.3    // Times as long on each third worker, in the site files.
	loadSure     = 0.62   // Share of all accelerators that is guaranteed to the teams together.
	wastePrice   = 0.0019 // Worth of a core's second that is thrown away, in the site files.
	loadWindow   = 2 * time.Second
)

// loadJob is a job of a load.
type loadJob struct {
	class     *class
	number    int
	submitted time.Time
	work      time.Duration // Run time of a task.
	tasks     int           // Not done yet.
	step      *workflow.Step
	team      int
	ended     time.Time
	worth     float64
}

// loadUnit is a task or gang of it.
type loadUnit struct {
	job     *loadJob
	members int
	left    time.Duration
	workers []int // Nil while it waits.
	started time.Time
	stopped time.Time
	ready   time.Time
	kept    []int
}

// loadResult is what a day came to.
type loadResult struct {
	whole, windows, wasted, urgentLate float64
	// longest is the longest time that a job of the middle priority took, over its objective.
	longest float64
}

// worth combines them as the site files' goals do.
func (r loadResult) worth() float64 { return (0.95*r.whole+0.25*r.windows)/1.2 - r.wasted }

// load plays days of a desk on virtual time against the schedule.
type load struct {
	classes []class
	rng     *rand.Rand
	workers []schedule.Worker
	teams   int
	rack    int
	stop    time.Duration
	now     time.Time
	jobs    []*loadJob
	units   []*loadUnit
	lost    float64 // Core seconds.
	// next plans.
	next func(*schedule.View) schedule.Plan
	// powerLoss is when all workers lose what runs on them, zero for never.
	powerLoss time.Duration
}

func newLoad(c loadCase, seed uint64) *load {
	l := &load{classes: c.classes, rng: rand.New(rand.NewPCG(seed, 7)), workers: fleet(c.workers), teams: c.teams, rack: c.rack, stop: c.stop, now: epoch, next: schedule.Next, powerLoss: c.powerLoss}
	for i := range l.workers {
		l.workers[i].Room.MilliCores, l.workers[i].Room.MemoryMB = c.milliCores, c.memory
		l.workers[i].Rack = fmt.Sprint("rack-", i/c.rack)
	}
	return l
}

// guaranteed shares the guaranteed accelerators among the teams.
func (l *load) guaranteed() map[string]int {
	accelerators := 0
	for _, w := range l.workers {
		accelerators += w.Room.Accelerators
	}
	out := make(map[string]int)
	for i := range l.teams {
		out[teamName(i)] = int(loadSure * float64(accelerators) / float64(l.teams))
	}
	return out
}

func teamName(i int) string { return string(rune('a' + i)) }

// arrivals draws the day's jobs.
func (l *load) arrivals() []*loadJob {
	var out []*loadJob
	for c := range l.classes {
		k := &l.classes[c]
		begin := time.Duration(l.rng.Float64() * float64(loadDay-loadBurst))
		for at := time.Duration(0); at < loadDay; {
			rate := k.rate
			if at >= begin && at < begin+loadBurst {
				rate *= k.burst
			}
			at += time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second))
			out = append(out, l.draw(k, len(out), epoch.Add(at)))
		}
	}
	slices.SortFunc(out, func(a, b *loadJob) int { return a.submitted.Compare(b.submitted) })
	return out
}

func (l *load) draw(k *class, number int, at time.Time) *loadJob {
	work := min(k.longest, time.Duration(float64(k.mean)*math.Exp(k.spread*l.rng.NormFloat64()-k.spread*k.spread/2)))
	count := min(k.widest, max(1, int(math.Round(k.width*math.Exp(0.8*l.rng.NormFloat64()-0.32)))))
	off := 1 + k.estimateOffset*(2*l.rng.Float64()-1)
	gang := count > 1 && l.rng.Float64() < k.gangs
	s := &workflow.Step{
		Count: count, Estimate: time.Duration(off * float64(work)), Gang: gang, SameRack: gang && l.rng.Float64() < k.near,
		Checkpoints: l.rng.Float64() < k.checkpoints,
		Room:        workflow.Room{MilliCores: k.cores, MemoryMB: k.memory, Accelerators: k.accelerators[l.rng.IntN(len(k.accelerators))]},
	}
	j := &loadJob{class: k, number: number, submitted: at, work: work, tasks: s.Count, step: s, team: l.rng.IntN(l.teams)}
	if gang {
		s.Count = min(s.Count, l.holds(s))
	}
	meanAccelerators := 0.0
	for _, a := range k.accelerators {
		meanAccelerators += float64(a) / float64(len(k.accelerators))
	}
	mean := k.width * k.mean.Seconds() * (float64(k.cores)/1000 + 8*meanAccelerators)
	own := float64(s.Count) * work.Seconds() * float64(s.Cores()) / 1000
	j.worth = min(4, 0.3+0.7*own/mean)
	return j
}

// holds returns how many members of a gang fit on empty workers that it may run on: those of a
// rack, or a quarter of all.
func (l *load) holds(s *workflow.Step) int {
	workers := (len(l.workers) + 3) / 4
	if s.SameRack {
		workers = l.rack
	}
	return workers * l.workers[0].Room.Times(s.Room, s.Count)
}

func (l *load) run() loadResult {
	arrivals := l.arrivals()
	l.jobs = arrivals
	for left := len(arrivals); left > 0; l.now = l.now.Add(loadTick) {
		changed := false
		for len(arrivals) > 0 && !arrivals[0].submitted.After(l.now) {
			l.enter(arrivals[0])
			arrivals = arrivals[1:]
			changed = true
		}
		if l.powerLoss > 0 && l.now.Sub(epoch) == l.powerLoss {
			l.restart()
			changed = true
		}
		ended, freed := l.end()
		left -= ended
		if changed || freed {
			l.plan()
		}
		if l.now.Sub(epoch) > 10*loadDay {
			break // What starves counts as never done.
		}
	}
	return l.result()
}

// restart lets all workers lose what runs on them.
func (l *load) restart() {
	for _, u := range l.units {
		if u.workers != nil {
			u.workers, u.stopped, u.ready, u.left = nil, time.Time{}, l.now, u.job.work
		}
	}
}

func (l *load) enter(j *loadJob) {
	n, members := j.step.Count, 1
	if j.step.Gang {
		n, members = 1, j.step.Count
	}
	j.tasks = n
	for range n {
		l.units = append(l.units, &loadUnit{job: j, members: members, left: j.work, ready: l.now})
	}
}

// end takes in what has ended; freed says that room came free.
func (l *load) end() (jobs int, freed bool) {
	l.units = slices.DeleteFunc(l.units, func(u *loadUnit) bool {
		switch {
		case u.workers == nil:
			return false
		case !u.stopped.IsZero():
			if l.now.Before(u.stopped) {
				return false
			}
			u.workers, u.stopped, u.ready, freed = nil, time.Time{}, l.now, true
			return false
		case l.now.Before(u.started.Add(l.lasts(u))):
			return false
		}
		freed = true
		if u.job.tasks--; u.job.tasks == 0 {
			u.job.ended = l.now
			jobs++
		}
		return true
	})
	return jobs, freed
}

// lasts returns how long a unit runs where it is; each third worker is slow.
func (l *load) lasts(u *loadUnit) time.Duration {
	apart := slices.ContainsFunc(u.workers, func(w int) bool { return l.workers[w].Rack != l.workers[u.workers[0]].Rack })
	out := u.left
	if slices.ContainsFunc(u.workers, func(w int) bool { return w%3 == 2 }) {
		out = time.Duration(loadSlowness * float64(out))
	}
	if u.job.step.SameRack && apart {
		out *= loadRemote
	}
	return out
}

func (l *load) plan() {
	v := &schedule.View{Now: l.now, Workers: l.workers, Guaranteed: l.guaranteed()}
	var running, waiting []*loadUnit
	for _, u := range l.units {
		j := u.job
		if u.workers != nil {
			running = append(running, u)
			ran := l.now.Sub(u.started)
			lost := ran
			if j.step.Checkpoints {
				lost = min(lost, time.Second)
			}
			v.Running = append(v.Running, schedule.Running{
				Team: teamName(j.team), Priority: j.class.priority, Submitted: j.submitted, Step: j.step, Workers: u.workers,
				Stopping: !u.stopped.IsZero(), Lost: lost, Left: max(0, j.step.Estimate-ran),
			})
			continue
		}
		waiting = append(waiting, u)
		span := time.Duration(j.class.stretch*float64(j.step.Estimate)) + j.class.target
		v.Waiting = append(v.Waiting, schedule.Waiting{
			Team: teamName(j.team), Service: "s", Priority: j.class.priority, Step: j.step, Members: u.members, Ready: u.ready,
			Submitted: j.submitted, Objective: j.submitted.Add(span), Late: j.submitted.Add(3 * span),
			Estimate: j.step.Estimate, Group: len(v.Beside), Avoid: -1, Kept: u.kept,
		})
		v.Beside = append(v.Beside, nil)
		u.kept = nil
	}
	plan := l.next(v)
	for _, s := range plan.Starts {
		u := waiting[s.Waiting]
		u.workers, u.started = s.Workers, l.now
	}
	for _, k := range plan.Keeps {
		waiting[k.Waiting].kept = k.Workers
	}
	for _, s := range plan.Stops {
		u := running[s.Running]
		u.stopped = l.now.Add(l.stop)
		ran := l.now.Sub(u.started)
		lost := ran
		if u.job.step.Checkpoints {
			lost = ran % time.Second
			u.left -= ran - lost
		}
		l.lost += lost.Seconds() * float64(len(u.workers)*u.job.step.Cores()) / 1000
	}
}

func (l *load) result() loadResult {
	var r loadResult
	var owed, earned, urgent, late float64
	type window struct{ owed, earned float64 }
	windows := make(map[int]window)
	for _, j := range l.jobs {
		objective := time.Duration(j.class.stretch*float64(j.work)) + j.class.target
		got := 0.0
		took := j.ended.Sub(j.submitted)
		switch {
		case j.ended.IsZero() || took > 3*objective:
		case took > objective:
			got = j.class.late * j.worth
		default:
			got = j.class.worth * j.worth
		}
		if j.class.priority == 1 {
			r.longest = max(r.longest, float64(took)/float64(objective))
		}
		if j.class.priority == 0 {
			urgent++
			if took > objective {
				late++
			}
		}
		w := windows[int(j.submitted.Sub(epoch)/loadWindow)]
		w.owed += j.class.worth * j.worth
		w.earned += got
		windows[int(j.submitted.Sub(epoch)/loadWindow)] = w
		owed += j.class.worth * j.worth
		earned += got
	}
	var shares []float64
	for _, w := range windows {
		shares = append(shares, w.earned/w.owed)
	}
	slices.SortFunc(shares, cmp.Compare)
	r.whole, r.windows = earned/owed, (shares[0]+shares[1])/2
	r.wasted, r.urgentLate = wastePrice*l.lost/owed, late/max(1, urgent)
	return r
}

// TestEveryJobOfALoadEnds says that nothing starves beside bursts of urgent work.
func TestEveryJobOfALoadEnds(t *testing.T) {
	for seed := range uint64(40) {
		l := newLoad(loads[0], seed)
		l.run()
		for _, j := range l.jobs {
			if j.ended.IsZero() && l.offers().CanRun(&workflow.Job{Queue: workflow.Queue{Service: "s"}, Steps: []workflow.Step{*j.step}}) == nil {
				t.Errorf("seed %d: job %d (%d tasks of %d accelerators) has not ended after %v",
					seed, j.number, j.step.Count, j.step.Room.Accelerators, l.now.Sub(epoch))
			}
		}
	}
}

// offers returns what the workers offer.
func (l *load) offers() (out workflow.WorkerList) {
	for _, w := range l.workers {
		out = append(out, w.Worker)
	}
	return out
}

// mean plays days and returns the mean of what they came to.
func (c loadCase) mean(days int, next func(*schedule.View) schedule.Plan) loadResult {
	var sum loadResult
	for i := range days {
		l := newLoad(c, uint64(i))
		l.next = next
		r := l.run()
		sum.whole += r.whole
		sum.windows += r.windows
		sum.wasted += r.wasted
		sum.urgentLate += r.urgentLate
		sum.longest += r.longest
	}
	n := float64(days)
	return loadResult{sum.whole / n, sum.windows / n, sum.wasted / n, sum.urgentLate / n, sum.longest / n}
}

// BenchmarkLoad plays days with bursts of urgent and of large work, with estimates that
// are off, and reports what the users' accounting makes of them.
func BenchmarkLoad(b *testing.B) {
	for _, tt := range loads {
		b.Run(tt.name, func(b *testing.B) {
			mean := tt.mean(b.N, schedule.Next)
			b.ReportMetric(mean.worth(), "worth/day")
			b.ReportMetric(mean.whole, "whole/day")
			b.ReportMetric(mean.windows, "windows/day")
			b.ReportMetric(mean.wasted, "wasted/day")
			b.ReportMetric(mean.urgentLate, "urgent-late/day")
			b.ReportMetric(mean.longest, "longest/day")
		})
	}
}
