package gang

import "errors"

// Errors that callers test with errors.Is.
var (
	// ErrRefused says that an agent refused a hold; the Result tells which and why.
	ErrRefused = errors.New("hold refused")
	// ErrNotPrepared says that an agent that held could not prepare.
	ErrNotPrepared = errors.New("not prepared")
	// ErrNotReleased says that the lead did not start the gang.
	ErrNotReleased = errors.New("not released")
	// ErrMayStillRun says that an attempt may still run on some agent.
	ErrMayStillRun = errors.New("attempt not settled")
	// ErrStopping says that the worker has not confirmed a stop yet.
	ErrStopping = errors.New("task still stopping")
	// ErrRecovering says that a new agent does not know yet what its worker runs.
	ErrRecovering = errors.New("agent recovering")
)
