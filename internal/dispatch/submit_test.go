package dispatch_test

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/intake"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// The platform's store may reject the calls of some machines and serve the others. An entry
// that can't reach the store forwards its calls to a peer.
func TestEntryWithoutStoreForwardsCalls(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2)
		time.Sleep(3 * time.Second)
		cut := c.entries[1]
		if p, _ := cut.state.Planner(); p.Name == cut.name {
			cut = c.entries[0]
		}
		cut.storeLink.setDisconnected(true)
		for _, id := range []string{"first", "second"} { // The first call detects that the store is unavailable.
			start := time.Now()
			if err := c.submitAt(cut, id, "red", "batch", task(1, 1)); err != nil {
				t.Errorf("submit %s at the entry that is cut off: %v", id, err)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("submit %s took %v", id, took)
			}
			time.Sleep(time.Second)
		}
		if state, err := cut.intake.State(c.ctx, "second", "red"); err != nil || state != shop.Running && state != shop.Done {
			t.Errorf("state at the entry that is cut off: %q, %v", state, err)
		}
		if _, err := cut.intake.State(c.ctx, "none", "red"); !errors.Is(err, shop.ErrNotFound) {
			t.Errorf("state of no job: %v, want %v", err, shop.ErrNotFound)
		}
		if err := cut.intake.Cancel(c.ctx, "second", "red"); err != nil {
			t.Errorf("cancel at the entry that is cut off: %v", err)
		}
		c.await(5*time.Second, shop.Done, "first")
		c.checkStartedOnce("first.0.0.0")
	})
}

// A store that rejects every call has written nothing, so an entry can refuse a job at once.
func TestJobsAreRefusedAtOnceWithoutStore(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2)
		time.Sleep(3 * time.Second)
		c.store.SetFault(standin.StoreBusy)
		start := time.Now()
		if err := c.submitAt(c.entries[0], "a", "red", "batch", task(1, 1)); !errors.Is(err, intake.ErrUnavailable) {
			t.Errorf("submit: %v, want %v", err, intake.ErrUnavailable)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("the refusal took %v", took)
		}
		c.store.SetFault(standin.StoreHealthy)
		time.Sleep(5 * time.Second)
		if n := c.runs.count("a.0.0.0"); n != 0 {
			t.Errorf("a refused job was started %d times", n)
		}
	})
}

// While the store answers nobody, one write per entry is undecided and its caller gets no
// definite answer. Later calls must be refused at once, which is correct as nothing of them is
// written: if they were forwarded to a peer that can't reach the store either, their outcome
// would be undecided, too.
func TestOutageLeavesFewOutcomesUndecided(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2)
		time.Sleep(3 * time.Second)
		c.store.SetFault(standin.StoreSilent)
		for i, e := range c.entries {
			go func() { _ = c.submitAt(e, fmt.Sprint("open", i), "red", "batch", task(1, 1)) }()
		}
		time.Sleep(2500 * time.Millisecond) // By now, waiting reads have timed out.
		for i, e := range c.entries {
			start := time.Now()
			if err := c.submitAt(e, fmt.Sprint("late", i), "red", "batch", task(1, 1)); !errors.Is(err, intake.ErrUnavailable) {
				t.Errorf("submit at %s: %v, want %v", e.name, err, intake.ErrUnavailable)
			}
			if took := time.Since(start); took > 100*time.Millisecond {
				t.Errorf("the refusal at %s took %v", e.name, took)
			}
		}
	})
}

// The store falls silent for four seconds. Jobs that come meanwhile are refused, as nothing of them is
// written, and soon: their callers come back after the time that they are told. Those who were told that
// the outcome is unknown may not try again.
func TestJobsAreRefusedWhileStoreIsSilent(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2)
		time.Sleep(3 * time.Second)
		c.store.SetFault(standin.StoreSilent)
		silentSince := time.Now()
		time.AfterFunc(4*time.Second, func() { c.store.SetFault(standin.StoreHealthy) })
		var jobs []string
		var done sync.WaitGroup
		for i := range 24 { // From 0.4 s on, on all entries in turn.
			id := fmt.Sprint("job", i)
			jobs = append(jobs, id)
			done.Go(func() {
				e := c.entries[i%3]
				time.Sleep(400*time.Millisecond + time.Duration(i)*150*time.Millisecond)
				for tries := 1; ; tries++ {
					start := time.Now()
					err := c.submitAt(e, id, "red", "batch", task(0.2, 1))
					if took := time.Since(start); took > 600*time.Millisecond {
						t.Errorf("%s: try %d took %v", id, tries, took)
					}
					if err == nil {
						return
					}
					if !errors.Is(err, intake.ErrUnavailable) {
						t.Errorf("%s: try %d, %v after the store fell silent: %v, want %v", id, tries, start.Sub(silentSince), err, intake.ErrUnavailable)
						return
					}
					if tries == 4 {
						t.Errorf("%s: not accepted in %d tries", id, tries)
						return
					}
					time.Sleep(e.intake.RetryAfter())
				}
			})
		}
		done.Wait()
		c.await(10*time.Second, shop.Done, jobs...)
	})
}

