package pace_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/pace"
)

// fleet is machines whose paces are known to the test only.
type fleet struct {
	rng   *rand.Rand
	paces []float64
	now   clock.Instant
	jobs  int
}

// newFleet returns machines whose paces are those given, in turn.
func newFleet(seed uint64, machines int, paces ...float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: 1}
	for i := range machines {
		f.paces = append(f.paces, paces[i%len(paces)])
	}
	return f
}

func machineName(i int) string { return fmt.Sprint("m-", i) }

// runJob returns readings of a job's tasks on machines at random. The tasks' work differs by 15 %, and one in thirty
// takes seven times as long.
func (f *fleet) runJob(tasks int) []pace.Reading {
	f.jobs++
	f.now = f.now.Add(100 * time.Millisecond)
	work := 8 * math.Exp(0.5*f.rng.NormFloat64())
	var out []pace.Reading
	for i, machine := range f.rng.Perm(len(f.paces))[:min(tasks, len(f.paces))] {
		seconds := work * math.Exp(0.15*f.rng.NormFloat64()) * f.paces[machine]
		if f.rng.IntN(30) == 0 {
			seconds *= 7
		}
		out = append(out, pace.Reading{
			Group: fmt.Sprint("j", f.jobs), Run: fmt.Sprint(i), Machine: machineName(machine),
			RunTime: time.Duration(seconds * float64(time.Second)), At: f.now,
		})
	}
	return out
}

// errors returns by which factor less one each machine's pace is off, relative to the median machine.
func (f *fleet) errors(p pace.Paces) (out []float64) {
	sorted := slices.Sorted(slices.Values(f.paces))
	median := sorted[(len(sorted)-1)/2]
	for i, truth := range f.paces {
		out = append(out, math.Expm1(math.Abs(math.Log(p.Of(machineName(i))/(truth/median)))))
	}
	return out
}

// The paces found after some hundred runs are near the true ones, and those of machines that are alike are the same.
func TestPacesAreFound(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		paces := rapid.SampledFrom([][]float64{{0.7, 0.7, 1.7}, {0.8, 1, 1.25}, {1, 1, 1.3}, {1}}).Draw(t, "paces")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(12, 70).Draw(t, "machines"), paces...)
		var p pace.Paces
		for range 20 {
			var readings []pace.Reading
			for range 4 {
				readings = append(readings, f.runJob(5+f.rng.IntN(25))...)
			}
			p = p.With(f.now, readings...)
		}
		errs := slices.Sorted(slices.Values(f.errors(p)))
		if most := errs[len(errs)*8/10]; most > 0.1 {
			t.Errorf("a fifth of the paces is off by %.2f or more, want at most 0.1", most)
		}
		if worst := errs[len(errs)-1]; worst > 0.25 {
			t.Errorf("a pace is off by %.2f", worst)
		}
		if len(paces) > 1 {
			return
		}
		for i := range f.paces {
			if at := p.Of(machineName(i)); pace.Class(at) != 0 {
				t.Errorf("machine %d of a fleet of equal ones has pace %.2f", i, at)
			}
		}
	})
}

func TestFirstReadingsTell(t *testing.T) {
	job := func(times ...time.Duration) (out []pace.Reading) {
		for i, d := range times {
			out = append(out, pace.Reading{Group: "j", Run: fmt.Sprint(i), Machine: machineName(i), RunTime: d, At: 1})
		}
		return out
	}
	const fast, slow = 7 * time.Second, 17 * time.Second
	tests := []struct {
		name     string
		readings []pace.Reading
		least    map[int]float64
		most     map[int]float64
	}{
		{"a third is slow", job(fast, fast, slow, fast, fast, slow), map[int]float64{2: 1.5, 5: 1.5}, map[int]float64{0: 1.1, 1: 1.1}},
		{"one task of many is long", job(fast, fast, 7*fast, fast, fast, fast, fast, fast, fast, fast), nil, map[int]float64{2: 1.8, 0: 1.1}},
		{"siblings on one machine tell nothing", []pace.Reading{
			{Group: "j", Run: "0", Machine: "m-0", RunTime: fast, At: 1}, {Group: "j", Run: "1", Machine: "m-0", RunTime: slow, At: 1},
		}, nil, map[int]float64{0: 0}},
		{"not a time", []pace.Reading{{Group: "j", Machine: "m-0"}, {Group: "j", Run: "1", Machine: "m-1", RunTime: -1}}, nil, map[int]float64{0: 0, 1: 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := pace.Paces{}.With(1, tt.readings...)
			for i, least := range tt.least {
				if got := p.Of(machineName(i)); got < least {
					t.Errorf("machine %d has pace %.2f, want at least %.2f", i, got, least)
				}
			}
			for i, most := range tt.most {
				if got := p.Of(machineName(i)); got > most {
					t.Errorf("machine %d has pace %.2f, want at most %.2f", i, got, most)
				}
			}
		})
	}
}

