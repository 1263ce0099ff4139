package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// fixture is a stand-in of the log behind an in-memory network, and a client of it.
type fixture struct {
	standIn *standin.Log
	network *standin.Network
	log     *Log
	ctx     context.Context
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{standIn: &standin.Log{AppendRate: 1 << 20}, network: &standin.Network{}}
	ctx, cancel := context.WithCancel(t.Context())
	mux := http.NewServeMux()
	mux.Handle(sniperillv1connect.NewLogServiceHandler(f.standIn))
	server := &http.Server{Handler: mux}
	var running sync.WaitGroup
	listener := f.network.Listen("log")
	running.Go(func() { _ = server.Serve(listener) })
	transport := f.network.Transport("entry")
	f.log = &Log{Client: sniperillv1connect.NewLogServiceClient(&http.Client{Transport: transport}, "http://log")}
	f.ctx = ctx
	t.Cleanup(func() {
		cancel()
		transport.CloseIdleConnections()
		_ = server.Close()
		f.network.Close()
		running.Wait()
	})
	return f
}

// follow runs a follower of the stream until the test ends.
func (f *fixture) follow(fl *Follower) *Follower {
	fl.Log = f.log
	go func() { _ = fl.Run(f.ctx) }()
	return fl
}

// records returns all records that the stream still has.
func (f *fixture) records(t *testing.T, stream string) []Record {
	t.Helper()
	p, err := f.log.read(f.ctx, stream, 0, 1<<20, 0)
	if err != nil {
		t.Fatal(err)
	}
	return p.records
}

func endedRecord(id string, asOf uint64) Record {
	return Record{ID: id, Kind: KindJobEnded, AsOf: asOf, Job: &JobRecord{ID: "job-" + id}}
}

func TestAppendUnderFaults(t *testing.T) {
	type outcome struct {
		err     error
		records int
	}
	tests := []struct {
		name  string
		fault func(*fixture)
		heal  func(*fixture) // Called after a second, if set.
		want  outcome
	}{
		{"no fault", func(*fixture) {}, nil, outcome{nil, 1}},
		{"down for good", func(f *fixture) { f.standIn.SetFaults(standin.LogFaults{Down: true}) }, nil, outcome{ErrOutcomeUnknown, 0}},
		{
			"down for a second", func(f *fixture) { f.standIn.SetFaults(standin.LogFaults{Down: true}) },
			func(f *fixture) { f.standIn.SetFaults(standin.LogFaults{}) },
			outcome{nil, 1},
		},
		{"responses lost", func(f *fixture) { f.standIn.SetFaults(standin.LogFaults{LoseAnswers: true}) }, nil, outcome{nil, 1}},
		{"slower than the timeout", func(f *fixture) { f.standIn.SetFaults(standin.LogFaults{Delay: 2 * time.Second}) }, nil, outcome{ErrOutcomeUnknown, 0}},
		{"slow", func(f *fixture) { f.standIn.SetFaults(standin.LogFaults{Delay: 500 * time.Millisecond}) }, nil, outcome{nil, 1}},
		{"rejects", func(f *fixture) { f.standIn.SetFaults(standin.LogFaults{Reject: true}) }, nil, outcome{ErrNotAppended, 0}},
		{
			"rejects for a second", func(f *fixture) { f.standIn.SetFaults(standin.LogFaults{Reject: true}) },
			func(f *fixture) { f.standIn.SetFaults(standin.LogFaults{}) },
			outcome{nil, 1},
		},
		{"network cut", func(f *fixture) { f.network.Cut("entry", "log") }, nil, outcome{ErrOutcomeUnknown, 0}},
		{"connection drops packets", func(f *fixture) {
			_, _ = f.log.read(f.ctx, JobStream, 0, 1, 0)
			f.network.Silence("entry", "log")
		}, nil, outcome{nil, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				tt.fault(f)
				if tt.heal != nil {
					time.AfterFunc(time.Second, func() { tt.heal(f) })
				}
				offset, err := f.log.Append(f.ctx, JobStream, endedRecord("a", 0))
				if !errors.Is(err, tt.want.err) || offset != 0 {
					t.Errorf("Append: %d, %v; want %v", offset, err, tt.want.err)
				}
				f.network.Heal("entry", "log")
				f.standIn.SetFaults(standin.LogFaults{})
				if got := len(f.records(t, JobStream)); got != tt.want.records {
					t.Errorf("%d records, want %d", got, tt.want.records)
				}
			})
		})
	}
}

