package request_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// testRouter is a Router whose agents are tables in this process. fail returns the
// error of each attempt to send to an address, nil to deliver it.
type testRouter struct {
	request.Router
	tables []*countingTable
	sent   []string
	fail   func(address string) error
}

func newTestRouter(n int) *testRouter {
	x := &testRouter{fail: func(string) error { return nil }}
	x.Zone = "zone-0"
	var agents request.AgentList
	for i := range n {
		c := newCountingTable()
		c.Agent = fmt.Sprint("a", i)
		x.tables = append(x.tables, c)
		agents = append(agents, request.NewAgent(&sniperillv1.AgentState{
			Name:        c.Agent,
			Address:     fmt.Sprint(i),
			Incarnation: incarnation,
			Place:       &sniperillv1.Place{Zone: fmt.Sprint("zone-", i%2)},
			Backends:    []*sniperillv1.BackendSlots{{Class: "work", Slots: 2}},
		}, false))
	}
	at := func(address string) *countingTable {
		var i int
		_, _ = fmt.Sscan(address, &i)
		return x.tables[i]
	}
	x.Transport = request.Transport{
		Serve: func(ctx context.Context, address string, req *sniperillv1.ServeRequest) (*sniperillv1.ServeResponse, error) {
			x.sent = append(x.sent, address)
			if err := x.fail(address); err != nil {
				return nil, err
			}
			return at(address).Serve(ctx, req)
		},
		Seal: func(ctx context.Context, address string, req *sniperillv1.SealRequest) (*sniperillv1.SealResponse, error) {
			return at(address).Seal(ctx, req)
		},
		FetchAnswer: func(ctx context.Context, address string, req *sniperillv1.FetchAnswerRequest) (*sniperillv1.FetchAnswerResponse, error) {
			return at(address).FetchAnswer(ctx, req)
		},
		Ping: func(_ context.Context, address string, _ *sniperillv1.PingRequest) (*sniperillv1.PingResponse, error) {
			return &sniperillv1.PingResponse{Name: at(address).Agent, Incarnation: at(address).Incarnation}, nil
		},
		Acknowledge: func(ctx context.Context, address string, req *sniperillv1.AcknowledgeRequest) (*sniperillv1.AcknowledgeResponse, error) {
			return at(address).Acknowledge(ctx, req)
		},
	}
	x.Update(agents)
	return x
}

func (x *testRouter) totalRuns() int64 {
	var n int64
	for _, c := range x.tables {
		n += c.runs.Load()
	}
	return n
}

func newCall(idempotent bool) request.Call {
	return request.Call{ID: "id", Team: "team", Class: "work", Idempotent: idempotent}
}

// TestRoute checks how often a call is sent and runs, depending on how its first attempt
// ends. An order must not run twice; a quote is idempotent.
func TestRoute(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		fail       error // Of the first attempt.
		restarted  bool
		want       error
		sent       int
		ran        int64
	}{
		{"order", false, nil, false, nil, 1, 1},
		{"order, not delivered", false, request.ErrNotDelivered, false, nil, 2, 1},
		{"order, connection lost, sealed", false, errLost, false, nil, 2, 1},
		{"order, connection lost, agent restarted", false, errLost, true, shop.ErrMayHaveRun, 1, 0},
		{"quote", true, nil, false, nil, 1, 1},
		{"quote, connection lost", true, errLost, false, nil, 2, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTestRouter(4)
				first := true
				x.fail = func(address string) error {
					if !first {
						return nil
					}
					first = false
					if tt.restarted {
						x.tables[address[0]-'0'].Incarnation++
					}
					return tt.fail
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				a, err := x.Route(ctx, newCall(tt.idempotent))
				if !errors.Is(err, tt.want) || a.GetId() != "id" {
					t.Errorf("Route: %v, %v", a, err)
				}
				if d := cmp.Diff([]int64{int64(tt.sent), tt.ran}, []int64{int64(len(x.sent)), x.totalRuns()}); d != "" {
					t.Errorf("sent, ran: %s", d)
				}
				// The first attempt goes to the own zone, the next one to another.
				for i, address := range x.sent {
					if i < 2 && int(address[0]-'0')%2 != i {
						t.Errorf("sent to %v", x.sent)
					}
				}
			})
		})
	}
}