// A planner that begins with what another one has stored knows the machines at once, and learns when one has changed.
func TestStoredPaces(t *testing.T) {
	f := newFleet(3, 12, 0.7, 0.7, 1.7)
	var first pace.Paces
	for range 40 {
		first = first.With(f.now, f.runJob(8)...)
	}
	next := pace.Paces{}.WithStored(f.now, first.Known())
	for i, off := range f.errors(next) {
		if off > 0.25 {
			t.Errorf("machine %d is off by %.2f after a hand-over", i, off)
		}
	}
	f.paces[0] = 1.7
	for range 40 {
		next = next.With(f.now, f.runJob(8)...)
	}
	if off := f.errors(next)[0]; off > 0.2 {
		t.Errorf("a machine that has become slow is off by %.2f", off)
	}
}

func TestOldReadingsAreForgotten(t *testing.T) {
	f := newFleet(4, 6, 0.7, 1.7)
	p := pace.Paces{}.With(f.now, f.runJob(6)...)
	p = p.With(f.now.Add(2 * pace.Window))
	if known := p.Known(); len(known) > 0 {
		t.Errorf("%v known after %v, want nothing", known, 2*pace.Window)
	}
}

// What an earlier planner has learned is forgotten as readings are, and so are old readings of tasks whose siblings
// still run.
func TestOldPacesAreForgotten(t *testing.T) {
	readings := func(at clock.Instant, run string, slow int) (out []pace.Reading) {
		for i := range 4 {
			r := pace.Reading{Group: "j", Run: fmt.Sprint(run, i), Machine: machineName(i), RunTime: 4 * time.Second, At: at}
			if i == slow {
				r.RunTime = 12 * time.Second
			}
			out = append(out, r)
		}
		return out
	}
	later := clock.Instant(1).Add(pace.Window + time.Second)
	stored := map[string]pace.Known{machineName(0): {LogPace: 1, Readings: 4}, machineName(9): {LogPace: 1, Readings: 4}}
	tests := []struct {
		name  string
		paces pace.Paces
	}{
		{"stored", pace.Paces{}.WithStored(1, stored)},
		{"of siblings", pace.Paces{}.With(1, readings(1, "old", 0)...).With(2, readings(2, "older", 0)...)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := tt.paces.With(later, readings(later, "new", -1)...)
			if slow, other := p.Of(machineName(0)), p.Of(machineName(9)); slow != 1 || other != 0 {
				t.Errorf("paces %v and %v, want 1 and nothing known", slow, other)
			}
		})
	}
}

func BenchmarkWith(b *testing.B) {
	f := newFleet(1, 70, 0.7, 0.7, 1.7)
	var p pace.Paces
	for range pace.MaxGroups {
		p = p.With(f.now, f.runJob(20)...)
	}
	for b.Loop() {
		p.With(f.now, f.runJob(20)...)
	}
}

// Two machines share jobs with each other only, which contradict each other, so that each takes the lower of its two
// values. What they are off by must not add up, round after round, as the readings are renewed.
func TestPacesDoNotDrift(t *testing.T) {
	const short, long = 8 * time.Second, 12 * time.Second
	readings := []pace.Reading{
		{Group: "a", Run: "a0", Machine: "m-0", RunTime: short},
		{Group: "a", Run: "a1", Machine: "m-1", RunTime: long},
		{Group: "b", Run: "b0", Machine: "m-0", RunTime: long},
		{Group: "b", Run: "b1", Machine: "m-1", RunTime: short},
	}
	for i := range 6 {
		readings = append(readings, pace.Reading{Group: "c", Run: fmt.Sprint("c", i), Machine: machineName(2 + i), RunTime: short})
	}
	var p pace.Paces
	now := clock.Instant(1)
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		for i := range readings {
			readings[i].At = now
		}
		p = p.With(now, readings...)
	}
	for i := range 8 {
		if at := p.Of(machineName(i)); at < 0.66 || at > 1.5 {
			t.Errorf("machine %d has pace %.3f, none has tasks that differ by more than half", i, at)
		}
	}
}

// Odd readings, as of tasks that stood still, give paces that can be stored.
func TestPacesAreBounded(t *testing.T) {
	var readings []pace.Reading
	for job := range 5 {
		for i, d := range []time.Duration{time.Second, time.Second, 1e9 * time.Second, time.Nanosecond} {
			readings = append(readings, pace.Reading{Group: fmt.Sprint(job), Run: fmt.Sprint(i), Machine: machineName(i), RunTime: d, At: 1})
		}
	}
	for machine, k := range (pace.Paces{}).With(1, readings...).Known() {
		if math.Abs(k.LogPace) > pace.MaxLogPace {
			t.Errorf("machine %s has the logarithm %.1f, want at most %d", machine, k.LogPace, pace.MaxLogPace)
		}
	}
}
