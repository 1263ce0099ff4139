package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// slowHandler answers requests after a second and pings at once.
func slowHandler(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != HealthPath {
		time.Sleep(time.Second)
	}
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
}

// pipeListener is a listener for in-memory connections.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }

func (p pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p <- server
	return client, nil
}

// TestSetLimits checks that requests in progress finish when the limits change, and
// that new requests and connections begin only within the current limits.
func TestSetLimits(t *testing.T) {
	type step struct{ slots, connections, started, used int }
	tests := []struct {
		name  string
		steps []step // Half a second apart; a request ends two steps after it began.
	}{
		{"lowered", []step{{4, 4, 4, 4}, {2, 2, 0, 4}, {2, 2, 2, 2}, {2, 2, 0, 2}}},
		{"lowered in two steps", []step{{4, 4, 4, 4}, {3, 3, 0, 4}, {1, 1, 1, 1}, {2, 2, 1, 2}, {1, 1, 0, 1}}},
		{"raised", []step{{2, 2, 2, 2}, {5, 5, 3, 5}, {5, 5, 2, 5}}},
		{"lowered and raised", []step{{4, 4, 4, 4}, {1, 1, 0, 4}, {6, 6, 6, 6}}},
		{"unchanged", []step{{3, 3, 3, 3}, {3, 3, 0, 3}}},
		{"fewer connections than slots", []step{{4, 4, 4, 4}, {4, 2, 0, 4}, {4, 2, 4, 4}}},
	}
	for _, tt := range tests {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(tt.name, "/idempotent=", idempotent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := make(pipeListener)
					server := &http.Server{Handler: http.HandlerFunc(slowHandler)}
					go func() { _ = server.Serve(p) }()
					s := &Server{URL: "http://backend", Dial: p.dial}
					var sent sync.WaitGroup
					var refused, failed atomic.Int64
					for i, step := range tt.steps {
						before := s.OpenConnections()
						s.SetLimits(step.slots, step.connections)
						refused.Store(0)
						for n := range 20 {
							sent.Go(func() {
								_, err := s.Send(t.Context(), Request{ID: fmt.Sprint(i, "-", n), Class: "quote", Idempotent: idempotent})
								switch {
								case errors.Is(err, ErrNoSlot):
									refused.Add(1)
								case err != nil:
									failed.Add(1)
									t.Log(err)
								}
							})
						}
						synctest.Wait()
						if d := cmp.Diff([]int{step.started, step.used}, []int{20 - int(refused.Load()), s.UsedSlots()}); d != "" {
							t.Errorf("step %d: started, used: %s", i, d)
						}
						if open := s.OpenConnections(); open > max(before, step.connections) {
							t.Errorf("step %d: %d connections are open", i, open)
						}
						time.Sleep(500 * time.Millisecond)
						synctest.Wait()
					}
					sent.Wait()
					if n := failed.Load(); n != 0 {
						t.Errorf("%d requests failed that had got a slot", n)
					}
					time.Sleep(2 * DefaultIdleTimeout)
					synctest.Wait()
					if s.UsedSlots() != 0 || s.OpenConnections() != 0 {
						t.Errorf("at the end %d slots in use, %d connections open", s.UsedSlots(), s.OpenConnections())
					}
					close(p)
					_ = server.Close()
				})
			})
		}
	}
}

// TestLimiterRace checks that once a lower limit is set, the count only falls until it
// is within the limit, even if calls of acquire are in progress meanwhile.
func TestLimiterRace(t *testing.T) {
	const high, low = 64, 2
	var l limiter
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for !stop.Load() {
				taken := 0
				for taken < high && l.acquire() {
					taken++
				}
				for range taken {
					l.release()
				}
			}
		})
	}
	for range 20_000 {
		l.setLimit(high)
		l.setLimit(low)
		last := high
		for range 8 {
			now := l.used()
			if now > max(last, low) {
				t.Errorf("%d in use after %d, with a limit of %d", now, last, low)
			}
			last = now
		}
	}
	stop.Store(true)
	wg.Wait()
	if n := l.used(); n != 0 {
		t.Errorf("%d in use at the end", n)
	}
}
