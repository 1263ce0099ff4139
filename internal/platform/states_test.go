package platform

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sniperill.example/sniperill/pkg/shop"
)

// stream is the order that a log gave to records, and what it still keeps.
type stream struct {
	first   uint64
	records []Record
	now     time.Time
}

func newStream() *stream { return &stream{now: time.Unix(1_000_000, 0)} }

func (s *stream) add(r Record) {
	s.now = s.now.Add(time.Minute)
	r.Offset, r.Appended = uint64(len(s.records)), s.now
	s.records = append(s.records, r)
}

// reader is a state machine and how far it has read.
type reader struct {
	next   uint64
	apply  func(Record)
	missed func(uint64)
	// configs is the state machine, and version the newest seen in force there.
	configs *Configs
	version uint64
}

// read lets the reader go on, at most n records.
func (s *stream) read(r *reader, n int) {
	if r.next < s.first {
		r.next = s.first
		r.missed(s.first)
	}
	for ; n > 0 && r.next < uint64(len(s.records)); n-- {
		r.apply(s.records[r.next])
		r.next++
	}
}

const allRecords = 1 << 30

// checkRapid runs the property with a fixed seed, so that the verdict is the
// same on every run, and often, unless something else was asked for.
func checkRapid(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
			defer func() { _ = flag.Set(name, f.DefValue) }()
		}
	}
	rapid.Check(t, property)
}

// Publishers race, retries repeat records, snapshots land late, the log trims
// and readers restart: all readers that know the newest version agree on it,
// each base is won once, and no reader's version ever falls.
func TestConfigsAgree(t *testing.T) {
	checkRapid(t, func(t *rapid.T) {
		s := newStream()
		type entry struct {
			*Configs
			reader
			seen uint64
		}
		start := func() *entry {
			c := &Configs{}
			return &entry{Configs: c, reader: reader{apply: c.Apply, missed: c.Missed}}
		}
		whole := start() // Reads every record as it lands.
		entries := []*entry{start(), start(), start()}
		var held []Record
		won := map[uint64]string{}
		n := 0
		pick := func() int { return rapid.IntRange(0, len(entries)-1).Draw(t, "entry") }
		land := func(r Record) {
			s.add(r)
			before := whole.newest.Version
			s.read(&whole.reader, allRecords)
			if whole.newest.Version == before {
				return
			}
			if w, again := won[before]; again || whole.newest.Version != before+1 {
				t.Fatalf("version %d was won by %s and %s", before+1, w, r.ID)
			}
			won[before] = r.ID
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				e := entries[pick()]
				base := e.newest.Version + rapid.Uint64Range(0, 1).Draw(t, "ahead")
				if a := e.Current(); a != nil && rapid.Bool().Draw(t, "current") {
					base = a.Version
				}
				n++
				id := fmt.Sprint(n)
				held = append(held, Record{ID: id, Kind: KindConfigChange, AsOf: e.Configs.Next(), Config: &ConfigRecord{Base: base, Author: id}})
			},
			"snapshot": func(*rapid.T) {
				l := entries[pick()].Due(s.now.Add(time.Hour))
				for i := range l {
					n++
					l[i].ID = fmt.Sprint(n)
				}
				held = append(held, l...)
			},
			"land": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nothing held")
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "held")
				land(held[i])
				if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
					held = append(held[:i], held[i+1:]...)
				}
			},
			"read": func(t *rapid.T) {
				s.read(&entries[pick()].reader, rapid.IntRange(1, 5).Draw(t, "records"))
			},
			"trim": func(t *rapid.T) {
				s.first = rapid.Uint64Range(s.first, uint64(len(s.records))).Draw(t, "first")
			},
			"restart": func(*rapid.T) {
				i := pick()
				entries[i] = start()
				if a := entries[pick()].Current(); a != nil {
					entries[i].Learn(*a)
				}
			},
			"": func(t *rapid.T) {
				for _, e := range entries {
					if a := e.Current(); a != nil {
						if a.Version < e.seen {
							t.Fatalf("version fell from %d to %d", e.seen, a.Version)
						}
						e.seen = a.Version
					}
					if e.Configs.Next() == whole.Configs.Next() && !e.newestUnknown {
						if d := cmp.Diff(whole.newest, e.newest); d != "" {
							t.Fatalf("readers differ: %s", d)
						}
					}
					if a := e.Current(); a != nil && a.Version > whole.newest.Version {
						t.Fatalf("version %d was never accepted", a.Version)
					}
				}
			},
		})
	})
}