// A refusal means that the job never runs. No entry may refuse a job whose write is undecided,
// whichever entry the caller retries at, and even if the first entry is dead.
func TestJobWithUndecidedWriteIsNotRefused(t *testing.T) {
	tests := []struct {
		name string
		// first submits the job for the first time, so that its outcome stays undecided.
		first func(*cluster) error
	}{
		{"own write", func(c *cluster) error {
			return c.submitUndecided()
		}},
		{"forwarded write", func(c *cluster) error {
			c.entries[0].storeLink.setDisconnected(true)
			time.Sleep(2 * time.Second) // The entry detects that it has lost the store.
			return c.submitUndecided()
		}},
		{"own write, and the entry is killed", func(c *cluster) error {
			err := c.submitUndecided()
			c.entries[0].kill()
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 3, 2)
				time.Sleep(3 * time.Second)
				if err := tt.first(c); !errors.Is(err, intake.ErrUndecided) {
					t.Fatalf("the first call: %v, want %v", err, intake.ErrUndecided)
				}
				for _, e := range c.entries {
					if isClosed(e.killed) {
						continue
					}
					// A write of its own lets the entry detect that the store is unavailable.
					_ = c.submitAt(e, "other-"+e.name, "red", "batch", task(1, 1))
					time.Sleep(2 * time.Second)
					if err := c.submitAt(e, "open", "red", "batch", task(1, 1)); !errors.Is(err, intake.ErrUndecided) {
						t.Errorf("again at %s: %v, want %v", e.name, err, intake.ErrUndecided)
					}
				}
			})
		})
	}
}

// submitUndecided submits a job at the first entry while the store is about to fall silent: it still
// answers reads, and then nothing more.
func (c *cluster) submitUndecided() error {
	c.store.SetFault(standin.StoreAppendsSilent)
	err := c.submitAt(c.entries[0], "open", "red", "batch", task(1, 1))
	c.store.SetFault(standin.StoreSilent)
	return err
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// A call whose outcome is undecided waits for the store for a while. If it were answered at
// once, the caller's few retries would be used up before the store is back.
func TestUndecidedCallWaitsForStore(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		if err := c.submitUndecided(); !errors.Is(err, intake.ErrUndecided) {
			t.Fatalf("the first call: %v, want %v", err, intake.ErrUndecided)
		}
		c.entries[0].kill()
		time.Sleep(1500 * time.Millisecond)
		go func() {
			time.Sleep(time.Second)
			c.store.SetFault(standin.StoreHealthy)
		}()
		if err := c.submitAt(c.entries[1], "open", "red", "batch", task(1, 1)); err != nil {
			t.Errorf("the second call: %v", err)
		}
		c.await(5*time.Second, shop.Done, "open")
	})
}

// An entry that was cut off from the store doesn't know a job that a peer has accepted, and no
// entry reaches the store when the caller retries. The retry must not be refused.
func TestJobAcceptedByPeerIsNotRefused(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2)
		time.Sleep(3 * time.Second)
		cut := c.entries[1]
		cut.storeLink.setDisconnected(true)
		time.Sleep(3 * time.Second) // A read that was already waiting ends.
		if err := c.submitAt(c.entries[0], "a", "red", "batch", task(1, 1)); err != nil {
			t.Fatal(err)
		}
		c.store.SetFault(standin.StoreBusy)
		cut.storeLink.setDisconnected(false)
		time.Sleep(2 * time.Second)
		for i, e := range c.entries { // Each entry detects that the store is unavailable.
			if err := c.submitAt(e, fmt.Sprint("b", i), "red", "batch", task(1, 1)); !errors.Is(err, intake.ErrUnavailable) {
				t.Errorf("submit at %s without the store: %v, want %v", e.name, err, intake.ErrUnavailable)
			}
		}
		if err := c.submitAt(cut, "a", "red", "batch", task(1, 1)); err != nil {
			t.Errorf("submit again at the entry that was cut off: %v", err)
		}
		c.store.SetFault(standin.StoreHealthy)
		c.await(10*time.Second, shop.Done, "a")
		c.checkStartedOnce("a.0.0.0")
	})
}

