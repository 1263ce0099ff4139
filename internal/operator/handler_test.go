package operator

import (
	"errors"
	"fmt"
	"testing"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/pkg/shop"
)

// TestExplainLogError checks that an operator learns whether a change may still be accepted
// after the log failed.
func TestExplainLogError(t *testing.T) {
	unknown := &platform.OutcomeUnknownError{Cause: errors.New("no answer")}
	tests := []struct {
		name string
		err  error
		code connect.Code
		want error
	}{
		{"no answer", fmt.Errorf("x: %w", unknown), connect.CodeUnknown, shop.ErrMayHaveRun},
		{"not appended", fmt.Errorf("x: %w", platform.ErrNotAppended), connect.CodeUnavailable, shop.ErrUnavailable},
		{"no such object", fmt.Errorf("x: %w", shop.ErrNotFound), connect.CodeNotFound, shop.ErrNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := applyResponse(0, tt.err)
			sent := peer.ToConnect(err)
			if got := connect.CodeOf(sent); got != tt.code {
				t.Errorf("code %v, want %v", got, tt.code)
			}
			if got := peer.FromConnect(sent); !errors.Is(got, tt.want) {
				t.Errorf("the operator gets %v, want %v", got, tt.want)
			}
		})
	}
}
