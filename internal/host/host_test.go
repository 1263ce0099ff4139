package host_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
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

// lease is the longest lease, which the planner of the fixture grants with each call.
const lease = 10 * time.Second

// stopTimeout is the longest time that the worker takes to end its runs.
const stopTimeout = 200 * time.Millisecond

// fixture holds an agent and its worker, and acts as the planner that renews the lease.
type fixture struct {
	t          *testing.T
	ctx        context.Context
	agent      *host.Agent
	machine    standin.Machine
	executor   *standin.Executor // The one that runs on the machine.
	epoch      int64
	lastReport *pb.WatchResponse
	receivedAt time.Time
	maxEnded   int
	storedEnd  uint64 // Sent with each watch call.
	// onPoll, if set, makes the agent's polls in place of the worker's poll, which it is given.
	onPoll atomic.Pointer[func(ctx context.Context, r host.PollRequest, poll pollFunc) (host.WorkerState, error)]
}

// pollFunc is the Poll call of a worker.
type pollFunc = func(context.Context, host.PollRequest) (host.WorkerState, error)

// worker returns the calls to the current worker with onPoll applied.
func (f *fixture) worker() host.Worker {
	w := f.machine.Worker()
	poll := w.Poll
	w.Poll = func(ctx context.Context, r host.PollRequest) (host.WorkerState, error) {
		if onPoll := f.onPoll.Load(); onPoll != nil {
			return (*onPoll)(ctx, r, poll)
		}
		return poll(ctx, r)
	}
	return w
}

// setOnPoll sets onPoll.
func (f *fixture) setOnPoll(onPoll func(context.Context, host.PollRequest, pollFunc) (host.WorkerState, error)) {
	f.onPoll.Store(&onPoll)
}

func newFixture(t *testing.T) *fixture { return newFixtureWith(t, 0) }

// newFixtureWith returns a fixture whose worker lists a number of ended runs at a time; zero means no limit.
func newFixtureWith(t *testing.T, maxEnded int) *fixture {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		time.Sleep(3 * time.Second) // In virtual time; lets calls in progress end.
	})
	f := &fixture{t: t, ctx: ctx, epoch: 1, maxEnded: maxEnded}
	f.startExecutor(host.Lifetime{ID: "w", StartedUnixMS: 1})
	f.agent = &host.Agent{Name: "a", Worker: f.worker(), Incarnation: "1", MaxLease: lease, StopTimeout: stopTimeout}
	go f.agent.Run(ctx)
	f.heartbeat(f.executor.Heartbeat("s", "r1-1", 1))
	return f
}

// startExecutor replaces the worker by one in another lifetime.
func (f *fixture) startExecutor(l host.Lifetime) {
	f.executor = &standin.Executor{
		Lifetime:  l,
		MaxEnded:  f.maxEnded,
		Resources: workflow.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8},
		Requirements: func(string) (workflow.Resources, time.Duration) {
			return workflow.Resources{Accelerators: 2}, time.Minute
		},
	}
	f.machine.SetExecutor(f.executor)
}

// heartbeat delivers a heartbeat, and fails the test if it is taken for another worker's.
func (f *fixture) heartbeat(hb host.Heartbeat) {
	f.t.Helper()
	if err := f.agent.Heartbeat(f.ctx, hb); err != nil {
		f.t.Error(err)
	}
}

// watch makes one watch call that doesn't wait.
func (f *fixture) watch() error {
	m := &pb.WatchRequest{
		Epoch: f.epoch, Grant: durationpb.New(lease), Lifetime: f.executor.Lifetime.String(), StoredEnd: f.storedEnd,
	}
	if f.lastReport != nil {
		m.AgentLife, m.Report = f.lastReport.GetAgentLife(), f.lastReport.GetReport()
	}
	resp, err := f.agent.Watch(f.ctx, connect.NewRequest(m))
	if err == nil {
		f.lastReport, f.receivedAt = resp.Msg, time.Now()
	}
	return err
}

// renewFor renews the lease repeatedly for a duration.
func (f *fixture) renewFor(d time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if err := f.watch(); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fixture) order(m *pb.OrderRequest) []*pb.OrderResult {
	f.t.Helper()
	m.Epoch, m.Lifetime = f.epoch, f.executor.Lifetime.String()
	resp, err := f.agent.Order(f.ctx, connect.NewRequest(m))
	if err != nil {
		f.t.Fatal(err)
	}
	return resp.Msg.GetResults()
}

func (f *fixture) start(task string) pb.Outcome {
	f.t.Helper()
	return f.order(&pb.OrderRequest{Starts: []*pb.StartTask{{Task: task, Run: 1}}})[0].GetOutcome()
}

func (f *fixture) stop(task string, run int64) pb.Outcome {
	f.t.Helper()
	return f.order(&pb.OrderRequest{Stops: []*pb.StopTask{{Task: task, Run: run}}})[0].GetOutcome()
}

// The planner assumes that a lease has lapsed one full lease after the newest report that it
// received. Even if the worker's clock is slow, nothing may be running then.
func TestLeaseEndsBeforePlannerAssumesItLapsed(t *testing.T) {
	for _, slowness := range []float64{1, 1.01, 1.02} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.executor.ClockSlowdown = slowness
			f.renewFor(3 * time.Second)
			if got := f.start("j.0.0.0"); got != pb.Outcome_OUTCOME_STARTED {
				t.Fatalf("start: %v", got)
			}
			f.renewFor(20 * time.Second)
			if got := len(f.executor.Running()); got != 1 {
				t.Fatalf("after the lease was renewed: %d tasks are running, want 1", got)
			}
			newest, received := f.lastReport, f.receivedAt
			if err := f.watch(); err != nil { // It renews the lease, but its answer is lost.
				t.Fatal(err)
			}
			f.lastReport, f.receivedAt = newest, received
			time.Sleep(time.Until(f.receivedAt.Add(lease)))
			if got := f.executor.Running(); len(got) != 0 {
				t.Errorf("slowness %v: %v is running after the lease has ended", slowness, got)
			}
		})
	}
}

func TestLeaseOfUnreachableWorkerLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(3 * time.Second)
		f.start("j.0.0.0")
		f.executor.Silence(true)
		f.renewFor(lease + 4*time.Second)
		if got := f.lastReport.GetOver(); len(got) != 1 || got[0] != f.executor.Lifetime.String() {
			t.Errorf("ended lifetimes: %v, want only the worker's", got)
		}
	})
}

// A worker takes a moment to end its runs once its lease has lapsed. Its lifetime must not be reported as over
// before.
func TestLifetimeIsNotOverBeforeLapsedRunsHaveEnded(t *testing.T) {
	for _, slowness := range []float64{1, 1.02} {
		for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.executor.ClockSlowdown = slowness
				f.executor.StopTime = func() time.Duration { return stopTimeout }
				f.renewFor(3 * time.Second)
				f.start("j.0.0.0")
				f.renewFor(2 * time.Second)
				time.Sleep(offset)
				if err := f.watch(); err != nil {
					t.Fatal(err)
				}
				f.setOnPoll(func(ctx context.Context, r host.PollRequest, poll pollFunc) (host.WorkerState, error) {
					_, _ = poll(ctx, r) // The answer is lost.
					<-ctx.Done()
					return host.WorkerState{}, ctx.Err()
				})
				time.Sleep(2 * time.Second) // The next poll extends the lease to the end of that grant.
				for end := time.Now().Add(lease + 4*time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					if err := f.watch(); err != nil {
						t.Fatal(err)
					}
					if len(f.lastReport.GetOver()) > 0 {
						break
					}
				}
				if len(f.lastReport.GetOver()) == 0 {
					t.Error("the lifetime was never reported as over")
				}
				if got := f.executor.Running(); len(got) > 0 {
					t.Errorf("slowness %v, answers lost after %v: the lifetime is over, but %v is running", slowness, offset, got)
				}
			})
		}
	}
}

func TestOlderPlannerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.epoch = 2
		f.renewFor(time.Second)
		f.epoch = 1
		var got *connect.Error
		if err := f.watch(); !errors.As(err, &got) || got.Code() != connect.CodeFailedPrecondition {
			t.Errorf("watch with an older epoch: %v, want %v", err, connect.CodeFailedPrecondition)
		}
	})
}

func TestDrainingWorkerGetsNoNewTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(3 * time.Second)
		draining := f.executor.Heartbeat("s", "r1-1", 2)
		draining.Draining, draining.DrainRemaining = true, 2*time.Second
		f.heartbeat(draining)
		late := f.executor.Heartbeat("s", "r1-1", 3) // A heartbeat with state ready must not undo it.
		f.heartbeat(late)
		if got := f.start("j.0.0.0"); got != pb.Outcome_OUTCOME_REFUSED {
			t.Errorf("start on a draining worker: %v, want refused", got)
		}
		f.renewFor(time.Second)
		if !f.lastReport.GetWorker().GetDraining() {
			t.Error("the report doesn't say that the worker is draining")
		}
	})
}

func TestStopReportsOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(3 * time.Second)
		f.start("j.0.0.0")
		if got := f.stop("j.0.0.0", 1); got != pb.Outcome_OUTCOME_STOPPING {
			t.Errorf("stop of a running task: %v, want stopping, as its end is reported", got)
		}
		if got := f.stop("j.0.0.1", 1); got != pb.Outcome_OUTCOME_STOPPING {
			t.Errorf("stop of a run that was never started, while an earlier end isn't stored: %v, want stopping", got)
		}
		f.storedEnd = 1
		f.renewFor(time.Second)
		if got := f.stop("j.0.0.1", 1); got != pb.Outcome_OUTCOME_ABSENT {
			t.Errorf("stop of a run that was never started: %v, want absent", got)
		}
		if got := f.start("j.0.0.1"); got == pb.Outcome_OUTCOME_STARTED {
			t.Error("a run started although it had been stopped before")
		}
		f.executor.Silence(true)
		if got := f.stop("j.0.0.2", 1); got != pb.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("stop on a worker that doesn't answer: %v, want unknown", got)
		}
	})
}

func TestHeartbeatsOfEarlierLifetimeAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(time.Second)
		late := f.executor.Heartbeat("s", "r1-1", 9) // Delayed in the network.
		f.executor.Crash()
		f.startExecutor(host.Lifetime{ID: "w", StartedUnixMS: 2})
		f.heartbeat(f.executor.Heartbeat("s", "r1-1", 1))
		if err := f.agent.Heartbeat(f.ctx, late); !errors.Is(err, host.ErrOtherWorker) {
			t.Errorf("delayed heartbeat: %v, want %v", err, host.ErrOtherWorker)
		}
		f.wantLifetime(f.executor.Lifetime)
	})
}

func (f *fixture) wantLifetime(want host.Lifetime) {
	f.t.Helper()
	if err := f.watch(); err != nil {
		f.t.Fatal(err)
	}
	if got := f.lastReport.GetWorker().GetLifetime(); got != want.String() {
		f.t.Errorf("lifetime %s, want %s", got, want)
	}
}

// Another writer's heartbeats name the worker's own lifetime and have far higher numbers than its own.
func TestHighNumberOfAnotherWriterHidesNoHeartbeats(t *testing.T) {
	for _, odd := range [][]int64{{1 << 40}, {1 << 30, 1 << 40}, {1 << 40, 1 << 30}} {
		t.Run(fmt.Sprint(odd), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.renewFor(time.Second)
				number := int64(1)
				beatFor := func(n int, draining bool) {
					for range n {
						number++
						hb := f.executor.Heartbeat("s", "r1-1", number)
						hb.Draining, hb.DrainRemaining = draining, time.Minute
						f.heartbeat(hb)
						f.renewFor(time.Second)
					}
				}
				for _, o := range odd {
					f.heartbeat(f.executor.Heartbeat("other", "r1-1", o))
					beatFor(2, false)
				}
				beatFor(7, false)
				if got := f.lastReport.GetWorker().GetService(); got != "s" {
					t.Errorf("service %q, want that of the worker's own heartbeats, %q", got, "s")
				}
				beatFor(1, true)
				if !f.lastReport.GetWorker().GetDraining() {
					t.Error("the worker drains, and the report doesn't say so")
				}
			})
		})
	}
}

