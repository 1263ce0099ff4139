package workflow

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Resources is an amount of a worker's resources.
type Resources struct {
	MilliCores   int `json:"milli-cores"`
	MemoryMB     int `json:"memory-mb"`
	Accelerators int `json:"accelerators"`
}

// Plus returns the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns what is left of r without o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits says whether r has room for o.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCores >= o.MilliCores && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// FitCount returns how often o fits into r, at most most.
func (r Resources) FitCount(o Resources, most int) int {
	n := most
	for _, d := range [][2]int{
		{r.MilliCores, o.MilliCores}, {r.MemoryMB, o.MemoryMB}, {r.Accelerators, o.Accelerators},
	} {
		if d[1] > 0 {
			n = min(n, max(0, d[0])/d[1])
		}
	}
	return n
}

// Step is a number of equal tasks.
type Step struct {
	Count     int       `json:"count"`
	Resources Resources `json:"room"`
	// Estimate is the submitter's rough guess of one task's run time.
	Estimate time.Duration `json:"estimate"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints says that tasks save their progress and can resume from it.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang says that the tasks run all at once or not at all, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that the tasks are slower on more than one rack.
	SameRack bool `json:"same-rack,omitempty"`
	// Label that a worker must have; empty for any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the data; tasks are slower elsewhere.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; zero for no bound.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// AllowDuplicates says that a task may run twice at once; the first end counts.
	AllowDuplicates bool `json:"duplicates,omitempty"`
	// Endless tasks run until the job is cancelled and are started again however they end.
	Endless bool `json:"endless,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of endless tasks that serve users.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// UsesSpareCores says that the tasks' cores come from what others on the worker leave unused.
	UsesSpareCores bool `json:"fills,omitempty"`
	// MaxUnavailable is how many endless tasks may be stopped at the same time.
	MaxUnavailable int `json:"max-missing,omitempty"`
}

// acceleratorCores is what an accelerator counts in the users' accounting of work.
const acceleratorCores = 8000

// AccountedMilliCores returns the thousandths of a core that a task counts for.
func (s *Step) AccountedMilliCores() int {
	return s.Resources.MilliCores + s.Resources.Accelerators*acceleratorCores
}

// Demand returns the room that a task takes on its worker.
func (s *Step) Demand() Resources {
	r := s.Resources
	if s.UsesSpareCores {
		r.MilliCores = 0
	}
	return r
}

func (s *Step) validate(number int) shop.ProblemList {
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
		if f.value < 0 {
			l.Add(f.name, strconv.Itoa(f.value), "must not be negative")
		}
	}
	if s.Estimate < 0 {
		l.Add("estimate", s.Estimate.String(), "must not be negative")
	}
	for i, a := range s.After {
		if a < 0 || a >= number || slices.Contains(s.After[:i], a) {
			l.Add("after", strconv.Itoa(a), fmt.Sprintf("must name a step before step %d, once", number))
		}
	}
	return l
}
