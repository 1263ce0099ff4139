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

// blocking returns a wrapper that holds each request until release is closed,
// and tells of its start.
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

// TestStop stops a deployment with a request in progress: gracefully the caller
// gets its answer; at once the request is named and its caller is told that it
// may have run.
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
				t.Fatalf("the caller got %v before its request had started", err)
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
				t.Errorf("the caller got %v, want %v", err, tt.want)
			}
			if tt.atOnce {
				close(release)
			}
			err := <-stopped
			if named := err != nil && strings.Contains(err.Error(), "call hari-quotes/slow"); named != tt.atOnce {
				t.Errorf("Stop: %v", err)
			}
		})
	}
}
