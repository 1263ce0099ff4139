// Package estimate corrects declared run times and sizes by what earlier jobs
// of the same team and class turned out to need.
package estimate

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Quantity is what was declared and then measured.
type Quantity string

// Quantities that are corrected.
const (
	RunTime Quantity = "run-time"
	Memory  Quantity = "memory"
)

// Observation is what a job declared and what it came to.
type Observation struct {
	Team     string
	Class    string
	Quantity Quantity
	Declared float64
	Actual   float64
	// AtLeast says that the job was stopped early, so that Actual is a lower
	// bound. It counts only when it is above what was expected.
	AtLeast bool
}

// RunTimeObservation returns the observation of a run time.
func RunTimeObservation(team, class string, declared, actual time.Duration) Observation {
	return Observation{Team: team, Class: class, Quantity: RunTime, Declared: float64(declared), Actual: float64(actual)}
}

// MemoryObservation returns the observation of the most memory that a task used.
func MemoryObservation(team, class string, declared, actual shop.Bytes) Observation {
	return Observation{Team: team, Class: class, Quantity: Memory, Declared: float64(declared), Actual: float64(actual)}
}

// Bounds of what is kept and of what is believed.
const (
	// Window is how many of the newest ratios of a team and class are kept.
	Window = 64
	// MaxRatio bounds a correction in both directions.
	MaxRatio = 32.0
	// MaxSamples bounds the kept pairs of team and class; the stalest goes first.
	MaxSamples = 4096
	// shrinkWeight is how many observations the next wider group is worth.
	shrinkWeight = 8.0
	median       = 0.5
)

// groupKey names a group of jobs. An empty team stands for all teams, and an empty
// class for all classes.
type groupKey struct {
	quantity    Quantity
	team, class string
}

// Estimates is what is known about declared and actual values. It is never
// changed in place, so readers need no lock.
type Estimates struct {
	samples      map[groupKey]*sample
	observations uint64 // Observations taken in so far.
}

// With returns the estimates with observations added, in their order.
// Observations without a declared or an actual value are left out.
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

// groupKeys returns the widest group of jobs first.
func groupKeys(q Quantity, team, class string) [3]groupKey {
	return [3]groupKey{{quantity: q}, {quantity: q, class: class}, {q, team, class}}
}

// dropStalest makes room by forgetting the pair of team and class that was
// updated longest ago. The wider groups stay.
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

// RunTime returns a quantile, from 0 to 1, of how long a job of that declared
// run time takes.
func (e Estimates) RunTime(team, class string, declared time.Duration, quantile float64) time.Duration {
	return toDuration(float64(declared) * e.ratio(RunTime, team, class, quantile))
}

// Memory returns a quantile of the memory that a task of that declared size uses.
func (e Estimates) Memory(team, class string, declared shop.Bytes, quantile float64) shop.Bytes {
	return shop.Bytes(min(float64(declared)*e.ratio(Memory, team, class, quantile), math.MaxInt64))
}

// Remaining returns a quantile of how long a job still takes that has been
// running for a while. It looks only at the jobs that ran as long as that; when
// there were none, the job is taken to be half way through.
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

// ratio starts from the declared value and moves towards what all jobs, the
// class, and the team's jobs of the class showed, by how many of each there are.
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

// sample is the newest ratios of a group, both in the order of their arrival
// and sorted. It is never changed in place.
type sample struct {
	newest  []float32
	sorted  []float32
	updated uint64
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

// above returns the sorted ratios that are larger than a bound.
func (s *sample) above(ratio float64) []float32 {
	if s == nil {
		return nil
	}
	i := sort.Search(len(s.sorted), func(i int) bool { return float64(s.sorted[i]) > ratio })
	return s.sorted[i:]
}

// quantileOf returns a quantile of sorted values: the smallest that is not below that
// share of them.
func quantileOf(sorted []float32, quantile float64) float64 {
	i := int(math.Ceil(quantile*float64(len(sorted)))) - 1
	return float64(sorted[min(max(i, 0), len(sorted)-1)])
}
