package shop

import "errors"

// Errors that callers and operators test with errors.Is.
var (
	// ErrNotRun means that a request or job did not run and never will.
	ErrNotRun = errors.New("not run")
	// ErrMayHaveRun means that it can't be determined whether a request ran.
	ErrMayHaveRun = errors.New("may have run")
	// ErrOverloaded means that the work was rejected on arrival and did not run.
	ErrOverloaded = errors.New("overloaded")
	// ErrNeverFits means that the shape doesn't fit on any worker or group of workers, even an idle one.
	ErrNeverFits = errors.New("shape never fits")
	// ErrConflict means that a change was based on a version that is not the newest.
	ErrConflict = errors.New("conflicting change")
	// ErrInvalid means that a value is malformed or out of range. It also matches
	// every ProblemList, which lists the values.
	ErrInvalid = errors.New("invalid")
	// ErrNotFound means that no object with the given name or id is known.
	ErrNotFound = errors.New("not found")
	// ErrForbidden means that the caller may not read or change the object.
	ErrForbidden = errors.New("forbidden")
	// ErrUnavailable means that the platform or a peer can't be reached at the moment.
	ErrUnavailable = errors.New("unavailable")
)