// Delayed heartbeats arrive among newer ones, also in the order of their numbers.
func TestDelayedHeartbeatsUndoNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		for n := int64(20); n < 40; n++ {
			f.heartbeat(f.executor.Heartbeat("s", "r1-1", n))
			f.renewFor(500 * time.Millisecond)
			for delayed := n - 18; delayed < n; delayed += 4 {
				f.heartbeat(f.executor.Heartbeat("before", "r1-1", delayed))
			}
			f.renewFor(500 * time.Millisecond)
			if got := f.lastReport.GetWorker().GetService(); got != "s" {
				t.Fatalf("after the heartbeat %d and earlier ones: service %q, want %q", n, got, "s")
			}
		}
	})
}

// Another writer's heartbeat announces a lifetime of a worker that runs on. The planner would take the
// worker's runs as ended and start them again elsewhere.
func TestHeartbeatOfAnotherWriterEndsNoLifetime(t *testing.T) {
	tests := []struct {
		name      string
		announced host.Lifetime
	}{
		{"another id", host.Lifetime{ID: "other", StartedUnixMS: 2}},
		{"the same id, started later", host.Lifetime{ID: "w", StartedUnixMS: 2}},
		{"the same id, without a start", host.Lifetime{ID: "w"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.renewFor(time.Second)
				f.start("j.0.0.0")
				odd := f.executor.Heartbeat("s", "r1-1", 5)
				odd.Lifetime = tt.announced
				if err := f.agent.Heartbeat(f.ctx, odd); !errors.Is(err, host.ErrOtherWorker) {
					t.Errorf("heartbeat: %v, want %v", err, host.ErrOtherWorker)
				}
				f.renewFor(2 * lease)
				f.wantLifetime(f.executor.Lifetime)
				if diff := cmp.Diff([]string{"j.0.0.0"}, f.executor.Running()); diff != "" {
					t.Errorf("running (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Another writer's heartbeat comes while the worker doesn't answer the check of it. Silence must not end the
// lifetime of a worker that runs on.
func TestUnconfirmedHeartbeatEndsNoLifetime(t *testing.T) {
	checks := []struct {
		name   string
		answer func(context.Context) error
	}{
		{"silence", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }},
		{"unhealthy", func(context.Context) error { return host.ErrUnhealthy }},
		{"a lost connection", func(context.Context) error { return io.ErrUnexpectedEOF }},
		{"fenced", func(context.Context) error { return host.ErrFenced }},
	}
	announced := []struct {
		name     string
		lifetime host.Lifetime
	}{
		{"another id, started later", host.Lifetime{ID: "other", StartedUnixMS: 2}},
		{"the same id, started later", host.Lifetime{ID: "w", StartedUnixMS: 2}},
		{"another id, started before", host.Lifetime{ID: "other"}},
	}
	for _, check := range checks {
		for _, tt := range announced {
			t.Run(check.name+", "+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t)
					f.renewFor(time.Second)
					f.start("j.0.0.0")
					f.setOnPoll(func(ctx context.Context, r host.PollRequest, poll pollFunc) (host.WorkerState, error) {
						if r.Probe {
							return host.WorkerState{}, check.answer(ctx)
						}
						return poll(ctx, r)
					})
					odd := f.executor.Heartbeat("s", "r1-1", 5)
					odd.Lifetime = tt.lifetime
					if err := f.agent.Heartbeat(f.ctx, odd); !errors.Is(err, host.ErrUnconfirmed) {
						t.Errorf("heartbeat: %v, want %v", err, host.ErrUnconfirmed)
					}
					f.renewFor(2 * lease)
					f.wantLifetime(f.executor.Lifetime)
					if got := f.lastReport.GetOver(); len(got) != 0 {
						t.Errorf("over: %v, want none, as the worker goes on", got)
					}
					if diff := cmp.Diff([]string{"j.0.0.0"}, f.executor.Running()); diff != "" {
						t.Errorf("running (-want +got):\n%s", diff)
					}
				})
			})
		}
	}
}

// The planner calls for the first time as the agent is about to wait for that.
func TestWorkerIsPolledOnceAPlannerCalls(t *testing.T) {
	for range 300 {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			if err := f.watch(); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if err := f.watch(); err != nil {
				t.Fatal(err)
			}
			if !f.lastReport.GetLooked() {
				t.Error("the worker was not polled at once")
			}
		})
	}
}

// A worker that has restarted doesn't answer at first. Its new lifetime counts from the first heartbeat that
// it confirms, and the one before is over then.
func TestRestartedWorkerIsUsedOnceItConfirms(t *testing.T) {
	for _, id := range []string{"w", "x"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.renewFor(time.Second)
			before := f.executor.Lifetime
			f.executor.Crash()
			f.startExecutor(host.Lifetime{ID: id, StartedUnixMS: 2})
			f.executor.Silence(true)
			sent := time.Now()
			if err := f.agent.Heartbeat(f.ctx, f.executor.Heartbeat("s", "r1-1", 1)); !errors.Is(err, host.ErrUnconfirmed) {
				t.Errorf("heartbeat of a silent worker: %v, want %v", err, host.ErrUnconfirmed)
			}
			if took := time.Since(sent); took >= time.Second {
				t.Errorf("the heartbeat was answered after %v; workers wait a second", took)
			}
			f.wantLifetime(before)
			f.executor.Silence(false)
			f.heartbeat(f.executor.Heartbeat("s", "r1-1", 2))
			f.wantLifetime(f.executor.Lifetime)
			if diff := cmp.Diff([]string{before.String()}, f.lastReport.GetOver()); diff != "" {
				t.Errorf("over (-want +got):\n%s", diff)
			}
			f.renewFor(time.Second)
			if got := f.start("j.0.0.0"); got != pb.Outcome_OUTCOME_STARTED {
				t.Errorf("start: %v, want started", got)
			}
		})
	}
}