// An entry that reaches neither the store nor some of the others, for seconds, can't tell whether these are gone or it is
// cut off itself, as by a crowd that takes all its processor time. They take jobs meanwhile.
func TestEntryCutOffFromStoreAndPeersRefusesNoJob(t *testing.T) {
	for _, tt := range []struct {
		name     string
		duration time.Duration
		together bool // Another entry is cut off with it, so that it hears that one.
	}{
		{"for a moment", 2 * time.Second, false},
		{"for long", 8 * time.Second, false},
		{"for long, with another", 8 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 3, 2)
				time.Sleep(3 * time.Second)
				accepts, cut, also := c.entries[0], c.entries[1], c.entries[2]
				apart := cut
				if tt.together {
					apart = accepts
				}
				c.cutOff.Store(apart.name, true)
				cut.storeLink.setDisconnected(true)
				also.storeLink.setDisconnected(tt.together)
				time.Sleep(tt.duration)
				if err := c.submitAt(accepts, "a", "red", "batch", task(1, 1)); err != nil {
					t.Fatal(err)
				}
				if err := c.submitAt(cut, "a", "red", "batch", task(1, 1)); !errors.Is(err, intake.ErrUndecided) {
					t.Errorf("submit again at the entry that is cut off: %v, want %v", err, intake.ErrUndecided)
				}
				c.cutOff.Delete(apart.name)
				cut.storeLink.setDisconnected(false)
				also.storeLink.setDisconnected(false)
				if err := c.submitAt(cut, "a", "red", "batch", task(1, 1)); err != nil {
					t.Errorf("submit once more, with the links back: %v", err)
				}
				c.await(10*time.Second, shop.Done, "a")
				c.checkStartedOnce("a.0.0.0")
			})
		})
	}
}

// A machine is gone for good. While the store is away, the others refuse jobs at once: their callers may try again.
func TestJobsAreRefusedThoughAnEntryIsGone(t *testing.T) {
	for _, tt := range []struct {
		name string
		gone func(*cluster)
	}{
		{"it never said that it leaves", func(c *cluster) { c.entries[0].kill() }},
		{"it left, and its machine is off", func(c *cluster) {
			c.leaveEntry(c.entries[0])
			c.cutOff.Store(c.entries[0].name, true)
		}},
		{"it left, and the others were restarted since", func(c *cluster) {
			c.leaveEntry(c.entries[0])
			c.restartEntry(c.entries[1])
			c.restartEntry(c.entries[2])
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 3, 2)
				time.Sleep(3 * time.Second)
				tt.gone(c)
				time.Sleep(10 * time.Second)
				c.store.SetFault(standin.StoreSilent)
				for i := range 8 {
					time.Sleep(500 * time.Millisecond)
					e, start := c.entries[1+i%2], time.Now()
					if err := c.submitAt(e, fmt.Sprint("job", i), "red", "batch", task(1, 1)); !errors.Is(err, intake.ErrUnavailable) {
						t.Errorf("submit %d at %s: %v, want %v", i, e.name, err, intake.ErrUnavailable)
					}
					if took := time.Since(start); took > 600*time.Millisecond {
						t.Errorf("refusal %d took %v", i, took)
					}
				}
			})
		})
	}
}

// An entry that was cut off, with an open write, is back while another one asks the rest for the job.
func TestJobOfEntryThatComesBackIsNotRefused(t *testing.T) {
	for off := time.Duration(0); off < 2200*time.Millisecond; off += 50 * time.Millisecond {
		t.Run(fmt.Sprint(off), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 3, 2)
				time.Sleep(3 * time.Second)
				back, asked := c.entries[0], c.entries[1]
				c.slow.Store(c.entries[2].name, true)
				c.cutOff.Store(back.name, true)
				time.Sleep(2*time.Second + off)
				c.store.SetFault(standin.StoreAppendsSilent)
				go func() { _ = c.submitAt(back, "open", "red", "batch", task(1, 1)) }()
				time.Sleep(200 * time.Millisecond)
				c.store.SetFault(standin.StoreBusy)
				time.Sleep(100 * time.Millisecond)
				c.cutOff.Delete(back.name)
				err := asked.intake.Refuse(c.ctx, "open")
				c.store.SetFault(standin.StoreHealthy)
				time.Sleep(8 * time.Second)
				if errors.Is(err, intake.ErrUnavailable) && c.state("open") != "" {
					t.Errorf("refused, but it is %q: %v", c.state("open"), err)
				}
			})
		})
	}
}

