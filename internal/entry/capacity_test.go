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

// deploymentSize is the size of a simulated deployment.
type deploymentSize struct {
	workers, tasks, queued, teams int
}

// designSize is the size that sniperill is designed for.
var designSize = deploymentSize{workers: 640, tasks: 11_000, queued: 200, teams: 130}

func (s deploymentSize) scaled(f float64) deploymentSize {
	scale := func(n int) int { return int(f * float64(n)) }
	return deploymentSize{scale(s.workers), scale(s.tasks), scale(s.queued), scale(s.teams)}
}

// Layout of the simulated deployment: seven zones, four of them in the home region and
// three in the other.
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

// gangSizes are the numbers of tasks of successive jobs, 35 on average.
var gangSizes = []int{4, 16, 32, 64, 64, 32}

// deployment is a simulated deployment as an entry learns of it.
type deployment struct {
	deploymentSize

	now    time.Time
	random *rand.Rand
	config shop.Config
	states []*sniperillv1.AgentState
	jobs   []platform.Record
}

func newDeployment(size deploymentSize) *deployment {
	d := &deployment{deploymentSize: size, now: time.Unix(1_790_000_000, 0), random: rand.New(rand.NewPCG(1, 1))}
	d.config = shop.Config{Version: 1, Classes: shop.ClassList{
		{Name: "batch", Idempotent: true, Preemptible: true},
		{Name: "firm", Idempotent: true},
		{Name: "quote", Idempotent: true, Urgent: true},
	}}
	for i := range size.teams {
		t := shop.Team{Name: fmt.Sprintf("team-%03d", i), Quota: 64, Weight: float64(1 + i%3)}
		if i%2 == 0 {
			shape := shop.Shape{Tasks: 1, Accelerators: 1 << (i / 2 % 3), Cores: 2, Memory: 8 * shop.GiB}
			t.Guarantees = []shop.Guarantee{{Shape: shape}}
		}
		d.config.Teams = append(d.config.Teams, t)
	}
	d.config = d.config.WithDefaults()
	for i := range size.workers {
		d.states = append(d.states, d.newState(i))
	}
	d.assignOwners()
	d.addRuns()
	d.addQueued()
	return d
}