// The agent is paused between the worker's answer and its use. By then the worker has restarted, and the new
// lifetime was announced and confirmed.
func TestOutdatedConfirmationEndsNoLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(time.Second)
		f.executor.Crash()
		f.startExecutor(host.Lifetime{ID: "x", StartedUnixMS: 2})
		paused := make(chan struct{})
		f.setOnPoll(func(ctx context.Context, r host.PollRequest, poll pollFunc) (host.WorkerState, error) {
			state, err := poll(ctx, r)
			if r.Lifetime == "x@2" {
				<-paused
			}
			return state, err
		})
		outdated := f.executor.Heartbeat("s", "r1-1", 1)
		result := make(chan error)
		go func() { result <- f.agent.Heartbeat(f.ctx, outdated) }()
		time.Sleep(100 * time.Millisecond)
		f.executor.Crash()
		f.startExecutor(host.Lifetime{ID: "y", StartedUnixMS: 3})
		f.heartbeat(f.executor.Heartbeat("s", "r1-1", 1))
		f.renewFor(time.Second)
		f.start("j.0.0.0")
		close(paused)
		if err := <-result; !errors.Is(err, host.ErrOtherWorker) {
			t.Errorf("heartbeat of the lifetime before: %v, want %v", err, host.ErrOtherWorker)
		}
		f.renewFor(time.Second)
		f.wantLifetime(f.executor.Lifetime)
		if diff := cmp.Diff([]string{"w@1"}, f.lastReport.GetOver()); diff != "" {
			t.Errorf("over (-want +got):\n%s", diff)
		}
	})
}

// A poll of the lifetime before ends once the worker is in the next one. It says nothing about that.
func TestPollOfEarlierLifetimeIsIgnored(t *testing.T) {
	for _, tt := range []struct {
		name string
		next string // The id of the next lifetime.
		err  error  // With which the poll ends.
	}{
		{"it fails", "x", io.ErrUnexpectedEOF},
		{"it fails, the same id", "w", io.ErrUnexpectedEOF},
		{"it is answered, the same id", "w", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.renewFor(time.Second)
				f.setOnPoll(func(ctx context.Context, r host.PollRequest, poll pollFunc) (host.WorkerState, error) {
					if r.Lifetime == "w@1" {
						time.Sleep(time.Second)
						return host.WorkerState{Lifetime: "w@1"}, tt.err
					}
					return poll(ctx, r)
				})
				time.Sleep(1500 * time.Millisecond) // Such a poll is in progress.
				f.executor.Crash()
				f.startExecutor(host.Lifetime{ID: tt.next, StartedUnixMS: 2})
				f.heartbeat(f.executor.Heartbeat("s", "r1-1", 1))
				for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					if err := f.watch(); err != nil {
						t.Fatal(err)
					}
					if f.lastReport.GetUnreachable() {
						t.Fatal("the worker is reported as unreachable, but answers in its lifetime")
					}
				}
			})
		})
	}
}

// A worker restarts after its time of day has jumped back, so that its new lifetime seems to be older
// than the one before.
func TestWorkerWhoseClockJumpedBackIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.startExecutor(host.Lifetime{ID: "x", StartedUnixMS: 5000})
		f.heartbeat(f.executor.Heartbeat("s", "r1-1", 1))
		f.renewFor(time.Second)
		f.executor.Crash()
		f.startExecutor(host.Lifetime{ID: "y", StartedUnixMS: 3000})
		f.heartbeat(f.executor.Heartbeat("s", "r1-1", 1))
		f.renewFor(time.Second)
		f.wantLifetime(f.executor.Lifetime)
		if got := f.start("j.0.0.0"); got != pb.Outcome_OUTCOME_STARTED {
			t.Errorf("start: %v", got)
		}
	})
}

// An agent that has restarted doesn't know how far its earlier incarnation renewed the lease.
// If the worker stops answering, the agent must not assume too early that the lease has lapsed.
func TestRestartedAgentDoesNotAssumeLeaseLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(3 * time.Second)
		f.start("j.0.0.0")
		f.renewFor(time.Second)
		ctx, stop := context.WithCancel(f.ctx)
		defer stop()
		f.agent = &host.Agent{Name: "a", Worker: f.executor.Worker(), Incarnation: "2", MaxLease: lease}
		go f.agent.Run(ctx)
		f.heartbeat(f.executor.Heartbeat("s", "r1-1", 2))
		if err := f.watch(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // For one poll, before the new incarnation has been granted a lease.
		f.executor.Silence(true)
		for range 3 * int(lease/time.Second) {
			f.renewFor(time.Second)
			over, running := len(f.lastReport.GetOver()) > 0, len(f.executor.Running()) > 0
			if over && running {
				t.Fatal("the worker's lifetime is reported as over, but its task is running")
			}
		}
		if len(f.lastReport.GetOver()) == 0 {
			t.Error("the worker's lifetime was never reported as over")
		}
	})
}

