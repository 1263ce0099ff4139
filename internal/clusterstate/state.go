package clusterstate

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// Job is a job as the journal has it. It is not changed once made.
type Job struct {
	// Spec is nil as long as only later records of the job were read.
	Spec           *workflow.Job
	AcceptedOffset int64 // Offset of the record that accepted the job.
	Cancelled      bool
	Progress       Progress
	// FinalSince is when this process learned that the job is final, zero before.
	FinalSince clock.Instant
}

// State returns the job's state. A cancellation that came first outweighs an end.
func (j *Job) State() shop.JobState {
	switch {
	case j.Cancelled:
		return shop.Cancelled
	case j.Progress.State.Final():
		return j.Progress.State
	case j.Progress.Started():
		return shop.Running
	default:
		return shop.Queued
	}
}

// State applies records from one goroutine; any may read.
type State struct {
	// OnJobChanged is called with the id of each job whose record was applied.
	OnJobChanged func(id string)
	// OnPlannerSeen is called when a record of the newest planner was applied.
	OnPlannerSeen func(Planner)
	// OnAgentRegistered is called when an agent's address was applied.
	OnAgentRegistered func(Address)

	jobs    sync.Map // Of *Job by id.
	planner atomic.Pointer[Planner]
	entries sync.Map // Of Address by name.
	agents  sync.Map // Of Address by name.
}

// Job returns a job by its id.
func (l *State) Job(id string) (*Job, bool) {
	v, ok := l.jobs.Load(id)
	if !ok {
		return nil, false
	}
	j := v.(*Job)
	return j, j.Spec != nil
}

// Jobs calls f with every job until it returns false.
func (l *State) Jobs(f func(*Job) bool) {
	l.jobs.Range(func(_, v any) bool {
		j := v.(*Job)
		return j.Spec == nil || f(j)
	})
}

// Planner returns the newest planner.
func (l *State) Planner() (Planner, bool) {
	p := l.planner.Load()
	if p == nil {
		return Planner{}, false
	}
	return *p, true
}

// Entries returns the addresses of all entries that have said where they are.
func (l *State) Entries() []Address { return addresses(&l.entries) }

// Agents returns the addresses of all agents that have said where they are.
func (l *State) Agents() []Address { return addresses(&l.agents) }

// Workers returns the workers of all agents, and whether all of them are known.
func (l *State) Workers() (workers workflow.WorkerList, complete bool) {
	complete = true
	for _, a := range l.Agents() {
		if a.Worker == nil {
			complete = false
			continue
		}
		workers = append(workers, *a.Worker)
	}
	return workers, complete && len(workers) > 0
}

func addresses(m *sync.Map) []Address {
	var out []Address
	m.Range(func(_, v any) bool {
		out = append(out, v.(Address))
		return true
	})
	return out
}

// Pending counts a queue's jobs of which no task has started.
func (l *State) Pending(queue string) int {
	n := 0
	l.Jobs(func(j *Job) bool {
		if j.Spec.Queue.Name == queue && j.State() == shop.Queued {
			n++
		}
		return true
	})
	return n
}

// Apply takes in one record. A record that can't be read changes nothing.
func (l *State) Apply(r journal.Record) error {
	prefix, id := splitKey(r.Key)
	var err error
	switch prefix {
	case jobPrefix:
		err = l.applyJob(id, r)
	case cancelPrefix:
		err = l.applyCancel(id, r)
	case progressPrefix:
		err = l.applyProgress(id, r)
	case plannerKey:
		err = l.applyPlanner(r)
	case heartbeatKey:
		err = l.applyHeartbeat(r)
	case entryPrefix:
		_, err = applyAddress(&l.entries, id, r)
	case agentPrefix:
		var a Address
		if a, err = applyAddress(&l.agents, id, r); err == nil && r.Value != nil && l.OnAgentRegistered != nil {
			l.OnAgentRegistered(a)
		}
	}
	if err != nil {
		return fmt.Errorf("ledger.Apply: record %q at offset %d: %w", r.Key, r.Offset, err)
	}
	return nil
}

// updateJob replaces a job by a changed copy.
func (l *State) updateJob(id string, f func(*Job)) {
	j := &Job{}
	if v, ok := l.jobs.Load(id); ok {
		*j = *v.(*Job)
	}
	f(j)
	if j.FinalSince == 0 && j.State().Final() {
		j.FinalSince = clock.Now()
	}
	l.jobs.Store(id, j)
	if l.OnJobChanged != nil && j.Spec != nil {
		l.OnJobChanged(id)
	}
}

func (l *State) applyJob(id string, r journal.Record) error {
	if r.Value == nil {
		l.jobs.Delete(id)
		return nil
	}
	var spec workflow.Job
	if err := json.Unmarshal(r.Value, &spec); err != nil {
		return err
	}
	l.updateJob(id, func(j *Job) {
		if j.Spec == nil { // The first record counts; the caller's retry may add another.
			j.Spec, j.AcceptedOffset = &spec, r.Offset
		}
	})
	return nil
}

func (l *State) applyCancel(id string, r journal.Record) error {
	if r.Value == nil {
		return nil // The job's own record is dropped with it.
	}
	l.updateJob(id, func(j *Job) {
		if !j.Progress.State.Final() {
			j.Cancelled = true
		}
	})
	return nil
}

func (l *State) applyProgress(id string, r journal.Record) error {
	if r.Value == nil {
		return nil // The job's own record is dropped with it.
	}
	var p Progress
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return err
	}
	l.updateJob(id, func(j *Job) { j.Progress = p })
	return nil
}

func (l *State) applyPlanner(r journal.Record) error {
	var p Planner
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return err
	}
	if !p.Resigned {
		p.Epoch = r.Offset + 1
	}
	old, ok := l.Planner()
	if ok && (p.Epoch < old.Epoch || old.Resigned && p.Epoch == old.Epoch) {
		return nil
	}
	l.planner.Store(&p)
	l.notifyPlannerSeen(p)
	return nil
}

func (l *State) applyHeartbeat(r journal.Record) error {
	var b heartbeat
	if err := json.Unmarshal(r.Value, &b); err != nil {
		return err
	}
	if p, ok := l.Planner(); ok && p.Epoch == b.Epoch {
		l.notifyPlannerSeen(p)
	}
	return nil
}

func (l *State) notifyPlannerSeen(p Planner) {
	if l.OnPlannerSeen != nil {
		l.OnPlannerSeen(p)
	}
}

func applyAddress(m *sync.Map, name string, r journal.Record) (Address, error) {
	if r.Value == nil {
		m.Delete(name)
		return Address{}, nil
	}
	var a Address
	if err := json.Unmarshal(r.Value, &a); err != nil {
		return a, err
	}
	a.Name = name
	m.Store(name, a)
	return a, nil
}
