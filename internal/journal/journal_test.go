package journal_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/standin"
)

func TestMain(m *testing.M) {
	clock.OverrideNow(clock.VirtualNow)
	os.Exit(m.Run())
}

// processes starts writers and followers that stop when the test ends.
type processes struct {
	t   *testing.T
	ctx context.Context
}

func newProcesses(t *testing.T) processes {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		time.Sleep(3 * time.Second) // In virtual time; calls in progress end within it.
	})
	return processes{t, ctx}
}

func (p processes) writer(s *standin.Store, name string, epoch int64) *journal.Writer {
	w := &journal.Writer{Store: s.Journal(), Producer: journal.Producer{Name: name, Epoch: epoch}}
	go w.Run(p.ctx)
	return w
}

func (p processes) add(w *journal.Writer, timeout time.Duration, key string) error {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	_, err := w.Add(ctx, journal.Record{Key: key, Value: []byte("v")})
	return err
}

// recordKeys returns the keys of all records in a store, in order.
func recordKeys(s *standin.Store) []string {
	var out []string
	for _, r := range s.Records() {
		out = append(out, r.Key)
	}
	return out
}

func TestWriter(t *testing.T) {
	tests := []struct {
		name         string
		fault        func(*standin.Store)
		recoverAfter time.Duration // Time until the store is healthy again.
		want         []error       // Results of appends 100 ms apart, with a timeout of 1 s each.
		keys         []string      // Keys in the store at the end.
	}{
		{
			"response is lost: the retry changes nothing",
			func(s *standin.Store) { s.LoseAnswers(1) },
			0,
			[]error{nil, nil},
			[]string{"k0", "k1"},
		},
		{
			"store refuses calls: appends fail and are never written",
			func(s *standin.Store) { s.SetFault(standin.StoreBusy) },
			10 * time.Second,
			[]error{journal.ErrUnavailable, journal.ErrUnavailable},
			nil,
		},
		{
			"store hangs: the first append is undecided and written later, the second fails",
			func(s *standin.Store) { s.SetFault(standin.StoreSilent) },
			10 * time.Second,
			[]error{journal.ErrUndecided, journal.ErrUnavailable},
			[]string{"k0"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newProcesses(t)
				s := &standin.Store{Delay: 5 * time.Millisecond}
				w := p.writer(s, "a", 1)
				tt.fault(s)
				got := make([]error, len(tt.want))
				for i := range tt.want {
					go func() { got[i] = p.add(w, time.Second, fmt.Sprint("k", i)) }()
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(tt.recoverAfter)
				s.SetFault(standin.StoreHealthy)
				time.Sleep(3 * time.Second)
				synctest.Wait() // All appends have returned.
				for i, want := range tt.want {
					if !errors.Is(got[i], want) {
						t.Errorf("append %d: %v, want %v", i, got[i], want)
					}
				}
				if diff := cmp.Diff(tt.keys, recordKeys(s)); diff != "" {
					t.Errorf("records (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestUnresponsiveStoreFailsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(t)
		s := &standin.Store{Delay: 5 * time.Millisecond}
		w := p.writer(s, "a", 1)
		s.SetFault(standin.StoreSilent)
		go func() { _ = p.add(w, 3*time.Second, "first") }()
		time.Sleep(1500 * time.Millisecond)
		start := time.Now()
		if err := p.add(w, 3*time.Second, "second"); !errors.Is(err, journal.ErrUnavailable) {
			t.Errorf("append to a store that is known to hang: %v, want %v", err, journal.ErrUnavailable)
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("append failed after %v, want no delay", took)
		}
	})
}

// The store rejects a record that is too large, however often it is sent. Appends that are batched with
// it and after it must not wait for it.
func TestRejectedAppendStopsNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(t)
		s := &standin.Store{Delay: 5 * time.Millisecond, MaxRecord: 10}
		w := p.writer(s, "a", 1)
		var got [4]error
		for i, size := range []int{1, 5, 11, 5} { // The last three are in one batch.
			go func() {
				_, got[i] = w.Add(p.ctx, journal.Record{Key: fmt.Sprint("k", i), Value: make([]byte, size)})
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait() // All appends have returned.
		for i, want := range []error{nil, nil, journal.ErrRejected, nil} {
			if !errors.Is(got[i], want) {
				t.Errorf("append %d: %v, want %v", i, got[i], want)
			}
		}
		if diff := cmp.Diff([]string{"k0", "k1", "k3"}, recordKeys(s)); diff != "" {
			t.Errorf("records (-want +got):\n%s", diff)
		}
	})
}

// A standby that reads at an interval calls the store less often than records are appended, and skips
// those that are superseded when it reads them. It reads at once when the interval becomes shorter.
func TestFollowerReadsAtInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(t)
		s := &standin.Store{Delay: 5 * time.Millisecond}
		w := p.writer(s, "a", 1)
		var interval atomic.Int64
		interval.Store(int64(200 * time.Millisecond))
		applied := make(map[string]int)
		f := &journal.Follower{
			Store: s.Journal(), ReadInterval: func() time.Duration { return time.Duration(interval.Load()) },
			Superseded: func(r journal.Record) bool { return r.Key == "busy" },
			Apply:      func(r journal.Record) { applied[r.Key]++ },
		}
		go f.Run(p.ctx)
		for range 100 {
			for _, key := range []string{"busy", "each"} {
				if err := p.add(w, time.Second, key); err != nil {
					t.Fatal(err)
				}
			}
		}
		appends := 200
		if reads := s.Calls() - appends; reads > 8 {
			t.Errorf("%d reads in a second, want at most 8", reads)
		}
		time.Sleep(300 * time.Millisecond)
		interval.Store(0)
		f.Wake()
		if err := p.add(w, time.Second, "last"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if applied["each"] != 100 || applied["last"] != 1 || applied["busy"] < 1 || applied["busy"] > 10 {
			t.Errorf("applied %v, want each of 100, the last, and few that were superseded", applied)
		}
	})
}

// A follower that is far behind is probed by each caller. Probes must not read the pages that it lacks:
// many of them at once choke a slow link, and each is given up before it has arrived.
func TestProbeReadsNoRecords(t *testing.T) {
	s := &standin.Store{}
	store := s.Journal()
	reads := 0
	store.Read = func(context.Context, int64, time.Duration) (journal.Page, error) { reads++; return journal.Page{}, nil }
	store.Newest = func(context.Context, string) (journal.Page, error) { reads++; return journal.Page{}, nil }
	f := &journal.Follower{Store: store}
	if err := f.Probe(t.Context()); err != nil || f.AnsweredAt() == 0 {
		t.Errorf("probe: %v, answered at %d", err, f.AnsweredAt())
	}
	s.SetFault(standin.StoreBusy)
	if err := f.Probe(t.Context()); !errors.Is(err, journal.ErrUnavailable) {
		t.Errorf("probe of a busy store: %v, want %v", err, journal.ErrUnavailable)
	}
	if reads != 0 {
		t.Errorf("%d reads of records, want none", reads)
	}
}

func TestHigherEpochFencesWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(t)
		s := &standin.Store{}
		old, next := p.writer(s, "planner", 1), p.writer(s, "planner", 2)
		for _, step := range []struct {
			w    *journal.Writer
			key  string
			want error
		}{{old, "a", nil}, {next, "b", nil}, {old, "c", journal.ErrFenced}, {next, "d", nil}} {
			if err := p.add(step.w, time.Second, step.key); !errors.Is(err, step.want) {
				t.Errorf("append %s: %v, want %v", step.key, err, step.want)
			}
		}
		if diff := cmp.Diff([]string{"a", "b", "d"}, recordKeys(s)); diff != "" {
			t.Errorf("records (-want +got):\n%s", diff)
		}
	})
}

func TestFollowerContinuesAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcesses(t)
		s := &standin.Store{Delay: time.Millisecond}
		w := p.writer(s, "a", 1)
		var got []string
		f := &journal.Follower{Store: s.Journal(), Apply: func(r journal.Record) {
			got = append(got, fmt.Sprint(r.Key, r.Offset))
		}}
		for _, key := range []string{"x", "y", "x"} {
			if err := p.add(w, time.Second, key); err != nil {
				t.Fatal(err)
			}
		}
		if err := f.Refresh(p.ctx); err != nil {
			t.Fatal(err)
		}
		if err := p.add(w, time.Second, "z"); err != nil {
			t.Fatal(err)
		}
		s.DropHistory()
		for range 2 {
			if err := f.Refresh(p.ctx); err != nil {
				t.Fatal(err)
			}
		}
		if err := p.add(w, time.Second, "x"); err != nil {
			t.Fatal(err)
		}
		if err := f.Refresh(p.ctx); err != nil {
			t.Fatal(err)
		}
		// First the newest record of each key, then the new ones, and none twice.
		if diff := cmp.Diff([]string{"y1", "x2", "z3", "x4"}, got); diff != "" {
			t.Errorf("applied (-want +got):\n%s", diff)
		}
	})
}

// The newest records take many pages, which together take longer than any one call may. The store may also
// be slow, or silent for a moment between two pages.
func TestLoadOfManyPagesEnds(t *testing.T) {
	tests := []struct {
		name   string
		pages  int
		delay  time.Duration // Of a call.
		silent time.Duration // After a third of the load.
	}{
		{"many pages", 200, 7 * time.Millisecond, 0},
		{"slow store", 20, 400 * time.Millisecond, 0},
		{"silent for a moment", 200, 7 * time.Millisecond, 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newProcesses(t)
				s := &standin.Store{MaxRead: 2}
				w := p.writer(s, "a", 1)
				var want []string
				for i := range 2 * tt.pages {
					key := fmt.Sprintf("k%d", i)
					want = append(want, key)
					if err := p.add(w, time.Second, key); err != nil {
						t.Fatal(err)
					}
				}
				s.Delay = tt.delay
				var got []string
				f := &journal.Follower{Store: s.Journal(), Apply: func(r journal.Record) { got = append(got, r.Key) }}
				go f.Run(p.ctx)
				load := time.Duration(tt.pages) * tt.delay
				time.Sleep(load / 3)
				if tt.silent > 0 {
					s.SetFault(standin.StoreSilent)
					time.Sleep(tt.silent)
					s.SetFault(standin.StoreHealthy)
				}
				time.Sleep(load*2/3 + 600*time.Millisecond)
				if f.CaughtUpAt() == 0 {
					t.Fatalf("the %d pages are not loaded %v after they could have been", tt.pages, 600*time.Millisecond)
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("applied (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A store that was unresponsive answers new calls, but not those that it received meanwhile. Pending
// appends must be written soon after it recovers, not only when the call in progress times out.
func TestWriteIsRetriedSoonAfterStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &standin.Store{Delay: 5 * time.Millisecond}
		p := newProcesses(t)
		w := p.writer(s, "w", 1)
		s.SetFault(standin.StoreSilent)
		written := make(chan time.Time, 1)
		go func() {
			if err := p.add(w, 5*time.Second, "a"); err != nil {
				t.Error(err)
			}
			written <- time.Now()
		}()
		time.Sleep(50 * time.Millisecond)
		s.SetFault(standin.StoreHealthy)
		recovered := time.Now()
		if took := (<-written).Sub(recovered); took > 500*time.Millisecond {
			t.Errorf("written %v after the store recovered", took)
		}
		if diff := cmp.Diff([]string{"a"}, recordKeys(s)); diff != "" {
			t.Errorf("records (-want +got):\n%s", diff)
		}
	})
}
