package caller

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/pkg/shop"
)

// classifyError wraps the error of a call that returned no outcome in shop.ErrNotRun or
// shop.ErrMayHaveRun. Work that was never sent, or that the entry rejected before it
// looked at the work, did not run. In all other cases it may have run.
func classifyError(err error) error {
	if errors.Is(err, shop.ErrNotRun) || errors.Is(err, shop.ErrMayHaveRun) {
		return err
	}
	if neverSent(err) || rejectedByEntry(err) {
		return fmt.Errorf("%w: %w", shop.ErrNotRun, err)
	}
	return fmt.Errorf("%w: %w", shop.ErrMayHaveRun, err)
}

// neverSent reports whether no connection to an entry could be opened.
func neverSent(err error) bool {
	var opErr *net.OpError
	var certificateErr *tls.CertificateVerificationError
	return errors.As(err, &opErr) && opErr.Op == "dial" || errors.As(err, &certificateErr)
}

// rejectedByEntry reports whether the entry rejected the message before it looked at the
// work. An error that didn't come from the entry doesn't count.
func rejectedByEntry(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeInvalidArgument, connect.CodeNotFound:
		return connect.IsWireError(err)
	default:
		return false
	}
}
