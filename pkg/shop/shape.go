package shop

import (
	"fmt"
	"strconv"
)

// Adjacency is how close together the tasks of a job must run.
type Adjacency string

// Adjacencies, from the strictest to no restriction.
const (
	SameWorker Adjacency = "worker"
	SameRack   Adjacency = "rack"
	SameZone   Adjacency = "zone"
	SameRegion Adjacency = "region"
	Anywhere   Adjacency = "any"
)

// Limits of a shape.
const (
	MaxTasks              = 64
	MaxWorkerAccelerators = 64
)

// Shape is the resources that a job or guarantee needs: a number of equal tasks, and how
// close together they must run. Either all tasks run or none does.
type Shape struct {
	Tasks        int       `json:"tasks"`
	Accelerators int       `json:"accelerators"` // Per task.
	Cores        int       `json:"cores"`        // Per task.
	Memory       Bytes     `json:"memory"`       // Per task.
	Adjacency    Adjacency `json:"adjacency"`
}

// SetDefaults sets Tasks to 1 and Adjacency to Anywhere where they are zero.
func (s *Shape) SetDefaults() {
	if s.Tasks == 0 {
		s.Tasks = 1
	}
	if s.Adjacency == "" {
		s.Adjacency = Anywhere
	}
}

// Validate returns the invalid fields of the shape.
func (s Shape) Validate() ProblemList {
	var l ProblemList
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		l.Add("tasks", strconv.Itoa(s.Tasks), fmt.Sprintf("must be from 1 to %d", MaxTasks))
	}
	if s.Accelerators < 0 || s.Accelerators > MaxWorkerAccelerators {
		l.Add("accelerators", strconv.Itoa(s.Accelerators), fmt.Sprintf("must be from 0 to %d", MaxWorkerAccelerators))
	}
	if s.Cores < 0 {
		l.Add("cores", strconv.Itoa(s.Cores), "must not be negative")
	}
	switch s.Adjacency {
	case SameWorker, SameRack, SameZone, SameRegion, Anywhere:
	default:
		l.Add("adjacency", string(s.Adjacency), "must be worker, rack, zone, region or any")
	}
	return l
}

// TotalAccelerators returns the number of accelerators of all tasks together.
func (s Shape) TotalAccelerators() int { return s.Tasks * s.Accelerators }

// WithTasks returns a copy with another number of tasks.
func (s Shape) WithTasks(n int) Shape {
	s.Tasks = n
	return s
}

// String formats the shape for a table, such as "8x1 accelerators, rack".
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d accelerators, %s", s.Tasks, s.Accelerators, s.Adjacency)
}
