package platform

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// replay applies all records that the stream still has.
func (f *fixture) replay(t *testing.T, stream string, apply func(Record), missed func(uint64)) {
	t.Helper()
	p, err := f.log.read(f.ctx, stream, 0, 1<<20, 0)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		missed(trimmed.First)
		p, err = f.log.read(f.ctx, stream, trimmed.First, 1<<20, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range p.records {
		apply(r)
	}
}

// A live job and the configuration must outlast several retention periods of the log,
// each with an outage of a third of it, and an entry that starts later must know
// them.
func TestSnapshotsOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		const retention = 30 * time.Minute
		start := func() (*Configs, *Jobs) {
			cb, jb := &Batcher{Log: f.log, Stream: ConfigStream}, &Batcher{Log: f.log, Stream: JobStream}
			c, j := &Configs{Append: cb.Append}, &Jobs{Append: jb.Append}
			f.follow(&Follower{Stream: ConfigStream, PollTimeout: time.Minute, Handle: c.Apply, Missed: c.Missed})
			f.follow(&Follower{Stream: JobStream, PollTimeout: time.Minute, Handle: j.Apply, Missed: j.Missed, CaughtUp: j.CaughtUp})
			cs := &Snapshotter{Retention: retention, Due: c.Due, Append: cb.Append}
			js := &Snapshotter{Retention: retention, Append: jb.Append, Due: func(before time.Time) []Record {
				return j.Due(before, 100)
			}}
			go func() { _ = cb.Run(f.ctx) }()
			go func() { _ = jb.Run(f.ctx) }()
			go func() { _ = cs.Run(f.ctx) }()
			go func() { _ = js.Run(f.ctx) }()
			return c, j
		}
		c, j := start()
		start()
		if _, err := c.Publish(f.ctx, shop.Config{}, 0, "ana"); err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"ended", "live"} {
			if err := j.Accept(f.ctx, shop.Job{ID: id}); err != nil {
				t.Fatal(err)
			}
		}
		if err := j.End(f.ctx, JobRecord{ID: "ended", State: shop.Done}); err != nil {
			t.Fatal(err)
		}
		for minute := range 5 * 30 {
			f.standIn.SetFaults(standin.LogFaults{Down: minute%30 < 10})
			time.Sleep(time.Minute)
			f.standIn.TrimOlder(retention)
			f.standIn.SetFaults(standin.LogFaults{})
			kept := &Jobs{}
			f.replay(t, JobStream, kept.Apply, kept.Missed)
			kept.CaughtUp()
			if l := kept.Live(); len(l) != 1 || l[0].ID != "live" {
				t.Fatalf("jobs in the log after %d minutes: %+v", minute+1, l)
			}
		}
		f.standIn.SetFaults(standin.LogFaults{})
		time.Sleep(time.Minute)
		fresh, freshJobs := start()
		time.Sleep(time.Minute)
		synctest.Wait()
		if a := fresh.Current(); a == nil || a.Version != 1 || a.Author != "ana" {
			t.Errorf("config of a fresh entry: %+v", a)
		}
		if l := freshJobs.Live(); len(l) != 1 || l[0].ID != "live" {
			t.Errorf("jobs of a fresh entry: %+v", l)
		}
		if v, err := fresh.Publish(f.ctx, shop.Config{}, 1, "ben"); err != nil || v != 2 {
			t.Errorf("publish by a fresh entry: %d, %v", v, err)
		}
		if n := f.standIn.Appends(); n > 100 {
			t.Errorf("%d appends in five retentions", n)
		}
	})
}