// Starts are carried out only while the planner counts on the lease that they were sent under, whatever
// lease is in force when they arrive.
func TestStartsOfOldOrdersAreRefused(t *testing.T) {
	const grant = 4 * time.Second
	tests := []struct {
		name  string
		after time.Duration // How long after the report the order arrives.
		life  string
		want  pb.Outcome
	}{
		{"in time", 3 * time.Second, "1", pb.Outcome_OUTCOME_STARTED},
		{"after the grant's end", 4 * time.Second, "1", pb.Outcome_OUTCOME_REFUSED},
		{"for another incarnation of the agent", time.Second, "0", pb.Outcome_OUTCOME_REFUSED},
		{"of a planner that names no report", 4 * time.Second, "", pb.Outcome_OUTCOME_STARTED},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.renewFor(3 * time.Second)
				m := &pb.OrderRequest{
					AgentLife: tt.life, Report: f.lastReport.GetReport(), Grant: durationpb.New(grant),
					Starts: []*pb.StartTask{{Task: "j.0.0.0", Run: 1}},
				}
				sent := f.receivedAt
				f.renewFor(tt.after - time.Since(sent))
				time.Sleep(tt.after - time.Since(sent))
				if got := f.order(m)[0].GetOutcome(); got != tt.want {
					t.Errorf("start: %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// Until the worker has answered a restarted agent, the planner may give up what it orders.
func TestStartsOrderedBeforeFirstAnswerAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.executor.Silence(true)
		f.renewFor(2 * time.Second)
		before := &pb.OrderRequest{
			AgentLife: "1", Report: f.lastReport.GetReport(), Grant: durationpb.New(lease),
			Starts: []*pb.StartTask{{Task: "j.0.0.0", Run: 1}},
		}
		f.executor.Silence(false)
		f.renewFor(2 * time.Second)
		if got := f.order(before)[0].GetOutcome(); got != pb.Outcome_OUTCOME_REFUSED {
			t.Errorf("start ordered before the worker answered: %v, want refused", got)
		}
		after := &pb.OrderRequest{
			AgentLife: "1", Report: f.lastReport.GetReport(), Grant: durationpb.New(lease),
			Starts: []*pb.StartTask{{Task: "j.0.0.0", Run: 2}},
		}
		if got := f.order(after)[0].GetOutcome(); got != pb.Outcome_OUTCOME_STARTED {
			t.Errorf("start ordered since: %v, want started", got)
		}
	})
}

// A worker that was only silent goes on in its lifetime after its lease has lapsed. It must get tasks
// again, but none that were ordered before.
func TestWorkerIsUsedAgainAfterItsLeaseLapsed(t *testing.T) {
	tests := []struct {
		name     string
		restarts bool // The agent restarts after the lapse.
	}{
		{"the same agent", false},
		{"a restarted agent", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.renewFor(3 * time.Second)
				f.start("j.0.0.0")
				before := f.lastReport.GetReport()
				f.executor.Silence(true)
				f.renewFor(lease + 4*time.Second)
				f.heartbeat(f.executor.Heartbeat("s", "r1-1", 2))
				if err := f.watch(); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff([]string{f.executor.Lifetime.String()}, f.lastReport.GetOver()); diff != "" {
					t.Errorf("while the worker doesn't answer: over (-want +got):\n%s", diff)
				}
				f.executor.Silence(false)
				if tt.restarts {
					ctx, stop := context.WithCancel(f.ctx)
					defer stop()
					f.agent = &host.Agent{Name: "a", Worker: f.machine.Worker(), Incarnation: "2", MaxLease: lease}
					go f.agent.Run(ctx)
				}
				f.heartbeat(f.executor.Heartbeat("s", "r1-1", 3))
				f.renewFor(time.Second)
				f.wantLifetime(f.executor.Lifetime)
				if got := f.lastReport.GetOver(); len(got) != 0 {
					t.Errorf("over: %v, want none, as the worker goes on", got)
				}
				late := &pb.OrderRequest{
					AgentLife: "1", Report: before, Grant: durationpb.New(time.Minute),
					Starts: []*pb.StartTask{{Task: "j.0.0.1", Run: 1}},
				}
				if got := f.order(late)[0].GetOutcome(); got != pb.Outcome_OUTCOME_REFUSED {
					t.Errorf("start ordered before the lapse: %v, want refused", got)
				}
				if got := f.start("j.0.0.2"); got != pb.Outcome_OUTCOME_STARTED {
					t.Errorf("start: %v, want started", got)
				}
				f.renewFor(2 * lease)
				if diff := cmp.Diff([]string{"j.0.0.2"}, f.executor.Running()); diff != "" {
					t.Errorf("running (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A worker lists only so many ended runs at a time. One that is not among them may have ended, and its end
// will be listed.
func TestStopOfRunBeyondListedEndsIsNotAbsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, 1)
		f.renewFor(3 * time.Second)
		for _, task := range []string{"j.0.0.0", "j.0.0.1"} {
			f.start(task)
		}
		f.renewFor(time.Minute + 2*time.Second) // Both end.
		if got := f.stop("j.0.0.1", 1); got != pb.Outcome_OUTCOME_STOPPING {
			t.Errorf("stop of a run that has ended and is not listed yet: %v, want stopping", got)
		}
		if !f.lastReport.GetMoreEnded() {
			t.Error("the report doesn't say that there may be more ended runs")
		}
	})
}

// The announcement that a worker shuts down names its id only. One of an earlier lifetime that arrives late
// must not make a refused connection end the current one. A worker that leaves may still be running its tasks
// as it doesn't answer: that it has ended is shown by a refused connection, or by its lease.
func TestLeftWorkerIsOverOnceNothingListens(t *testing.T) {
	fail := func(err error) func(*fixture) {
		return func(f *fixture) {
			f.setOnPoll(func(context.Context, host.PollRequest, pollFunc) (host.WorkerState, error) {
				return host.WorkerState{}, err
			})
		}
	}
	tests := []struct {
		name   string
		drains bool
		then   func(*fixture)
		// When the lifetime is over, at the earliest and at the latest.
		earliest, latest time.Duration
	}{
		{"drains, nothing listens", true, func(f *fixture) { f.executor.Crash() }, 0, time.Second},
		{"doesn't drain, nothing listens", false, func(f *fixture) { f.executor.Crash() }, 4 * time.Second, lease + 4*time.Second},
		{"drains, silence", true, func(f *fixture) { f.executor.Silence(true) }, 4 * time.Second, lease + 4*time.Second},
		{"drains, a lost connection", true, fail(io.ErrUnexpectedEOF), 4 * time.Second, lease + 4*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.renewFor(3 * time.Second)
				f.start("j.0.0.0")
				hb := f.executor.Heartbeat("s", "r1-1", 2)
				hb.Draining, hb.DrainRemaining = tt.drains, time.Second
				f.heartbeat(hb)
				f.renewFor(time.Second)
				f.agent.Leave("w")
				tt.then(f)
				left := time.Now()
				for len(f.lastReport.GetOver()) == 0 && time.Since(left) <= tt.latest {
					f.renewFor(100 * time.Millisecond)
				}
				if took := time.Since(left); took < tt.earliest || took > tt.latest {
					t.Errorf("the lifetime is over after %v, want %v to %v", took, tt.earliest, tt.latest)
				}
				if got := f.executor.Running(); len(got) > 0 {
					t.Errorf("the lifetime is over, but %v is running", got)
				}
			})
		})
	}
}

