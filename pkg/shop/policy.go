package shop

import (
	"fmt"
	"time"
)

// Policy sets the goals of the planner.
type Policy struct {
	// CompletionWeight and FragmentationWeight weigh short completion times of jobs
	// against low fragmentation, which keeps accelerators free for large jobs.
	CompletionWeight    float64 `json:"completion-weight"`
	FragmentationWeight float64 `json:"fragmentation-weight"`
	// UrgentStart is the time within which urgent work is to start.
	UrgentStart Duration `json:"urgent-start"`
	// LargeWait is the waiting time after which accelerators are drained for a blocked large job.
	LargeWait Duration `json:"large-wait"`
	// AgeingPeriod is the waiting time that raises the priority of a job by one step.
	AgeingPeriod Duration `json:"ageing-period"`
	// QuarantineShare is the maximum share of the workers in quarantine, from 0 to 1.
	QuarantineShare float64 `json:"quarantine-share"`
}

// Defaults of the policy.
const (
	DefaultUrgentStart     = Duration(1900 * time.Millisecond)
	DefaultLargeWait       = Duration(30 * time.Minute)
	DefaultAgeingPeriod    = Duration(10 * time.Minute)
	DefaultQuarantineShare = 0.2
)

// SetDefaults sets the fields that are zero to their defaults.
func (p *Policy) SetDefaults() {
	if p.CompletionWeight == 0 && p.FragmentationWeight == 0 {
		p.CompletionWeight, p.FragmentationWeight = 1, 1
	}
	if p.UrgentStart == 0 {
		p.UrgentStart = DefaultUrgentStart
	}
	if p.LargeWait == 0 {
		p.LargeWait = DefaultLargeWait
	}
	if p.AgeingPeriod == 0 {
		p.AgeingPeriod = DefaultAgeingPeriod
	}
	if p.QuarantineShare == 0 {
		p.QuarantineShare = DefaultQuarantineShare
	}
}

// Validate returns the invalid fields of the policy.
func (p Policy) Validate() ProblemList {
	var l ProblemList
	if p.CompletionWeight < 0 {
		l.Add("completion-weight", fmt.Sprint(p.CompletionWeight), "must not be negative")
	}
	if p.FragmentationWeight < 0 {
		l.Add("fragmentation-weight", fmt.Sprint(p.FragmentationWeight), "must not be negative")
	}
	l.Under("urgent-start", validatePositive(p.UrgentStart))
	l.Under("large-wait", validatePositive(p.LargeWait))
	l.Under("ageing-period", validatePositive(p.AgeingPeriod))
	if p.QuarantineShare < 0 || p.QuarantineShare > 1 {
		l.Add("quarantine-share", fmt.Sprint(p.QuarantineShare), "must be from 0 to 1")
	}
	return l
}
