package gang

import "errors"

// Errors that callers test with errors.Is.
var (
	// ErrRefused is returned when an agent refuses a hold; the Result has the agent and the reason.
	ErrRefused = errors.New("hold refused")
	// ErrNotPrepared is returned when an agent that granted a hold could not prepare.
	ErrNotPrepared = errors.New("not prepared")
	// ErrNotReleased is returned when the lead did not start the gang.
	ErrNotReleased = errors.New("not released")
	// ErrMayStillRun is returned when an attempt may still run on some agent.
	ErrMayStillRun = errors.New("attempt not settled")
	// ErrStopping is returned while the worker has not confirmed a stop.
	ErrStopping = errors.New("task still stopping")
	// ErrRecovering is returned while a restarted agent does not yet know what its worker runs.
	ErrRecovering = errors.New("agent recovering")
)
