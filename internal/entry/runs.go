package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// member is one agent's part in an attempt, as that agent reported it.
type member struct {
	*sniperillv1.AgentTask

	agent *sniperillv1.AgentState
}

// gangLead returns the name of the lead of the member's gang, or "" if the member has not
// prepared.
func (m member) gangLead() string {
	if len(m.Members) == 0 {
		return ""
	}
	return m.Members[0].Agent
}

// run is the highest attempt of a job that any agent reports.
type run struct {
	shop.Job

	attempt int
	members []member
	// otherAttempts holds the reported members of other attempts: lower ones, and another
	// gang with the same number that another planner started while the log was unavailable.
	otherAttempts []member
}

// runs holds what the agents report of each job. It is updated incrementally, by agents
// whose state has changed.
type runs struct {
	mu     sync.Mutex
	agents map[string]*sniperillv1.AgentState
	byJob  map[string][]member
}

// update replaces the report of one agent.
func (r *runs) update(s *sniperillv1.AgentState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.agents == nil {
		r.agents = make(map[string]*sniperillv1.AgentState)
		r.byJob = make(map[string][]member)
	}
	old := r.agents[s.Name]
	if old == s {
		return
	}
	r.removeLocked(old)
	r.agents[s.Name] = s
	for _, t := range s.Tasks {
		job := t.Attempt.GetJob()
		r.byJob[job] = append(r.byJob[job], member{t, s})
	}
}

// remove drops the report of an agent whose tasks can't run any more.
func (r *runs) remove(agent string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(r.agents[agent])
	delete(r.agents, agent)
}

func (r *runs) removeLocked(s *sniperillv1.AgentState) {
	for _, t := range s.GetTasks() {
		job := t.Attempt.GetJob()
		rest := slices.DeleteFunc(r.byJob[job], func(m member) bool { return m.agent == s })
		if len(rest) == 0 {
			delete(r.byJob, job)
			continue
		}
		r.byJob[job] = rest
	}
}

// find returns the highest attempt of a job.
func (r *runs) find(job string) (run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	members, ok := r.byJob[job]
	if !ok {
		return run{}, false
	}
	return newRun(members), true
}

// all returns the highest attempt of every reported job, sorted by job ID.
func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]run, 0, len(r.byJob))
	for _, members := range r.byJob {
		out = append(out, newRun(members))
	}
	slices.SortFunc(out, func(a, b run) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func newRun(reported []member) run {
	members := slices.Clone(reported)
	highest := uint32(0)
	for _, m := range members {
		highest = max(highest, m.Attempt.GetNumber())
	}
	out := run{attempt: int(highest)}
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(a.agent.Name, b.agent.Name) })
	lead := ""
	for _, m := range members {
		switch {
		case m.Attempt.GetNumber() < highest, lead != "" && m.gangLead() != "" && m.gangLead() != lead:
			out.otherAttempts = append(out.otherAttempts, m)
			continue
		case lead == "":
			lead = m.gangLead()
		}
		out.members = append(out.members, m)
	}
	out.Job = jobFromProto(out.members[0].AgentTask.Job)
	return out
}

// lead returns the member that leads the gang, if it is known.
func (r run) lead() (member, bool) {
	for _, m := range r.members {
		if m.Lead {
			return m, true
		}
	}
	return member{}, false
}

// doneWithoutLead reports whether members are done while the lead is not known. Then it is
// not known whether the whole gang is done.
func (r run) doneWithoutLead() bool {
	_, ok := r.lead()
	return !ok && r.state() == gang.Done
}

// state returns the state of the attempt. That of the lead counts, as it covers the whole
// gang, unless the lead is only held. Without it, the state is held or prepared if any
// member is.
func (r run) state() gang.TaskState {
	if m, ok := r.lead(); ok && gang.TaskState(m.State) != gang.Held {
		return gang.TaskState(m.State)
	}
	lowest := gang.TaskState(r.members[0].State)
	for _, m := range r.members {
		if s := gang.TaskState(m.State); s == gang.Held || s == gang.Prepared {
			lowest = s
		}
	}
	return lowest
}

