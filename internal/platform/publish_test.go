package platform

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// A snapshot includes the results of all changes before its AsOf. A change whose base
// was newer than the newest version when it was appended must stay a conflict for a
// reader that starts at that change.
func TestConfigsSnapshotExcludesEarlier(t *testing.T) {
	s := newStream()
	s.add(Record{ID: "a", Kind: KindConfigChange, Config: &ConfigRecord{Base: 0, Author: "a"}})
	s.add(Record{ID: "ahead", Kind: KindConfigChange, Config: &ConfigRecord{Base: 2, Author: "ahead"}})
	s.add(Record{ID: "b", Kind: KindConfigChange, Config: &ConfigRecord{Base: 1, Author: "b"}})
	whole, fresh := &Configs{}, &Configs{}
	w := &reader{apply: whole.Apply, missed: whole.Missed}
	s.read(w, allRecords)
	s.add(whole.Due(s.now.Add(time.Hour))[0])
	s.first = 1
	s.read(&reader{apply: fresh.Apply, missed: fresh.Missed}, allRecords)
	if a := fresh.Current(); a == nil || a.Version != 2 || a.Author != "b" {
		t.Errorf("fresh reader: %+v", a)
	}
}

// startConfigs starts a reader of the configuration.
func (f *fixture) startConfigs() *Configs {
	b := &Batcher{Log: f.log, Stream: ConfigStream}
	c := &Configs{Append: b.Append}
	f.follow(&Follower{Stream: ConfigStream, Handle: c.Apply, Missed: c.Missed})
	go func() { _ = b.Run(f.ctx) }()
	return c
}

// Operators publish concurrently, also with lost responses and delays. Exactly one
// must win each base.
func TestPublishRace(t *testing.T) {
	for _, faults := range []standin.LogFaults{{}, {LoseAnswers: true}, {Delay: 300 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.standIn.SetFaults(faults)
				entries := []*Configs{f.startConfigs(), f.startConfigs(), f.startConfigs()}
				for base := range uint64(5) {
					var mu sync.Mutex
					var races sync.WaitGroup
					winner := ""
					for i, c := range entries {
						races.Go(func() {
							author := fmt.Sprint(i)
							v, err := c.Publish(f.ctx, shop.Config{}, base, author)
							mu.Lock()
							defer mu.Unlock()
							switch {
							case err == nil && winner == "" && v == base+1:
								winner = author
							case !errors.Is(err, shop.ErrConflict):
								t.Errorf("base %d, %s: %d, %v; won by %q", base, author, v, err, winner)
							}
						})
					}
					races.Wait()
					time.Sleep(3 * time.Second)
					synctest.Wait()
					for _, c := range entries {
						if a := c.Current(); a == nil || a.Version != base+1 || a.Author != winner {
							t.Errorf("base %d won by %s: %+v", base, winner, a)
						}
					}
				}
			})
		})
	}
}

// A claim of unknown outcome must be answered as not run, and be voided when the log
// is available again, so that the caller can use its key again.
func TestClaimWhileLogUnavailable(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.LogFaults
		// Faults that follow once the claim may have been appended.
		then *standin.LogFaults
	}{
		{"down", standin.LogFaults{Down: true}, nil},
		{"slow", standin.LogFaults{Delay: 5 * time.Second}, nil},
		{"rejects", standin.LogFaults{Reject: true}, nil},
		{"appended, response lost, then down", standin.LogFaults{LoseAnswers: true}, &standin.LogFaults{Down: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				c := &Claims{Append: func() *Batcher {
					b := &Batcher{Log: f.log, Stream: ClaimStream}
					go func() { _ = b.Run(f.ctx) }()
					return b
				}().Append}
				f.follow(&Follower{Stream: ClaimStream, Handle: c.Apply, Missed: c.Missed})
				go func() { _ = c.Run(f.ctx) }()
				f.standIn.SetFaults(tt.faults)
				if tt.then != nil {
					time.AfterFunc(DefaultWindow+time.Millisecond, func() { f.standIn.SetFaults(*tt.then) })
				}
				claim := Claim{Team: "t", Key: "k", Digest: "d", Request: "first"}
				if _, err := c.Claim(f.ctx, claim); !errors.Is(err, shop.ErrNotRun) {
					t.Errorf("Claim under faults: %v", err)
				}
				f.standIn.SetFaults(standin.LogFaults{})
				time.Sleep(time.Minute)
				if n := c.AbandonedClaims(); n != 0 {
					t.Errorf("%d claims still to be voided", n)
				}
				claim.Request = "second"
				if d, err := c.Claim(f.ctx, claim); err != nil || !d.Won {
					t.Errorf("Claim again: %+v, %v", d, err)
				}
				claim.Digest, claim.Request = "other", "third"
				if _, err := c.Claim(f.ctx, claim); !errors.Is(err, ErrKeyReused) {
					t.Errorf("Claim of another body: %v", err)
				}
			})
		})
	}
}

// Accept must report whether a job is accepted, rejected or of unknown outcome, and
// the log must agree.
func TestAcceptUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.LogFaults
		want   error
	}{
		{"no fault", standin.LogFaults{}, nil},
		{"responses lost", standin.LogFaults{LoseAnswers: true}, nil},
		{"down", standin.LogFaults{Down: true}, ErrOutcomeUnknown},
		{"rejects", standin.LogFaults{Reject: true}, ErrNotAppended},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				j := &Jobs{Resolve: f.log.Resolve}
				b := &Batcher{Log: f.log, Stream: JobStream}
				j.Append = b.Append
				go func() { _ = b.Run(f.ctx) }()
				f.follow(&Follower{Stream: JobStream, Handle: j.Apply, Missed: j.Missed, CaughtUp: j.CaughtUp})
				f.standIn.SetFaults(tt.faults)
				if err := j.Accept(f.ctx, shop.Job{ID: "job"}); !errors.Is(err, tt.want) {
					t.Errorf("Accept: %v, want %v", err, tt.want)
				}
				f.standIn.SetFaults(standin.LogFaults{})
				time.Sleep(10 * time.Second)
				synctest.Wait()
				if live := len(j.Live()) == 1; live != (tt.want == nil) {
					t.Errorf("live: %v", live)
				}
			})
		})
	}
}

// Publish must not append a change while the reader can't evaluate changes.
func TestPublishWhileRebuilding(t *testing.T) {
	c := &Configs{}
	c.Missed(7)
	c.Learn(AcceptedConfig{Config: shop.Config{Version: 4}})
	if _, err := c.Publish(t.Context(), shop.Config{}, 4, "ana"); !errors.Is(err, ErrRebuilding) || !errors.Is(err, ErrNotAppended) {
		t.Errorf("Publish: %v", err)
	}
}
