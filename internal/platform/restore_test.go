package platform

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// startRestoringConfigs starts a reader of the configuration that also runs restores.
func (f *fixture) startRestoringConfigs() *Configs {
	c := f.startConfigs()
	go func() { _ = c.Run(f.ctx) }()
	return c
}

// configAtVersion returns an accepted configuration with only a version.
func configAtVersion(version uint64, author string) AcceptedConfig {
	return AcceptedConfig{Config: shop.Config{Version: version}, Author: author}
}

// The log has lost the configuration. Entries that learn it from agents must restore
// it once, at a version above any known one, and then be able to publish changes.
func TestRestore(t *testing.T) {
	tests := []struct {
		name   string
		lose   func(*fixture)
		learn  []uint64 // The version that each entry learns from its agents.
		faults standin.LogFaults
		want   uint64
	}{
		{"no snapshot kept", func(f *fixture) { f.standIn.Trim(ConfigStream, 0) }, []uint64{3}, standin.LogFaults{}, 3 + RestoreVersionStep},
		{"two entries at once", func(f *fixture) { f.standIn.Trim(ConfigStream, 0) }, []uint64{3, 3}, standin.LogFaults{}, 3 + RestoreVersionStep},
		{"entries know different versions", func(f *fixture) { f.standIn.Trim(ConfigStream, 0) }, []uint64{2, 3, 0}, standin.LogFaults{}, 3 + RestoreVersionStep},
		{"responses lost", func(f *fixture) { f.standIn.Trim(ConfigStream, 0) }, []uint64{3, 2}, standin.LogFaults{LoseAnswers: true}, 3 + RestoreVersionStep},
		{"log replaced", func(f *fixture) { f.standIn.Reset() }, []uint64{3, 3}, standin.LogFaults{}, 3 + RestoreVersionStep},
		{"nothing learned", func(f *fixture) { f.standIn.Trim(ConfigStream, 0) }, []uint64{0, 0}, standin.LogFaults{}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				old := f.startConfigs()
				for base := range uint64(3) {
					if _, err := old.Publish(f.ctx, shop.Config{}, base, "old"); err != nil {
						t.Fatal(err)
					}
				}
				old.Append = func(context.Context, Record) (uint64, error) { return 0, ErrNotAppended }
				tt.lose(f)
				f.standIn.SetFaults(tt.faults)
				var entries []*Configs
				for _, v := range tt.learn {
					c := f.startRestoringConfigs()
					c.Learn(configAtVersion(v, "old"))
					entries = append(entries, c)
				}
				time.Sleep(3 * (DefaultRestoreDelay + DefaultRestoreGrace))
				synctest.Wait()
				for i, c := range entries {
					if a := c.Current(); a == nil && tt.want != 0 || a != nil && (a.Version != tt.want || a.Author != "old") {
						t.Errorf("entry %d: %+v, want %d", i, a, tt.want)
					}
				}
				if tt.want == 0 {
					return
				}
				if v, err := entries[0].Publish(f.ctx, shop.Config{}, tt.want, "new"); v != tt.want+1 || err != nil {
					t.Errorf("Publish: %d, %v", v, err)
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				for i, c := range append(entries, old) {
					if a := c.Current(); a.Version != tt.want+1 || a.Author != "new" {
						t.Errorf("entry %d after a change: %+v", i, a)
					}
				}
			})
		})
	}
}

// An entry that starts after trimmed records must not restore an older version while
// another entry still knows the newest version from the log. The other entry objects
// by appending a snapshot.
func TestRestoreObjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		upToDate := f.startRestoringConfigs()
		for base := range uint64(3) {
			if _, err := upToDate.Publish(f.ctx, shop.Config{}, base, "ana"); err != nil {
				t.Fatal(err)
			}
		}
		f.standIn.Trim(ConfigStream, 0)
		fresh := f.startRestoringConfigs()
		fresh.Learn(configAtVersion(2, "ana"))
		time.Sleep(3 * (DefaultRestoreDelay + DefaultRestoreGrace))
		synctest.Wait()
		for _, c := range []*Configs{upToDate, fresh} {
			if v := c.Current().Version; v != 3 {
				t.Errorf("version %d", v)
			}
		}
		if v, err := fresh.Publish(f.ctx, shop.Config{}, 3, "ben"); v != 4 || err != nil {
			t.Errorf("Publish: %d, %v", v, err)
		}
	})
}

