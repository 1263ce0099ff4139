package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/guarantee"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/roster"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// deploymentSize is the size of a deployment that an entry plans for.
type deploymentSize struct {
	workers, tasks, queued, teams int
}

// designSize is the size to design for.
var designSize = deploymentSize{workers: 640, tasks: 11_000, queued: 200, teams: 130}

func (l deploymentSize) scaled(f float64) deploymentSize {
	of := func(n int) int { return int(f * float64(n)) }
	return deploymentSize{of(l.workers), of(l.tasks), of(l.queued), of(l.teams)}
}

// Regions and zones of the size to design for: four zones in one, three in the other.
const (
	designZones  = 7
	homeZones    = 4
	homeRegion   = "north"
	designRack   = 16
	tasksPerPart = 2
	payloadBytes = 200
	benchAddress = "10.0.100.200:7443"
	benchCores   = 96
	benchMemory  = 384 * shop.GiB
)

// gangSizes are the tasks of jobs in turn: 35 on average.
var gangSizes = []int{4, 16, 32, 64, 64, 32}

// deployment is what an entry learns of a deployment.
type deployment struct {
	deploymentSize

	now    time.Time
	random *rand.Rand
	config shop.Config
	states []*sniperillv1.AgentState
	jobs   []platform.Record
}

func newDeployment(l deploymentSize) *deployment {
	w := &deployment{deploymentSize: l, now: time.Unix(1_790_000_000, 0), random: rand.New(rand.NewPCG(1, 1))}
	w.config = shop.Config{Version: 1, Classes: shop.ClassList{
		{Name: "batch", Idempotent: true, Preemptible: true},
		{Name: "firm", Idempotent: true},
		{Name: "quote", Idempotent: true, Urgent: true},
	}}
	for i := range l.teams {
		t := shop.Team{Name: fmt.Sprintf("team-%03d", i), Quota: 64, Weight: float64(1 + i%3)}
		if i%2 == 0 {
			shape := shop.Shape{Tasks: 1, Accelerators: 1 << (i / 2 % 3), Cores: 2, Memory: 8 * shop.GiB}
			t.Guarantees = []shop.Guarantee{{Shape: shape}}
		}
		w.config.Teams = append(w.config.Teams, t)
	}
	w.config = w.config.WithDefaults()
	for i := range l.workers {
		w.states = append(w.states, w.newState(i))
	}
	w.assignOwners()
	w.addRuns()
	w.addQueued()
	return w
}

// newState is an agent whose worker has nothing to do. Together 640 of them have
// 981 accelerators.
func (w *deployment) newState(i int) *sniperillv1.AgentState {
	accelerators := uint32(0)
	switch {
	case i%6 == 0:
		accelerators = 8
	case i%36 == 3:
		accelerators = 2
	case i%6 == 3:
		accelerators = 1
	}
	zone := i * designZones / w.workers
	region := homeRegion
	if zone >= homeZones {
		region = "south"
	}
	name := fmt.Sprintf("worker-%04d", i)
	s := &sniperillv1.AgentState{
		Name: name, Address: fmt.Sprintf("10.0.%d.%d:7443", i/200, i%200), Sequence: 1,
		Incarnation: uint64(w.now.Add(-time.Duration(w.random.Int64N(int64(30 * 24 * time.Hour)))).UnixNano()),
		Place: &sniperillv1.Place{
			Region: region, Zone: fmt.Sprintf("%s-%d", region, zone), Rack: fmt.Sprintf("rack-%02d", i/designRack), Worker: name,
		},
		Accelerators: accelerators, Cores: benchCores, MemoryBytes: uint64(benchMemory),
		Backends: []*sniperillv1.BackendSlots{{Class: "quote", Slots: 8, Connections: 64}}, ConfigVersion: 1,
	}
	for a := range accelerators {
		s.Owners = append(s.Owners, &sniperillv1.AcceleratorOwner{Accelerator: a, Version: 9})
	}
	return s
}

