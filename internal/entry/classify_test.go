package entry

import (
	"fmt"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/queue"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// report returns the state of an agent that has a task of the job "t/j". The gang has prepared
// if lead is set.
func report(agent string, attempt uint32, state gang.TaskState, lead string) *sniperillv1.AgentState {
	t := &sniperillv1.AgentTask{
		Attempt: &sniperillv1.Attempt{Job: "t/j", Number: attempt},
		Job:     jobToProto(shop.Job{ID: "t/j", Shape: shop.Shape{Tasks: 2}}),
		Tasks:   1, State: string(state), Lead: lead == agent,
	}
	if lead != "" {
		t.Members = []*sniperillv1.Member{{Agent: lead}, {Agent: agent}}
	}
	return &sniperillv1.AgentState{Name: agent, Tasks: []*sniperillv1.AgentTask{t}}
}

// TestClassifyJob checks the phase of a job for combinations of the log's, the agents' and the
// planner's knowledge.
func TestClassifyJob(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	expireAfter := 7 * time.Second
	const a, b = "worker-1", "worker-2"
	running := &queue.Running{Attempt: 1}
	tests := []struct {
		name    string
		live    platform.LiveJob
		reports []*sniperillv1.AgentState
		j       progress
		want    jobPhase
	}{
		{"newly submitted", platform.LiveJob{}, nil, progress{}, phaseWaiting},
		{"newly submitted and cancelled", platform.LiveJob{Cancelled: true}, nil, progress{}, phaseCancelled},
		{"start in progress", platform.LiveJob{Attempt: 1}, nil, progress{attempt: 1, starting: running}, phaseActive},
		{
			"cancelled while a start is in progress",
			platform.LiveJob{Attempt: 1, Cancelled: true},
			nil,
			progress{attempt: 1, starting: running},
			phaseActive,
		},
		{"started, not reported yet", platform.LiveJob{Attempt: 1}, nil, progress{attempt: 1, starting: running, started: true, missingSince: now}, phaseUncertain},
		{"started by another planner, not reported", platform.LiveJob{Attempt: 3}, nil, progress{}, phaseUncertain},
		{"missing for too long", platform.LiveJob{Attempt: 3}, nil, progress{missingSince: now.Add(-expireAfter - time.Second)}, phaseInterrupted},
		{"cancelled and missing for too long", platform.LiveJob{Attempt: 3, Cancelled: true}, nil, progress{missingSince: now.Add(-expireAfter - time.Second)}, phaseCancelled},
		{"refused by the agents", platform.LiveJob{Attempt: 3}, nil, progress{endedAttempt: 3}, phaseWaiting},
		{"ended by its agents, may have run", platform.LiveJob{Attempt: 3}, nil, progress{stoppedAttempt: 3, missingSince: now.Add(-expireAfter - time.Second)}, phaseInterrupted},
		{"running", platform.LiveJob{Attempt: 1}, []*sniperillv1.AgentState{report(a, 1, gang.Running, a), report(b, 1, gang.Running, a)}, progress{}, phaseActive},
		{"running and cancelled", platform.LiveJob{Attempt: 1, Cancelled: true}, []*sniperillv1.AgentState{report(a, 1, gang.Running, a)}, progress{}, phaseCancelled},
		{"done", platform.LiveJob{Attempt: 1}, []*sniperillv1.AgentState{report(a, 1, gang.Done, a), report(b, 1, gang.Running, a)}, progress{}, phaseDone},
		{"done by a member, lead not known yet", platform.LiveJob{Attempt: 1}, []*sniperillv1.AgentState{report(b, 1, gang.Done, a)}, progress{}, phaseUncertain},
		{"done by a member, lead gone", platform.LiveJob{Attempt: 1}, []*sniperillv1.AgentState{report(b, 1, gang.Done, a)}, progress{missingSince: now.Add(-expireAfter - time.Second)}, phaseInterrupted},
		{"a member failed", platform.LiveJob{Attempt: 1}, []*sniperillv1.AgentState{report(a, 1, gang.Running, a), report(b, 1, gang.Failed, a)}, progress{}, phaseFailed},
		{"preempted, a member still stopping", platform.LiveJob{Attempt: 1}, []*sniperillv1.AgentState{report(a, 1, gang.Preempted, a), report(b, 1, gang.Running, a)}, progress{}, phaseUncertain},
		{"preempted", platform.LiveJob{Attempt: 1}, []*sniperillv1.AgentState{report(a, 1, gang.Preempted, a), report(b, 1, gang.Stopped, a)}, progress{}, phaseInterrupted},
		{"an older attempt is reported", platform.LiveJob{Attempt: 2}, []*sniperillv1.AgentState{report(a, 1, gang.Running, a)}, progress{}, phaseUncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var reports runs
			for _, s := range tt.reports {
				reports.update(s)
			}
			r, reported := reports.find("t/j")
			if got := classifyJob(tt.live, r, reported, &tt.j, now, expireAfter); got != tt.want {
				t.Errorf("phase %d, want %d", got, tt.want)
			}
		})
	}
}

