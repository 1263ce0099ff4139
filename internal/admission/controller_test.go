package admission

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

var start = time.Date(2026, 1, 2, 8, 0, 0, 0, time.UTC)

func config(teams ...string) shop.Config {
	c := shop.Config{Classes: shop.ClassList{
		{Name: "quote", Urgent: true, MaxQueued: 1000, Rate: 10, Burst: 1000},
		{Name: "render", MaxQueued: 1000, Rate: 10, Burst: 1000},
		{Name: "short", MaxQueued: 2, Rate: 10, Burst: 1000},
		{Name: "rare", MaxQueued: 1000, Rate: 0.5, Burst: 2},
	}}
	for _, t := range teams {
		c.Teams = append(c.Teams, shop.Team{Name: t})
	}
	return c.WithDefaults()
}

func newController(now *time.Time, total int, teams ...string) *Controller {
	ctl := &Controller{Now: func() time.Time { return *now }, MaxTotal: total}
	ctl.Update(config(teams...), 1)
	return ctl
}

// admit admits up to n jobs or calls. It returns their tickets and the first refusal.
func admit(ctl *Controller, n int, team, class string) ([]*Ticket, *Refusal) {
	var tickets []*Ticket
	for range n {
		ticket, err := ctl.Admit(team, class)
		var r *Refusal
		if errors.As(err, &r) {
			return tickets, r
		}
		tickets = append(tickets, ticket)
	}
	return tickets, nil
}

func ExampleController_Admit() {
	now := start
	ctl := newController(&now, 100, "quotes")
	_, refusal := admit(ctl, 3, "quotes", "rare")
	fmt.Println(refusal)
	fmt.Println(errors.Is(refusal, shop.ErrOverloaded), errors.Is(refusal, shop.ErrNotRun))
	// Output:
	// not run: quotes/rare: arrivals are above the rate of the class; retry after 2.001s
	// true true
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name        string
		team, class string
		n, admitted int
		reason      Reason
	}{
		{"within bounds", "a", "quote", 50, 50, ""},
		{"queue", "a", "short", 5, 2, QueueBound},
		{"rate", "a", "rare", 5, 2, RateBound},
		{"reserved part and non-urgent share of the shared part", "a", "render", 200, 25 + 35, TotalBound},
		{"reserved part and all of the shared part", "a", "quote", 200, 25 + 50, TotalBound},
		{"no such team", "x", "quote", 1, 0, UnknownName},
		{"no such class", "a", "x", 1, 0, UnknownName},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := start
			ctl := newController(&now, 100, "a", "b")
			got, refusal := admit(ctl, tt.n, tt.team, tt.class)
			if len(got) != tt.admitted || (refusal == nil) != (tt.reason == "") {
				t.Fatalf("%d admitted, then %v", len(got), refusal)
			}
			if refusal == nil {
				return
			}
			unknown := tt.reason == UnknownName
			if refusal.Reason != tt.reason || !errors.Is(refusal, shop.ErrNotRun) ||
				errors.Is(refusal, shop.ErrOverloaded) == unknown || (refusal.RetryAfter == 0) != unknown {
				t.Errorf("%v: %+v", refusal, refusal)
			}
		})
	}
}

func TestBurstDoesNotAffectOtherTeams(t *testing.T) {
	now := start
	ctl := newController(&now, 100, "a", "b")
	admit(ctl, 1000, "a", "render")
	admit(ctl, 1000, "a", "quote")
	for _, class := range []string{"render", "quote"} {
		if got, r := admit(ctl, 12, "b", class); r != nil {
			t.Errorf("b got %d of %s, then %v", len(got), class, r)
		}
	}
}

func TestUpdateKeepsTheTotal(t *testing.T) {
	now := start
	ctl := newController(&now, 100, "a", "b")
	admit(ctl, 1000, "a", "quote")
	ctl.Update(config("a", "b"), 1)
	if got, _ := admit(ctl, 1000, "a", "quote"); len(got) != 0 {
		t.Errorf("%d admitted beyond the total after an update", len(got))
	}
}

