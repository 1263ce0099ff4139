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

// Job is a job as recorded in the journal. It is immutable: a change replaces it.
type Job struct {
	// Spec is nil until the record that accepted the job has been applied.
	Spec           *workflow.Job
	AcceptedOffset int64 // Offset of the record that accepted the job.
	Cancelled      bool
	progress       storedProgress
	bytes          int64 // What JobMemory says of it; zero until it is accepted.
	// FinalSince is when this process learned that the job is final, zero until then.
	FinalSince clock.Instant
}

// State returns the job's state. A cancellation takes precedence over a later end of the job.
func (j *Job) State() shop.JobState {
	switch {
	case j.Cancelled:
		return shop.Cancelled
	case j.progress.state().Final():
		return j.progress.state()
	case j.progress.started():
		return shop.Running
	default:
		return shop.Queued
	}
}

// Progress decodes what planners have decided and learned about the job.
func (j *Job) Progress() Progress { return j.progress.merge() }

// Blocks returns the numbers of the blocks beside the first one that the journal has, whether or not they count.
func (j *Job) Blocks() []int {
	var out []int
	for n := range j.progress {
		if n > 0 {
			out = append(out, n)
		}
	}
	return out
}

// State is this process's copy of the cluster's state. Records are applied from one goroutine; any
// goroutine may read.
type State struct {
	// OnJobChanged is called with the id of each job for which a record was applied.
	OnJobChanged func(id string)
	// OnPlannerSeen is called when a record of the newest planner was applied.
	OnPlannerSeen func(Planner)
	// OnAgentRegistered is called when an agent's address was applied.
	OnAgentRegistered func(Address)

	jobs    sync.Map // *Job by id.
	planner atomic.Pointer[Planner]
	entries sync.Map // Address by name.
	agents  sync.Map // Address by name.
	paces   sync.Map // Machines' paces, map[string]pace.Known, by block.

	bytesMu sync.Mutex
	bytes   map[string]int64 // Of the jobs, by team.
}

const (
	// jobOverhead is the memory that a job of any size takes, here, at the planner and in its records of the journal.
	jobOverhead = 4 << 10
	// taskBytes is the memory for the state of a task: its run, worker and checkpoint here and at the planner.
	taskBytes = 100
)

// JobMemory returns how much memory a job takes whose record has the given size. The names and lists of its steps
// take up to twice as much as their text.
func JobMemory(recordSize int, j *workflow.Job) int64 {
	return int64(jobOverhead + 2*recordSize + taskBytes*j.Tasks())
}

// JobBytes returns the memory that a team's jobs take, and that all jobs take.
func (s *State) JobBytes(team string) (ofTeam, all int64) {
	s.bytesMu.Lock()
	defer s.bytesMu.Unlock()
	for _, n := range s.bytes {
		all += n
	}
	return s.bytes[team], all
}

// addBytes adds to what a team's jobs take.
func (s *State) addBytes(team string, n int64) {
	s.bytesMu.Lock()
	defer s.bytesMu.Unlock()
	if s.bytes == nil {
		s.bytes = make(map[string]int64)
	}
	if s.bytes[team] += n; s.bytes[team] == 0 {
		delete(s.bytes, team)
	}
}

// Job returns a job by its id.
func (s *State) Job(id string) (*Job, bool) {
	v, ok := s.jobs.Load(id)
	if !ok {
		return nil, false
	}
	j := v.(*Job)
	return j, j.Spec != nil
}

// Jobs calls f for each job until f returns false.
func (s *State) Jobs(f func(*Job) bool) {
	s.jobs.Range(func(_, v any) bool {
		j := v.(*Job)
		return j.Spec == nil || f(j)
	})
}

// Planner returns the newest planner.
func (s *State) Planner() (Planner, bool) {
	p := s.planner.Load()
	if p == nil {
		return Planner{}, false
	}
	return *p, true
}

// Entries returns the addresses of all entries that have registered.
func (s *State) Entries() []Address { return addresses(&s.entries) }

// HasEntry reports whether an entry of the name has registered.
func (s *State) HasEntry(name string) bool {
	_, ok := s.entries.Load(name)
	return ok
}

// Agents returns the addresses of all agents that have registered.
func (s *State) Agents() []Address { return addresses(&s.agents) }

