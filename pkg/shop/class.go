package shop

import (
	"fmt"
	"strconv"
	"time"
)

// Class describes a kind of work: a long job, or a request to a backend server.
type Class struct {
	Name string `json:"name"`
	// Shape of a job that declares none.
	Shape Shape `json:"shape"`
	// RunTime of a job that declares none.
	RunTime Duration `json:"run-time"`
	// Urgent work starts within the urgent bound of the policy.
	Urgent bool `json:"urgent,omitempty"`
	// Idempotent work may run again after a failure; other work runs at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Preemptible work may borrow accelerators that another team owns.
	Preemptible bool `json:"preemptible,omitempty"`
	// Grace is the time that a preempted task gets to checkpoint.
	Grace Duration `json:"grace"`
	// Deadline of a request that carries none.
	Deadline Duration `json:"deadline"`
	// MaxQueued bounds the waiting work of one team in this class.
	MaxQueued int `json:"max-queued"`
	// Rate bounds the arrivals of one team in this class, a second.
	Rate float64 `json:"rate"`
	// Burst is how many arrivals may come at once.
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

// SetDefaults fills in what was left out.
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

// Validate lists what is wrong with the class.
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

// ClassList is the classes of a configuration, sorted by name.
type ClassList []Class

// Find returns the class of that name.
func (l ClassList) Find(name string) (Class, bool) {
	for _, c := range l {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}
