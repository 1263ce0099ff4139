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

// stream is a stream of a simulated log. Records before first are trimmed.
type stream struct {
	first   uint64
	records []Record
	now     time.Time
}

func newStream() *stream { return &stream{now: time.Unix(1_000_000, 0)} }

// add appends a record, a minute after the last one.
func (s *stream) add(r Record) {
	s.now = s.now.Add(time.Minute)
	r.Offset, r.Appended = uint64(len(s.records)), s.now
	s.records = append(s.records, r)
}

// reader is a state machine and the offset that it reads next.
type reader struct {
	next   uint64
	apply  func(Record)
	missed func(uint64)
	// configs is the state machine of the configuration, if it is one, and version
	// the newest version seen there.
	configs *Configs
	version uint64
}

// read applies at most n further records to the reader.
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

// allRecords is a limit above the number of records of any stream.
const allRecords = 1 << 30

// checkRapid checks the property with a fixed seed, so that the result is the same on
// every run, and 1000 times, unless flags say otherwise.
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

// Publishers race, retries repeat records, snapshots are appended late, the log trims
// records and readers restart. All readers that know the newest version must agree on
// it, each base must be won once, and no reader's version may decrease.
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
		full := start() // Reads every record when it is appended.
		entries := []*entry{start(), start(), start()}
		var inFlight []Record
		won := map[uint64]string{}
		n := 0
		pick := func() int { return rapid.IntRange(0, len(entries)-1).Draw(t, "entry") }
		appendRecord := func(r Record) {
			s.add(r)
			before := full.newest.Version
			s.read(&full.reader, allRecords)
			if full.newest.Version == before {
				return
			}
			if winner, again := won[before]; again || full.newest.Version != before+1 {
				t.Fatalf("version %d was won by %s and %s", before+1, winner, r.ID)
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
				inFlight = append(inFlight, Record{ID: id, Kind: KindConfigChange, AsOf: e.Configs.Next(), Config: &ConfigRecord{Base: base, Author: id}})
			},
			"snapshot": func(*rapid.T) {
				l := entries[pick()].Due(s.now.Add(time.Hour))
				for i := range l {
					n++
					l[i].ID = fmt.Sprint(n)
				}
				inFlight = append(inFlight, l...)
			},
			"land": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("no record in flight")
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "record")
				appendRecord(inFlight[i])
				if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
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
					if e.Configs.Next() == full.Configs.Next() && !e.newestUnknown {
						if d := cmp.Diff(full.newest, e.newest); d != "" {
							t.Fatalf("readers differ: %s", d)
						}
					}
					if a := e.Current(); a != nil && a.Version > full.newest.Version {
						t.Fatalf("version %d was never accepted", a.Version)
					}
				}
			},
		})
	})
}

// A slow entry appends a snapshot of an old version. It must have no effect on a
// reader that starts after the snapshot's AsOf.
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

// Jobs are accepted, end and are cancelled while records are repeated, voided and
// appended late, and the log trims old records. A reader at the end of the stream must
// agree with one that has read everything. It may only lack a job whose newest record
// was made before the reader's start; such a job is due for a refresh. The log trims
// no live job that was refreshed in time.
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
		full := start()
		entries := []*entry{start(), start()}
		var inFlight []Record
		jobs, n := 0, 0
		pick := func() *entry { return entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")] }
		addInFlight := func(r Record) {
			n++
			r.ID = fmt.Sprint(n)
			inFlight = append(inFlight, r)
		}
		mention := func(k Kind) func(*rapid.T) {
			return func(t *rapid.T) {
				e := pick()
				if jobs == 0 {
					t.Skip("no jobs")
				}
				id := fmt.Sprint("job-", rapid.IntRange(1, jobs).Draw(t, "job"))
				addInFlight(e.newRecord(k, JobRecord{ID: id, Attempt: rapid.IntRange(0, 3).Draw(t, "attempt")}))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				jobs++
				id := fmt.Sprint("job-", jobs)
				addInFlight(pick().newRecord(KindJobAccepted, JobRecord{ID: id, Job: &shop.Job{ID: id}}))
			},
			"attempt": mention(KindJobAttempt),
			"cancel":  mention(KindJobCancelled),
			"end":     mention(KindJobEnded),
			"void": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("no record in flight")
				}
				r := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "record")]
				if r.Kind != KindJobAccepted || len(full.jobs) > 0 && full.jobs[r.Job.ID] != nil {
					t.Skip("not an accepted record that was never appended")
				}
				s.add(Record{ID: "void-" + r.ID, Kind: KindVoid, AsOf: r.AsOf, Voids: []string{r.ID}})
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
			"read": func(t *rapid.T) {
				s.read(&pick().reader, rapid.IntRange(1, 5).Draw(t, "records"))
			},
			"trim": func(t *rapid.T) {
				s.read(&full.reader, allRecords)
				first := rapid.Uint64Range(s.first, uint64(len(s.records))).Draw(t, "first")
				for _, job := range full.jobs {
					if job.live() && !job.refreshed.After(s.now.Add(-time.Duration(uint64(len(s.records))-first)*time.Minute)) {
						t.Skip("a live job isn't refreshed yet")
					}
				}
				s.first = first
			},
			"refresh": func(*rapid.T) {
				s.read(&full.reader, allRecords)
				for _, r := range full.Due(s.now, allRecords) {
					n++
					r.ID = fmt.Sprint(n)
					s.add(r)
				}
			},
			"late refresh": func(*rapid.T) {
				for _, r := range pick().Due(s.now.Add(time.Hour), 2) {
					addInFlight(r)
				}
			},
			"restart": func(t *rapid.T) {
				entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")] = start()
			},
			"": func(t *rapid.T) {
				s.read(&full.reader, allRecords)
				full.CaughtUp()
				for _, e := range entries {
					if e.Jobs.Next() != full.Jobs.Next() {
						continue
					}
					e.CaughtUp()
					want := LiveJobList{}
					for _, job := range full.Live() {
						if e.start == 0 || !full.jobs[job.ID].refreshed.Before(full.timeAt(e.start)) {
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

// An accepted record that is appended again after its job ended must not make the job
// live again, whether or not the end was trimmed.
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
	event := func(k Kind, attempt int) Record {
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
		{"voided before it is appended", []Record{void, accept("a", 0, JobRecord{})}, LiveJobList{}},
		{"voided after it is appended", []Record{accept("a", 0, JobRecord{}), void}, live(0, false)},
		{"ended before it is appended", []Record{event(KindJobEnded, 0), accept("a", 0, JobRecord{})}, LiveJobList{}},
		{"cancelled before it is appended", []Record{event(KindJobCancelled, 0), accept("a", 0, JobRecord{})}, live(0, true)},
		{"cancelled in a snapshot", []Record{accept("s", 0, JobRecord{Cancelled: true})}, live(0, true)},
		{"attempts", []Record{accept("s", 0, JobRecord{Attempt: 2}), event(KindJobAttempt, 3), event(KindJobAttempt, 1)}, live(3, false)},
		{"as of an offset after the record", []Record{accept("a", 9, JobRecord{})}, LiveJobList{}},
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

// The number of ended jobs and voided ids that are kept must be bounded by MaxLag.
func TestJobsPruned(t *testing.T) {
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
