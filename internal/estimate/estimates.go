// Package estimate corrects declared run times and memory sizes by what earlier jobs,
// above all those of the same team and class, actually needed.
package estimate

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Quantity is a declared and measured quantity.
type Quantity string

// Quantities for which corrections are estimated.
const (
	RunTime Quantity = "run-time"
	Memory  Quantity = "memory"
)

// Observation is the declared and the actual value of one quantity of a job.
type Observation struct {
	Team     string
	Class    string
	Quantity Quantity
	Declared float64
	Actual   float64
	// AtLeast is set when the job was stopped early, so that Actual is a lower bound.
	// Such an observation counts only if its ratio is above the current median estimate.
	AtLeast bool
}

// RunTimeObservation returns an observation of the run time of a job.
func RunTimeObservation(team, class string, declared, actual time.Duration) Observation {
	return Observation{Team: team, Class: class, Quantity: RunTime, Declared: float64(declared), Actual: float64(actual)}
}

// MemoryObservation returns an observation of the peak memory of a task.
func MemoryObservation(team, class string, declared, actual shop.Bytes) Observation {
	return Observation{Team: team, Class: class, Quantity: Memory, Declared: float64(declared), Actual: float64(actual)}
}

// Limits of the kept observations and of the corrections.
const (
	// Window is the number of ratios kept for each group of jobs, the newest ones.
	Window = 64
	// MaxRatio limits a correction upwards, and 1/MaxRatio downwards.
	MaxRatio = 32.0
	// MaxSamples limits the groups for which ratios are kept. When it is reached, the
	// pair of team and class that was updated longest ago is dropped.
	MaxSamples = 4096
	// shrinkWeight is the number of observations that the estimate of the next wider
	// group counts for.
	shrinkWeight = 8.0
	median       = 0.5
)

// groupKey identifies a group of jobs. An empty team means all teams, and an empty class
// all classes.
type groupKey struct {
	quantity    Quantity
	team, class string
}

// Estimates holds the ratios of actual to declared values that were observed. It is never
// modified in place, so readers need no lock.
type Estimates struct {
	samples      map[groupKey]*sample
	observations uint64 // Number of observations added so far.
}

// With returns the estimates with the observations added in order. Observations without
// a positive declared and a positive actual value, or with an infinite ratio, are ignored.
func (e Estimates) With(observations ...Observation) Estimates {
	next := Estimates{samples: maps.Clone(e.samples), observations: e.observations}
	if next.samples == nil {
		next.samples = make(map[groupKey]*sample)
	}
	for _, o := range observations {
		next.add(o)
	}
	return next
}

func (e *Estimates) add(o Observation) {
	ratio := o.Actual / o.Declared
	if !(o.Declared > 0 && o.Actual > 0) || math.IsInf(ratio, 0) {
		return
	}
	if o.AtLeast && ratio <= e.ratio(o.Quantity, o.Team, o.Class, median) {
		return
	}
	ratio = clampRatio(ratio)
	e.observations++
	for _, k := range groupKeys(o.Quantity, o.Team, o.Class) {
		if e.samples[k] == nil && len(e.samples) >= MaxSamples {
			e.dropStalest()
		}
		e.samples[k] = e.samples[k].with(ratio, e.observations)
	}
}

// groupKeys returns the groups that a job belongs to, the widest first.
func groupKeys(q Quantity, team, class string) [3]groupKey {
	return [3]groupKey{{quantity: q}, {quantity: q, class: class}, {q, team, class}}
}

// dropStalest drops the pair of team and class that was updated longest ago. The wider
// groups are always kept.
func (e *Estimates) dropStalest() {
	var stalest groupKey
	oldest := uint64(math.MaxUint64)
	for k, s := range e.samples {
		if k.team != "" && s.updated < oldest {
			stalest, oldest = k, s.updated
		}
	}
	delete(e.samples, stalest)
}

// RunTime returns a quantile, from 0 to 1, of the actual run time of a job with the
// declared run time.
func (e Estimates) RunTime(team, class string, declared time.Duration, quantile float64) time.Duration {
	return toDuration(float64(declared) * e.ratio(RunTime, team, class, quantile))
}

// Memory returns a quantile of the actual memory use of a task with the declared size.
func (e Estimates) Memory(team, class string, declared shop.Bytes, quantile float64) shop.Bytes {
	return shop.Bytes(min(float64(declared)*e.ratio(Memory, team, class, quantile), math.MaxInt64))
}

// Remaining returns a quantile of the remaining run time of a job that has been running
// for the elapsed time. It considers only jobs that ran longer, relative to their
// declared run time, in the narrowest group that has any. If there are none, it returns
// the rest of the expected run time, but at least the elapsed time: a job that overran
// is taken to be half way through.
func (e Estimates) Remaining(team, class string, declared, elapsed time.Duration, quantile float64) time.Duration {
	if expected := e.RunTime(team, class, declared, quantile); elapsed <= 0 || declared <= 0 {
		return expected
	}
	passed := float64(elapsed) / float64(declared)
	keys := groupKeys(RunTime, team, class)
	for _, k := range slices.Backward(keys[:]) {
		if longer := e.samples[k].above(passed); len(longer) > 0 {
			return toDuration(float64(declared)*quantileOf(longer, quantile)) - elapsed
		}
	}
	return max(elapsed, e.RunTime(team, class, declared, quantile)-elapsed)
}

// ratio returns a quantile of the ratio of actual to declared value. It starts from 1 and
// moves towards the ratios of all jobs, of the class, and of the team and class in turn,
// the further the more observations each group has.
func (e Estimates) ratio(q Quantity, team, class string, quantile float64) float64 {
	logRatio := 0.0
	for _, k := range groupKeys(q, team, class) {
		s := e.samples[k]
		if s == nil {
			continue
		}
		n := float64(len(s.sorted))
		logRatio = (n*math.Log(quantileOf(s.sorted, quantile)) + shrinkWeight*logRatio) / (n + shrinkWeight)
	}
	return clampRatio(math.Exp(logRatio))
}

func clampRatio(ratio float64) float64 { return min(max(ratio, 1/MaxRatio), MaxRatio) }

func toDuration(f float64) time.Duration {
	if f >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(f)
}

// sample holds the newest ratios of a group, both in order of arrival and sorted. It is
// never modified in place.
type sample struct {
	newest  []float32
	sorted  []float32
	updated uint64 // Estimates.observations at the last update.
}

func (s *sample) with(ratio float64, count uint64) *sample {
	next := &sample{updated: count}
	if s != nil {
		next.newest = s.newest[max(0, len(s.newest)+1-Window):]
	}
	next.newest = append(slices.Clone(next.newest), float32(ratio))
	next.sorted = slices.Clone(next.newest)
	slices.Sort(next.sorted)
	return next
}

// above returns the ratios that are larger than the given one, sorted.
func (s *sample) above(ratio float64) []float32 {
	if s == nil {
		return nil
	}
	i := sort.Search(len(s.sorted), func(i int) bool { return float64(s.sorted[i]) > ratio })
	return s.sorted[i:]
}

// quantileOf returns a quantile of sorted values: the smallest value that is at least as
// large as that share of them.
func quantileOf(sorted []float32, quantile float64) float64 {
	i := int(math.Ceil(quantile*float64(len(sorted)))) - 1
	return float64(sorted[min(max(i, 0), len(sorted)-1)])
}
