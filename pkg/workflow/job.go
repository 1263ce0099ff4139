package workflow

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Limits of a job. They bound what planning it costs and the size of its records in the
// journal.
const (
	MaxPayload     = 4000  // Bytes; the documented HTTP API of callers promises this size.
	MaxSteps       = 100   // Also bounds Step.After, which lists earlier steps.
	MaxTasks       = 2000  // Tasks of one occurrence.
	MaxOccurrences = 10000 // Occurrences of a repeating job.
	// MaxScheduledTasks bounds the tasks of all occurrences of a job that repeats.
	MaxScheduledTasks = 4000
	MaxLabel          = 100 // Bytes of each name in a step: its label, data rack and image.
)

const (
	// maxTaskDuration bounds the durations that a step gives, so that sums and multiples of them
	// don't overflow.
	maxTaskDuration = 366 * 24 * time.Hour
	// maxScheduleSpan bounds the time from the first occurrence of a job to its last.
	maxScheduleSpan = 100 * 366 * 24 * time.Hour
	// maxScheduleYear is the last year that the journal's records can express.
	maxScheduleYear = 9999
)

// Job is a job of one or more steps. It may be repeated at an interval.
type Job struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Queue is the queue's configuration when the job was accepted. The current
	// configuration takes precedence; this one applies when the queue was removed.
	Queue   Queue  `json:"queue"`
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Submitted is when the job was accepted, by the clock of the entry that accepted it.
	Submitted time.Time `json:"submitted"`
	// Repeat is zero for a job that runs once, as soon as possible.
	Repeat Repeat `json:"repeat,omitzero"`
}

// Repeat is the schedule of a job: when its occurrences are due.
type Repeat struct {
	First    time.Time     `json:"first"`
	Interval time.Duration `json:"interval"`
	Times    int           `json:"times"`
}

// Occurrences returns how many times the steps run, at least 1.
func (j *Job) Occurrences() int { return max(1, j.Repeat.Times) }

// Scheduled reports whether the job has a schedule.
func (j *Job) Scheduled() bool { return j.Repeat.Times > 0 }

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if !j.Scheduled() {
		return j.Submitted
	}
	return j.Repeat.First.Add(time.Duration(occurrence) * j.Repeat.Interval)
}

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Endless reports whether the job has steps that run until the job is cancelled.
func (j *Job) Endless() bool {
	for i := range j.Steps {
		if j.Steps[i].Endless {
			return true
		}
	}
	return false
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps.
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

// Validate returns the problems of the job.
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
		tasks += min(max(0, j.Steps[i].Count), math.MaxInt32) // The sum must not overflow.
	}
	if tasks > MaxTasks {
		l.Add("steps", strconv.Itoa(tasks)+" tasks", fmt.Sprintf("must be at most %d tasks in all", MaxTasks))
	}
	if j.Repeat.Times < 0 || j.Repeat.Times > MaxOccurrences {
		l.Add("repeat.times", strconv.Itoa(j.Repeat.Times), fmt.Sprintf("must be 0 to %d", MaxOccurrences))
	}
	if n := j.Occurrences(); n > 1 && n*tasks > MaxScheduledTasks {
		l.Add("repeat.times", strconv.Itoa(n), fmt.Sprintf("must give at most %d tasks in all, not %d", MaxScheduledTasks, n*tasks))
	}
	if j.Repeat.Interval < 0 || j.Repeat.Interval > maxScheduleSpan/time.Duration(j.Occurrences()) {
		l.Add("repeat.interval", j.Repeat.Interval.String(), "must not be negative, nor put the last occurrence a century after the first")
	}
	if y := j.Repeat.First.UTC().Year(); y < 0 || y > maxScheduleYear {
		l.Add("repeat.first", strconv.Itoa(y), fmt.Sprintf("must be in a year from 0 to %d", maxScheduleYear))
	}
	return l
}
