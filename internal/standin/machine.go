package standin

import (
	"context"
	"fmt"
	"sync/atomic"

	"sniperill.example/sniperill/internal/host"
)

// Machine is where executors live one after the other, at one address. As on the platform, a
// call names the life that it is meant for by its id alone, so that it can reach a later life
// under the same id.
type Machine struct{ executor atomic.Pointer[Executor] }

// Executor returns the present life.
func (m *Machine) Executor() *Executor { return m.executor.Load() }

// SetExecutor begins a life.
func (m *Machine) SetExecutor(e *Executor) { m.executor.Store(e) }

// Worker returns the calls of whatever life is present.
func (m *Machine) Worker() host.Worker {
	return host.Worker{
		Poll: func(ctx context.Context, h host.PollRequest) (host.WorkerState, error) {
			e, err := m.executorFor(h.Lifetime)
			if err != nil {
				return host.WorkerState{}, err
			}
			h.Lifetime = e.Lifetime.String()
			return e.poll(ctx, h)
		},
		Start: func(ctx context.Context, s host.Start) error {
			e, err := m.executorFor(s.Lifetime)
			if err != nil {
				return err
			}
			s.Lifetime = e.Lifetime.String()
			return e.start(ctx, s)
		},
		Stop: func(ctx context.Context, s host.Stop) error {
			e, err := m.executorFor(s.Lifetime)
			if err != nil {
				return err
			}
			s.Lifetime = e.Lifetime.String()
			return e.stop(ctx, s)
		},
	}
}

// executorFor returns the present life if it has the id of the one that is named.
func (m *Machine) executorFor(lifetime string) (*Executor, error) {
	e := m.Executor()
	life, err := host.ParseLifetime(lifetime)
	if err != nil {
		return nil, err
	}
	if life.ID != e.Lifetime.ID {
		return nil, fmt.Errorf("standin.Machine: %w", host.ErrOtherLifetime)
	}
	return e, nil
}
