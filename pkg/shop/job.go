package shop

import "time"

// Job is long-running work: a gang of equal tasks that run all together or not at all.
type Job struct {
	ID        string        `json:"id"`
	Team      string        `json:"team"`
	Class     string        `json:"class"`
	Shape     Shape         `json:"shape"`
	RunTime   time.Duration `json:"run-time"` // As declared, or the default of the class.
	Submitted time.Time     `json:"submitted"`
	Region    string        `json:"region"`
	Payload   []byte        `json:"payload,omitempty"`
}

// JobState is the state of a job.
type JobState string

// States of a job. Done, Failed, Cancelled and NotRun are final.
const (
	Queued    JobState = "queued"
	Starting  JobState = "starting"
	Running   JobState = "running"
	Done      JobState = "done"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
	NotRun    JobState = "not-run"
)

// Final reports whether the job has ended.
func (s JobState) Final() bool {
	return s == Done || s == Failed || s == Cancelled || s == NotRun
}

// Outcome is the result of a request, as far as it is known.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone       Outcome = "done"
	OutcomeNotRun     Outcome = "not-run"
	OutcomeMayHaveRun Outcome = "may-have-run"
)

// Attempt identifies one try at running a job. An attempt supersedes those with lower numbers.
type Attempt struct {
	Job    string `json:"job"`
	Number int    `json:"number"`
}