// A run is absent only once the ends of all runs that ended before its stop have been seen. How many ended runs
// a worker lists says nothing: any list may be cut.
func TestStopIsAbsentOnceAllEndsAreSeen(t *testing.T) {
	for _, listed := range []int{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixtureWith(t, listed)
			f.executor.CutsSilently = true
			f.renewFor(3 * time.Second)
			tasks := []string{"j.0.0.0", "j.0.0.1", "j.0.0.2", "j.0.0.3"}
			for _, task := range tasks {
				f.start(task)
			}
			f.renewFor(time.Minute + 2*time.Second) // All end.
			for i := range tasks {
				if got := f.stop("never.0.0.0", 1); got != pb.Outcome_OUTCOME_STOPPING {
					t.Fatalf("%d listed at a time, %d ends stored: stop of a run that never started: %v, want stopping", listed, i, got)
				}
				if got := f.stop(tasks[3], 1); got != pb.Outcome_OUTCOME_STOPPING {
					t.Fatalf("%d listed at a time, %d ends stored: stop of a run that has ended: %v, want stopping", listed, i, got)
				}
				f.storedEnd++
				f.renewFor(2 * time.Second)
			}
			result := f.order(&pb.OrderRequest{Stops: []*pb.StopTask{{Task: "never.0.0.0", Run: 1}}})[0]
			if result.GetOutcome() != pb.Outcome_OUTCOME_ABSENT || !result.GetEndsSeen() {
				t.Errorf("%d listed at a time, all ends stored: stop of a run that never started: %v", listed, result)
			}
		})
	}
}

// A worker refuses all stops. A run that it doesn't list is absent only once no start of it can come any more, and one
// that it lists never is.
func TestRefusedStopIsAbsentOnceNoStartCanCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.agent.Worker.Stop = func(context.Context, host.Stop) error { return host.ErrUnhealthy }
		f.renewFor(3 * time.Second)
		f.start("there.0.0.0")
		first := time.Now()
		for time.Since(first) < 25*time.Second {
			if got := f.stop("there.0.0.0", 1); got != pb.Outcome_OUTCOME_UNKNOWN {
				t.Fatalf("%v after the first stop: stop of a run that goes on: %v, want unknown", time.Since(first), got)
			}
			sent := time.Since(first)
			switch got := f.stop("never.0.0.0", 1); {
			case sent < 15*time.Second && got != pb.Outcome_OUTCOME_UNKNOWN:
				t.Fatalf("%v after the first stop: stop of a run that may still start: %v, want unknown", sent, got)
			case sent > 17*time.Second && got != pb.Outcome_OUTCOME_ABSENT:
				t.Fatalf("%v after the first stop: stop of a run that can't start any more: %v, want absent", sent, got)
			}
			f.renewFor(300 * time.Millisecond)
		}
	})
}

// On a worker on which runs end all the time, its list of ended runs is never empty. A later end shows that
// those before it have been seen.
func TestStopIsAbsentOnBusyWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(3 * time.Second)
		f.start("j.0.0.0")
		f.renewFor(30 * time.Second)
		f.start("j.0.0.1")
		f.renewFor(31 * time.Second) // The first one ends, and its end is not stored.
		if got := f.stop("never.0.0.0", 1); got != pb.Outcome_OUTCOME_STOPPING {
			t.Fatalf("stop while an earlier end may be missing: %v, want stopping", got)
		}
		f.renewFor(31 * time.Second) // The other one ends.
		if got := f.stop("never.0.0.0", 1); got != pb.Outcome_OUTCOME_ABSENT {
			t.Errorf("stop after an end that followed the first stop: %v, want absent", got)
		}
	})
}

// A start is called settled although an attempt of it was not answered, and takes effect in the worker's next lifetime.
func TestStartWithoutAnswerIsNotSettled(t *testing.T) {
	lost := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	refused := func(context.Context) error { return host.ErrRefused }
	tests := []struct {
		name     string
		attempts []func(context.Context) error // The others reach the worker.
		life     string
		want     pb.Outcome
		settled  bool
	}{
		{"answered", nil, "1", pb.Outcome_OUTCOME_STARTED, true},
		{"answered at the second attempt", []func(context.Context) error{lost}, "1", pb.Outcome_OUTCOME_STARTED, false},
		{"not answered", []func(context.Context) error{lost, lost}, "1", pb.Outcome_OUTCOME_UNKNOWN, false},
		{"refused", []func(context.Context) error{refused}, "1", pb.Outcome_OUTCOME_ABSENT, true},
		{"refused at the second attempt", []func(context.Context) error{lost, refused}, "1", pb.Outcome_OUTCOME_UNKNOWN, false},
		{"not sent by this process", nil, "0", pb.Outcome_OUTCOME_REFUSED, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				start := f.agent.Worker.Start
				f.agent.Worker.Start = func(ctx context.Context, s host.Start) error {
					if len(tt.attempts) > 0 {
						answer := tt.attempts[0]
						tt.attempts = tt.attempts[1:]
						return answer(ctx)
					}
					return start(ctx, s)
				}
				f.renewFor(3 * time.Second)
				got := f.order(&pb.OrderRequest{
					Agent: "a", AgentLife: tt.life, Report: f.lastReport.GetReport(), Grant: durationpb.New(lease),
					Starts: []*pb.StartTask{{Task: "j.0.0.0", Run: 1}},
				})[0]
				if got.GetOutcome() != tt.want || got.GetSettled() != tt.settled {
					t.Errorf("start: %v, want %v, settled: %v", got, tt.want, tt.settled)
				}
			})
		})
	}
}