// A snapshot written by a slow entry, of an old version, changes nothing for a
// reader that starts after its base was trimmed.
func TestConfigsLateSnapshot(t *testing.T) {
	change := func(id string, base uint64) Record {
		return Record{ID: id, Kind: KindConfigChange, Config: &ConfigRecord{Base: base, Author: id}}
	}
	s := newStream()
	writer := &Configs{}
	r := &reader{apply: writer.Apply, missed: writer.Missed}
	s.add(change("a", 0))
	s.read(r, allRecords)
	late := writer.Due(s.now.Add(time.Hour))[0]
	s.add(change("b", 1))
	s.add(change("c", 2))
	s.read(r, allRecords)
	s.first = 2
	s.add(late)
	fresh := &Configs{}
	f := &reader{apply: fresh.Apply, missed: fresh.Missed}
	s.read(f, allRecords)
	if a := fresh.Current(); a != nil {
		t.Fatalf("version %d from a snapshot made before the start", a.Version)
	}
	s.read(r, allRecords)
	s.add(writer.Due(s.now.Add(time.Hour))[0])
	s.read(f, allRecords)
	if a := fresh.Current(); a == nil || a.Version != 3 || a.Author != "c" {
		t.Fatalf("after a snapshot: %+v", a)
	}
}

// Jobs are accepted, end and are cancelled while records are repeated, land
// late, are voided, and the log trims what is old: a reader that reads to the
// end agrees with one that has read everything. Only a job whose newest record
// was made before the reader's start is unknown to it, and that job is due for
// a refresh: the log trims no live job that was refreshed in time.
func TestJobsAgree(t *testing.T) {
	checkRapid(t, func(t *rapid.T) {
		s := newStream()
		type entry struct {
			*Jobs
			reader
		}
		start := func() *entry {
			j := &Jobs{}
			return &entry{Jobs: j, reader: reader{apply: j.Apply, missed: j.Missed}}
		}
		whole := start()
		entries := []*entry{start(), start()}
		var held []Record
		jobs, n := 0, 0
		pick := func() *entry { return entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")] }
		hold := func(r Record) {
			n++
			r.ID = fmt.Sprint(n)
			held = append(held, r)
		}
		mention := func(k Kind) func(*rapid.T) {
			return func(t *rapid.T) {
				e := pick()
				if jobs == 0 {
					t.Skip("no jobs")
				}
				id := fmt.Sprint("job-", rapid.IntRange(1, jobs).Draw(t, "job"))
				hold(e.newRecord(k, JobRecord{ID: id, Attempt: rapid.IntRange(0, 3).Draw(t, "attempt")}))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				jobs++
				id := fmt.Sprint("job-", jobs)
				hold(pick().newRecord(KindJobAccepted, JobRecord{ID: id, Job: &shop.Job{ID: id}}))
			},
			"attempt": mention(KindJobAttempt),
			"cancel":  mention(KindJobCancelled),
			"end":     mention(KindJobEnded),
			"void": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nothing held")
				}
				r := held[rapid.IntRange(0, len(held)-1).Draw(t, "held")]
				if r.Kind != KindJobAccepted || len(whole.jobs) > 0 && whole.jobs[r.Job.ID] != nil {
					t.Skip("not an accept in flight")
				}
				s.add(Record{ID: "void-" + r.ID, Kind: KindVoid, AsOf: r.AsOf, Voids: []string{r.ID}})
			},
			"land": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nothing held")
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "held")
				s.add(held[i])
				if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
					held = append(held[:i], held[i+1:]...)
				}
			},
			"read": func(t *rapid.T) {
				s.read(&pick().reader, rapid.IntRange(1, 5).Draw(t, "records"))
			},
			"trim": func(t *rapid.T) {
				s.read(&whole.reader, allRecords)
				first := rapid.Uint64Range(s.first, uint64(len(s.records))).Draw(t, "first")
				for _, job := range whole.jobs {
					if job.live() && !job.refreshed.After(s.now.Add(-time.Duration(uint64(len(s.records))-first)*time.Minute)) {
						t.Skip("a live job isn't refreshed yet")
					}
				}
				s.first = first
			},
			"refresh": func(*rapid.T) {
				s.read(&whole.reader, allRecords)
				for _, r := range whole.Due(s.now, allRecords) {
					n++
					r.ID = fmt.Sprint(n)
					s.add(r)
				}
			},
			"late refresh": func(*rapid.T) {
				for _, r := range pick().Due(s.now.Add(time.Hour), 2) {
					hold(r)
				}
			},
			"restart": func(t *rapid.T) {
				entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")] = start()
			},
			"": func(t *rapid.T) {
				s.read(&whole.reader, allRecords)
				whole.CaughtUp()
				for _, e := range entries {
					if e.Jobs.Next() != whole.Jobs.Next() {
						continue
					}
					e.CaughtUp()
					want := LiveJobList{}
					for _, job := range whole.Live() {
						if e.start == 0 || !whole.jobs[job.ID].refreshed.Before(whole.timeAt(e.start)) {
							want = append(want, job)
						}
					}
					if d := cmp.Diff(want, e.Live()); d != "" {
						t.Fatalf("readers differ: %s", d)
					}
				}
			},
		})
	})
}

// An accepted record that lands again after its job ended doesn't bring the
// job back, whether or not the end was trimmed.
func TestJobsRepeatedAfterEnd(t *testing.T) {
	accepted := Record{ID: "a", Kind: KindJobAccepted, Job: &JobRecord{ID: "job", Job: &shop.Job{ID: "job"}}}
	for _, first := range []uint64{0, 1, 2} {
		s := newStream()
		s.add(accepted)
		s.add(Record{ID: "e", Kind: KindJobEnded, AsOf: 1, Job: &JobRecord{ID: "job", State: shop.Done}})
		s.add(accepted)
		s.first = first
		j := &Jobs{}
		s.read(&reader{apply: j.Apply, missed: j.Missed}, allRecords)
		j.CaughtUp()
		if len(j.Live()) != 0 {
			t.Errorf("from %d: %v", first, j.Live())
		}
	}
}

