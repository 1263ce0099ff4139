package caller

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/pkg/shop"
)

// Errors of calls without an outcome must be classified as not run only when the work
// can't have run, and must wrap their cause.
func TestClassifyError(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want error
	}{
		{"no connection", &net.OpError{Op: "dial", Err: errors.New("refused")}, shop.ErrNotRun},
		{"wrong authority", &tls.CertificateVerificationError{Err: errors.New("unknown")}, shop.ErrNotRun},
		{"connection broke", &net.OpError{Op: "read", Err: errors.New("reset")}, shop.ErrMayHaveRun},
		{"local deadline", connect.NewError(connect.CodeDeadlineExceeded, errors.New("late")), shop.ErrMayHaveRun},
		{"not found from the client", connect.NewError(connect.CodeNotFound, errors.New("here")), shop.ErrMayHaveRun},
		{"said not run", fmt.Errorf("refused: %w", shop.ErrNotRun), shop.ErrNotRun},
		{"said may have run", fmt.Errorf("lost: %w", shop.ErrMayHaveRun), shop.ErrMayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := classifyError(tt.err)
			if notRun := errors.Is(err, shop.ErrNotRun); !errors.Is(err, tt.want) || notRun != (tt.want == shop.ErrNotRun) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
			if !errors.Is(err, tt.err) {
				t.Errorf("%v hides its cause", err)
			}
		})
	}
}

// Calls to servers that fail before they return an outcome must fail with the right
// error.
func TestCallWithoutOutcome(t *testing.T) {
	refuse := func(code connect.Code) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_ = connect.NewErrorWriter().Write(w, r, connect.NewError(code, errors.New("no")))
		}
	}
	tests := []struct {
		name  string
		serve http.HandlerFunc
		want  error
	}{
		{"rejected by the entry", refuse(connect.CodeUnauthenticated), shop.ErrNotRun},
		{"internal error", refuse(connect.CodeInternal), shop.ErrMayHaveRun},
		{"connection aborted", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, shop.ErrMayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(tt.serve)
			defer server.Close()
			c := &Client{URL: server.URL}
			c.Open()
			if _, err := c.Call(t.Context(), Request{Class: "price-quote"}); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}
