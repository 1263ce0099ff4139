package journal_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/journal"
)

// refreshFixture is a follower of a store that answers reads after a delay and counts them.
type refreshFixture struct {
	journal.Follower
	mu            sync.Mutex
	reads, atOnce int
	open          int
	delay         func(read int) time.Duration
}

func newRefreshFixture(delay func(read int) time.Duration) *refreshFixture {
	clock.OverrideNow(clock.VirtualNow)
	f := &refreshFixture{delay: delay}
	f.Store = journal.Store{
		Newest: func(context.Context, string) (journal.Page, error) { return journal.Page{}, nil },
		Read: func(ctx context.Context, _ int64, _ time.Duration) (journal.Page, error) {
			f.mu.Lock()
			f.reads++
			f.open++
			f.atOnce = max(f.atOnce, f.open)
			pause := f.delay(f.reads)
			f.mu.Unlock()
			err := clock.Pause(ctx, pause)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.open--
			return journal.Page{}, err
		},
	}
	f.Apply = func(journal.Record) {}
	return f
}

// Load pattern: hundreds of clients ask for jobs that nobody knows.
func TestSharedRefreshesMakeFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRefreshFixture(func(int) time.Duration { return 50 * time.Millisecond })
		if err := f.Refresh(t.Context()); err != nil { // Loads the journal.
			t.Fatal(err)
		}
		var group sync.WaitGroup
		for i := range 400 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				called := clock.Now()
				if err := f.SharedRefresh(t.Context()); err != nil {
					t.Error(err)
				}
				if f.CaughtUpAt() < called {
					t.Errorf("refreshed up to %v before the call", called.Sub(f.CaughtUpAt()))
				}
			})
		}
		group.Wait()
		if f.reads > 3 || f.atOnce > 1 {
			t.Errorf("%d reads, %d at once", f.reads, f.atOnce)
		}
	})
}

// A read whose connection has gone silent holds up no later call for long, and there are few of them at once.
func TestSharedRefreshBesideASilentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRefreshFixture(func(read int) time.Duration {
			if read == 1 {
				return time.Hour
			}
			return 10 * time.Millisecond
		})
		if err := f.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		go func() { _ = f.SharedRefresh(t.Context()) }()
		time.Sleep(200 * time.Millisecond)
		started := time.Now()
		if err := f.SharedRefresh(t.Context()); err != nil || time.Since(started) > 100*time.Millisecond {
			t.Errorf("refreshed after %v, %v", time.Since(started), err)
		}
		time.Sleep(3 * time.Second) // Calls in progress end.
	})
}
