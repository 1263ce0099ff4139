package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/schedule"
	"sniperill.example/sniperill/pkg/workflow"
)

// newPlannerOf returns a planner that keeps the jobs.
func newPlannerOf(jobs ...*workflow.Job) *activePlanner {
	ap := (&Planner{Rules: func() *workflow.Rules { return nil }}).newActivePlanner(1)
	for _, j := range jobs {
		ap.adopt(&clusterstate.Job{Spec: j})
	}
	return ap
}

// jobOf returns a job of a task on eight accelerators that was submitted a while ago.
func jobOf(id string, priority int, ago time.Duration) *workflow.Job {
	return &workflow.Job{
		ID: id, Queue: workflow.Queue{Name: "q", Service: "s", Priority: priority}, Submitted: time.Now().Add(-ago),
		Steps: []workflow.Step{{Count: 1, Estimate: 4 * time.Second, Resources: workflow.Resources{Accelerators: 8}}},
	}
}

func TestUrgentArrivals(t *testing.T) {
	endless := jobOf("endless", 0, time.Second)
	endless.Steps[0].Endless = true
	ap := newPlannerOf(
		jobOf("new", 0, time.Second), jobOf("newer", 0, 0), jobOf("patient", 1, time.Second), endless,
		jobOf("old", 0, schedule.UrgentMemory+time.Second), jobOf("removed", 0, time.Second),
	)
	delete(ap.jobs, "removed")
	for range 2 {
		v := &schedule.View{Now: time.Now()}
		ap.appendUrgentArrivals(v)
		var got []string
		for _, a := range v.UrgentArrivals {
			got = append(got, fmt.Sprintf("%s %d %v %v", a.Service, a.Accelerators, a.Estimate, math.Round(v.Now.Sub(a.Submitted).Seconds())))
		}
		if diff := cmp.Diff([]string{"s 8 4s 1", "s 8 4s 0"}, got); diff != "" {
			t.Errorf("service, accelerators, estimate, age (-want +got):\n%s", diff)
		}
	}
}

// Jobs are kept for minutes after they have ended; a plan looks at the newest only.
func BenchmarkUrgentArrivals(b *testing.B) {
	jobs := []*workflow.Job{jobOf("new", 0, 0)}
	for i := range 20000 {
		jobs = append(jobs, jobOf(fmt.Sprint(i), 0, time.Hour))
	}
	ap := newPlannerOf(jobs...)
	for b.Loop() {
		ap.appendUrgentArrivals(&schedule.View{Now: time.Now()})
	}
}