// Workers returns the workers of all agents, and whether every agent has reported its worker.
func (s *State) Workers() (workers workflow.WorkerList, complete bool) {
	complete = true
	for _, a := range s.Agents() {
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

// QueuedJobs returns the number of a queue's jobs of which no task has started.
func (s *State) QueuedJobs(queue string) int {
	n := 0
	s.Jobs(func(j *Job) bool {
		if j.Spec.Queue.Name == queue && j.State() == shop.Queued {
			n++
		}
		return true
	})
	return n
}

// Apply applies one record. A record that can't be decoded changes nothing.
func (s *State) Apply(r journal.Record) error {
	prefix, id := splitKey(r.Key)
	var err error
	switch prefix {
	case jobPrefix:
		err = s.applyJob(id, r)
	case cancelPrefix:
		err = s.applyCancel(id, r)
	case progressPrefix:
		err = s.applyProgress(id, r)
	case plannerKey:
		err = s.applyPlanner(r)
	case heartbeatKey:
		err = s.applyHeartbeat(r)
	case entryPrefix:
		_, err = applyAddress(&s.entries, id, r)
	case pacePrefix:
		err = s.applyPaces(id, r)
	case agentPrefix:
		var a Address
		if a, err = applyAddress(&s.agents, id, r); err == nil && r.Value != nil && s.OnAgentRegistered != nil {
			s.OnAgentRegistered(a)
		}
	}
	if err != nil {
		return fmt.Errorf("clusterstate.Apply: record %q at offset %d: %w", r.Key, r.Offset, err)
	}
	return nil
}

// updateJob replaces a job by a copy that f has modified, unless f fails.
func (s *State) updateJob(id string, f func(*Job) error) error {
	j := &Job{}
	if v, ok := s.jobs.Load(id); ok {
		*j = *v.(*Job)
	}
	if err := f(j); err != nil {
		return err
	}
	if j.FinalSince == 0 && j.State().Final() {
		j.FinalSince = clock.Now()
	}
	s.jobs.Store(id, j)
	if s.OnJobChanged != nil && j.Spec != nil {
		s.OnJobChanged(id)
	}
	return nil
}

func (s *State) applyJob(id string, r journal.Record) error {
	if r.Value == nil {
		if v, ok := s.jobs.LoadAndDelete(id); ok && v.(*Job).Spec != nil {
			s.addBytes(v.(*Job).Spec.Team, -v.(*Job).bytes)
		}
		return nil
	}
	var spec workflow.Job
	if err := json.Unmarshal(r.Value, &spec); err != nil {
		return err
	}
	if err := checkJob(id, &spec); err != nil {
		return err
	}
	var odd error
	err := s.updateJob(id, func(j *Job) error {
		if j.Spec == nil { // Only the first record counts; a retry by the caller may add another.
			j.Spec, j.AcceptedOffset, j.bytes = &spec, r.Offset, JobMemory(len(r.Value), &spec)
			s.addBytes(spec.Team, j.bytes)
			// The records of a job may come in any order, so its progress is checked once it is known.
			j.progress, odd = j.progress.checked(&spec)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return odd
}

func (s *State) applyCancel(id string, r journal.Record) error {
	if r.Value == nil {
		return nil // The job is removed by the deletion of its own record.
	}
	return s.updateJob(id, func(j *Job) error {
		if !j.progress.state().Final() {
			j.Cancelled = true
		}
		return nil
	})
}

func (s *State) applyProgress(key string, r journal.Record) error {
	if r.Value == nil {
		return nil // The job is removed by the deletion of its own record.
	}
	id, n, err := parseBlock(key)
	if err != nil {
		return err
	}
	return s.updateJob(id, func(j *Job) error {
		b, err := newStoredBlock(r.Value, j.Spec, n)
		if err == nil {
			j.progress = j.progress.with(n, b)
		}
		return err
	})
}

func (s *State) applyPlanner(r journal.Record) error {
	var p Planner
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return err
	}
	if !p.Resigned {
		p.Epoch = r.Offset + 1
	}
	old, ok := s.Planner()
	if err := p.check(r.Offset, old); err != nil {
		return err
	}
	if ok && (p.Epoch < old.Epoch || old.Resigned && p.Epoch == old.Epoch) {
		return nil
	}
	s.planner.Store(&p)
	s.notifyPlannerSeen(p)
	return nil
}

func (s *State) applyHeartbeat(r journal.Record) error {
	var b heartbeat
	if err := json.Unmarshal(r.Value, &b); err != nil {
		return err
	}
	if p, ok := s.Planner(); ok && p.Epoch == b.Epoch {
		s.notifyPlannerSeen(p)
	}
	return nil
}

func (s *State) notifyPlannerSeen(p Planner) {
	if s.OnPlannerSeen != nil {
		s.OnPlannerSeen(p)
	}
}

func applyAddress(m *sync.Map, name string, r journal.Record) (Address, error) {
	a, err := ParseAddress(r)
	switch {
	case err != nil:
		return a, err
	case r.Value == nil:
		m.Delete(name)
	default:
		m.Store(name, a)
	}
	return a, nil
}
