package intake

import (
	"errors"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/pkg/workflow"
)

const (
	// jobShare is the divisor of an entry's memory for the jobs that all entries keep.
	jobShare = 4
	// teamShare is the divisor of the room for jobs that one team may use, so that others have some left.
	teamShare = 2
)

// ErrFull means that a job was refused as there is no room for it. It comes with ErrUnavailable.
var ErrFull = errors.New("there is no room for more jobs")

var refusedFull = metrics.NewCounter("sniperill_intake_full_total")

// Full reports whether there is no room for another job of a team. All entries keep all jobs, so that the
// one with the least memory decides; entries whose memory isn't known don't count.
func (s *Service) Full(team string) bool {
	s.reserved.mu.Lock()
	defer s.reserved.mu.Unlock()
	return s.full(team)
}

// full is Full for a caller that holds reserved.mu.
func (s *Service) full(team string) bool {
	memoryMB := s.MemoryMB
	for _, e := range s.ClusterState.Entries() {
		if e.MemoryMB > 0 && (memoryMB == 0 || e.MemoryMB < memoryMB) {
			memoryMB = e.MemoryMB
		}
	}
	room := int64(memoryMB) << 20 / jobShare
	ofTeam, all := s.ClusterState.JobBytes(team)
	isFull := full(room, ofTeam+s.reserved.teams[team], all+s.reserved.all)
	if isFull && len(s.reserved.jobs) > 0 { // The cluster state may count some of them by now.
		s.dropSettled()
		ofTeam, all = s.ClusterState.JobBytes(team)
		isFull = full(room, ofTeam+s.reserved.teams[team], all+s.reserved.all)
	}
	if isFull {
		refusedFull.Inc()
	}
	return isFull
}

// full decides whether jobs have used up their room, in bytes, which is zero if it is not known. Load pattern: one
// team's clients hand in jobs of the largest size without end.
func full(room, ofTeam, all int64) bool {
	return room > 0 && (all >= room || ofTeam >= room/teamShare)
}

// reservations is the room for jobs that this entry is writing or may have written, and that the cluster state
// doesn't count yet. Those that it does are dropped when room runs out. The zero value is empty.
type reservations struct {
	mu    sync.Mutex
	jobs  map[string]*reservation // By the job's id.
	teams map[string]int64        // Bytes by team.
	all   int64
}

// reservation is the room for one job.
type reservation struct {
	team  string
	bytes int64
	calls int // Submissions in progress.
}

// reserve reserves room for a job while it is submitted, and reports whether there is any. If there is, end must be
// called once the submission has ended.
func (s *Service) reserve(j *workflow.Job) (end func(), ok bool) {
	r := &s.reserved
	r.mu.Lock()
	defer r.mu.Unlock()
	reserved, again := r.jobs[j.ID]
	if !again {
		if _, known := s.ClusterState.Job(j.ID); known {
			return func() {}, true
		}
		if s.full(j.Team) {
			return nil, false
		}
		reserved = &reservation{team: j.Team, bytes: clusterstate.JobMemory(len(clusterstate.JobRecord(j).Value), j)}
		r.add(j.ID, reserved)
	}
	reserved.calls++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		reserved.calls--
		s.dropIfSettled(j.ID, reserved)
	}, true
}

// add adds a reservation. The caller holds mu.
func (r *reservations) add(id string, reserved *reservation) {
	if r.jobs == nil {
		r.jobs, r.teams = make(map[string]*reservation), make(map[string]int64)
	}
	r.jobs[id] = reserved
	r.teams[reserved.team] += reserved.bytes
	r.all += reserved.bytes
}

// dropSettled drops the reservations that are no longer needed. The caller holds reserved.mu.
func (s *Service) dropSettled() {
	for id, reserved := range s.reserved.jobs {
		s.dropIfSettled(id, reserved)
	}
}

// dropIfSettled drops a reservation if the cluster state counts the job, or it was not written. The caller holds
// reserved.mu.
func (s *Service) dropIfSettled(id string, reserved *reservation) {
	_, inState := s.ClusterState.Job(id)
	pending, _ := s.pending.status(id)
	r := &s.reserved
	if !inState && (reserved.calls > 0 || pending) || r.jobs[id] != reserved {
		return
	}
	delete(r.jobs, id)
	r.all -= reserved.bytes
	if r.teams[reserved.team] -= reserved.bytes; r.teams[reserved.team] == 0 {
		delete(r.teams, reserved.team)
	}
}
