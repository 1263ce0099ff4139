package schedule_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/schedule"
)

// given is a job of a day that isn't drawn at random. Its estimate is right for a worker of median speed, and its
// objective is too near for it to be deferred.
type given struct {
	name                           string
	priority, tasks, accelerators  int
	submitted, estimate, objective time.Duration
}

// simulateGiven simulates a day with the jobs, the tasks of each of which are a gang, and returns after which time each
// has ended. Each worker is told to have its pace.
func simulateGiven(paces []float64, jobs []given) map[string]time.Duration {
	c := loadCase{"given", nil, len(paces), 4, 3, 128000, 262144, 200 * time.Millisecond, 0}
	l := newLoadSimulation(c, 1)
	l.paces, l.told = paces, true
	l.computePlan = func(v *schedule.View) schedule.Plan {
		for i, p := range paces {
			v.Workers[i].Pace = p
		}
		return schedule.ComputePlan(v)
	}
	for i, g := range jobs {
		step := newStep(g.accelerators)
		step.Count, step.Estimate, step.Gang = g.tasks, g.estimate, g.tasks > 1
		class := &jobClass{priority: g.priority, target: g.objective, onTimeValue: 1}
		l.jobs = append(l.jobs, &loadJob{class: class, number: i, submitted: testStart.Add(g.submitted), runTime: g.estimate, remainingUnits: 1, step: step, value: 1})
	}
	l.run()
	ended := make(map[string]time.Duration)
	for i, j := range l.jobs {
		ended[jobs[i].name] = j.ended.Sub(testStart)
	}
	return ended
}

// Wherever a plan asks how long a unit takes, it goes by the paces of the workers in question.
func TestTimesGoByPace(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name  string
		paces []float64
		jobs  []given
		job   string
		by    time.Duration
	}{
		{
			// Both seem to be late or not by the median worker, and only one of them needs the fast one.
			"who can end in time on a fast worker isn't late yet",
			[]float64{1, 1, 0.5},
			[]given{{"patient", 0, 1, 8, 0, 10 * s, 30 * s}, {"tight", 0, 1, 8, 0, 10 * s, 8 * s}},
			"tight", 8 * s,
		},
		{
			"a slow worker isn't borrowed for what it takes too long for",
			[]float64{1, 3},
			[]given{{"first", 0, 1, 8, 0, 8 * s, 9 * s}, {"large", 1, 2, 8, s / 10, 2 * s, 4 * s}, {"small", 2, 1, 1, s / 5, 7 * s / 2, 5 * s}},
			"large", 14500 * time.Millisecond,
		},
		{
			"a fast worker is lent for longer",
			[]float64{0.5, 2, 2},
			[]given{
				{"slow one", 1, 1, 8, 0, 5 * s, time.Minute},
				{"other slow one", 1, 1, 8, 0, 5 * s, time.Minute},
				{"large", 1, 3, 8, s / 10, 2 * s, 4 * s},
				{"small", 2, 1, 1, s / 5, 8 * s, 9 * s},
			},
			"small", 5 * s,
		},
		{
			// The sum of what others still take is less on the slow worker, and small work would fill the fast one.
			"room is kept where a large unit ends first",
			[]float64{1, 3},
			[]given{
				{"short", 0, 1, 4, 0, 4 * s, 9 * s},
				{"long", 0, 1, 2, 0, 13 * s / 2, 9 * s},
				{"other long", 0, 1, 2, 0, 13 * s / 2, 9 * s},
				{"slow", 1, 1, 8, 0, 7 * s / 3, 8 * s},
				{"large", 1, 1, 8, s / 10, 10 * s, 20 * s},
				{"small", 2, 1, 4, s / 5, 4 * s, 6 * s},
				{"smaller", 2, 1, 4, 3 * s, 4 * s, 6 * s},
			},
			"large", 17 * s,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := simulateGiven(tt.paces, tt.jobs); got[tt.job] > tt.by {
				t.Errorf("job %q ended after %v, want at most %v (all: %v)", tt.job, got[tt.job], tt.by, got)
			}
		})
	}
}
