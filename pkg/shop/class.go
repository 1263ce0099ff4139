package shop

import (
	"fmt"
	"strconv"
	"time"
)

// Class describes a kind of work: jobs, or requests to a backend server.
type Class struct {
	Name string `json:"name"`
	// Shape is used for jobs that declare none.
	Shape Shape `json:"shape"`
	// RunTime is the expected run time of jobs that declare none.
	RunTime Duration `json:"run-time"`
	// Urgent work is to start within Policy.UrgentStart.
	Urgent bool `json:"urgent,omitempty"`
	// Idempotent work may be run again after a failure. Other work runs at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Preemptible work may borrow accelerators that another team owns, and is
	// preempted when the owner needs them. It must be idempotent.
	Preemptible bool `json:"preemptible,omitempty"`
	// Grace is the time that a preempted task has to write a checkpoint.
	Grace Duration `json:"grace"`
	// Deadline is the time limit of requests that carry no deadline.
	Deadline Duration `json:"deadline"`
	// MaxQueued is the maximum number of waiting jobs or requests of one team in this class.
	MaxQueued int `json:"max-queued"`
	// Rate is the maximum number of submissions per second of one team in this class.
	Rate float64 `json:"rate"`
	// Burst is the number of submissions that may arrive at once, above Rate.
	Burst int `json:"burst"`
}

// Defaults of a class.
const (
	DefaultRunTime   = Duration(time.Hour)
	DefaultGrace     = Duration(time.Second)
	DefaultDeadline  = Duration(30 * time.Second)
	DefaultMaxQueued = 1000
	DefaultRate      = 1000.0
	DefaultBurst     = 1000
)

// SetDefaults sets the fields that are zero to their defaults.
func (c *Class) SetDefaults() {
	c.Shape.SetDefaults()
	if c.RunTime == 0 {
		c.RunTime = DefaultRunTime
	}
	if c.Grace == 0 {
		c.Grace = DefaultGrace
	}
	if c.Deadline == 0 {
		c.Deadline = DefaultDeadline
	}
	if c.MaxQueued == 0 {
		c.MaxQueued = DefaultMaxQueued
	}
	if c.Rate == 0 {
		c.Rate = DefaultRate
	}
	if c.Burst == 0 {
		c.Burst = DefaultBurst
	}
}

// Validate returns the invalid fields of the class.
func (c Class) Validate() ProblemList {
	var l ProblemList
	l.Under("name", validateName(c.Name))
	l.Under("shape", c.Shape.Validate())
	l.Under("run-time", validatePositive(c.RunTime))
	l.Under("grace", validatePositive(c.Grace))
	l.Under("deadline", validatePositive(c.Deadline))
	if c.Preemptible && !c.Idempotent {
		l.Add("preemptible", "true", "needs idempotent: a preempted job runs again")
	}
	if c.MaxQueued < 1 {
		l.Add("max-queued", strconv.Itoa(c.MaxQueued), "must be above zero")
	}
	if c.Rate <= 0 {
		l.Add("rate", fmt.Sprint(c.Rate), "must be above zero")
	}
	if c.Burst < 1 {
		l.Add("burst", strconv.Itoa(c.Burst), "must be above zero")
	}
	return l
}

// ClassList holds the classes of a configuration, sorted by name.
type ClassList []Class

// Find returns the class with a name, and false when there is none.
func (l ClassList) Find(name string) (Class, bool) {
	for _, c := range l {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}
