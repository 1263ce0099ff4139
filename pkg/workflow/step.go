package workflow

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Resources is an amount of a worker's cores, memory and accelerators. MilliCores is
// in thousandths of a core.
type Resources struct {
	MilliCores   int `json:"milli-cores"`
	MemoryMB     int `json:"memory-mb"`
	Accelerators int `json:"accelerators"`
}

// maxAmount bounds each amount of a resource, so that sums over all tasks don't overflow.
const maxAmount = 1 << 40

// Valid reports whether no amount is negative or too large to be that of one worker or task.
func (r Resources) Valid() bool {
	for _, n := range []int{r.MilliCores, r.MemoryMB, r.Accelerators} {
		if n < 0 || n > maxAmount {
			return false
		}
	}
	return true
}

// Plus returns the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r reduced by o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCores >= o.MilliCores && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// FitCount returns how many times o fits into r, at most limit.
func (r Resources) FitCount(o Resources, limit int) int {
	n := limit
	for _, d := range [][2]int{
		{r.MilliCores, o.MilliCores}, {r.MemoryMB, o.MemoryMB}, {r.Accelerators, o.Accelerators},
	} {
		if d[1] > 0 {
			n = min(n, max(0, d[0])/d[1])
		}
	}
	return n
}

// Step is a number of identical tasks.
type Step struct {
	Count     int       `json:"count"`
	Resources Resources `json:"room"`
	// Estimate is the submitter's rough estimate of the run time of one task.
	Estimate time.Duration `json:"estimate"`
	// After lists the indices of earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints says that tasks save checkpoints and can resume from them.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang says that all tasks run at the same time or none does, and that they end
	// together.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that the tasks run slower when they are on more than one rack.
	SameRack bool `json:"same-rack,omitempty"`
	// Label is the label that a worker must have; empty means any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that stores the data; tasks run slower on other racks.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker is the maximum number of the step's tasks on one worker; zero means
	// no limit.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// AllowDuplicates says that a second copy of a task may run at the same time; the
	// first to end counts.
	AllowDuplicates bool `json:"duplicates,omitempty"`
	// Endless says that the tasks run until the job is cancelled. They are restarted
	// however they end.
	Endless bool `json:"endless,omitempty"`
	// Image is the name of the image that the tasks run. Tasks of one image are expected
	// to behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the maximum tail latency of endless tasks that serve users.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// UsesSpareCores says that the tasks only use cores that other tasks on the worker
	// leave unused.
	UsesSpareCores bool `json:"fills,omitempty"`
	// MaxUnavailable is the maximum number of endless tasks that may be stopped at the
	// same time.
	MaxUnavailable int `json:"max-missing,omitempty"`
}

// acceleratorCores is the number of thousandths of a core for which one accelerator
// counts in the users' accounting of work.
const acceleratorCores = 8000

// AccountedMilliCores returns the thousandths of a core for which a task counts in the
// accounting of work.
func (s *Step) AccountedMilliCores() int {
	return s.Resources.MilliCores + s.Resources.Accelerators*acceleratorCores
}

// Demand returns the resources that a task occupies on its worker.
func (s *Step) Demand() Resources {
	r := s.Resources
	if s.UsesSpareCores {
		r.MilliCores = 0
	}
	return r
}

// validate returns the problems of the step with the given index in its job.
func (s *Step) validate(index int) shop.ProblemList {
	var l shop.ProblemList
	if s.Count < 1 {
		l.Add("count", strconv.Itoa(s.Count), "must be above zero")
	}
	for _, f := range []struct {
		name  string
		value int
	}{
		{"room.milli-cores", s.Resources.MilliCores},
		{"room.memory-mb", s.Resources.MemoryMB},
		{"room.accelerators", s.Resources.Accelerators},
		{"max-per-worker", s.MaxPerWorker},
		{"max-missing", s.MaxUnavailable},
	} {
		if f.value < 0 || f.value > maxAmount {
			l.Add(f.name, strconv.Itoa(f.value), fmt.Sprintf("must be 0 to %d", maxAmount))
		}
	}
	for _, f := range []struct {
		name  string
		value time.Duration
	}{
		{"estimate", s.Estimate},
		{"target", s.LatencyTarget},
	} {
		if f.value < 0 || f.value > maxTaskDuration {
			l.Add(f.name, f.value.String(), fmt.Sprintf("must be 0 to %v", maxTaskDuration))
		}
	}
	for _, f := range []struct{ name, value string }{
		{"label", s.Label},
		{"data-rack", s.DataRack},
		{"image", s.Image},
	} {
		if len(f.value) > MaxLabel {
			l.Add(f.name, strconv.Itoa(len(f.value))+" bytes", fmt.Sprintf("must be at most %d bytes", MaxLabel))
		}
	}
	after := s.After
	if len(after) > index { // The list may be as long as a body holds; its entries aren't compared with each other then.
		l.Add("after", strconv.Itoa(len(after))+" steps", fmt.Sprintf("must name steps before step %d, each once", index))
		after = nil
	}
	for i, a := range after {
		if a < 0 || a >= index || slices.Contains(after[:i], a) {
			l.Add("after", strconv.Itoa(a), fmt.Sprintf("must name a step before step %d, once", index))
		}
	}
	return l
}