func TestResolve(t *testing.T) {
	p := PendingAppend{Stream: JobStream, RecordIDs: []string{"a"}}
	tests := []struct {
		name string
		do   func(*fixture)
		want error
	}{
		{"appended", func(f *fixture) { _, _ = f.log.Append(f.ctx, JobStream, endedRecord("a", 0)) }, nil},
		{"never appended", func(*fixture) {}, ErrNotAppended},
		{"log down", func(f *fixture) { f.standIn.SetFaults(standin.LogFaults{Down: true}) }, ErrOutcomeUnknown},
		{"trimmed", func(f *fixture) {
			_, _ = f.log.Append(f.ctx, JobStream, endedRecord("b", 0))
			f.standIn.Trim(JobStream, 0)
		}, ErrOutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				tt.do(f)
				if _, err := f.log.Resolve(f.ctx, p); !errors.Is(err, tt.want) {
					t.Errorf("Resolve: %v, want %v", err, tt.want)
				}
			})
		})
	}
}

func TestBatcherCombinesAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		b := &Batcher{Log: f.log, Stream: JobStream, MaxRecords: 40}
		go func() { _ = b.Run(f.ctx) }()
		offsets := make([]uint64, 100)
		var calls sync.WaitGroup
		for i := range offsets {
			calls.Go(func() {
				var err error
				if offsets[i], err = b.Append(f.ctx, endedRecord(fmt.Sprint(i), 0)); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		for _, r := range f.records(t, JobStream) {
			var i int
			_, _ = fmt.Sscan(r.ID, &i)
			if offsets[i] != r.Offset {
				t.Errorf("record %s is at %d, its caller was told %d", r.ID, r.Offset, offsets[i])
			}
		}
		if n := f.standIn.Appends(); n != 3 {
			t.Errorf("%d appends for 100 records, want 3", n)
		}
	})
}

// A caller whose context ends before its batch is sent must get ErrNotAppended, and
// its record must not be appended.
func TestBatcherCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		b := &Batcher{Log: f.log, Stream: JobStream, Window: time.Minute}
		go func() { _ = b.Run(f.ctx) }()
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		defer cancel()
		if _, err := b.Append(ctx, endedRecord("a", 0)); !errors.Is(err, ErrNotAppended) {
			t.Errorf("Append: %v", err)
		}
		time.Sleep(2 * time.Minute)
		if got := len(f.records(t, JobStream)); got != 0 {
			t.Errorf("%d records", got)
		}
	})
}

func TestFollowerThroughOutageAndTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		var got []string
		var missed []uint64
		fl := f.follow(&Follower{
			Stream: JobStream,
			Handle: func(r Record) { got = append(got, r.ID) },
			Missed: func(first uint64) { missed = append(missed, first) },
		})
		add := func(ids ...string) {
			for _, id := range ids {
				if _, err := f.log.Append(f.ctx, JobStream, endedRecord(id, 0)); err != nil {
					t.Fatal(err)
				}
			}
		}
		add("a")
		time.Sleep(time.Second)
		f.network.Cut("entry", "log")
		time.Sleep(time.Hour)
		synctest.Wait()
		if d, ok := fl.Staleness(); !ok || d < 59*time.Minute || d > time.Hour+time.Second {
			t.Errorf("Staleness after an outage of an hour: %v, %v", d, ok)
		}
		other := f.network.Transport("other")
		defer other.CloseIdleConnections()
		cut := f.log
		f.log = &Log{Client: sniperillv1connect.NewLogServiceClient(&http.Client{Transport: other}, "http://log")}
		add("b", "c", "d")
		f.standIn.Trim(JobStream, 1)
		f.log = cut
		f.network.Heal("entry", "log")
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if fmt.Sprint(got, missed) != "[a d] [3]" {
			t.Errorf("got %v, missed %v", got, missed)
		}
	})
}
