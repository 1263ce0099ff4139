package standin

import (
	"context"
	"fmt"
	"sync/atomic"

	"sniperill.example/sniperill/internal/host"
)

// Machine is an address at which executors, the lifetimes of a worker, follow one another. As on the
// platform, a call names its lifetime only by the worker's id, so that it can reach a later lifetime
// with the same id.
type Machine struct{ executor atomic.Pointer[Executor] }

// Executor returns the current executor.
func (m *Machine) Executor() *Executor { return m.executor.Load() }

// SetExecutor replaces the current executor, which begins a new lifetime.
func (m *Machine) SetExecutor(e *Executor) { m.executor.Store(e) }

// Worker returns calls that reach the current executor.
func (m *Machine) Worker() host.Worker {
	return host.Worker{
		Poll: func(ctx context.Context, request host.PollRequest) (host.WorkerState, error) {
			e, err := m.executorFor(ctx, request.Lifetime)
			if err != nil {
				return host.WorkerState{}, err
			}
			request.Lifetime = e.Lifetime.String()
			return e.poll(ctx, request)
		},
		Start: func(ctx context.Context, s host.Start) error {
			e, err := m.executorFor(ctx, s.Lifetime)
			if err != nil {
				return err
			}
			s.Lifetime = e.Lifetime.String()
			return e.start(ctx, s)
		},
		Stop: func(ctx context.Context, s host.Stop) error {
			e, err := m.executorFor(ctx, s.Lifetime)
			if err != nil {
				return err
			}
			s.Lifetime = e.Lifetime.String()
			return e.stop(ctx, s)
		},
	}
}

// executorFor returns the current executor if it can be reached and the given lifetime has the same id.
func (m *Machine) executorFor(ctx context.Context, lifetime string) (*Executor, error) {
	e := m.Executor()
	if err := e.checkReachable(ctx); err != nil {
		return nil, err
	}
	parsed, err := host.ParseLifetime(lifetime)
	if err != nil {
		return nil, err
	}
	if parsed.ID != e.Lifetime.ID {
		return nil, fmt.Errorf("standin.Machine: %w", host.ErrOtherLifetime)
	}
	return e, nil
}
