package deployment

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"sniperill.example/sniperill/pkg/caller"
	"sniperill.example/sniperill/pkg/shop"
)

// blocking returns a wrapper that reports the start of each price quote on started, and
// blocks it until release is closed.
func blocking(started chan<- struct{}, release <-chan struct{}) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/price-quote") {
				started <- struct{}{}
				<-release
			}
			next.ServeHTTP(w, r)
		})
	}
}

// TestStop stops a deployment while a request is in progress. In a graceful stop the caller
// must get its answer. In an immediate stop the error must name the request, and the
// caller must be told that it may have run.
func TestStop(t *testing.T) {
	tests := []struct {
		name   string
		atOnce bool
		want   error
	}{
		{"gracefully", false, nil},
		{"at once", true, shop.ErrMayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started, release := make(chan struct{}, 1), make(chan struct{})
			l := startLocal(t, &Local{WrapBackend: blocking(started, release)})
			c := callerOf(t, l, "hari-quotes")
			called, stopped := make(chan error, 1), make(chan error, 1)
			go func() {
				_, err := c.Call(t.Context(), caller.Request{ID: "slow", Class: "price-quote"})
				called <- err
			}()
			select {
			case <-started:
			case err := <-called:
				t.Fatalf("call returned %v before its request started", err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { stopped <- l.Stop(ctx) }()
			if tt.atOnce {
				cancel()
			} else {
				close(release)
			}
			if err := <-called; !errors.Is(err, tt.want) {
				t.Errorf("call returned %v, want %v", err, tt.want)
			}
			if tt.atOnce {
				close(release)
			}
			err := <-stopped
			if named := err != nil && strings.Contains(err.Error(), "call hari-quotes/slow"); named != tt.atOnce {
				t.Errorf("Stop returned %v; the unfinished request must be named: %v", err, tt.atOnce)
			}
		})
	}
}