// TestRouteSilentConnection checks that a request on a connection that goes silent
// is answered on another connection and runs once.
func TestRouteSilentConnection(t *testing.T) {
	for _, delivered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			x := newTestRouter(2)
			serve := x.Serve
			var attempts atomic.Int64
			x.Serve = func(ctx context.Context, address string, req *sniperillv1.ServeRequest) (*sniperillv1.ServeResponse, error) {
				if attempts.Add(1) > 1 {
					return serve(ctx, address, req)
				}
				if delivered {
					_, _ = serve(ctx, address, req)
				}
				<-ctx.Done()
				return nil, ctx.Err()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			a, err := x.Route(ctx, newCall(false))
			if err != nil || string(a.GetBody()) != "team/id" || x.totalRuns() != 1 {
				t.Errorf("delivered %v: %v, %v; ran %d times", delivered, a, err, x.totalRuns())
			}
		})
	}
}

func TestRouteLeavingAndFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestRouter(2)
		x.tables[0].Leave()
		if _, err := x.Route(t.Context(), newCall(false)); err != nil || x.tables[0].runs.Load() != 0 {
			t.Errorf("Route: %v", err)
		}
		x.tables[1].Leave()
		a, err := x.Route(t.Context(), request.Call{ID: "other", Team: "team", Class: "work"})
		if !errors.Is(err, shop.ErrNotRun) || a.GetRetryAfter().AsDuration() <= 0 {
			t.Errorf("Route: %v, %v", a, err)
		}
	})
}

func TestFetchThroughAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestRouter(20)
		if _, err := x.Route(t.Context(), newCall(false)); err != nil {
			t.Fatal(err)
		}
		other := &request.Router{Transport: x.Transport, Zone: "zone-1"}
		var agents request.AgentList
		for i, c := range x.tables {
			agents = append(agents, request.Agent{Name: c.Agent, Address: fmt.Sprint(i), Incarnation: incarnation})
		}
		slices.Reverse(agents)
		other.Update(agents)
		a, err := other.Fetch(t.Context(), "team", "id", 0)
		if err != nil || string(a.GetBody()) != "team/id" || a.GetId() != "id" {
			t.Errorf("Fetch: %v, %v", a, err)
		}
		if _, err := other.Fetch(t.Context(), "rivals", "id", 0); !errors.Is(err, shop.ErrNotFound) {
			t.Errorf("another team's Fetch: %v", err)
		}
		if err := other.Acknowledge(t.Context(), "team", "id", a.GetAgent()); err != nil {
			t.Fatal(err)
		}
		if _, err := other.Fetch(t.Context(), "team", "id", 0); !errors.Is(err, shop.ErrMayHaveRun) {
			t.Errorf("Fetch of an acknowledged answer: %v", err)
		}
	})
}

func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestRouter(4)
		x.fail = func(string) error { return request.ErrNotDelivered }
		const calls = 200
		for range calls {
			if _, err := x.Route(t.Context(), newCall(true)); !errors.Is(err, shop.ErrNotRun) {
				t.Fatalf("Route: %v", err)
			}
		}
		// One retry for every ten requests, and ten per second with a burst of ten.
		maxSent := calls + calls/10 + 10 + 10*int(time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)).Seconds()+1)
		if len(x.sent) > maxSent {
			t.Errorf("%d attempts for %d calls, want at most %d", len(x.sent), calls, maxSent)
		}
		if len(x.sent) <= calls {
			t.Error("nothing was retried")
		}
	})
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{11, 40, 160, 640} {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			x := newTestRouter(n)
			x.Serve = func(_ context.Context, _ string, req *sniperillv1.ServeRequest) (*sniperillv1.ServeResponse, error) {
				return &sniperillv1.ServeResponse{Answer: request.NewAnswer(req.GetId(), req.GetAttempt(), 200, "", nil)}, nil
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := x.Route(b.Context(), newCall(true)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
