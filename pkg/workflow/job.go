package workflow

import (
	"fmt"
	"strconv"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Bounds of a job. They keep a job's progress within one record of the journal.
const (
	MaxPayload     = 4000  // Bytes; the callers' interface promises as many.
	MaxSteps       = 100   // A step waits for at most all earlier ones.
	MaxTasks       = 2000  // Tasks of one occurrence.
	MaxOccurrences = 10000 // Occurrences of a repeating job.
)

// Job is work of one or several steps, which may repeat at an interval.
type Job struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Queue is the terms on which the job was accepted. A newer version of the queue
	// goes before them; they hold when the queue is removed.
	Queue   Queue  `json:"queue"`
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Submitted is the time of day at the entry that took the job.
	Submitted time.Time `json:"submitted"`
	// Repeat is zero for a job that runs once, as soon as it can.
	Repeat Repeat `json:"repeat,omitzero"`
}

// Repeat says when the occurrences of a job are due.
type Repeat struct {
	First    time.Time     `json:"first"`
	Interval time.Duration `json:"interval"`
	Times    int           `json:"times"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat.Times) }

// Scheduled says whether the job's occurrences are due at given times.
func (j *Job) Scheduled() bool { return j.Repeat.Times > 0 }

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if !j.Scheduled() {
		return j.Submitted
	}
	return j.Repeat.First.Add(time.Duration(occurrence) * j.Repeat.Interval)
}

// Tasks returns how many tasks one occurrence has.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Endless says whether the job has steps that run until the job is cancelled.
func (j *Job) Endless() bool {
	for i := range j.Steps {
		if j.Steps[i].Endless {
			return true
		}
	}
	return false
}

// CriticalPath returns the estimated duration of the longest chain of steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, a := range j.Steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Validate lists what is wrong with the job.
func (j *Job) Validate() shop.ProblemList {
	var l shop.ProblemList
	if len(j.Payload) > MaxPayload {
		l.Add("payload", strconv.Itoa(len(j.Payload))+" bytes", fmt.Sprintf("must be at most %d bytes", MaxPayload))
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		l.Add("steps", strconv.Itoa(len(j.Steps)), fmt.Sprintf("must be 1 to %d", MaxSteps))
	}
	tasks := 0
	for i := range j.Steps {
		l.Under(fmt.Sprintf("steps[%d]", i), j.Steps[i].validate(i))
		tasks += max(0, j.Steps[i].Count)
	}
	if tasks > MaxTasks {
		l.Add("steps", strconv.Itoa(tasks)+" tasks", fmt.Sprintf("must be at most %d tasks in all", MaxTasks))
	}
	if j.Repeat.Times < 0 || j.Repeat.Times > MaxOccurrences {
		l.Add("repeat.times", strconv.Itoa(j.Repeat.Times), fmt.Sprintf("must be 0 to %d", MaxOccurrences))
	}
	if j.Repeat.Interval < 0 {
		l.Add("repeat.interval", j.Repeat.Interval.String(), "must not be negative")
	}
	return l
}