// TestRunsUpdate checks that the highest reported attempt counts, and that a lower one counts again
// once no agent reports the higher ones any more.
func TestRunsUpdate(t *testing.T) {
	var reports runs
	reports.update(report("worker-1", 1, gang.Running, "worker-1"))
	reports.update(report("worker-2", 2, gang.Running, "worker-2"))
	reports.update(report("worker-3", 2, gang.Running, "worker-3"))
	r, ok := reports.find("t/j")
	if !ok || r.attempt != 2 || len(r.members) != 1 || len(r.otherAttempts) != 2 {
		t.Errorf("attempt %d, %d members, %d of other attempts", r.attempt, len(r.members), len(r.otherAttempts))
	}
	reports.update(&sniperillv1.AgentState{Name: "worker-2"})
	reports.remove("worker-3")
	r, ok = reports.find("t/j")
	if !ok || r.attempt != 1 || len(r.otherAttempts) != 0 {
		t.Errorf("after the higher attempts are gone: %v, attempt %d, %d of other attempts", ok, r.attempt, len(r.otherAttempts))
	}
	reports.remove("worker-1")
	if _, ok := reports.find("t/j"); ok {
		t.Error("the job is still reported")
	}
}

// TestClassifyJobDone checks that a job counts as done only if the lead of its gang reports so.
func TestClassifyJobDone(t *testing.T) {
	now := time.Unix(1000, 0)
	expireAfter := 7 * time.Second
	done := func(agent string, lead bool) member {
		return member{
			&sniperillv1.AgentTask{State: string(gang.Done), Lead: lead, Attempt: &sniperillv1.Attempt{Job: "j", Number: 1}},
			&sniperillv1.AgentState{Name: agent},
		}
	}
	tests := []struct {
		name         string
		members      []member
		missingSince time.Time
		want         jobPhase
	}{
		{"all members", []member{done("a", true), done("b", false)}, time.Time{}, phaseDone},
		{"lead only", []member{done("a", true)}, time.Time{}, phaseDone},
		{"lead not known yet", []member{done("b", false)}, time.Time{}, phaseUncertain},
		{"lead gone", []member{done("b", false)}, now.Add(-expireAfter - time.Second), phaseInterrupted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := platform.LiveJob{Attempt: 1}
			j := &progress{attempt: 1, missingSince: tt.missingSince}
			if got := classifyJob(l, run{attempt: 1, members: tt.members}, true, j, now, expireAfter); got != tt.want {
				t.Errorf("phase %d, want %d", got, tt.want)
			}
		})
	}
}

// TestStartedByAnotherPlanner checks that an attempt that another planner has claimed, or may
// have claimed, does not count as one that never ran.
func TestStartedByAnotherPlanner(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, cause := range []error{platform.ErrAttemptClaimed, platform.ErrOutcomeUnknown} {
		e := &Entry{Now: func() time.Time { return now }}
		e.init()
		j := e.planner.progressOf("j")
		j.attempt, j.starting = 1, &queue.Running{Attempt: 1}
		e.planner.recordStartResult("j", 1, gang.Result{Outcome: gang.NotRun}, fmt.Errorf("planner.claimAndStart: %w", cause))
		if got := classifyJob(platform.LiveJob{Attempt: 1}, run{}, false, j, now, time.Second); got != phaseUncertain {
			t.Errorf("%v: phase %d, want %d", cause, got, phaseUncertain)
		}
	}
}

// TestUnclaimedNumberReused guards against a job that must run at most once being started beside the attempt
// of another planner: this planner's own tries of that number were refused before they were claimed.
func TestUnclaimedNumberReused(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		cause   error
		tries   int
		live    platform.LiveJob
		waiting bool
	}{
		{"claim voided, number free", platform.ErrNotAppended, 1, platform.LiveJob{}, true},
		{"claim voided, number claimed by another", platform.ErrNotAppended, 1, platform.LiveJob{Attempt: 1}, false},
		{"not claimed without the log, number claimed by another", shop.ErrUnavailable, 3, platform.LiveJob{Attempt: 1}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &Entry{Now: func() time.Time { return now }}
			e.init()
			p := &e.planner
			config := &shop.Config{Classes: shop.ClassList{{Name: "ledger"}}}
			tt.live.Job = shop.Job{ID: "t/j", Class: "ledger"}
			j := p.progressOf("t/j")
			for n := 1; n <= tt.tries; n++ {
				j.attempt, j.starting = n, &queue.Running{Attempt: n}
				p.recordStartResult("t/j", n, gang.Result{Outcome: gang.NotRun}, fmt.Errorf("planner.claimAndStart: %w", tt.cause))
			}
			v := queue.View{Now: now.Add(time.Second)}
			p.addJobToView(t.Context(), &v, tt.live, config)
			if waiting := len(v.Queued) > 0; waiting != tt.waiting {
				t.Errorf("waiting for a start: %v, want %v: %+v", waiting, tt.waiting, v.Queued)
			}
			if tt.live.Attempt > 0 && j.neverRanAttempt >= tt.live.Attempt {
				t.Errorf("attempt %d of another planner counts as one that never ran", tt.live.Attempt)
			}
		})
	}
}