func TestRetryAfterIsAccurate(t *testing.T) {
	now := start
	ctl := newController(&now, 100, "a")
	for i := range 20 {
		_, refusal := admit(ctl, 5, "a", "rare")
		if refusal == nil {
			t.Fatal("not refused")
		}
		now = now.Add(refusal.RetryAfter - 10*time.Millisecond)
		if _, err := ctl.Admit("a", "rare"); err == nil {
			t.Fatalf("round %d: admitted before %v", i, refusal.RetryAfter)
		}
		now = now.Add(10 * time.Millisecond)
		if _, err := ctl.Admit("a", "rare"); err != nil {
			t.Fatalf("round %d: %v", i, err)
		}
	}
}

func TestRetryAfterFollowsTheDrain(t *testing.T) {
	now := start
	ctl := newController(&now, 100, "a")
	if _, r := admit(ctl, 3, "a", "short"); r.RetryAfter != defaultDrainTime {
		t.Errorf("no work has left yet, but got %v", r)
	}
	for range 50 {
		tickets, _ := admit(ctl, 1, "a", "quote")
		tickets[0].Release()
	}
	_, r := admit(ctl, 1000, "a", "quote")
	if want := meterPeriod / 50; r.Reason != TotalBound || r.RetryAfter != want {
		t.Errorf("%v, want %v", r, want)
	}
	now = now.Add(3 * meterPeriod)
	if _, r = admit(ctl, 1000, "a", "quote"); r.RetryAfter != defaultDrainTime {
		t.Errorf("no work has left lately, but got %v", r)
	}
}

func TestReleaseAndUpdate(t *testing.T) {
	now := start
	ctl := newController(&now, 100, "a", "b")
	tickets, _ := admit(ctl, 2, "a", "short")
	ctl.Update(config("a", "b", "c"), 1)
	if _, err := ctl.Admit("a", "short"); err == nil {
		t.Error("an update lost the count of waiting work")
	}
	tickets[0].Release()
	tickets[0].Release()
	if got, _ := admit(ctl, 5, "a", "short"); len(got) != 1 {
		t.Errorf("%d admitted after one release", len(got))
	}
	admit(ctl, 5, "a", "rare")
	ctl.Update(config("a"), 3)
	if _, err := ctl.Admit("a", "rare"); err == nil {
		t.Error("an update refilled the burst")
	}
	if got, _ := admit(ctl, 1000, "a", "short"); len(got) != 0 {
		t.Errorf("%d admitted beyond the bound of one of three entries", len(got))
	}
	if _, err := ctl.Admit("b", "quote"); !errors.Is(err, shop.ErrNotFound) {
		t.Errorf("removed team: %v", err)
	}
}

func TestCountsAreZeroAfterConcurrentUse(t *testing.T) {
	ctl := &Controller{MaxTotal: 50}
	ctl.Update(config("a", "b"), 1)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for range 500 {
				l, _ := admit(ctl, 20, string(rune('a'+i%2)), []string{"quote", "render", "short"}[i%3])
				for _, t := range l {
					t.Release()
				}
				if i == 0 {
					ctl.Update(config("a", "b"), 1)
				}
			}
		})
	}
	wg.Wait()
	for k, tc := range ctl.table.Load().teamClasses {
		if tc.queued.Load() != 0 || tc.team.used.Load() != 0 || ctl.shared.Load() != 0 {
			t.Errorf("%v: %d queued, %d reserved, %d shared", k, tc.queued.Load(), tc.team.used.Load(), ctl.shared.Load())
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{1, 4, 32, 130} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			var names []string
			for i := range teams {
				names = append(names, fmt.Sprint("team-", i))
			}
			c := config(names...)
			for i := range c.Classes {
				c.Classes[i].Rate, c.Classes[i].Burst = 1e9, 1e9
			}
			ctl := &Controller{}
			ctl.Update(c, 1)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if t, err := ctl.Admit(names[i%teams], "quote"); err == nil {
						t.Release()
					}
				}
			})
		})
	}
}
