package backend_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

func serve(t *testing.T, b *standin.Backend, s *backend.Server) *standin.Listener {
	t.Helper()
	p := standin.NewListener()
	server := &http.Server{Handler: b}
	go func() { _ = server.Serve(p) }()
	s.URL = "http://backend"
	s.Dial = p.Dial
	t.Cleanup(func() {
		s.Close()
		_ = server.Close()
	})
	return p
}

func TestSend(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.BackendFault
		want  error
		ran   int
	}{
		{"succeeds", standin.NoFault, nil, 1},
		{"refused", standin.FaultRefuse, nil, 0},
		{"hangs", standin.FaultHang, backend.ErrTimeout, 1},
		{"short", standin.FaultShort, backend.ErrIncompleteAnswer, 1},
		{"crossed", standin.FaultCrossed, backend.ErrMismatchedAnswer, 1},
		{"late", standin.FaultLate, backend.ErrTimeout, 1},
		{"twice", standin.FaultTwice, nil, 1},
		{"fails", standin.FaultFail, nil, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &standin.Backend{Slots: 1, Fault: func(string) standin.BackendFault { return tt.fault }}
				s := &backend.Server{Slots: 1}
				serve(t, b, s)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				answer, err := s.Send(ctx, backend.Request{ID: "a", Attempt: 1, Class: "quote", Body: []byte("x")})
				if !errors.Is(err, tt.want) {
					t.Errorf("Send: %v, want %v", err, tt.want)
				}
				if err != nil && !errors.Is(err, shop.ErrMayHaveRun) {
					t.Errorf("Send: %v does not say that the request may have run", err)
				}
				if err == nil && tt.ran == 1 && string(answer.Body) != "a quote x" {
					t.Errorf("answer %q", answer.Body)
				}
				if d := cmp.Diff(tt.ran, b.RunCount("a")); d != "" {
					t.Error(d)
				}
				time.Sleep(2 * backend.DefaultAbandonedTimeout)
				if d := cmp.Diff(0, s.UsedSlots()); d != "" {
					t.Errorf("slots in use at the end: %s", d)
				}
			})
		})
	}
}

func TestSendNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &standin.Backend{}
		s := &backend.Server{}
		p := serve(t, b, s)
		p.Refuse.Store(true)
		_, err := s.Send(t.Context(), backend.Request{ID: "a", Class: "quote"})
		if !errors.Is(err, backend.ErrNoConnection) || !errors.Is(err, shop.ErrNotRun) {
			t.Errorf("Send: %v", err)
		}
	})
}

func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, offered = 3, 20
		b := &standin.Backend{Slots: slots, ServiceTime: func(string) time.Duration { return time.Second }}
		s := &backend.Server{Slots: slots, Connections: slots}
		p := serve(t, b, s)
		var refused atomic.Int64
		for range 3 {
			var group sync.WaitGroup
			for i := range offered {
				group.Go(func() {
					r := backend.Request{ID: fmt.Sprint(i), Class: "quote", Idempotent: i%2 == 0}
					if _, err := s.Send(t.Context(), r); errors.Is(err, backend.ErrNoSlot) {
						refused.Add(1)
					}
					if s.OpenConnections() > slots {
						t.Errorf("%d connections are open", s.OpenConnections())
					}
				})
			}
			group.Wait()
			synctest.Wait()
		}
		if d := cmp.Diff([]int64{slots, 0, 3 * (offered - slots)}, []int64{int64(b.MaxConcurrent()), int64(b.Excess()), refused.Load()}); d != "" {
			t.Errorf("most, excess, refused: %s", d)
		}
		if p.Dialed() == 0 {
			t.Error("no connection was dialed")
		}
	})
}

// TestSlotOfAnsweredRequest checks that the slot of a request is free when the caller
// gets the answer, so that a caller that sends one request after another is never
// refused.
func TestSlotOfAnsweredRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &backend.Server{Slots: 1}
		serve(t, &standin.Backend{}, s)
		for i := range 2000 {
			_, err := s.Send(t.Context(), backend.Request{ID: fmt.Sprint(i), Class: "quote", Idempotent: true})
			if err != nil || s.UsedSlots() != 0 {
				t.Fatalf("request %d: %v, %d slots in use after it", i, err, s.UsedSlots())
			}
		}
	})
}

