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

// Errors with which a worker answers a call. After any other error, the outcome is unknown.
var (
	// ErrRefused is returned if the worker rejects a start for good.
	ErrRefused = errors.New("start refused")
	// ErrUnhealthy is returned if the worker did nothing, but may accept the call later.
	ErrUnhealthy = errors.New("worker unhealthy")
	// ErrOtherLifetime is returned if the worker has restarted and has another lifetime.
	ErrOtherLifetime = errors.New("worker has another lifetime")
	// ErrFenced is returned if the worker has seen a higher epoch.
	ErrFenced = errors.New("order fenced by a higher epoch")
	// ErrNotListening is returned if the worker's machine refuses connections, as nothing listens there.
	ErrNotListening = errors.New("nothing listens at the worker's address")
)

// Worker has the calls to the agent's worker.
type Worker struct {
	// Poll renews the lease, waits for a run to end, and returns the running and ended runs.
	Poll  func(context.Context, PollRequest) (WorkerState, error)
	Start func(context.Context, Start) error
	// Stop ends a run. Afterwards neither that run nor one with a lower number can start.
	Stop func(context.Context, Stop) error
}

// PollRequest renews the worker's lease and asks for its state.
type PollRequest struct {
	Lifetime string
	Epoch    int64
	// AckedEnd is the number up to which the worker may drop ended runs.
	AckedEnd uint64
	// LeaseEnd is the new lease end on the worker's clock; zero leaves it unchanged.
	LeaseEnd time.Duration
	// Wait is how long the worker waits for a run to end before it answers.
	Wait time.Duration
	// Probe is set for a poll of a lifetime that may not be the current one. Later polls don't use its
	// connection, so that what they acknowledge can't reach that lifetime.
	Probe bool
}

// WorkerState is a worker's answer to a poll.
type WorkerState struct {
	Lifetime string
	// Clock is the time on the worker's clock.
	Clock   time.Duration
	Running []Running
	Ended   []Ended
	// MoreEnded reports whether ended runs are known to be missing from the list. They may be missing from
	// any list that isn't empty.
	MoreEnded bool
}

// Running is a run that is running or being stopped.
type Running struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
}

// End says how a run ended.
type End int

// How a run ended. The values are those of End in the protocol.
const (
	Done    End = iota + 1
	Failed      // By a fault of the task or the worker.
	Stopped     // By an order.
	Lapsed      // The lease has lapsed.
	Broken      // Another member of the gang ended.
	Alone       // The other members of the gang did not start.
)

// Ended is a run that has ended.
type Ended struct {
	Number     uint64 // Increases with each run that ends in a lifetime.
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
	LeaseEnd   time.Duration // On the worker's clock.
}

// Stop tells the worker to stop a run.
type Stop struct {
	Lifetime string
	Epoch    int64
	Task     string
	Run      int
}

// Heartbeat is what a worker announces at intervals.
type Heartbeat struct {
	workflow.Worker
	Lifetime Lifetime
	Zone     string
	Draining bool
	// DrainRemaining is the least time for which a draining worker stays.
	DrainRemaining time.Duration
	// Machine identifies the worker's machine across lifetimes; empty if it isn't known.
	Machine string
	// ColdRemaining is how much longer the worker is slow after its start.
	ColdRemaining time.Duration
	// Sequence increases with each heartbeat of a lifetime.
	Sequence int64
}

// Lifetime identifies the time from a start of a worker's process to its end.
type Lifetime struct {
	ID            string
	StartedUnixMS int64 // By the worker's time of day.
}

// String returns the id and the start time, joined by an @, or an empty string if there is no
// id.
func (l Lifetime) String() string {
	if l.ID == "" {
		return ""
	}
	return l.ID + "@" + strconv.FormatInt(l.StartedUnixMS, 10)
}

// ParseLifetime parses the output of String.
func ParseLifetime(s string) (Lifetime, error) {
	id, started, ok := strings.Cut(s, "@")
	if !ok {
		return Lifetime{}, fmt.Errorf("host.ParseLifetime: lifetime %q is not ID@BORN", s)
	}
	n, err := strconv.ParseInt(started, 10, 64)
	if err != nil {
		return Lifetime{}, fmt.Errorf("host.ParseLifetime: lifetime %q: %w", s, err)
	}
	return Lifetime{id, n}, nil
}