// assignOwners gives the guaranteed accelerators to their teams.
func (w *deployment) assignOwners() {
	var workers shop.WorkerList
	for _, s := range w.states {
		workers = append(workers, workerOf(&roster.Member{State: s}))
	}
	packing := guarantee.Pack(w.config.Teams, workers, nil, guarantee.Packing{})
	for _, s := range w.states {
		for _, o := range s.Owners {
			o.Team = packing.OwnerOf(s.Name, int(o.Accelerator))
		}
	}
}

// homeWorkers returns how many workers, the first ones, are in the home region.
func (w *deployment) homeWorkers() int { return (homeZones*w.workers + designZones - 1) / designZones }

// addRuns spreads gangs over the workers of each region until all tasks run. The
// first part on a worker has all its accelerators.
func (w *deployment) addRuns() {
	left, at := w.tasks, 0
	for i := 0; left > 0; i++ {
		tasks := min(left, gangSizes[i%len(gangSizes)])
		left -= tasks
		first, n := 0, w.homeWorkers()
		if i%designZones >= homeZones {
			first, n = n, w.workers-n
		}
		w.addRun(i, tasks, first, n, &at)
	}
}

func (w *deployment) addRun(i, tasks, first, n int, at *int) {
	job := w.newJob(fmt.Sprintf("run-%05d", i), i, tasks, w.states[first].Place.Region)
	w.addAccepted(job, 1)
	var parts []*sniperillv1.AgentTask
	var members []*sniperillv1.Member
	for left := tasks; left > 0; left -= tasksPerPart {
		*at += 37
		s := w.states[first+*at%n]
		part := &sniperillv1.AgentTask{
			Attempt: &sniperillv1.Attempt{Job: job.ID, Number: 1}, Job: jobToProto(job),
			Tasks: uint32(min(left, tasksPerPart)), State: "running", Lead: len(parts) == 0,
			StartedUnixMs: w.now.Add(-time.Hour).UnixMilli(),
		}
		if len(s.Tasks) == 0 {
			part.Accelerators = 1<<s.Accelerators - 1
		}
		s.Tasks = append(s.Tasks, part)
		parts = append(parts, part)
		members = append(members, &sniperillv1.Member{Agent: s.Name, Address: s.Address, Incarnation: s.Incarnation})
	}
	for _, p := range parts {
		p.Members = members
	}
}

func (w *deployment) newJob(id string, i, tasks int, region string) shop.Job {
	team := w.config.Teams[(2*i+1)%len(w.config.Teams)].Name
	shape := shop.Shape{Tasks: tasks, Cores: 1, Memory: shop.GiB}
	shape.Defaults()
	return shop.Job{
		ID: jobID(team, id), Team: team, Class: "firm", Shape: shape, RunTime: 4 * time.Hour,
		Submitted: w.now.Add(-2 * time.Hour), Region: region, Payload: w.payload(),
	}
}

// payload is bytes that can't be compressed.
func (w *deployment) payload() []byte {
	out := make([]byte, payloadBytes)
	for i := range out {
		out[i] = byte(w.random.Uint32())
	}
	return out
}

// addQueued adds jobs that wait for accelerators, all of which are in use.
func (w *deployment) addQueued() {
	for i := range w.queued {
		job := w.newJob(fmt.Sprintf("wait-%05d", i), i, 1+i%4, homeRegion)
		job.Shape.Accelerators = 1 + i%8
		w.addAccepted(job, 0)
	}
}

func (w *deployment) addAccepted(job shop.Job, attempt int) {
	at := uint64(len(w.jobs))
	w.jobs = append(w.jobs, platform.Record{
		Offset: at, AsOf: at, Appended: w.now, ID: job.ID + "/accepted", Kind: platform.KindJobAccepted,
		Job: &platform.JobRecord{ID: job.ID, Job: &job, Attempt: attempt},
	})
}

// unreachableTransport reaches no peer.
type unreachableTransport struct{}

func (unreachableTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, peer.ErrNotConnected
}