// newState returns the state of agent i with an idle worker. 640 workers have 981
// accelerators in total.
func (d *deployment) newState(i int) *sniperillv1.AgentState {
	accelerators := uint32(0)
	switch {
	case i%6 == 0:
		accelerators = 8
	case i%36 == 3:
		accelerators = 2
	case i%6 == 3:
		accelerators = 1
	}
	zone := i * designZones / d.workers
	region := homeRegion
	if zone >= homeZones {
		region = "south"
	}
	name := fmt.Sprintf("worker-%04d", i)
	s := &sniperillv1.AgentState{
		Name: name, Address: fmt.Sprintf("10.0.%d.%d:7443", i/200, i%200), Sequence: 1,
		Incarnation: uint64(d.now.Add(-time.Duration(d.random.Int64N(int64(30 * 24 * time.Hour)))).UnixNano()),
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

// assignOwners makes the teams the owners of their guaranteed accelerators.
func (d *deployment) assignOwners() {
	var workers shop.WorkerList
	for _, s := range d.states {
		workers = append(workers, workerOf(&roster.Member{State: s}))
	}
	packing := guarantee.Pack(d.config.Teams, workers, nil, guarantee.Packing{})
	for _, s := range d.states {
		for _, o := range s.Owners {
			o.Team = packing.OwnerOf(s.Name, int(o.Accelerator))
		}
	}
}

// homeWorkers returns the number of workers in the home region. They come first.
func (d *deployment) homeWorkers() int { return (homeZones*d.workers + designZones - 1) / designZones }

// addRuns distributes gangs over the workers of each region until all tasks run. The first
// part on a worker gets all its accelerators.
func (d *deployment) addRuns() {
	remaining, at := d.tasks, 0
	for i := 0; remaining > 0; i++ {
		tasks := min(remaining, gangSizes[i%len(gangSizes)])
		remaining -= tasks
		first, n := 0, d.homeWorkers()
		if i%designZones >= homeZones {
			first, n = n, d.workers-n
		}
		d.addRun(i, tasks, first, n, &at)
	}
}

func (d *deployment) addRun(i, tasks, first, n int, at *int) {
	job := d.newJob(fmt.Sprintf("run-%05d", i), i, tasks, d.states[first].Place.Region)
	d.addAccepted(job, 1)
	var parts []*sniperillv1.AgentTask
	var members []*sniperillv1.Member
	for remaining := tasks; remaining > 0; remaining -= tasksPerPart {
		*at += 37
		s := d.states[first+*at%n]
		part := &sniperillv1.AgentTask{
			Attempt: &sniperillv1.Attempt{Job: job.ID, Number: 1}, Job: jobToProto(job),
			Tasks: uint32(min(remaining, tasksPerPart)), State: "running", Lead: len(parts) == 0,
			StartedUnixMs: d.now.Add(-time.Hour).UnixMilli(),
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

func (d *deployment) newJob(id string, i, tasks int, region string) shop.Job {
	team := d.config.Teams[(2*i+1)%len(d.config.Teams)].Name
	shape := shop.Shape{Tasks: tasks, Cores: 1, Memory: shop.GiB}
	shape.SetDefaults()
	return shop.Job{
		ID: jobID(team, id), Team: team, Class: "firm", Shape: shape, RunTime: 4 * time.Hour,
		Submitted: d.now.Add(-2 * time.Hour), Region: region, Payload: d.payload(),
	}
}

// payload returns random bytes, which can't be compressed.
func (d *deployment) payload() []byte {
	out := make([]byte, payloadBytes)
	for i := range out {
		out[i] = byte(d.random.Uint32())
	}
	return out
}

// addQueued adds jobs that wait for accelerators. All accelerators are in use.
func (d *deployment) addQueued() {
	for i := range d.queued {
		job := d.newJob(fmt.Sprintf("wait-%05d", i), i, 1+i%4, homeRegion)
		job.Shape.Accelerators = 1 + i%8
		d.addAccepted(job, 0)
	}
}

func (d *deployment) addAccepted(job shop.Job, attempt int) {
	at := uint64(len(d.jobs))
	d.jobs = append(d.jobs, platform.Record{
		Offset: at, AsOf: at, Appended: d.now, ID: job.ID + "/accepted", Kind: platform.KindJobAccepted,
		Job: &platform.JobRecord{ID: job.ID, Job: &job, Attempt: attempt},
	})
}

// unreachableTransport fails every request as if the peer were unreachable.
type unreachableTransport struct{}

func (unreachableTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, peer.ErrNotConnected
}

// newEntry returns the entry that plans for the home region and knows the deployment.
func (d *deployment) newEntry(tb testing.TB) *Entry {
	tb.Helper()
	e := &Entry{
		Name: "entry-1", Address: benchAddress, Incarnation: 1, Logger: zerolog.Nop(),
		Place:        shop.Place{Region: homeRegion, Zone: homeRegion + "-0"},
		Now:          func() time.Time { return d.now },
		ControlPeers: &peer.Clients{HTTP: &http.Client{Transport: unreachableTransport{}}, Scheme: "http"},
		Peers:        &peer.Clients{HTTP: &http.Client{Transport: unreachableTransport{}}, Scheme: "http"},
	}
	e.init()
	e.streams.configs.Learn(platform.AcceptedConfig{Config: d.config})
	for _, s := range d.states {
		r := &sniperillv1.HeartbeatRequest{Agent: s.Name, Incarnation: s.Incarnation, Sequence: s.Sequence, State: s}
		if _, err := e.roster.Heartbeat(r); err != nil {
			tb.Fatal(err)
		}
	}
	d.applyJobs(e)
	e.viewChanged()
	return e
}

// heartbeatAll delivers a heartbeat of every agent.
func (d *deployment) heartbeatAll(tb testing.TB, e *Entry) {
	tb.Helper()
	for _, s := range d.states {
		r := &sniperillv1.HeartbeatRequest{Agent: s.Name, Incarnation: s.Incarnation, Sequence: s.Sequence}
		if _, err := e.roster.Heartbeat(r); err != nil {
			tb.Fatal(err)
		}
	}
}

// applyJobs makes the entry read the job records from the log.
func (d *deployment) applyJobs(e *Entry) {
	for _, r := range d.jobs {
		e.streams.jobs.Apply(r)
	}
	e.streams.jobs.CaughtUp()
}

// TestRepackWhenInputChanges checks that the guarantees are packed again when the configuration
// changes or a worker dies, and that they don't move otherwise.
func TestRepackWhenInputChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(*testing.T, *deployment, *Entry)
	}{
		{"configuration", func(_ *testing.T, d *deployment, e *Entry) {
			c := d.config.WithVersion(2)
			c.Teams = slices.Clone(c.Teams)
			c.Teams[1].Guarantees = c.Teams[0].Guarantees
			e.streams.configs.Learn(platform.AcceptedConfig{Config: c})
		}},
		{"dead worker", func(t *testing.T, d *deployment, e *Entry) {
			first := e.planner.packing.Cells()[0].Parts[0].Worker
			for range 2 {
				d.now = d.now.Add(repackDelay)
				d.states = slices.DeleteFunc(d.states, func(s *sniperillv1.AgentState) bool { return s.Name == first })
				d.heartbeatAll(t, e)
				e.roster.Tick(t.Context())
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDeployment(deploymentSize{workers: 70, teams: 10})
			e := d.newEntry(t)
			for range 2 {
				e.planner.plan(t.Context())
				d.now = d.now.Add(2 * rosterStableDelay)
				d.heartbeatAll(t, e)
			}
			before := e.planner.packing
			e.planner.plan(t.Context())
			if n := e.planner.packing.Moved(before); n > 0 {
				t.Fatalf("%d cells moved without a change of the input", n)
			}
			tt.change(t, d, e)
			e.planner.plan(t.Context())
			if e.planner.packing.Moved(before) == 0 && len(e.planner.packing.Cells()) == len(before.Cells()) {
				t.Error("the packing did not change")
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

// TestHeldHeartbeatIsShorterThanIdleTimeout checks that a connection is not closed as idle while a
// heartbeat is held on it.
func TestHeldHeartbeatIsShorterThanIdleTimeout(t *testing.T) {
	if roster.MaxHoldTime >= peer.QUICIdleTimeout {
		t.Errorf("a heartbeat is held for up to %v, an idle connection is closed after %v", roster.MaxHoldTime, peer.QUICIdleTimeout)
	}
}
