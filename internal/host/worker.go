package host

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"sniperill.example/sniperill/pkg/workflow"
)

// What a worker may say to an order. Any other error leaves the outcome open.
var (
	// ErrRefused says that the worker turned the start down for good.
	ErrRefused = errors.New("start refused")
	// ErrUnhealthy says that the worker did nothing and may later.
	ErrUnhealthy = errors.New("worker unhealthy")
	// ErrOtherLifetime says that the worker has started anew since.
	ErrOtherLifetime = errors.New("worker has another lifetime")
	// ErrFenced says that the worker has seen a higher epoch.
	ErrFenced = errors.New("order fenced by a higher epoch")
)

// Worker is the calls of the worker beside the agent.
type Worker struct {
	// Poll renews the lease and looks at what runs and what ended.
	Poll  func(context.Context, PollRequest) (WorkerState, error)
	Start func(context.Context, Start) error
	// Stop ends a run. Afterwards neither it nor a lower one can start.
	Stop func(context.Context, Stop) error
}

// PollRequest renews the worker's lease.
type PollRequest struct {
	Lifetime string
	Epoch    int64
	// AckedEnd is the number up to which the worker may forget ends.
	AckedEnd uint64
	// LeaseEnd is the lease's end on the worker's clock, zero to leave it.
	LeaseEnd time.Duration
	// Wait is how long to wait for an end.
	Wait time.Duration
}

// WorkerState is what a worker shows of itself.
type WorkerState struct {
	Lifetime string
	// Clock is the worker's own time.
	Clock   time.Duration
	Running []Running
	Ended   []Ended
}

// Running is a task that runs or is being stopped.
type Running struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
}

// End says how a run ended.
type End int

// Ends of a run.
const (
	Done    End = iota + 1
	Failed      // By its own fault or the worker's.
	Stopped     // On an order.
	Lapsed      // With the lease.
	Broken      // Another member of the gang ended.
	Alone       // The other members of the gang didn't come.
)

// Ended is a run that is over.
type Ended struct {
	Number     uint64
	Task       string
	Run        int
	End        End
	Checkpoint string
}

// Start tells the worker to start a run.
type Start struct {
	Lifetime   string
	Epoch      int64
	Task       string
	Run        int
	Payload    string
	Checkpoint string
	LeaseEnd   time.Duration // The lease's end on the worker's clock.
}

// Stop tells the worker to stop a run.
type Stop struct {
	Lifetime string
	Epoch    int64
	Task     string
	Run      int
}

// Heartbeat is what a worker announces of itself at intervals.
type Heartbeat struct {
	workflow.Worker
	Lifetime Lifetime
	Zone     string
	Draining bool
	// DrainRemaining is the least time that a draining worker stays.
	DrainRemaining time.Duration
	// Sequence grows with each beat of a lifetime.
	Sequence int64
}

// Lifetime is one life of a worker's process.
type Lifetime struct {
	ID            string
	StartedUnixMS int64 // Milliseconds since 1970, by the worker.
}

// String names the lifetime.
func (l Lifetime) String() string {
	if l.ID == "" {
		return ""
	}
	return l.ID + "@" + strconv.FormatInt(l.StartedUnixMS, 10)
}

// ParseLifetime reads what String writes.
func ParseLifetime(s string) (Lifetime, error) {
	id, born, ok := strings.Cut(s, "@")
	if !ok {
		return Lifetime{}, fmt.Errorf("host.ParseLifetime: lifetime %q is not ID@BORN", s)
	}
	n, err := strconv.ParseInt(born, 10, 64)
	if err != nil {
		return Lifetime{}, fmt.Errorf("host.ParseLifetime: lifetime %q: %w", s, err)
	}
	return Lifetime{id, n}, nil
}