// newEntry returns the entry that plans for the home region and knows the world.
func (w *deployment) newEntry(tb testing.TB) *Entry {
	tb.Helper()
	e := &Entry{
		Name: "entry-1", Address: benchAddress, Incarnation: 1, Logger: zerolog.Nop(),
		Place:        shop.Place{Region: homeRegion, Zone: homeRegion + "-0"},
		Now:          func() time.Time { return w.now },
		ControlPeers: &peer.Clients{HTTP: &http.Client{Transport: unreachableTransport{}}, Scheme: "http"},
		Peers:        &peer.Clients{HTTP: &http.Client{Transport: unreachableTransport{}}, Scheme: "http"},
	}
	e.init()
	e.streams.configs.Learn(platform.AcceptedConfig{Config: w.config})
	for _, s := range w.states {
		r := &sniperillv1.HeartbeatRequest{Agent: s.Name, Incarnation: s.Incarnation, Sequence: s.Sequence, State: s}
		if _, err := e.roster.Heartbeat(r); err != nil {
			tb.Fatal(err)
		}
	}
	w.applyJobs(e)
	e.viewChanged()
	return e
}

// heartbeatAll lets every agent give a sign of life.
func (w *deployment) heartbeatAll(tb testing.TB, e *Entry) {
	tb.Helper()
	for _, s := range w.states {
		r := &sniperillv1.HeartbeatRequest{Agent: s.Name, Incarnation: s.Incarnation, Sequence: s.Sequence}
		if _, err := e.roster.Heartbeat(r); err != nil {
			tb.Fatal(err)
		}
	}
}

// applyJobs reads the log's jobs.
func (w *deployment) applyJobs(e *Entry) {
	for _, r := range w.jobs {
		e.streams.jobs.Apply(r)
	}
	e.streams.jobs.CaughtUp()
}

func TestRepackWhenInputChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(*testing.T, *deployment, *Entry)
	}{
		{"configuration", func(_ *testing.T, w *deployment, e *Entry) {
			c := w.config.WithVersion(2)
			c.Teams = slices.Clone(c.Teams)
			c.Teams[1].Guarantees = c.Teams[0].Guarantees
			e.streams.configs.Learn(platform.AcceptedConfig{Config: c})
		}},
		{"worker that is gone", func(t *testing.T, w *deployment, e *Entry) {
			first := e.planner.packing.Cells()[0].Parts[0].Worker
			for range 2 {
				w.now = w.now.Add(repackDelay)
				w.states = slices.DeleteFunc(w.states, func(s *sniperillv1.AgentState) bool { return s.Name == first })
				w.heartbeatAll(t, e)
				e.roster.Tick(t.Context())
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newDeployment(deploymentSize{workers: 70, teams: 10})
			e := w.newEntry(t)
			for range 2 {
				e.planner.plan(t.Context())
				w.now = w.now.Add(2 * rosterStableDelay)
				w.heartbeatAll(t, e)
			}
			before := e.planner.packing
			e.planner.plan(t.Context())
			if n := e.planner.packing.Moved(before); n > 0 {
				t.Fatalf("%d cells moved for nothing", n)
			}
			tt.change(t, w, e)
			e.planner.plan(t.Context())
			if e.planner.packing.Moved(before) == 0 && len(e.planner.packing.Cells()) == len(before.Cells()) {
				t.Error("the packing is the old one")
			}
		})
	}
}

func TestPlanDelay(t *testing.T) {
	tests := []struct{ took, want time.Duration }{
		{0, minPlanDelay},
		{5 * time.Millisecond, 200 * time.Millisecond},
		{time.Second, maxPlanDelay},
	}
	for _, tt := range tests {
		if got := planDelay(tt.took); got != tt.want {
			t.Errorf("after %v: %v, want %v", tt.took, got, tt.want)
		}
	}
}

func TestHeldHeartbeatIsShorterThanIdleTimeout(t *testing.T) {
	if roster.MaxHoldTime >= peer.IdleTimeout {
		t.Errorf("a heartbeat is held for %v, a connection lives for %v", roster.MaxHoldTime, peer.IdleTimeout)
	}
}
