// Package pace learns how long a task takes on each machine, relative to a machine of median speed, from the tasks
// that run or have run on several machines at about the same time.
package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sniperill.example/sniperill/internal/clock"
)

// Reading is how long a run takes on a machine from its start to its end, as its progress or its end shows.
type Reading struct {
	// Group names tasks of about the same work: those of one step of a job.
	Group string
	// Run names the run. A newer reading of it replaces the older one.
	Run     string
	Machine string
	RunTime time.Duration
	At      clock.Instant
}

const (
	// Window is the time for which a reading counts.
	Window = 10 * time.Minute
	// MaxGroups limits the groups whose readings are kept. The one without a new reading for longest is dropped first.
	MaxGroups = 96
	// maxPerMachine is the number of readings of a machine that count, the newest ones, so that a machine that was
	// slow for a while isn't taken as slow for long.
	maxPerMachine = 25
	// maxKnownWeight is the number of readings that a pace which an earlier planner has learned counts for at most.
	maxKnownWeight = 4
	// noise is the standard deviation of the logarithm of the run time among siblings on one machine. By the
	// users' pages, siblings differ by 15 %; a percentage and the time of its report add some percent.
	noise = 0.2
	// maxDeviation bounds what one machine adds to the spread of the paces. Some tasks take several times as
	// long as their siblings, which says nothing about their machines.
	maxDeviation = 0.7
	// MaxLogPace is the largest logarithm of a pace, and its negative the smallest: a machine that takes twenty times as
	// long as others is broken rather than slow, and what says more is odd.
	MaxLogPace = 3
	// rounds is how often work and paces are estimated in turn. Changes are small after the third time.
	rounds = 3
	// maxOwnShare is the number of a group's readings from which on a machine's own one changes their median little.
	maxOwnShare = 16
)

// Known is what is known of a machine.
type Known struct {
	// LogPace is the logarithm of its pace, as its readings alone tell.
	LogPace float64
	// Readings is how many of them tell it.
	Readings int
}

// Paces holds what is known of the machines. It is never modified in place.
type Paces struct {
	groups map[string]group
	stored map[string]Known // By an earlier planner.
	// storedUntil is when that no longer counts.
	storedUntil clock.Instant
	known       map[string]Known
	spread      float64 // Variance of the logarithms of the machines' paces.
}

// group is the newest reading of each run of a group, the newest last.
type group []reading

type reading struct {
	Reading
	log float64 // Of the run time in seconds.
}

func (g group) newest() clock.Instant { return g[len(g)-1].At }

// WithStored returns the paces with what an earlier planner has learned, which counts for as long as a reading.
func (p Paces) WithStored(now clock.Instant, stored map[string]Known) Paces {
	p.storedUntil = now.Add(Window)
	p.stored = make(map[string]Known, len(stored))
	for machine, k := range stored {
		p.stored[machine] = Known{k.LogPace, min(k.Readings, maxKnownWeight)}
	}
	p.known = maps.Clone(p.stored)
	p.spread = spread(p.known)
	return p
}

// With returns the paces with the readings added.
func (p Paces) With(now clock.Instant, readings ...Reading) Paces {
	p.groups = maps.Clone(p.groups)
	if p.groups == nil {
		p.groups = make(map[string]group)
	}
	for _, r := range readings {
		if r.RunTime <= 0 || r.Machine == "" {
			continue
		}
		old := slices.DeleteFunc(slices.Clone(p.groups[r.Group]), func(o reading) bool { return o.Run == r.Run })
		p.groups[r.Group] = append(old, reading{r, math.Log(r.RunTime.Seconds())})
	}
	for name, g := range p.groups {
		if g = slices.DeleteFunc(slices.Clone(g), func(r reading) bool { return now.Sub(r.At) > Window }); len(g) == 0 {
			delete(p.groups, name)
		} else {
			p.groups[name] = g
		}
	}
	if now > p.storedUntil {
		p.stored = nil
	}
	if over := len(p.groups) - MaxGroups; over > 0 {
		names := slices.SortedFunc(maps.Keys(p.groups), func(a, b string) int {
			return cmp.Or(cmp.Compare(p.groups[a].newest(), p.groups[b].newest()), cmp.Compare(a, b))
		})
		for _, name := range names[:over] {
			delete(p.groups, name)
		}
	}
	p.fit()
	return p
}

