package agent

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// drainPollInterval is how often a leaving agent checks for tasks that still run.
const drainPollInterval = 200 * time.Millisecond

// newAllocator returns an allocator that calls the worker and the other agents.
func (a *Agent) newAllocator() *gang.Allocator {
	return &gang.Allocator{
		Name:         a.Place.Worker,
		Address:      a.Address,
		Incarnation:  a.Incarnation,
		Accelerators: a.Accelerators,
		Cores:        a.Cores,
		Memory:       a.Memory,
		Times:        a.Times,
		Log:          a.Log,
		Now:          a.Now,

		StartTask:      discardResponse(a.WorkerClient.StartTask),
		StopTask:       discardResponse(a.WorkerClient.StopTask),
		CheckpointTask: unwrap(a.WorkerClient.CheckpointTask),
		ThrottleTask:   discardResponse(a.WorkerClient.ThrottleTask),
		RenewTask:      discardResponse(a.WorkerClient.RenewTask),
		ListTasks:      unwrap(a.WorkerClient.ListTasks),

		RenewMember: func(ctx context.Context, m *sniperillv1.Member, r *sniperillv1.RenewRequest) (*sniperillv1.RenewResponse, error) {
			return peer.Call(ctx, a.Peers.Agent(m.Address).Renew, r)
		},
		ReleaseMember: func(ctx context.Context, m *sniperillv1.Member, r *sniperillv1.ReleaseRequest) (*sniperillv1.ReleaseResponse, error) {
			return peer.Call(ctx, a.Peers.Agent(m.Address).Release, r)
		},
		AbandonMember: func(ctx context.Context, m *sniperillv1.Member, r *sniperillv1.AbandonRequest) (*sniperillv1.AbandonResponse, error) {
			return peer.Call(ctx, a.Peers.Agent(m.Address).Abandon, r)
		},
	}
}

// method is the type of a method of a generated client.
type method[Req, Res any] func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

func unwrap[Req, Res any](m method[Req, Res]) func(context.Context, *Req) (*Res, error) {
	return func(ctx context.Context, r *Req) (*Res, error) { return peer.Call(ctx, m, r) }
}

func discardResponse[Req, Res any](m method[Req, Res]) func(context.Context, *Req) error {
	return func(ctx context.Context, r *Req) error {
		_, err := peer.Call(ctx, m, r)
		return err
	}
}

// drainTasks checkpoints and stops the preemptible tasks and waits for the others to
// end.
func (a *Agent) drainTasks(ctx context.Context) error {
	for {
		running := a.running()
		if len(running) == 0 {
			return nil
		}
		for _, t := range running {
			if !t.Preemptible {
				continue
			}
			_, err := a.allocator.Preempt(ctx, &sniperillv1.PreemptRequest{
				Attempt: t.Attempt,
				Grace:   durationpb.New(time.Duration(shop.DefaultGrace)),
			})
			if err != nil {
				a.Log.Warn().Err(err).Str("job", t.Attempt.GetJob()).Msg("Preempting a task failed.")
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("agent.Leave: %w: %w", ctx.Err(), newUnfinishedError(a.running()))
		case <-time.After(drainPollInterval):
		}
	}
}

// running returns the tasks that were started and have not ended.
func (a *Agent) running() []*sniperillv1.AgentTask {
	var out []*sniperillv1.AgentTask
	for _, t := range a.allocator.State().Tasks {
		if gang.TaskState(t.State) == gang.Running {
			out = append(out, t)
		}
	}
	return out
}

// UnfinishedError has the jobs that still ran when an agent stopped.
type UnfinishedError struct {
	Jobs []string
}

// Error returns a message that lists the jobs.
func (e *UnfinishedError) Error() string { return fmt.Sprintf("unfinished jobs: %v", e.Jobs) }

func newUnfinishedError(tasks []*sniperillv1.AgentTask) error {
	e := &UnfinishedError{}
	for _, t := range tasks {
		e.Jobs = append(e.Jobs, t.Attempt.GetJob())
	}
	return e
}
