package workflow

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Room is an amount of a worker's resources.
type Room struct {
	MilliCores   int `json:"milli-cores"`
	MemoryMB     int `json:"memory-mb"`
	Accelerators int `json:"accelerators"`
}

// Plus returns the sum of both.
func (r Room) Plus(o Room) Room {
	return Room{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns what is left of r without o.
func (r Room) Minus(o Room) Room {
	return Room{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits says whether r has room for o.
func (r Room) Fits(o Room) bool {
	return r.MilliCores >= o.MilliCores && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// Times returns how often o fits into r, at most most.
func (r Room) Times(o Room, most int) int {
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
	Count int  `json:"count"`
	Room  Room `json:"room"`
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
	// Duplicates says that a task may run twice at once; the first end counts.
	Duplicates bool `json:"duplicates,omitempty"`
	// Endless tasks run until the job is cancelled and are started again however they end.
	Endless bool `json:"endless,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// Target bounds the tail latency of endless tasks that serve users.
	Target time.Duration `json:"target,omitempty"`
	// Fills says that the tasks' cores come from what others on the worker leave unused.
	Fills bool `json:"fills,omitempty"`
	// MaxMissing is how many endless tasks may be stopped at the same time.
	MaxMissing int `json:"max-missing,omitempty"`
}

// acceleratorCores is what an accelerator counts in the users' accounting of work.
const acceleratorCores = 8000

// Cores returns the thousandths of a core that a task counts for.
func (s *Step) Cores() int {
	return s.Room.MilliCores + s.Room.Accelerators*acceleratorCores
}

// Claimed returns the room that a task takes on its worker.
func (s *Step) Claimed() Room {
	r := s.Room
	if s.Fills {
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
		{"room.milli-cores", s.Room.MilliCores},
		{"room.memory-mb", s.Room.MemoryMB},
		{"room.accelerators", s.Room.Accelerators},
		{"max-per-worker", s.MaxPerWorker},
		{"max-missing", s.MaxMissing},
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