// reason returns the first reason that a member gives for the end of the attempt.
func (r run) reason() string {
	for _, m := range r.members {
		if m.Reason != "" {
			return m.Reason
		}
	}
	return ""
}

func (r run) started() time.Time {
	for _, m := range r.members {
		if m.StartedUnixMs > 0 {
			return time.UnixMilli(m.StartedUnixMs)
		}
	}
	return time.Time{}
}

func (r run) checkpoint() []byte {
	for _, m := range r.members {
		if len(m.Checkpoint) > 0 {
			return m.Checkpoint
		}
	}
	return nil
}

// parts returns the placement of the gang.
func (r run) parts() placement.PartList {
	var out placement.PartList
	for _, m := range r.members {
		out = append(out, placement.Part{
			Worker: m.agent.Name, Tasks: int(m.Tasks), Accelerators: shop.Mask(m.Accelerators),
		})
	}
	return out
}

func (r run) workers() []string {
	var out []string
	for _, m := range r.members {
		out = append(out, m.agent.Name)
	}
	return out
}

// gangMembers returns the gang's members as one that has prepared knows them. If none has,
// it returns those that are reported.
func (r run) gangMembers() []*sniperillv1.Member {
	for _, m := range r.members {
		if len(m.Members) > 0 {
			return m.Members
		}
	}
	var out []*sniperillv1.Member
	for _, m := range r.members {
		out = append(out, &sniperillv1.Member{
			Agent: m.agent.Name, Address: m.agent.Address, Incarnation: m.agent.Incarnation,
		})
	}
	return out
}

func (r run) attemptProto() *sniperillv1.Attempt {
	return &sniperillv1.Attempt{Job: r.ID, Number: uint32(r.attempt)}
}

// status returns s with what the agents know of the job filled in.
func (r run) status(s Status) Status {
	s.Attempt = r.attempt
	s.Workers = r.workers()
	s.Started = r.started()
	switch r.state() {
	case gang.Held, gang.Prepared:
		s.State = shop.Starting
	case gang.Running, gang.Done, gang.Failed:
		s.State = shop.Running
	default:
		s.State = shop.Queued
	}
	return s
}

// jobToProto and jobFromProto convert a job to its message and back.
func jobToProto(j shop.Job) *sniperillv1.Job {
	return &sniperillv1.Job{
		Id: j.ID, Team: j.Team, Class: j.Class, Shape: ShapeToProto(j.Shape),
		RunTime: durationpb.New(j.RunTime), SubmittedUnixMs: j.Submitted.UnixMilli(),
		Region: j.Region, Payload: j.Payload,
	}
}

func jobFromProto(j *sniperillv1.Job) shop.Job {
	return shop.Job{
		ID: j.GetId(), Team: j.GetTeam(), Class: j.GetClass(), Shape: ShapeFromProto(j.GetShape()),
		RunTime: j.GetRunTime().AsDuration(), Submitted: time.UnixMilli(j.GetSubmittedUnixMs()),
		Region: j.GetRegion(), Payload: j.GetPayload(),
	}
}

// ShapeToProto converts a shape to its message.
func ShapeToProto(s shop.Shape) *sniperillv1.Shape {
	return &sniperillv1.Shape{
		Tasks: uint32(s.Tasks), Accelerators: uint32(s.Accelerators), Cores: uint32(s.Cores),
		MemoryBytes: uint64(s.Memory), Adjacency: string(s.Adjacency),
	}
}

// ShapeFromProto converts a message to a shape and sets the defaults.
func ShapeFromProto(s *sniperillv1.Shape) shop.Shape {
	out := shop.Shape{
		Tasks: int(s.GetTasks()), Accelerators: int(s.GetAccelerators()), Cores: int(s.GetCores()),
		Memory: shop.Bytes(s.GetMemoryBytes()), Adjacency: shop.Adjacency(s.GetAdjacency()),
	}
	out.SetDefaults()
	return out
}