// Proposals, confirmations, changes and snapshots are appended in any order, late and
// repeatedly. Readers that can evaluate changes must agree, and the newest version
// must never decrease.
func TestRestoreAgree(t *testing.T) {
	checkRapid(t, func(t *rapid.T) {
		s := newStream()
		newReader := func() *reader {
			c := &Configs{}
			return &reader{apply: c.Apply, missed: c.Missed, configs: c}
		}
		full := newReader()
		readers := []*reader{newReader(), newReader()}
		var inFlight []Record
		n := 0
		pick := func() *reader { return readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")] }
		addInFlight := func(r Record) {
			n++
			r.ID = fmt.Sprint(n)
			inFlight = append(inFlight, r)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) {
				c := pick().configs
				if !c.newestUnknown {
					addInFlight(c.restoreRecord(KindConfigChange, ConfigRecord{Base: c.newest.Version, Author: fmt.Sprint(n)}))
				}
			},
			"propose": func(t *rapid.T) {
				c := pick().configs
				a := configAtVersion(rapid.Uint64Range(1, 3).Draw(t, "learned"), fmt.Sprint(n))
				c.Learn(a)
				addInFlight(c.restoreRecord(KindConfigRestore, ConfigRecord{Author: c.Current().Author, Config: c.Current().Config}))
			},
			"confirm": func(t *rapid.T) {
				c := pick().configs
				if len(c.proposals) > 0 {
					p := c.proposals[rapid.IntRange(0, len(c.proposals)-1).Draw(t, "proposal")]
					addInFlight(c.restoreRecord(KindConfigConfirm, ConfigRecord{Proposal: p.id}))
				}
			},
			"snapshot": func(*rapid.T) {
				if l := pick().configs.Due(s.now.Add(time.Hour)); len(l) > 0 {
					addInFlight(l[0])
				}
			},
			"land": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("no record in flight")
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "record")
				s.add(inFlight[i])
				if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
			},
			"read":    func(t *rapid.T) { s.read(pick(), rapid.IntRange(1, 5).Draw(t, "records")) },
			"restart": func(t *rapid.T) { readers[rapid.IntRange(0, 1).Draw(t, "reader")] = newReader() },
			"trim": func(t *rapid.T) {
				s.first = rapid.Uint64Range(s.first, uint64(len(s.records))).Draw(t, "first")
			},
			"": func(t *rapid.T) {
				s.read(full, allRecords)
				w := full.configs
				for _, r := range readers {
					c := r.configs
					if c.newestUnknown || c.Next() != w.Next() {
						continue
					}
					if c.newest.Version != w.newest.Version || c.newest.Author != w.newest.Author {
						t.Fatalf("readers differ: %d by %s, %d by %s", c.newest.Version, c.newest.Author, w.newest.Version, w.newest.Author)
					}
				}
				if v := w.Current(); v != nil && v.Version < full.version {
					t.Fatalf("version fell to %d from %d", v.Version, full.version)
				} else if v != nil {
					full.version = v.Version
				}
			},
		})
	})
}