// An entry with an open write and its only peer are killed one after the other, and start again. The peer has never
// heard of the first one's earlier incarnation.
func TestJobIsNotRefusedAfterBothEntriesRestarted(t *testing.T) {
	for wait := 100 * time.Millisecond; wait <= 1500*time.Millisecond; wait += 200 * time.Millisecond {
		t.Run(fmt.Sprint(wait), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				time.Sleep(3 * time.Second)
				c.store.SetFault(standin.StoreAppendsSilent)
				go func() { _ = c.submitAt(c.entries[0], "open", "red", "batch", task(1, 1)) }()
				time.Sleep(100 * time.Millisecond)
				c.entries[0].kill()
				c.restartEntry(c.entries[1])
				time.Sleep(300 * time.Millisecond)
				c.restartEntry(c.entries[0])
				time.Sleep(wait)
				c.store.SetFault(standin.StoreBusy)
				if err := c.entries[1].intake.Refuse(c.ctx, "open"); errors.Is(err, intake.ErrUnavailable) {
					t.Error(err)
				}
			})
		})
	}
}

// An entry that has just started knows neither jobs nor peers until it has read the journal,
// and must not refuse a job until then.
func TestEntryBehindJournalRefusesNothing(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		if err := c.submitAt(c.entries[0], "a", "red", "batch", task(1, 1)); err != nil {
			t.Fatal(err)
		}
		c.store.SetFault(standin.StoreBusy)
		late := c.startEntry("late")
		time.Sleep(time.Second)
		if err := c.submitAt(late, "a", "red", "batch", task(1, 1)); err == nil || errors.Is(err, intake.ErrUnavailable) {
			t.Errorf("submit again at the entry that has not read the journal: %v, want an undecided outcome", err)
		}
		time.AfterFunc(500*time.Millisecond, func() { c.store.SetFault(standin.StoreHealthy) })
		if err := c.submitAt(late, "a", "red", "batch", task(1, 1)); err != nil {
			t.Errorf("submit once more, with the store back half a second later: %v", err)
		}
		c.await(10*time.Second, shop.Done, "a")
		c.checkStartedOnce("a.0.0.0")
	})
}

// A call waits behind an open write until its time is over. No peer can tell then whether an earlier call was accepted,
// or whether the peer that this one was passed on to writes it.
func TestCallBehindOpenWriteIsNotRefused(t *testing.T) {
	tests := []struct {
		name string
		// first is called after the open write was sent.
		first func(c *cluster, peer *entry)
		lose  func(*storeLink)
	}{
		{
			name: "a peer that has accepted the job is killed",
			lose: (*storeLink).loseAnswers,
			first: func(c *cluster, peer *entry) {
				c.submitFirst(peer)
				time.AfterFunc(300*time.Millisecond, peer.kill)
			},
		},
		{
			name: "the same, and the entry has read the job's record",
			lose: func(l *storeLink) { l.loseAppends(true) },
			first: func(c *cluster, peer *entry) {
				c.submitFirst(peer)
				time.AfterFunc(300*time.Millisecond, peer.kill)
			},
		},
		{
			name: "the peer that the call was passed on to doesn't answer",
			lose: (*storeLink).loseAnswers,
			first: func(_ *cluster, peer *entry) {
				time.Sleep(45 * time.Millisecond)
				// The open write has been passed on by then, and the call has not.
				time.AfterFunc(480*time.Millisecond, func() { peer.storeLink.loseAppends(true) })
				time.AfterFunc(3*time.Second, func() { peer.storeLink.loseAppends(false) })
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				time.Sleep(3 * time.Second)
				behind, peer := c.entries[0], c.entries[1]
				tt.lose(&behind.storeLink)
				go func() { _ = c.submitAt(behind, "open", "red", "batch", task(1, 1)) }()
				time.Sleep(5 * time.Millisecond)
				tt.first(c, peer)
				if err := c.submitAt(behind, "a", "red", "batch", task(1, 1)); errors.Is(err, intake.ErrUnavailable) {
					time.Sleep(5 * time.Second)
					t.Errorf("submit: %v; its task was started %d times", err, c.runs.count("a.0.0.0"))
				}
			})
		})
	}
}

