package request_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

const incarnation = 7

// countingTable is a Table with a backend server that counts runs and takes one
// second for each.
type countingTable struct {
	request.Table
	runs atomic.Int64
	err  error
}

func newCountingTable() *countingTable {
	c := &countingTable{}
	c.Agent = "a"
	c.Incarnation = incarnation
	c.Send = func(ctx context.Context, r backend.Request) (backend.Answer, error) {
		if errors.Is(c.err, shop.ErrNotRun) {
			return backend.Answer{}, c.err
		}
		c.runs.Add(1)
		select {
		case <-time.After(time.Second):
			return backend.Answer{Status: 200, Body: []byte(r.ID)}, c.err
		case <-ctx.Done():
			return backend.Answer{}, backend.ErrTimeout
		}
	}
	return c
}

// newOrder returns a request that must not run twice.
func newOrder(id string) *sniperillv1.ServeRequest {
	return &sniperillv1.ServeRequest{
		Id:      id,
		Attempt: 1,
		Ticket:  request.NewTicket(id, "a", incarnation, time.Now()),
	}
}

func (c *countingTable) outcome(t *testing.T, req *sniperillv1.ServeRequest) shop.Outcome {
	t.Helper()
	res, err := c.Serve(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	if err := request.Verify(res.GetAnswer(), req.GetId(), req.GetAttempt()); err != nil {
		t.Error(err)
	}
	return shop.Outcome(res.GetAnswer().GetOutcome())
}

func TestServe(t *testing.T) {
	tests := []struct {
		name   string
		change func(*countingTable, *sniperillv1.ServeRequest)
		want   shop.Outcome
		ran    int64
	}{
		{"ticket", func(*countingTable, *sniperillv1.ServeRequest) {}, shop.OutcomeDone, 1},
		{"no ticket", func(_ *countingTable, r *sniperillv1.ServeRequest) { r.Ticket = nil }, shop.OutcomeNotRun, 0},
		{"ticket of another request", func(_ *countingTable, r *sniperillv1.ServeRequest) { r.Id = "y" }, shop.OutcomeNotRun, 0},
		{"ticket without a time", func(_ *countingTable, r *sniperillv1.ServeRequest) { r.Ticket.Id = "0.x" }, shop.OutcomeNotRun, 0},
		{"older incarnation", func(_ *countingTable, r *sniperillv1.ServeRequest) { r.Ticket.Incarnation-- }, shop.OutcomeNotRun, 0},
		{"another agent", func(_ *countingTable, r *sniperillv1.ServeRequest) { r.Ticket.Agent = "b" }, shop.OutcomeNotRun, 0},
		{"idempotent", func(_ *countingTable, r *sniperillv1.ServeRequest) { r.Ticket, r.Idempotent = nil, true }, shop.OutcomeDone, 1},
		{"leaving", func(c *countingTable, _ *sniperillv1.ServeRequest) { c.Leave() }, shop.OutcomeNotRun, 0},
		{"evacuated", func(c *countingTable, _ *sniperillv1.ServeRequest) { c.SetEvacuated(true) }, shop.OutcomeNotRun, 0},
		{"taken back", func(c *countingTable, _ *sniperillv1.ServeRequest) { c.SetEvacuated(true); c.SetEvacuated(false) }, shop.OutcomeDone, 1},
		{"deadline", func(_ *countingTable, r *sniperillv1.ServeRequest) { r.Deadline = durationpb.New(0) }, shop.OutcomeNotRun, 0},
		{"no slot", func(c *countingTable, _ *sniperillv1.ServeRequest) { c.err = backend.ErrNoSlot }, shop.OutcomeNotRun, 0},
		{"short answer", func(c *countingTable, _ *sniperillv1.ServeRequest) { c.err = backend.ErrIncompleteAnswer }, shop.OutcomeMayHaveRun, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, req := newCountingTable(), newOrder("x")
				tt.change(c, req)
				for range 2 {
					if d := cmp.Diff(tt.want, c.outcome(t, req)); d != "" {
						t.Error(d)
					}
				}
				if d := cmp.Diff(tt.ran, c.runs.Load()); d != "" {
					t.Errorf("times run: %s", d)
				}
			})
		})
	}
}

func TestRepeatedWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCountingTable()
		abandoned, cancel := context.WithCancel(t.Context())
		go func() { _, _ = c.Serve(abandoned, newOrder("x")) }()
		synctest.Wait()
		cancel()
		again := newOrder("x")
		again.Attempt = 2
		if d := cmp.Diff(shop.OutcomeDone, c.outcome(t, again)); d != "" {
			t.Error(d)
		}
		got, err := c.FetchAnswer(t.Context(), &sniperillv1.FetchAnswerRequest{Id: "x"})
		if err != nil || string(got.GetAnswer().GetBody()) != "x" || c.runs.Load() != 1 {
			t.Errorf("FetchAnswer: %v, %v; ran %d times", got, err, c.runs.Load())
		}
	})
}

func TestSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCountingTable()
		c.RecordAge = time.Hour
		seal := func(id string) *sniperillv1.SealResponse {
			res, err := c.Seal(t.Context(), &sniperillv1.SealRequest{Id: id})
			if err != nil {
				t.Fatal(err)
			}
			return res
		}
		early := newOrder("early")
		if !seal("early").GetSealed() {
			t.Error("an unknown request was not sealed")
		}
		if d := cmp.Diff(shop.OutcomeNotRun, c.outcome(t, early)); d != "" {
			t.Error(d)
		}
		go func() { _, _ = c.Serve(t.Context(), newOrder("late")) }()
		synctest.Wait()
		if res := seal("late"); res.GetSealed() || res.GetAnswer() != nil {
			t.Errorf("a running request: %v", res)
		}
		time.Sleep(2 * time.Second)
		if res := seal("late"); res.GetSealed() || string(res.GetAnswer().GetBody()) != "late" {
			t.Errorf("an ended request: %v", res)
		}
		// Sealed last, so that no other record raises the floor as far.
		last := newOrder("last")
		if !seal("last").GetSealed() {
			t.Error("an unknown request was not sealed")
		}
		// A request stays sealed after its record is removed: its ticket is not above
		// the floor.
		time.Sleep(2 * time.Hour)
		c.Sweep()
		for _, req := range []*sniperillv1.ServeRequest{early, last} {
			if d := cmp.Diff(shop.OutcomeNotRun, c.outcome(t, req)); d != "" {
				t.Errorf("%s, whose record was removed: %s", req.GetId(), d)
			}
		}
		if d := cmp.Diff(shop.OutcomeDone, c.outcome(t, newOrder("new"))); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(int64(2), c.runs.Load()); d != "" {
			t.Errorf("times run: %s", d)
		}
	})
}

func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCountingTable()
		c.MaxBytes = 3
		c.MaxRecords = 8
		var first *sniperillv1.ServeRequest
		for i := range 5 {
			req := newOrder(fmt.Sprint(i))
			if first == nil {
				first = req
			}
			c.outcome(t, req)
		}
		c.Sweep()
		// Two answers of one byte each had to be dropped; their requests don't run
		// again.
		want := []shop.Outcome{shop.OutcomeMayHaveRun, shop.OutcomeMayHaveRun, shop.OutcomeDone, shop.OutcomeDone, shop.OutcomeDone}
		var got []shop.Outcome
		for i := range 5 {
			got = append(got, c.outcome(t, newOrder(fmt.Sprint(i))))
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Error(d)
		}
		var outcomes []shop.Outcome
		for i := range 3 {
			outcomes = append(outcomes, c.outcome(t, newOrder(fmt.Sprint("more", i))))
		}
		time.Sleep(time.Second)
		last := newOrder("last")
		outcomes = append(outcomes, c.outcome(t, last))
		if d := cmp.Diff([]shop.Outcome{shop.OutcomeDone, shop.OutcomeDone, shop.OutcomeDone, shop.OutcomeNotRun}, outcomes); d != "" {
			t.Error(d)
		}
		time.Sleep(2 * request.DefaultRecordAge)
		c.Sweep()
		for _, req := range []*sniperillv1.ServeRequest{first, last} {
			if d := cmp.Diff(shop.OutcomeNotRun, c.outcome(t, req)); d != "" {
				t.Errorf("%s, whose record was removed: %s", req.GetId(), d)
			}
		}
		if d := cmp.Diff(int64(8), c.runs.Load()); d != "" {
			t.Errorf("times run: %s", d)
		}
	})
}

func TestAcknowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCountingTable()
		quote := newOrder("quote")
		quote.Idempotent = true
		for _, req := range []*sniperillv1.ServeRequest{newOrder("order"), quote} {
			c.outcome(t, req)
		}
		if _, err := c.Acknowledge(t.Context(), &sniperillv1.AcknowledgeRequest{Ids: []string{"order", "quote", "none"}}); err != nil {
			t.Fatal(err)
		}
		got := []shop.Outcome{c.outcome(t, newOrder("order")), c.outcome(t, quote)}
		if d := cmp.Diff([]shop.Outcome{shop.OutcomeMayHaveRun, shop.OutcomeDone}, got); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff(int64(3), c.runs.Load()); d != "" {
			t.Errorf("times run: %s", d)
		}
	})
}

func TestDrain(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		want    request.UnfinishedList
	}{
		{"in time", 5 * time.Second, nil},
		{"deadline", time.Millisecond, request.UnfinishedList{{ID: "x", Team: "quotes"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, req := newCountingTable(), newOrder("x")
				req.Team = "quotes"
				go func() { _, _ = c.Serve(t.Context(), req) }()
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
				defer cancel()
				var got request.UnfinishedList
				if err := c.Drain(ctx); err != nil && !errors.As(err, &got) {
					t.Error(err)
				}
				if d := cmp.Diff(tt.want, got); d != "" {
					t.Error(d)
				}
				if d := cmp.Diff(shop.OutcomeNotRun, c.outcome(t, newOrder("y"))); d != "" {
					t.Error(d)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

func BenchmarkServe(b *testing.B) {
	table := &request.Table{Agent: "a", Incarnation: incarnation}
	table.Send = func(context.Context, backend.Request) (backend.Answer, error) {
		return backend.Answer{Status: 200}, nil
	}
	var next atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := table.Serve(b.Context(), newOrder(fmt.Sprint(next.Add(1)))); err != nil {
				b.Error(err)
			}
		}
	})
}
