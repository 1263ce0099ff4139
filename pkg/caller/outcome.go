package caller

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/pkg/shop"
)

// classifyError says what became of work whose entry gave no outcome: what never
// left the caller, and what the entry turned away at its door, did not run; of
// the rest nobody here can know.
func classifyError(err error) error {
	if errors.Is(err, shop.ErrNotRun) || errors.Is(err, shop.ErrMayHaveRun) {
		return err
	}
	if neverSent(err) || rejectedByEntry(err) {
		return fmt.Errorf("%w: %w", shop.ErrNotRun, err)
	}
	return fmt.Errorf("%w: %w", shop.ErrMayHaveRun, err)
}

// neverSent says whether no connection to an entry could be opened.
func neverSent(err error) bool {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	return errors.As(err, &op) && op.Op == "dial" || errors.As(err, &certificate)
}

// rejectedByEntry says whether the entry refused the message before looking at the work.
func rejectedByEntry(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeInvalidArgument, connect.CodeNotFound:
		return connect.IsWireError(err)
	default:
		return false
	}
}