// submitFirst submits job "a" at an entry, which accepts it.
func (c *cluster) submitFirst(e *entry) {
	if err := c.submitAt(e, "a", "red", "batch", task(1, 1)); err != nil {
		c.t.Error(err)
	}
}

// An entry whose write is open is killed and started again. It knows nothing of the write, which may still arrive, so
// no entry may refuse the job.
func TestJobOfRestartedEntryIsNotRefused(t *testing.T) {
	for _, at := range []string{"entry-0", "entry-1", "entry-2"} {
		t.Run(at, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 3, 2)
				time.Sleep(3 * time.Second)
				c.store.SetFault(standin.StoreAppendsSilent)
				go func() { _ = c.submitAt(c.entries[0], "open", "red", "batch", task(1, 1)) }()
				time.Sleep(200 * time.Millisecond)
				c.restartEntry(c.entries[0])
				time.Sleep(time.Second)
				c.store.SetFault(standin.StoreSilent)
				time.Sleep(time.Second)
				e := c.entries[slices.IndexFunc(c.entries, func(e *entry) bool { return e.name == at })]
				if err := c.submitAt(e, "open", "red", "batch", task(1, 1)); errors.Is(err, intake.ErrUnavailable) {
					t.Errorf("submit again: %v", err)
				}
				time.Sleep(4 * time.Second)
				if err := c.submitAt(e, "other", "red", "batch", task(1, 1)); !errors.Is(err, intake.ErrUnavailable) {
					t.Errorf("submit another job later: %v, want %v", err, intake.ErrUnavailable)
				}
			})
		})
	}
}

// An entry leaves while the store is away, or just before. It tells the others what it may have written, so they refuse
// all other jobs at once: their callers may try again.
func TestJobsAreRefusedAfterEntryLeft(t *testing.T) {
	tests := []struct {
		name string
		// before is called before the entry leaves. The outcome of job "a" is wanted afterwards.
		before  func(c *cluster, leaving, other *entry)
		want    error
		restart bool
	}{
		{
			name: "nothing open", want: intake.ErrUnavailable,
			before: func(c *cluster, _, _ *entry) { c.store.SetFault(standin.StoreBusy) },
		},
		{
			name: "nothing open, and it starts again", want: intake.ErrUnavailable, restart: true,
			before: func(c *cluster, _, _ *entry) { c.store.SetFault(standin.StoreBusy) },
		},
		{
			name: "its write of the job is open, and it starts again", want: intake.ErrUndecided, restart: true,
			before: func(c *cluster, leaving, _ *entry) {
				c.store.SetFault(standin.StoreAppendsSilent)
				_ = c.submitAt(leaving, "a", "red", "batch", task(1, 1))
				c.store.SetFault(standin.StoreSilent)
			},
		},
		{
			name: "its call of the job is in progress", want: intake.ErrUndecided,
			before: func(c *cluster, leaving, _ *entry) {
				c.store.SetFault(standin.StoreAppendsSilent)
				go func() { _ = c.submitAt(leaving, "a", "red", "batch", task(1, 1)) }()
				time.Sleep(100 * time.Millisecond)
				c.store.SetFault(standin.StoreSilent)
			},
		},
		{
			name: "it has accepted the job, which the other has not read", restart: true,
			before: func(c *cluster, leaving, other *entry) {
				other.storeLink.setDisconnected(true)
				time.Sleep(3 * time.Second) // A read that was already waiting ends.
				c.submitFirst(leaving)
				c.store.SetFault(standin.StoreBusy)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 3, 2)
				time.Sleep(3 * time.Second)
				leaving, other := c.entries[0], c.entries[1]
				tt.before(c, leaving, other)
				c.leaveEntry(leaving)
				if tt.restart {
					c.restartEntry(leaving)
				}
				time.Sleep(1500 * time.Millisecond) // The others have seen that.
				_ = c.submitAt(other, "first", "red", "batch", task(1, 1))
				for id, want := range map[string]error{"a": tt.want, "b": intake.ErrUnavailable} {
					if err := c.submitAt(other, id, "red", "batch", task(1, 1)); !errors.Is(err, want) {
						t.Errorf("submit %s: %v, want %v", id, err, want)
					}
				}
			})
		})
	}
}