// fit estimates the work of each group from the paces of the machines, and these from that work, in turn. Medians
// leave out tasks that take much longer than their siblings.
func (p *Paces) fit() {
	names := slices.Sorted(maps.Keys(p.groups))
	names = slices.DeleteFunc(names, func(name string) bool { return !p.groups[name].compares() })
	type deviation struct {
		at    clock.Instant
		value float64
	}
	// It begins anew each time: what groups of machines that share no work with others add to each other's paces
	// would otherwise add up.
	known := p.stored
	for round := range rounds {
		byMachine := make(map[string][]deviation)
		for _, name := range names {
			g := p.groups[name]
			work := g.logWork(p.shrunk(known))
			ofAll, _ := work.without("")
			for _, r := range g {
				w, ok := ofAll, true
				if len(g) <= maxOwnShare {
					w, ok = work.without(r.Machine)
				}
				if ok {
					byMachine[r.Machine] = append(byMachine[r.Machine], deviation{r.At, r.log - w})
				}
			}
		}
		next := maps.Clone(p.stored)
		if next == nil {
			next = make(map[string]Known)
		}
		for machine, all := range byMachine {
			slices.SortStableFunc(all, func(a, b deviation) int { return cmp.Compare(b.at, a.at) })
			var values []float64
			for _, d := range all[:min(maxPerMachine, len(all))] {
				values = append(values, d.value)
			}
			for range min(p.stored[machine].Readings, maxPerMachine-len(values)) {
				values = append(values, p.stored[machine].LogPace)
			}
			lower, upper := medians(values)
			if round == rounds-1 {
				upper = lower // Before, it would add up.
			}
			next[machine] = Known{(lower + upper) / 2, len(values)}
		}
		known = next
	}
	p.known = centred(known)
	p.spread = spread(p.known)
}

// compares reports whether the group has readings of several machines.
func (g group) compares() bool {
	return slices.ContainsFunc(g, func(r reading) bool { return r.Machine != g[0].Machine })
}

// shrunk returns the logarithms of the paces as far as their readings can be trusted.
func (p Paces) shrunk(known map[string]Known) func(machine string) (logPace float64, weight int) {
	return func(machine string) (float64, int) {
		k := known[machine]
		if k.Readings == 0 || p.spread == 0 {
			return 0, 1
		}
		return p.trusted(k), 1 + min(k.Readings, maxKnownWeight)
	}
}

// trusted returns the logarithm of a machine's pace as far as its readings, of which there are some, can be trusted.
func (p Paces) trusted(k Known) float64 {
	return k.LogPace * p.spread / (p.spread + noise*noise/float64(k.Readings))
}

// work is how long the tasks of a group take on a machine of median speed, as each of its readings tells.
type work []workReading

type workReading struct {
	machine string
	log     float64 // Of the time in seconds.
	weight  int     // Machines that are known better count for more.
}

// logWork returns the group's work, sorted.
func (g group) logWork(paceOf func(machine string) (logPace float64, weight int)) work {
	out := make(work, 0, len(g))
	for _, r := range g {
		logPace, weight := paceOf(r.Machine)
		out = append(out, workReading{r.Machine, r.log - logPace, weight})
	}
	slices.SortFunc(out, func(a, b workReading) int { return cmp.Compare(a.log, b.log) })
	return out
}

// without returns the median of the work as the readings of all machines but one tell, or false if there are none. A
// machine's pace would otherwise confirm itself through the work, and move away round after round.
func (w work) without(machine string) (log float64, ok bool) {
	total := 0
	for _, r := range w {
		if r.machine != machine {
			total += r.weight
		}
	}
	if total == 0 {
		return 0, false
	}
	below, lower := 0, math.NaN()
	for _, r := range w {
		if r.machine == machine {
			continue
		}
		below += r.weight
		if math.IsNaN(lower) && 2*below >= total {
			lower = r.log
		}
		if 2*below > total {
			return (lower + r.log) / 2, true
		}
	}
	return 0, false
}

// medians returns the lower and the upper median. The lower one counts: a task may take several times as long as its
// siblings, but none is much shorter.
func medians(values []float64) (lower, upper float64) {
	values = slices.Sorted(slices.Values(values))
	return values[(len(values)-1)/2], values[len(values)/2]
}

// centred returns the paces relative to the median one.
func centred(known map[string]Known) map[string]Known {
	if len(known) == 0 {
		return known
	}
	var values []float64
	for _, k := range known {
		values = append(values, k.LogPace)
	}
	median, _ := medians(values)
	for machine, k := range known {
		known[machine] = Known{max(-MaxLogPace, min(MaxLogPace, k.LogPace-median)), k.Readings}
	}
	return known
}

// spread returns the variance of the logarithms of the machines' paces, less what the noise of the readings adds.
func spread(known map[string]Known) float64 {
	sum := 0.0
	for _, k := range known {
		d := min(math.Abs(k.LogPace), maxDeviation)
		sum += d*d - noise*noise/float64(max(1, k.Readings))
	}
	return max(0, sum/float64(max(1, len(known))))
}

// Of returns how long a task takes on a machine, relative to a machine of median speed, or 0 if nothing is known. A
// machine of which little is known is taken to be nearer to the median than its readings say, the more so the
// more alike the machines are.
func (p Paces) Of(machine string) float64 {
	k, ok := p.known[machine]
	if !ok || k.Readings == 0 {
		return 0
	}
	return math.Exp(p.trusted(k))
}

// Known returns what is known of each machine.
func (p Paces) Known() map[string]Known { return maps.Clone(p.known) }

// classWidth is the difference between the logarithms of the paces of two classes of machines. Paces within half
// of it, 15 %, count as equal: siblings differ by as much on one machine.
const classWidth = 0.2

// Class returns the class of machines to which a pace belongs: 0 for the median and for what isn't known, less for
// faster ones.
func Class(pace float64) int {
	if pace <= 0 {
		return 0
	}
	return int(math.Round(math.Log(pace) / classWidth))
}