// The log is replaced by a new, empty one. Followers must detect it, the state
// machines must keep their state, and the new log must come to contain that state.
func TestLogReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		if err := e.jobs.ClaimAttempt(e.ctx, shop.Attempt{Job: "job", Number: 1}, 1, "entry"); err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"ended", "other"} {
			if err := e.jobs.Accept(e.ctx, shop.Job{ID: id}); err != nil {
				t.Fatal(err)
			}
		}
		if err := e.jobs.End(e.ctx, JobRecord{ID: "ended", State: shop.Done}); err != nil {
			t.Fatal(err)
		}
		e.recoverLog()
		e.standIn.Reset()
		e.recoverLog()
		if l := e.jobs.Live(); len(l) != 2 || e.find().Attempt != 1 {
			t.Errorf("live jobs: %+v", l)
		}
		if got, err := e.claims.Claim(e.ctx, Claim{Team: "t", Key: "k", Request: "again"}); err != nil || got.Won || got.Holder != e.claimResult.Holder {
			t.Errorf("Claim: %+v, %v", got, err)
		}
		if err := e.jobs.ClaimAttempt(e.ctx, shop.Attempt{Job: "job", Number: 1}, 1, "entry"); !errors.Is(err, ErrRecordsTrimmed) {
			t.Errorf("ClaimAttempt of an attempt claimed in the old log: %v", err)
		}
		for _, r := range e.jobs.Due(time.Unix(1, 0), allRecords) {
			if _, err := e.jobs.Append(e.ctx, r); err != nil {
				t.Fatal(err)
			}
		}
		fresh := &Jobs{}
		e.replay(t, JobStream, fresh.Apply, fresh.Missed)
		fresh.CaughtUp()
		if l := fresh.Live(); len(l) != 2 {
			t.Errorf("jobs in the new log: %+v", l)
		}
		if err := e.claims.Release(e.ctx, e.claimResult); err != nil {
			t.Fatal(err)
		}
		e.recoverLog()
		if got, err := e.claims.Claim(e.ctx, Claim{Team: "t", Key: "k", Request: "last"}); err != nil || !got.Won {
			t.Errorf("Claim after the release: %+v, %v", got, err)
		}
	})
}

// A confirmation takes effect only when no record but proposals was appended since
// its proposal.
func TestConfirm(t *testing.T) {
	propose := func(id string, version uint64) Record {
		return Record{ID: id, Kind: KindConfigRestore, Config: &ConfigRecord{Author: id, Config: shop.Config{Version: version}}}
	}
	confirm := func(id string) Record {
		return Record{ID: "c" + id, Kind: KindConfigConfirm, Config: &ConfigRecord{Proposal: id}}
	}
	change := Record{ID: "x", Kind: KindConfigChange, Config: &ConfigRecord{Author: "x"}}
	snapshot := Record{ID: "s", Kind: KindConfigSnapshot, AsOf: 2, Config: &ConfigRecord{Author: "s", Config: shop.Config{Version: 1}}}
	tests := []struct {
		name    string
		from    uint64
		records []Record
		want    string // Author of the newest version.
	}{
		{"confirmed", 0, []Record{propose("a", 3), confirm("a")}, "a"},
		{"two proposals, the second confirmed first", 0, []Record{propose("a", 3), propose("b", 3), confirm("b"), confirm("a")}, "b"},
		{"replaced by a newer version", 0, []Record{propose("a", 3), propose("b", 4), confirm("a")}, ""},
		{"change in between", 0, []Record{propose("a", 3), change, confirm("a")}, "x"},
		{"repeated", 0, []Record{propose("a", 3), confirm("a"), propose("b", 4), confirm("a"), confirm("b")}, "a"},
		{"proposal before the start confirmed first", 1, []Record{propose("a", 3), propose("b", 3), confirm("a"), confirm("b")}, ""},
		{"snapshot as of before the confirmation", 2, []Record{change, propose("a", 3), confirm("a"), snapshot}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStream()
			for _, r := range tt.records {
				s.add(r)
			}
			s.first = tt.from
			c := &Configs{}
			s.read(&reader{apply: c.Apply, missed: c.Missed}, allRecords)
			if c.newest.Author != tt.want {
				t.Errorf("newest version by %q, want %q", c.newest.Author, tt.want)
			}
		})
	}
}