// An entry leaves and starts again, cut off from the others, and its write of a job is open.
func TestJobOfUnreachableEntryThatLeftBeforeIsNotRefused(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2)
		time.Sleep(3 * time.Second)
		c.leaveEntry(c.entries[0])
		c.cutOff.Store(c.entries[0].name, true)
		c.restartEntry(c.entries[0])
		time.Sleep(500 * time.Millisecond)
		c.store.SetFault(standin.StoreAppendsSilent)
		_ = c.submitAt(c.entries[0], "open", "red", "batch", task(1, 1))
		c.store.SetFault(standin.StoreSilent)
		if err := c.submitAt(c.entries[1], "open", "red", "batch", task(1, 1)); !errors.Is(err, intake.ErrUndecided) {
			t.Errorf("submit: %v, want %v", err, intake.ErrUndecided)
		}
	})
}

// An entry leaves, starts again, and is killed while its write is open, before any regular probe.
func TestJobOfEntryKilledAfterItLeftIsNotRefused(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2)
		time.Sleep(3100 * time.Millisecond)
		c.leaveEntry(c.entries[0])
		c.restartEntry(c.entries[0])
		time.Sleep(200 * time.Millisecond)
		c.store.SetFault(standin.StoreAppendsSilent)
		go func() { _ = c.submitAt(c.entries[0], "open", "red", "batch", task(1, 1)) }()
		time.Sleep(200 * time.Millisecond)
		c.entries[0].kill()
		c.store.SetFault(standin.StoreSilent)
		time.Sleep(time.Second)
		if err := c.submitAt(c.entries[1], "open", "red", "batch", task(1, 1)); errors.Is(err, intake.ErrUnavailable) {
			t.Errorf("submit again: %v", err)
		}
	})
}

// An entry leaves and starts again only once it no longer counts as silent. Its write is open, and no regular probe has
// found it yet.
func TestJobOfEntryThatStartedLongAfterItLeftIsNotRefused(t *testing.T) {
	for _, kill := range []bool{false, true} {
		withVirtualTime(t, func(t *testing.T) {
			c := newCluster(t, 3, 2)
			time.Sleep(3100 * time.Millisecond)
			c.leaveEntry(c.entries[0])
			time.Sleep(10 * time.Second)
			c.restartEntry(c.entries[0])
			time.Sleep(200 * time.Millisecond)
			c.store.SetFault(standin.StoreAppendsSilent)
			go func() { _ = c.submitAt(c.entries[0], "open", "red", "batch", task(1, 1)) }()
			time.Sleep(200 * time.Millisecond)
			if kill {
				c.entries[0].kill()
			}
			c.store.SetFault(standin.StoreSilent)
			if err := c.submitAt(c.entries[1], "open", "red", "batch", task(1, 1)); errors.Is(err, intake.ErrUnavailable) {
				t.Errorf("submit again, killed %t: %v", kill, err)
			}
		})
	}
}

// A cancellation is answered with "no such job" only if no entry may still write the job: it would run.
func TestCancelWaitsForOpenWrite(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2)
		time.Sleep(3 * time.Second)
		writer, other := c.entries[0], c.entries[1]
		c.store.SetFault(standin.StoreAppendsSilent)
		if err := c.submitAt(writer, "a", "red", "batch", task(3, 1)); !errors.Is(err, intake.ErrUndecided) {
			t.Fatalf("submit: %v, want %v", err, intake.ErrUndecided)
		}
		writer.storeLink.loseAppends(true)
		time.Sleep(time.Second) // No attempt from before is under way.
		c.store.SetFault(standin.StoreHealthy)
		if err := other.intake.Cancel(c.ctx, "a", "red"); errors.Is(err, shop.ErrNotFound) {
			t.Errorf("cancel while the job may be written: %v", err)
		}
		writer.storeLink.loseAppends(false)
		time.Sleep(2 * time.Second)
		if err := other.intake.Cancel(c.ctx, "a", "red"); err != nil {
			t.Errorf("cancel: %v", err)
		}
		time.Sleep(2 * time.Second)
		for _, a := range c.agents {
			if got := a.machine.Executor().Running(); len(got) > 0 {
				t.Errorf("%v is running after the job was cancelled", got)
			}
		}
		if err := other.intake.Cancel(c.ctx, "b", "red"); !errors.Is(err, shop.ErrNotFound) {
			t.Errorf("cancel of a job that nobody submitted: %v, want %v", err, shop.ErrNotFound)
		}
	})
}
