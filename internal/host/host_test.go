package host_test

import (
	"context"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

func TestMain(m *testing.M) {
	clock.OverrideNow(clock.VirtualNow)
	os.Exit(m.Run())
}

const lease = 10 * time.Second

// fixture is an agent beside a worker, and a planner that renews the lease.
type fixture struct {
	t          *testing.T
	ctx        context.Context
	host       *host.Agent
	executor   *standin.Executor
	epoch      int64
	lastReport *pb.WatchResponse
	receivedAt time.Time
}

func newFixture(t *testing.T) *fixture {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		time.Sleep(3 * time.Second) // On virtual time; calls in progress end within it.
	})
	b := &fixture{t: t, ctx: ctx, epoch: 1, executor: &standin.Executor{
		Lifetime: host.Lifetime{ID: "w", StartedUnixMS: 1},
		Room:     workflow.Room{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8},
		Need: func(string) (workflow.Room, time.Duration) {
			return workflow.Room{Accelerators: 2}, time.Minute
		},
	}}
	b.host = &host.Agent{Name: "a", Worker: b.executor.Worker(), Incarnation: "1", MaxLease: lease}
	go b.host.Run(ctx)
	b.host.Heartbeat(b.executor.Beat("s", "r1-1", 1))
	return b
}

// watch makes one call that returns at once.
func (b *fixture) watch() error {
	m := &pb.WatchRequest{Epoch: b.epoch, Grant: durationpb.New(lease)}
	if b.lastReport != nil {
		m.AgentLife, m.Report = b.lastReport.GetAgentLife(), b.lastReport.GetReport()
	}
	resp, err := b.host.Watch(b.ctx, connect.NewRequest(m))
	if err == nil {
		b.lastReport, b.receivedAt = resp.Msg, time.Now()
	}
	return err
}

// renewFor renews the lease for a while.
func (b *fixture) renewFor(d time.Duration) {
	b.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if err := b.watch(); err != nil {
			b.t.Fatal(err)
		}
	}
}

func (b *fixture) order(m *pb.OrderRequest) []*pb.OrderResult {
	b.t.Helper()
	m.Epoch, m.Lifetime = b.epoch, b.executor.Lifetime.String()
	resp, err := b.host.Order(b.ctx, connect.NewRequest(m))
	if err != nil {
		b.t.Fatal(err)
	}
	return resp.Msg.GetResults()
}

func (b *fixture) start(task string) pb.Outcome {
	b.t.Helper()
	return b.order(&pb.OrderRequest{Starts: []*pb.StartTask{{Task: task, Run: 1}}})[0].GetOutcome()
}

func (b *fixture) stop(task string, run int64) pb.Outcome {
	b.t.Helper()
	return b.order(&pb.OrderRequest{Stops: []*pb.StopTask{{Task: task, Run: run}}})[0].GetOutcome()
}

// The planner takes a lease for lapsed one full lease after the newest report that it
// got. Whatever the worker's clock, nothing may run then.
func TestLeaseEndsBeforePlannerAssumesItLapsed(t *testing.T) {
	for _, slowness := range []float64{1, 1.01, 1.02} {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(t)
			b.executor.Slowness = slowness
			b.renewFor(3 * time.Second)
			if got := b.start("j.0.0.0"); got != pb.Outcome_OUTCOME_STARTED {
				t.Fatalf("start: %v", got)
			}
			b.renewFor(20 * time.Second)
			if got := len(b.executor.Running()); got != 1 {
				t.Fatalf("a renewed lease ended: %d tasks run, want 1", got)
			}
			newest, received := b.lastReport, b.receivedAt
			if err := b.watch(); err != nil { // It renews the lease, and its answer is lost.
				t.Fatal(err)
			}
			b.lastReport, b.receivedAt = newest, received
			time.Sleep(time.Until(b.receivedAt.Add(lease)))
			if got := b.executor.Running(); len(got) != 0 {
				t.Errorf("slowness %v: %v runs after the lease's end", slowness, got)
			}
		})
	}
}

func TestLeaseOfUnreachableWorkerLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.renewFor(3 * time.Second)
		b.start("j.0.0.0")
		b.executor.Silence(true)
		b.renewFor(lease + 4*time.Second)
		if got := b.lastReport.GetOver(); len(got) != 1 || got[0] != b.executor.Lifetime.String() {
			t.Errorf("lifetimes that are over: %v, want the worker's", got)
		}
	})
}

func TestOlderPlannerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.epoch = 2
		b.renewFor(time.Second)
		b.epoch = 1
		var got *connect.Error
		if err := b.watch(); !errors.As(err, &got) || got.Code() != connect.CodeFailedPrecondition {
			t.Errorf("watch of an older epoch: %v, want %v", err, connect.CodeFailedPrecondition)
		}
	})
}

func TestDrainingWorkerGetsNoNewTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.renewFor(3 * time.Second)
		beat := b.executor.Beat("s", "r1-1", 2)
		beat.Draining, beat.DrainRemaining = true, 2*time.Second
		b.host.Heartbeat(beat)
		late := b.executor.Beat("s", "r1-1", 3) // One that says ready must not undo it.
		b.host.Heartbeat(late)
		if got := b.start("j.0.0.0"); got != pb.Outcome_OUTCOME_REFUSED {
			t.Errorf("start on a draining worker: %v, want refused", got)
		}
		b.renewFor(time.Second)
		if !b.lastReport.GetWorker().GetDraining() {
			t.Error("the report doesn't say that the worker drains")
		}
	})
}

func TestStopReportsOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.renewFor(3 * time.Second)
		b.start("j.0.0.0")
		if got := b.stop("j.0.0.0", 1); got != pb.Outcome_OUTCOME_STOPPING {
			t.Errorf("stop of a running task: %v, want stopping, as its end is listed", got)
		}
		if got := b.stop("j.0.0.1", 1); got != pb.Outcome_OUTCOME_ABSENT {
			t.Errorf("stop of a run that never came: %v, want absent", got)
		}
		if got := b.start("j.0.0.1"); got == pb.Outcome_OUTCOME_STARTED {
			t.Error("a run that was stopped before it came started all the same")
		}
		b.executor.Silence(true)
		if got := b.stop("j.0.0.2", 1); got != pb.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("stop at a silent worker: %v, want unknown", got)
		}
	})
}

func TestHeartbeatsOfEarlierLifetimeAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.renewFor(time.Second)
		next := b.executor.Beat("s", "r1-1", 1)
		next.Lifetime = host.Lifetime{ID: "w", StartedUnixMS: 2}
		b.host.Heartbeat(next)
		b.host.Heartbeat(b.executor.Beat("s", "r1-1", 9)) // Delayed on its way.
		if err := b.watch(); err != nil {
			t.Fatal(err)
		}
		if got, want := b.lastReport.GetWorker().GetLifetime(), next.Lifetime.String(); got != want {
			t.Errorf("lifetime %s, want %s", got, want)
		}
	})
}

// An agent that has restarted doesn't know how far its earlier life renewed the lease.
// It must not take the lease of a worker that falls silent for lapsed before it has.
func TestRestartedAgentDoesNotAssumeLeaseLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.renewFor(3 * time.Second)
		b.start("j.0.0.0")
		b.renewFor(time.Second)
		ctx, stop := context.WithCancel(b.ctx)
		defer stop()
		b.host = &host.Agent{Name: "a", Worker: b.executor.Worker(), Incarnation: "2", MaxLease: lease}
		go b.host.Run(ctx)
		b.host.Heartbeat(b.executor.Beat("s", "r1-1", 2))
		if err := b.watch(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // For one look, before the new life has been granted a lease.
		b.executor.Silence(true)
		for range 3 * int(lease/time.Second) {
			b.renewFor(time.Second)
			over, runs := len(b.lastReport.GetOver()) > 0, len(b.executor.Running()) > 0
			if over && runs {
				t.Fatal("the worker's lifetime is reported as over, and its task runs")
			}
		}
		if len(b.lastReport.GetOver()) == 0 {
			t.Error("the lease was never known to have lapsed")
		}
	})
}