// A worker restarts under its id while a start is on its way, and the start is not answered. The repeat would be
// taken by the new lifetime, with a lease end on the clock of the one before.
func TestStartIsNotRepeatedInNextLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(3 * time.Second)
		f.executor.Silence(true)
		outcome := make(chan *pb.OrderResult)
		order := &pb.OrderRequest{Epoch: f.epoch, Lifetime: f.executor.Lifetime.String(), Starts: []*pb.StartTask{{Task: "j.0.0.0", Run: 1}}}
		go func() {
			resp, err := f.agent.Order(f.ctx, connect.NewRequest(order))
			if err != nil {
				t.Error(err)
			}
			outcome <- resp.Msg.GetResults()[0]
		}()
		time.Sleep(100 * time.Millisecond)
		f.startExecutor(host.Lifetime{ID: "w", StartedUnixMS: 2})
		f.heartbeat(f.executor.Heartbeat("s", "r1-1", 1))
		if result := <-outcome; result.GetOutcome() != pb.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("start that the worker didn't answer before it restarted: %v, want unknown", result)
		}
		if got := f.executor.Running(); len(got) != 0 {
			t.Errorf("the new lifetime runs %v, want nothing", got)
		}
	})
}

// A call for the agent that had this one's address before must change nothing. Planners of earlier versions
// name no agent.
func TestCallForAnotherAgentChangesNothing(t *testing.T) {
	tests := []struct {
		agent string
		want  connect.Code // Zero if the call succeeds.
	}{
		{"a", 0},
		{"", 0},
		{"b", connect.CodeFailedPrecondition},
		{"A", connect.CodeFailedPrecondition},
	}
	for _, tt := range tests {
		t.Run(tt.agent, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.renewFor(2 * time.Second)
				_, watchErr := f.agent.Watch(f.ctx, connect.NewRequest(&pb.WatchRequest{
					Epoch: f.epoch + 1, Agent: tt.agent, AgentLife: "1", Report: f.lastReport.GetReport(),
					Grant: durationpb.New(lease), Lifetime: f.executor.Lifetime.String(), StoredEnd: 5,
				}))
				time.Sleep(2 * time.Second) // Until no poll has the epoch before, for which the worker would fail it.
				_, orderErr := f.agent.Order(f.ctx, connect.NewRequest(&pb.OrderRequest{
					Epoch: f.epoch + 1, Agent: tt.agent, Lifetime: f.executor.Lifetime.String(),
					Starts: []*pb.StartTask{{Task: "t", Run: 1}}, Stops: []*pb.StopTask{{Task: "u", Run: 1}},
				}))
				for _, err := range []error{watchErr, orderErr} {
					var got connect.Code
					if err != nil {
						got = connect.CodeOf(err)
					}
					if got != tt.want {
						t.Errorf("call for agent %q: %v, want code %v", tt.agent, err, tt.want)
					}
				}
				f.lastReport = nil
				if err := f.watch(); (err == nil) != (tt.want != 0) {
					t.Errorf("after the call for agent %q, a call with the epoch before: %v", tt.agent, err)
				}
				if started := len(f.executor.Running()) > 0; started != (tt.want == 0) {
					t.Errorf("after the call for agent %q, the worker runs %v", tt.agent, f.executor.Running())
				}
			})
		})
	}
}

// An order is delivered twice, and what it asks for is refused once only by then. Whichever answer the planner
// gets, it must be true.
func TestRepeatedOrderHasOneResult(t *testing.T) {
	drain := func(f *fixture) {
		hb := f.executor.Heartbeat("s", "r1-1", 2)
		hb.Draining, hb.DrainRemaining = true, time.Minute
		f.heartbeat(hb)
	}
	tests := []struct {
		name          string
		before, after func(*fixture) // Called before the first delivery, and before the second one.
		want          pb.Outcome
	}{
		{"refused at first", func(*fixture) {}, func(f *fixture) { f.renewFor(3 * time.Second) }, pb.Outcome_OUTCOME_REFUSED},
		{"started at first", func(f *fixture) { f.renewFor(3 * time.Second) }, drain, pb.Outcome_OUTCOME_STARTED},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				tt.before(f)
				first := f.start("t")
				tt.after(f)
				second := f.start("t")
				if first != tt.want || second != tt.want {
					t.Errorf("start: %v, then %v, want %v twice", first, second, tt.want)
				}
				if started := len(f.executor.Running()) > 0; started != (tt.want == pb.Outcome_OUTCOME_STARTED) {
					t.Errorf("after the outcome %v, the worker runs %v", tt.want, f.executor.Running())
				}
			})
		})
	}
}

// A stopped run ends only after its stop was accepted, and its end is not in the worker's list yet, which is cut.
func TestStopIsNotAbsentWhileItsEndIsNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, 1)
		f.executor.CutsSilently = true
		stopTime := 50 * time.Millisecond
		f.executor.StopTime = func() time.Duration { return stopTime }
		f.renewFor(3 * time.Second)
		for _, task := range []string{"j.0.0.0", "j.0.0.1"} {
			f.start(task)
		}
		f.stop("j.0.0.0", 1)
		stopTime = 100 * time.Millisecond
		if got := f.stop("j.0.0.1", 1); got != pb.Outcome_OUTCOME_STOPPING {
			t.Errorf("stop of a run that is running: %v, want stopping", got)
		}
		time.Sleep(150 * time.Millisecond) // Both end, and the worker lists the first one's end.
		if got := f.stop("j.0.0.1", 1); got != pb.Outcome_OUTCOME_STOPPING {
			t.Errorf("stop of a run that has ended since the first stop and is not listed: %v, want stopping", got)
		}
	})
}

// A worker restarts under its id after it has accepted a stop and before the look that follows. The next lifetime knows
// of no stop, and may still carry out the start.
func TestStopInEarlierLifetimeIsNotAbsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(3 * time.Second)
		var restarted atomic.Bool
		f.setOnPoll(func(ctx context.Context, r host.PollRequest, poll pollFunc) (host.WorkerState, error) {
			if !r.Probe && r.Wait == 0 && r.LeaseEnd == 0 && restarted.CompareAndSwap(false, true) {
				f.executor.Crash()
				f.startExecutor(host.Lifetime{ID: "w", StartedUnixMS: 2})
				f.heartbeat(f.executor.Heartbeat("s", "r1-1", 1))
			}
			return poll(ctx, r)
		})
		if got := f.stop("j.0.0.0", 1); !restarted.Load() || got == pb.Outcome_OUTCOME_ABSENT {
			t.Errorf("restarted after the stop: %v; stop: %v, want anything but absent", restarted.Load(), got)
		}
	})
}

