package peer

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/pkg/shop"
)

// errorMetadataKey is the metadata key of a failed call under which its sentinel
// errors are named.
const errorMetadataKey = "sniperill-error"

// sentinel is an error that is preserved across a call.
type sentinel struct {
	err  error
	name string
	code connect.Code
}

var sentinels = []sentinel{
	{shop.ErrNeverFits, "never-fits", connect.CodeFailedPrecondition},
	{shop.ErrOverloaded, "overloaded", connect.CodeResourceExhausted},
	{shop.ErrNotRun, "not-run", connect.CodeFailedPrecondition},
	{shop.ErrMayHaveRun, "may-have-run", connect.CodeUnknown},
	{shop.ErrConflict, "conflict", connect.CodeAborted},
	{shop.ErrInvalid, "invalid", connect.CodeInvalidArgument},
	{shop.ErrNotFound, "not-found", connect.CodeNotFound},
	{shop.ErrForbidden, "forbidden", connect.CodePermissionDenied},
	{shop.ErrUnavailable, "unavailable", connect.CodeUnavailable},
}

// ToConnect returns a connect error with the names of all sentinels that err wraps,
// and the code of the first one. It leaves connect errors unchanged.
func ToConnect(err error) error {
	var known *connect.Error
	if errors.As(err, &known) {
		return err
	}
	out := connect.NewError(connect.CodeInternal, err)
	for _, s := range sentinels {
		if !errors.Is(err, s.err) {
			continue
		}
		if out.Meta().Get(errorMetadataKey) == "" {
			out = connect.NewError(s.code, err)
		}
		out.Meta().Add(errorMetadataKey, s.name)
	}
	return out
}

// FromConnect wraps the sentinels that the other end named, so that errors.Is holds
// for them.
func FromConnect(err error) error {
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return err
	}
	for _, name := range failed.Meta().Values(errorMetadataKey) {
		for _, s := range sentinels {
			if s.name == name {
				err = fmt.Errorf("%w: %w", s.err, err)
			}
		}
	}
	return err
}