// TestSlotOfAbandonedRequest checks that a request abandoned by its caller keeps its
// slot while the server runs it.
func TestSlotOfAbandonedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &standin.Backend{Slots: 1, ServiceTime: func(string) time.Duration { return 20 * time.Second }}
		s := &backend.Server{Slots: 1}
		serve(t, b, s)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Send(ctx, backend.Request{ID: "a", Class: "quote"})
		if !errors.Is(err, backend.ErrTimeout) {
			t.Errorf("Send: %v", err)
		}
		_, err = s.Send(t.Context(), backend.Request{ID: "b", Class: "quote"})
		if !errors.Is(err, backend.ErrNoSlot) {
			t.Errorf("Send: %v", err)
		}
		time.Sleep(30 * time.Second)
		if s.UsedSlots() != 0 || b.Excess() != 0 {
			t.Errorf("%d slots in use, %d in excess", s.UsedSlots(), b.Excess())
		}
	})
}

func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &standin.Backend{}
		s := &backend.Server{}
		p := serve(t, b, s)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if _, err := s.Send(ctx, backend.Request{ID: "a", Class: "quote", Idempotent: true}); err != nil {
			t.Fatal(err)
		}
		p.Silent.Store(true)
		// The pooled connection no longer works, so a request that must not run twice needs a new one.
		if _, err := s.Send(ctx, backend.Request{ID: "c", Class: "order"}); err != nil {
			t.Errorf("Send: %v", err)
		}
		start := time.Now()
		answer, err := s.Send(ctx, backend.Request{ID: "b", Class: "quote", Idempotent: true})
		if err != nil || string(answer.Body) != "b quote " {
			t.Errorf("Send: %q, %v", answer.Body, err)
		}
		if d := cmp.Diff(backend.DefaultPingAfter, time.Since(start)); d != "" {
			t.Error(d)
		}
		if b.RunCount("b") != 1 || b.RunCount("c") != 1 {
			t.Errorf("b ran %d times, c %d", b.RunCount("b"), b.RunCount("c"))
		}
		time.Sleep(2 * backend.DefaultAbandonedTimeout)
	})
}

// TestSilentServer checks that a request is not reported as not run because the ping
// after it fails.
func TestSilentServer(t *testing.T) {
	tests := []struct {
		name        string
		connections int
		want        error
	}{
		{"server unreachable", 4, backend.ErrUnresponsive},
		{"no connection left", 1, backend.ErrTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &standin.Backend{}
				s := &backend.Server{Slots: 1, Connections: tt.connections}
				p := serve(t, b, s)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if _, err := s.Send(ctx, backend.Request{ID: "a", Class: "quote", Idempotent: true}); err != nil {
					t.Fatal(err)
				}
				p.Silent.Store(true)
				p.Refuse.Store(true)
				_, err := s.Send(ctx, backend.Request{ID: "b", Class: "quote", Idempotent: true})
				if !errors.Is(err, tt.want) || errors.Is(err, shop.ErrNotRun) {
					t.Errorf("Send: %v", err)
				}
				time.Sleep(2 * backend.DefaultAbandonedTimeout)
			})
		})
	}
}

func TestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := standin.NewListener()
		var got http.Header
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got = r.Header
			w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
			w.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
		})}
		go func() { _ = server.Serve(l) }()
		s := &backend.Server{URL: "http://backend", Dial: l.Dial}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		if _, err := s.Send(ctx, backend.Request{ID: "a", Attempt: 2, Team: "quotes", Class: "order"}); err != nil {
			t.Fatal(err)
		}
		want := []string{"a", "2", "quotes", "false", "1.5s", ""}
		var sent []string
		for _, h := range []string{
			backend.HeaderRequestID, backend.HeaderAttempt, backend.HeaderTeam,
			backend.HeaderIdempotent, backend.HeaderDeadline, "Idempotency-Key",
		} {
			sent = append(sent, got.Get(h))
		}
		if d := cmp.Diff(want, sent); d != "" {
			t.Error(d)
		}
		s.Close()
		_ = server.Close()
	})
}