// An order that an agent has carried out is delivered again once its process has restarted. The new process doesn't
// know whether the start was sent.
func TestRestartedAgentDoesNotTellThatStartWasNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(3 * time.Second)
		order := &pb.OrderRequest{
			Epoch: f.epoch, Lifetime: f.executor.Lifetime.String(), Agent: "a", AgentLife: "1",
			Report: f.lastReport.GetReport(), Grant: durationpb.New(lease),
			Starts: []*pb.StartTask{{Task: "j.0.0.0", Run: 1}},
		}
		if got := f.order(order)[0]; got.GetOutcome() != pb.Outcome_OUTCOME_STARTED {
			t.Fatalf("start: %v, want started", got)
		}
		next := &host.Agent{Name: "a", Worker: f.worker(), Incarnation: "2", MaxLease: lease, StopTimeout: stopTimeout}
		go next.Run(f.ctx)
		resp, err := next.Order(f.ctx, connect.NewRequest(order))
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.Msg.GetResults()[0]; got.GetUnsent() {
			t.Errorf("the same start at the next process: %v, want it not to be called unsent", got)
		}
	})
}

// The process before has carried out a start. It is delivered again to the next one, after a stop of its run, which
// the worker has not answered.
func TestRestartedAgentDoesNotTellThatStoppedStartWasNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.renewFor(3 * time.Second)
		order := &pb.OrderRequest{
			Agent: "a", AgentLife: "1", Report: f.lastReport.GetReport(), Grant: durationpb.New(lease),
			Starts: []*pb.StartTask{{Task: "j.0.0.0", Run: 1}},
		}
		if got := f.order(order)[0]; got.GetOutcome() != pb.Outcome_OUTCOME_STARTED {
			t.Fatalf("start: %v, want started", got)
		}
		f.agent = &host.Agent{Name: "a", Worker: f.worker(), Incarnation: "2", MaxLease: lease, StopTimeout: stopTimeout}
		go f.agent.Run(f.ctx)
		f.heartbeat(f.executor.Heartbeat("s", "r1-1", 2))
		f.executor.Silence(true)
		if got := f.stop("j.0.0.0", 1); got != pb.Outcome_OUTCOME_UNKNOWN {
			t.Fatalf("stop: %v, want unknown", got)
		}
		if got := f.order(order)[0]; got.GetOutcome() == pb.Outcome_OUTCOME_STARTED || got.GetUnsent() {
			t.Errorf("the same start at the next process: %v, want it neither started nor called unsent", got)
		}
		if diff := cmp.Diff([]string{"j.0.0.0"}, f.executor.Running()); diff != "" {
			t.Errorf("running (-want +got):\n%s", diff)
		}
	})
}

// A worker refuses a start and its stop, so nothing shows whether the run is there. A planner of an earlier version,
// which names no agent, takes a refused run as over.
func TestEarlierPlannerIsNotToldOfUnprovenRefusal(t *testing.T) {
	tests := []struct {
		agent string
		want  pb.Outcome
	}{
		{"a", pb.Outcome_OUTCOME_REFUSED},
		{"", pb.Outcome_OUTCOME_UNKNOWN},
	}
	for _, tt := range tests {
		t.Run(tt.agent, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.renewFor(3400 * time.Millisecond)
				lifetime := f.executor.Lifetime.String()
				f.startExecutor(host.Lifetime{ID: "other", StartedUnixMS: 2})
				resp, err := f.agent.Order(f.ctx, connect.NewRequest(&pb.OrderRequest{
					Epoch: f.epoch, Lifetime: lifetime, Agent: tt.agent, AgentLife: "1",
					Report: f.lastReport.GetReport(), Grant: durationpb.New(lease),
					Starts: []*pb.StartTask{{Task: "j.0.0.0", Run: 1}},
				}))
				if err != nil {
					t.Fatal(err)
				}
				if got := resp.Msg.GetResults()[0]; got.GetOutcome() != tt.want || got.GetUnsent() {
					t.Errorf("start of a planner that calls the agent %q: %v, want %v", tt.agent, got, tt.want)
				}
			})
		})
	}
}

// A start is held up on its way to the agent, or to the worker, until a stop has shown that the run never ran. By
// then the worker has restarted under its id, and knows of no stop.
func TestStartAfterStopReachesNoRestartedWorker(t *testing.T) {
	for _, atWorker := range []bool{false, true} {
		t.Run(fmt.Sprint("held up on the way to the worker ", atWorker), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				lost := make(chan struct{})
				start := f.agent.Worker.Start
				f.agent.Worker.Start = func(ctx context.Context, s host.Start) error {
					select {
					case <-lost:
					case <-ctx.Done():
					}
					if ctx.Err() != nil { // Such a call is not sent.
						return ctx.Err()
					}
					return start(ctx, s)
				}
				f.renewFor(3 * time.Second)
				order := &pb.OrderRequest{
					Epoch: f.epoch, Lifetime: f.executor.Lifetime.String(), AgentLife: "1", Report: f.lastReport.GetReport(),
					Grant: durationpb.New(lease), Starts: []*pb.StartTask{{Task: "t", Run: 1}},
				}
				answered := make(chan struct{})
				deliver := func() {
					if _, err := f.agent.Order(f.ctx, connect.NewRequest(order)); err != nil {
						t.Error(err)
					}
					close(answered)
				}
				if atWorker {
					go deliver()
					synctest.Wait()
				}
				if got := f.stop("t", 1); got != pb.Outcome_OUTCOME_ABSENT {
					t.Fatalf("stop: %v, want absent", got)
				}
				close(lost)
				f.startExecutor(host.Lifetime{ID: "w", StartedUnixMS: 2})
				if !atWorker {
					deliver()
				}
				<-answered
				if got := f.executor.Running(); len(got) != 0 {
					t.Errorf("the restarted worker runs %v", got)
				}
			})
		})
	}
}