func TestJobsOrder(t *testing.T) {
	accept := func(id string, asOf uint64, job JobRecord) Record {
		job.ID, job.Job = "job", &shop.Job{ID: "job"}
		return Record{ID: id, Kind: KindJobAccepted, AsOf: asOf, Job: &job}
	}
	note := func(k Kind, attempt int) Record {
		return Record{ID: "n", Kind: k, Job: &JobRecord{ID: "job", Attempt: attempt}}
	}
	void := Record{ID: "v", Kind: KindVoid, Voids: []string{"a"}}
	live := func(attempt int, cancelled bool) LiveJobList {
		return LiveJobList{{Job: shop.Job{ID: "job"}, Attempt: attempt, Cancelled: cancelled}}
	}
	tests := []struct {
		name    string
		records []Record
		want    LiveJobList
	}{
		{"accepted", []Record{accept("a", 0, JobRecord{})}, live(0, false)},
		{"voided before it landed", []Record{void, accept("a", 0, JobRecord{})}, LiveJobList{}},
		{"voided after it landed", []Record{accept("a", 0, JobRecord{}), void}, live(0, false)},
		{"ended before it landed", []Record{note(KindJobEnded, 0), accept("a", 0, JobRecord{})}, LiveJobList{}},
		{"cancelled before it landed", []Record{note(KindJobCancelled, 0), accept("a", 0, JobRecord{})}, live(0, true)},
		{"cancelled in a snapshot", []Record{accept("s", 0, JobRecord{Cancelled: true})}, live(0, true)},
		{"attempts", []Record{accept("s", 0, JobRecord{Attempt: 2}), note(KindJobAttempt, 3), note(KindJobAttempt, 1)}, live(3, false)},
		{"of what was never read", []Record{accept("a", 9, JobRecord{})}, LiveJobList{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStream()
			for _, r := range tt.records {
				s.add(r)
			}
			j := &Jobs{}
			s.read(&reader{apply: j.Apply, missed: j.Missed}, allRecords)
			j.CaughtUp()
			if d := cmp.Diff(tt.want, j.Live()); d != "" {
				t.Error(d)
			}
		})
	}
}

// What is remembered of ended jobs and voids is bounded by MaxLag.
func TestJobsForget(t *testing.T) {
	s := newStream()
	s.add(Record{Kind: KindVoid, Voids: []string{"x"}})
	s.add(Record{Kind: KindJobAccepted, Job: &JobRecord{ID: "live", Job: &shop.Job{ID: "live"}}})
	for i := range 2 * MaxLag {
		s.add(Record{Kind: KindJobEnded, AsOf: uint64(i), Job: &JobRecord{ID: fmt.Sprint(i)}})
	}
	j := &Jobs{}
	s.read(&reader{apply: j.Apply, missed: j.Missed}, allRecords)
	j.CaughtUp()
	if len(j.jobs) > MaxLag+3 || len(j.voids) != 0 || len(j.Live()) != 1 {
		t.Errorf("%d jobs, %d voids, %d live", len(j.jobs), len(j.voids), len(j.Live()))
	}
}

func FuzzRecord(f *testing.F) {
	for _, r := range []Record{
		claimRecord("a", "d", 0),
		{ID: "b", Kind: KindConfigSnapshot, Config: &ConfigRecord{Config: shop.Config{Version: 2}}},
		{ID: "c", Kind: KindJobAccepted, Job: &JobRecord{ID: "j", Job: &shop.Job{ID: "j"}}},
		{ID: "d", Kind: KindVoid, Voids: []string{"a"}},
	} {
		data, err := r.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		second, err := DecodeRecord(again)
		if err != nil {
			t.Fatal(err)
		}
		third, err := second.Encode()
		if err != nil || string(third) != string(again) {
			t.Fatalf("%s is read back as %s: %v", again, third, err)
		}
		for _, apply := range []func(Record){(&Configs{}).Apply, (&Jobs{}).Apply, (&Claims{}).Apply} {
			apply(r)
		}
	})
}

func TestPublishRefusesOldBase(t *testing.T) {
	c := &Configs{Append: func(context.Context, Record) (uint64, error) {
		return 0, ErrNotAppended
	}}
	c.Learn(AcceptedConfig{Config: shop.Config{Version: 4}, Author: "ana"})
	c.Learn(AcceptedConfig{Config: shop.Config{Version: 3}, Author: "old"})
	_, err := c.Publish(t.Context(), shop.Config{}, 3, "ben")
	var conflict *ConflictError
	if !errors.Is(err, shop.ErrConflict) || !errors.As(err, &conflict) || conflict.Version != 4 || conflict.Author != "ana" {
		t.Errorf("Publish: %v", err)
	}
}
