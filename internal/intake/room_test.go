package intake

import (
	"fmt"
	"testing"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/workflow"
)

// Load pattern: one team's clients hand in jobs without end.
func TestFull(t *testing.T) {
	tests := []struct {
		name              string
		room, ofTeam, all int64
		want              bool
	}{
		{"unknown memory", 0, 1 << 40, 1 << 40, false},
		{"room", 100, 49, 99, false},
		{"the team has half of the room", 100, 50, 50, true},
		{"no room", 100, 0, 100, true},
	}
	for _, tt := range tests {
		if got := full(tt.room, tt.ofTeam, tt.all); got != tt.want {
			t.Errorf("%s: full = %v", tt.name, got)
		}
	}
}

// Jobs take room from their acceptance, which may be repeated, until they are dropped, and the entry with the least
// memory decides how much there is.
func TestFullFollowsTheJournal(t *testing.T) {
	s := &Service{MemoryMB: 100, ClusterState: &clusterstate.State{}}
	apply := func(r journal.Record) {
		t.Helper()
		if err := s.ClusterState.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	address := clusterstate.Address{Name: "small", Address: "10.0.0.1:7000", MemoryMB: 1}
	job := &workflow.Job{
		ID: "5c0e7a21d94b36f8", Team: "red", Queue: workflow.Queue{Name: "q"},
		Steps: []workflow.Step{{Count: workflow.MaxTasks}},
	}
	record := clusterstate.JobRecord(job)
	apply(record)
	apply(record)
	held, _ := s.ClusterState.JobBytes("red")
	if s.Full("red") {
		t.Error("100 MB are full with one job")
	}
	apply(clusterstate.EntryRecord(address))
	if !s.Full("red") || s.Full("blue") {
		t.Errorf("an entry of 1 MB with %d bytes of red jobs: full for red %v, for blue %v", held, s.Full("red"), s.Full("blue"))
	}
	apply(journal.Record{Key: record.Key, Offset: 3})
	if ofTeam, all := s.ClusterState.JobBytes("red"); ofTeam != 0 || all != 0 || s.Full("red") {
		t.Errorf("after the job was dropped: %d of %d bytes", ofTeam, all)
	}
}

// Jobs that are being written take room before the journal has them, and give it back if they aren't accepted.
func TestReservedJobsTakeRoom(t *testing.T) {
	s := &Service{MemoryMB: 1, ClusterState: &clusterstate.State{}}
	job := func(id, team string) *workflow.Job {
		return &workflow.Job{ID: id, Team: team, Queue: workflow.Queue{Name: "q"}, Steps: []workflow.Step{{Count: workflow.MaxTasks}}}
	}
	var ends []func()
	for i := 0; ; i++ {
		id := fmt.Sprintf("%016x", i)
		done := s.pending.begin(id)
		end, ok := s.reserve(job(id, "red"))
		if !ok {
			_ = done(ErrUnavailable)
			break
		}
		ends = append(ends, func() { _ = done(ErrUnavailable); end() })
	}
	if len(ends) == 0 || !s.Full("red") || s.Full("blue") {
		t.Errorf("after %d reserved jobs: full for red %v, for blue %v", len(ends), s.Full("red"), s.Full("blue"))
	}
	if end, ok := s.reserve(job(fmt.Sprintf("%016x", 0), "red")); !ok {
		t.Error("a job that is being written was refused as there is no room")
	} else {
		end()
	}
	for _, end := range ends {
		end()
	}
	if s.Full("red") || len(s.reserved.jobs) != 0 || s.reserved.all != 0 {
		t.Errorf("%d jobs, %d bytes are reserved after all were refused", len(s.reserved.jobs), s.reserved.all)
	}
}

// A job counts once when the journal has it.
func TestReservationEndsWithTheRecord(t *testing.T) {
	s := &Service{MemoryMB: 1, ClusterState: &clusterstate.State{}}
	job := &workflow.Job{
		ID: "5c0e7a21d94b36f8", Team: "red", Queue: workflow.Queue{Name: "q"},
		Steps: []workflow.Step{{Count: workflow.MaxTasks}},
	}
	done := s.pending.begin(job.ID)
	end, ok := s.reserve(job)
	if !ok {
		t.Fatal("no room for one job")
	}
	_ = done(nil)
	end()
	if len(s.reserved.jobs) != 1 {
		t.Error("an accepted job takes no room until its record is read")
	}
	if err := s.ClusterState.Apply(clusterstate.JobRecord(job)); err != nil {
		t.Fatal(err)
	}
	s.reserved.mu.Lock()
	s.dropSettled()
	s.reserved.mu.Unlock()
	if len(s.reserved.jobs) != 0 {
		t.Error("an accepted job takes room twice")
	}
}
