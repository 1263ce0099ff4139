package clusterstate_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

func job(id string, tasks int) *workflow.Job {
	return &workflow.Job{
		ID: id, Team: "t", Queue: workflow.Queue{Name: "q"}, Submitted: time.Unix(1, 0).UTC(),
		Steps: []workflow.Step{{Count: tasks, Estimate: time.Second}},
	}
}

func claimedProgress(run, tasks int) clusterstate.Progress {
	p := clusterstate.Progress{Units: make(map[clusterstate.UnitKey]clusterstate.UnitProgress)}
	for i := range tasks {
		p.Units[clusterstate.UnitKey{Index: i}] = clusterstate.UnitProgress{
			Run: run, Checkpoint: "00000bb87a21d94b",
			Members: []clusterstate.Member{{Index: i, AgentName: fmt.Sprint("side-", i%11), Lifetime: fmt.Sprint("i-56cd2cdb5c@17844554245", i%11)}},
		}
	}
	return p
}

func finalProgress(state shop.JobState) clusterstate.Progress {
	p := claimedProgress(1, 1)
	p.State = state
	return p
}

// apply returns the state after the records, which get offsets from 0 on.
func apply(t *testing.T, records ...journal.Record) *clusterstate.State {
	t.Helper()
	s := &clusterstate.State{}
	for i, r := range records {
		r.Offset = int64(i)
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func TestJobState(t *testing.T) {
	accepted := clusterstate.JobRecord(job("a", 1))
	tests := []struct {
		name    string
		records []journal.Record
		want    shop.JobState
	}{
		{"accepted", []journal.Record{accepted}, shop.Queued},
		{"accepted twice", []journal.Record{accepted, accepted}, shop.Queued},
		{"claimed", []journal.Record{accepted, clusterstate.ProgressRecord("a", claimedProgress(1, 1))}, shop.Running},
		{"progress read before the job", []journal.Record{clusterstate.ProgressRecord("a", claimedProgress(1, 1)), accepted}, shop.Running},
		{"done", []journal.Record{accepted, clusterstate.ProgressRecord("a", finalProgress(shop.Done))}, shop.Done},
		{"failed", []journal.Record{accepted, clusterstate.ProgressRecord("a", finalProgress(shop.Failed))}, shop.Failed},
		{"cancelled", []journal.Record{accepted, clusterstate.CancelRecord("a")}, shop.Cancelled},
		{
			"done before it was cancelled",
			[]journal.Record{accepted, clusterstate.ProgressRecord("a", finalProgress(shop.Done)), clusterstate.CancelRecord("a")},
			shop.Done,
		},
		{
			"cancelled before it was done",
			[]journal.Record{accepted, clusterstate.CancelRecord("a"), clusterstate.ProgressRecord("a", finalProgress(shop.Done))},
			shop.Cancelled,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j, ok := apply(t, tt.records...).Job("a")
			if !ok {
				t.Fatal("the job is not known")
			}
			if diff := cmp.Diff(tt.want, j.State()); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDeletedJobsAreUnknown(t *testing.T) {
	s := apply(t, append([]journal.Record{clusterstate.JobRecord(job("a", 1))}, clusterstate.DeletionRecords("a")...)...)
	if _, ok := s.Job("a"); ok {
		t.Error("a deleted job is still known")
	}
}

func TestMalformedRecordsChangeNothing(t *testing.T) {
	s := apply(t, clusterstate.JobRecord(job("a", 1)))
	for _, key := range []string{"j/a", "p/a", "planner", "beat", "e/x", "w/x"} {
		if err := s.Apply(journal.Record{Key: key, Value: []byte("{"), Offset: 9}); err == nil {
			t.Errorf("malformed record %q was accepted", key)
		}
	}
	if err := s.Apply(journal.Record{Key: "other", Value: []byte("{"), Offset: 9}); err != nil {
		t.Errorf("record with an unknown key: %v", err)
	}
	if j, ok := s.Job("a"); !ok || j.State() != shop.Queued {
		t.Error("the job has changed")
	}
}

// Records of another writer under the system's keys must not make a process exit, and must not hide
// what the system's own records say.
func TestOddRecordsChangeNothing(t *testing.T) {
	deep, digits := strings.Repeat("[", 100000), strings.Repeat("9", 400)
	address := func(a string) string { return `{"name":"x","address":"` + a + `"}` }
	worker := func(room string) string {
		return `{"address":"10.1.0.26:7180","worker":{"service":"s","room":{` + room + `}}}`
	}
	tests := []struct{ name, key, value string }{
		{"no steps", "j/b", `{"id":"b"}`},
		{"another job's id", "j/b", `{"id":"a","steps":[{"count":1}]}`},
		{"null", "j/b", `null`},
		{"a step after itself", "j/b", `{"id":"b","steps":[{"count":1,"after":[0]}]}`},
		{"a negative count", "j/b", `{"id":"b","steps":[{"count":-1}]}`},
		{"too many tasks", "j/b", `{"id":"b","steps":[{"count":1000000000}]}`},
		{"cores that overflow", "j/b", `{"id":"b","steps":[{"count":1,"room":{"milli-cores":9223372036854775807}}]}`},
		{"nested deeply", "j/b", deep},
		{"progress of a step that doesn't exist", "p/a", `{"units":[{"k":[0,7,0],"r":1}]}`},
		{"progress of a negative step", "p/a", `{"units":[{"k":[0,-1,0],"r":1}]}`},
		{"progress of a task that doesn't exist", "p/a", `{"units":[{"k":[0,0,5],"r":1}]}`},
		{"progress of a gang that is none", "p/a", `{"units":[{"k":[0,0,-1],"r":1}]}`},
		{"progress of another occurrence", "p/a", `{"units":[{"k":[9,0,0],"r":1}]}`},
		{"a member that doesn't exist", "p/a", `{"places":[["w","l"]],"units":[{"k":[0,0,0],"r":1,"m":[[4,0]]}]}`},
		{"a negative run", "p/a", `{"units":[{"k":[0,0,0],"r":-1}]}`},
		{"a run that none follows", "p/a", `{"units":[{"k":[0,0,0],"r":9223372036854775807}]}`},
		{"failures that none follows", "p/a", `{"units":[{"k":[0,0,0],"r":1,"f":9223372036854775807}]}`},
		{"a failed member that doesn't exist", "p/a", `{"places":[["w","l"]],"units":[{"k":[0,0,0],"r":1,"w":[[4,0]]}]}`},
		{"a failed member on no agent", "p/a", `{"places":[["","l"]],"units":[{"k":[0,0,0],"r":1,"w":[[0,0]]}]}`},
		{"a failed run that is negative", "p/a", `{"units":[{"k":[0,0,0],"r":1,"f":1,"x":-1}]}`},
		{"a failed run that is to come", "p/a", `{"units":[{"k":[0,0,0],"r":1,"f":1,"x":2}]}`},
		{"a run that overflows", "p/a", `{"units":[{"k":[0,0,0],"r":` + digits + `}]}`},
		{"progress nested deeply", "p/a", `{"units":` + deep},
		{"no address", "w/x", `{"name":"x"}`},
		{"null", "w/x", `null`},
		{"port 0", "w/x", address("10.1.0.26:0")},
		{"port 65536", "w/x", address("10.1.0.26:65536")},
		{"port 99999999999", "e/x", address("10.1.0.26:99999999999")},
		{"a negative port", "e/x", address("10.1.0.26:-1")},
		{"no host", "e/x", address(":7180")},
		{"a number of 400 digits", "w/x", worker(`"accelerators":` + digits)},
		{"1e999", "w/x", worker(`"accelerators":1e999`)},
		{"a negative number", "w/x", worker(`"accelerators":-8`)},
		{"a fraction", "w/x", worker(`"accelerators":0.5`)},
		{"a build of a megabyte", "w/x", `{"address":"10.1.0.26:7180","build":"` + strings.Repeat("b", 1<<20) + `"}`},
		{"amounts that overflow", "w/x", worker(`"memory-mb":9223372036854775807`)},
		{"nested deeply", "w/x", deep},
		{"invalid UTF-8", "w/x", "\xff\xfe"},
		{"an epoch that overflows", "planner", `{"name":"x","epoch":` + digits + `}`},
		{"an epoch that is too large", "beat", `{"epoch":1e999}`},
	}
	for _, tt := range tests {
		t.Run(tt.key+" "+tt.name, func(t *testing.T) {
			s := apply(t, clusterstate.JobRecord(job("a", 1)), clusterstate.ProgressRecord("a", claimedProgress(1, 1)))
			if err := s.Apply(journal.Record{Key: tt.key, Value: []byte(tt.value), Offset: 9}); err == nil {
				t.Error("the record was accepted")
			}
			j, _ := s.Job("a")
			if diff := cmp.Diff(claimedProgress(1, 1), j.Progress()); diff != "" {
				t.Errorf("progress (-want +got):\n%s", diff)
			}
			if _, ok := s.Job("b"); ok {
				t.Error("a job became known")
			}
			if n := len(s.Agents()) + len(s.Entries()); n != 0 {
				t.Errorf("%d addresses became known", n)
			}
		})
	}
}

// A record of another writer under the planner's key must not end what the planner does, nor keep all later ones
// from stepping up.
func TestOddPlannerRecordsChangeNothing(t *testing.T) {
	const own, next = 5, 11 // Offsets of the planner's record and that of its successor.
	tests := []struct{ name, value string }{
		{"null", `null`},
		{"no name", `{}`},
		{"resigned without a name", `{"resigned":true,"epoch":6}`},
		{"resigned in an epoch to come", `{"name":"y","resigned":true,"epoch":12}`},
		{"resigned in the last epoch", `{"name":"y","resigned":true,"epoch":9223372036854775807}`},
		{"resigned for another", `{"name":"y","resigned":true,"epoch":6}`},
		{"resigned for an earlier process", `{"name":"x","start":"1","resigned":true,"epoch":6}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &clusterstate.State{}
			step := clusterstate.PlannerRecord(clusterstate.Planner{Name: "x", Incarnation: "2"})
			step.Offset = own
			if err := s.Apply(step); err != nil {
				t.Fatal(err)
			}
			want, _ := s.Planner()
			if err := s.Apply(journal.Record{Key: "planner", Value: []byte(tt.value), Offset: 9}); err == nil {
				t.Error("the record was accepted")
			}
			if got, _ := s.Planner(); got != want {
				t.Errorf("planner %+v, want %+v", got, want)
			}
			step.Offset = next
			if err := s.Apply(step); err != nil {
				t.Fatal(err)
			}
			if got, _ := s.Planner(); got.Epoch != next+1 {
				t.Errorf("the successor's epoch is %d, want %d", got.Epoch, next+1)
			}
		})
	}
}

// The progress of a job may be read before the job itself.
func TestOddProgressBeforeItsJob(t *testing.T) {
	s := &clusterstate.State{}
	odd := journal.Record{Key: "p/a", Value: []byte(`{"units":[{"k":[0,7,0],"r":1}]}`)}
	if err := s.Apply(odd); err != nil {
		t.Fatal(err)
	}
	if err := s.Apply(clusterstate.JobRecord(job("a", 1))); err == nil {
		t.Error("the progress was accepted")
	}
	if j, ok := s.Job("a"); !ok || j.State() != shop.Queued {
		t.Errorf("the job is known: %v, want it queued", ok)
	}
}

func FuzzApply(f *testing.F) {
	f.Add("j/a", []byte(`{"id":"a","steps":[{"count":1,"after":[0]}]}`))
	f.Add("p/a", []byte(`{"places":[["w","l"]],"units":[{"k":[0,0,0],"r":1,"m":[[4,0]]}]}`))
	f.Add("w/x", []byte(`{"address":"10.1.0.26:99999999999"}`))
	f.Add("planner", []byte(`{"epoch":1e999}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		s := apply(t, clusterstate.JobRecord(job("a", 1)))
		if s.Apply(journal.Record{Key: key, Value: value, Offset: 9}) != nil {
			return
		}
		if j, ok := s.Job("a"); ok {
			for k := range j.Progress().Units {
				_ = j.Spec.Steps[k.Step]
			}
		}
	})
}

// All processes must agree on the outcome of a job that was cancelled after it had ended, also those
// that skip records.
func TestSupersededRecords(t *testing.T) {
	final := claimedProgress(1, 1)
	final.State = shop.Done
	tests := []struct {
		name   string
		record journal.Record
		want   bool
	}{
		{"progress", clusterstate.ProgressRecord("a", claimedProgress(1, 1)), true},
		{"the end of a job", clusterstate.ProgressRecord("a", final), false},
		{"a job", clusterstate.JobRecord(job("a", 1)), false},
		{"a cancellation", clusterstate.CancelRecord("a"), false},
		{"a planner", clusterstate.PlannerRecord(clusterstate.Planner{Name: "x"}), false},
	}
	for _, tt := range tests {
		if got := clusterstate.Superseded(tt.record); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestNewestPlannerWins(t *testing.T) {
	a, b := clusterstate.Planner{Name: "a", Incarnation: "1"}, clusterstate.Planner{Name: "b", Incarnation: "1"}
	resigned := clusterstate.Planner{Name: "b", Incarnation: "1", Resigned: true, Epoch: 2}
	s := apply(t, clusterstate.PlannerRecord(a), clusterstate.PlannerRecord(b), clusterstate.PlannerRecord(resigned), clusterstate.HeartbeatRecord(1))
	got, _ := s.Planner()
	if diff := cmp.Diff(resigned, got); diff != "" {
		t.Errorf("planner (-want +got):\n%s", diff)
	}
}

func TestProgressRoundTrip(t *testing.T) {
	want := claimedProgress(3, 5)
	want.Units[clusterstate.GangKey(1, 2)] = clusterstate.UnitProgress{Run: 2, Failures: 1, FailedRun: 1, Done: true}
	want.Units[clusterstate.GangKey(0, 2)] = clusterstate.UnitProgress{
		Run: 1, Failures: 1, FailedRun: 1, Members: members(0, 2), FailedMembers: members(1),
	}
	data, err := want.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	var got clusterstate.Progress
	if err := got.UnmarshalJSON(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("progress (-want +got):\n%s", diff)
	}
}

func FuzzProgress(f *testing.F) {
	f.Add([]byte(`{"places":[["n","l"]],"units":[{"k":[0,0,1],"r":1,"m":[[1,0]]}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var p clusterstate.Progress
		_ = p.UnmarshalJSON(data) // Any input must give a value or an error, never a panic.
	})
}

// oddJob has a gang, a step after it, and two occurrences.
func oddJob() *workflow.Job {
	j := job("a", 3)
	j.Steps = append(j.Steps, workflow.Step{Count: 150, Gang: true, Estimate: time.Second}, workflow.Step{Count: 90, After: []int{0}, Estimate: time.Second})
	j.Repeat = workflow.Repeat{Times: 2}
	return j
}

// Progress in the form that MarshalJSON writes is read in another way than any other. Both must accept the same
// records, and give the same progress; a space in front makes it another form.
func FuzzForms(f *testing.F) {
	for _, value := range []string{
		`{}`, `{"state":"done"}`, `{"state":"done","split":true}`, `{"split":true}`, `{"split":false}`, `{"places":[]}`,
		`{"state":"failed","places":[["n","l"],["m",""]],"units":[{"k":[0,0,1],"r":1,"f":2,"d":true,"c":"ab","m":[[1,0]]},{"k":[1,1,-1],"r":3,"m":[[149,1],[0,0]]}]}`,
		`{"units":[{"k":[0,0,1],"r":1},{"k":[0,0,1],"r":2}]}`, `{"units":[{"k":[0,0,9],"r":1},{"k":[0,0,1],"r":2}]}`,
		`{"units":[{"k":[0,0,1],"r":-0}]}`, `{"units":[{"k":[0,0,1],"r":01}]}`, `{"units":[{"k":[0,0,1],"r":999999999999999999}]}`,
		`{"units":[{"k":[0,0,1],"r":9999999999999999999}]}`, `{"units":[{"k":[0,0,1],"r":1,"c":"a\\u0062"}]}`, `{"units":[{"k":[0,0,1],"r":1,"c":"a` + "\xff" + `"}]}`,
		`{"places":[["","l"]],"units":[{"k":[0,0,1],"r":1,"m":[[1,0]]}]}`, `{"units":[{"k":[0,0,1],"r":1,"m":[[1,0]]}]}`, `{"units":[{"k":[0,0,1],"r":1}]}}`,
		`{"places":[["n","l"],["m","k"]],"units":[{"k":[0,1,-1],"r":2,"f":1,"x":2,"m":[[0,0]],"w":[[1,1],[2,0]]},{"k":[1,0,0],"r":1,"f":1,"w":[[0,1]]}]}`,
		`{"places":[["n","l"]],"units":[{"k":[0,0,1],"r":1,"w":[[1,1]]}]}`, `{"places":[["n","l"]],"units":[{"k":[0,0,1],"r":1,"w":[[0,0]]}]}`, `{"units":[{"k":[0,0,1],"r":1,"w":[]}]}`,
		`{"units":[{"k":[0,1,-1],"r":2,"f":1,"x":2}]}`, `{"units":[{"k":[0,1,-1],"r":2,"f":1,"x":3}]}`, `{"units":[{"k":[0,1,-1],"r":2,"x":1,"f":1}]}`,
		`{"split":true,"units":[{"k":[0,2,80],"r":1}]}`, `{"units":[{"k":[0,2,80],"r":1}]}`, `{"units":[{"k":[0,0,1],"r":1}`, `{"units":[{"k":[0,0,1],"r":1},]}`,
	} {
		f.Add("p/a", []byte(value))
		f.Add("p/a/1", []byte(value))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		if !strings.HasPrefix(key, "p/a") {
			return
		}
		for _, jobFirst := range []bool{true, false} {
			var got [2]clusterstate.Progress
			var refused [2]bool
			for i, v := range []string{string(value), " " + string(value)} {
				s := &clusterstate.State{}
				records := []journal.Record{clusterstate.JobRecord(oddJob()), {Key: key, Value: []byte(v)}}
				if key != "p/a" {
					records = append(records, journal.Record{Key: "p/a", Value: []byte(`{"split":true}`)})
				}
				if !jobFirst {
					slices.Reverse(records)
				}
				for _, r := range records {
					refused[i] = s.Apply(r) != nil || refused[i]
				}
				if j, ok := s.Job("a"); ok {
					got[i] = j.Progress()
				}
			}
			if diff := cmp.Diff(got[1], got[0]); diff != "" || refused[0] != refused[1] {
				t.Errorf("refused: %v, progress (-other form +usual form):\n%s", refused, diff)
			}
		}
	})
}

// An entry that doesn't plan decodes no units: what it allocates for a record must not grow with the job's tasks.
func TestUnitsAreDecodedOnDemand(t *testing.T) {
	s := apply(t, clusterstate.JobRecord(job("a", 470)))
	r := clusterstate.ProgressRecord("a", claimedProgress(1, 470))
	allocations := testing.AllocsPerRun(100, func() {
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	})
	if allocations > 30 {
		t.Errorf("%v allocations for a record with 470 units, want 30 at most", allocations)
	}
	clear(r.Value) // Its memory belongs to the page that was read.
	j, _ := s.Job("a")
	if diff := cmp.Diff(claimedProgress(1, 470), j.Progress()); diff != "" {
		t.Errorf("progress (-want +got):\n%s", diff)
	}
}

// BenchmarkRecovery measures how long a new entry takes to rebuild the state of unfinished jobs
// with ten tasks each.
func BenchmarkRecovery(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			var records []journal.Record
			bytes := 0
			for i := range jobs {
				id := fmt.Sprintf("%016x", i)
				records = append(records, clusterstate.JobRecord(job(id, 10)), clusterstate.ProgressRecord(id, claimedProgress(1, 10)))
			}
			for i := range records {
				records[i].Offset = int64(i)
				bytes += len(records[i].Key) + len(records[i].Value)
			}
			for b.Loop() {
				s := &clusterstate.State{}
				for _, r := range records {
					if err := s.Apply(r); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(bytes), "journal-bytes")
		})
	}
}

// The blocks of a large job's progress may be read in any order, and from several appends. They give the
// progress that was stored, and none of them is too large for the store.
func TestSplitProgressIsReadWhole(t *testing.T) {
	const tasks = 1500
	j := job("a", tasks)
	before, after := claimedProgress(1, tasks), claimedProgress(2, tasks)
	for _, p := range []clusterstate.Progress{before, after} {
		for k, u := range p.Units {
			u.Checkpoint = strings.Repeat("c", 100)
			p.Units[k] = u
		}
	}
	records, split := clusterstate.ProgressRecords(j, before, nil, nil)
	if !split || len(records) < 2 {
		t.Fatalf("%d records, split %v; want several", len(records), split)
	}
	for _, r := range records {
		if len(r.Value) > 200<<10 {
			t.Errorf("record %q has %d bytes", r.Key, len(r.Value))
		}
	}
	before.Split, after.Split = true, true
	changed := map[clusterstate.UnitKey]bool{{Index: 7}: true, {Index: 777}: true}
	update, _ := clusterstate.ProgressRecords(j, after, changed, nil)
	if len(update) != 2 {
		t.Errorf("%d records for changes in two blocks, want 2", len(update))
	}
	mixed := before.Clone()
	for k := range after.Units {
		if k.Index < 100 || k.Index >= 700 && k.Index < 800 {
			mixed.Units[k] = after.Units[k]
		}
	}
	accepted := clusterstate.JobRecord(j)
	reversed := slices.Clone(records)
	slices.Reverse(reversed)
	tests := []struct {
		name    string
		records []journal.Record
		want    clusterstate.Progress
	}{
		{"in order", slices.Concat([]journal.Record{accepted}, records), before},
		{"the job last", slices.Concat(reversed, []journal.Record{accepted}), before},
		{"changed", slices.Concat([]journal.Record{accepted}, records, update), mixed},
		{
			"not all blocks stored yet, after a record that is not split",
			slices.Concat([]journal.Record{accepted, clusterstate.ProgressRecord("a", claimedProgress(1, tasks))}, records[:3]),
			claimedProgress(1, tasks),
		},
		{"a block of another writer", []journal.Record{accepted, clusterstate.ProgressRecord("a", claimedProgress(1, 10)), {
			Key: "p/a/1", Value: []byte(`{"units":[{"k":[0,0,3],"r":9}]}`),
		}}, claimedProgress(1, 10)},
		{"a block of another writer before the job", slices.Concat([]journal.Record{
			{Key: "p/a/9", Value: []byte(`{"units":[{"k":[0,5,3],"r":9}]}`)}, clusterstate.ProgressRecord("a", claimedProgress(1, 10)), accepted,
		}), claimedProgress(1, 10)},
		{"a block without a number", []journal.Record{accepted, clusterstate.ProgressRecord("a", claimedProgress(1, 10)), {
			Key: "p/a/99999999999999999999", Value: []byte(`{}`),
		}}, claimedProgress(1, 10)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &clusterstate.State{}
			for i, r := range tt.records {
				r.Offset = int64(i)
				_ = s.Apply(r) // Fails for the record of another writer.
			}
			got, ok := s.Job("a")
			if !ok {
				t.Fatal("the job is not known")
			}
			if diff := cmp.Diff(tt.want, got.Progress()); diff != "" {
				t.Errorf("progress (-want +got):\n%s", diff)
			}
		})
	}
	deleted := append(slices.Concat([]journal.Record{accepted}, records), clusterstate.DeletionRecords("a", before.Blocks(j)...)...)
	left := make(map[string]bool)
	for _, r := range deleted {
		left[r.Key] = r.Value != nil
	}
	for key, kept := range left {
		if kept {
			t.Errorf("record %q stays after the job was deleted", key)
		}
	}
}

// A change of a large job must not cost more at the store than its block.
func TestChangeStoresItsBlockOnly(t *testing.T) {
	j, p := job("a", 470), claimedProgress(1, 470)
	_, p.Split = clusterstate.ProgressRecords(j, p, nil, nil)
	tests := []struct {
		name    string
		changed []int
		want    []string // Keys of the records.
	}{
		{"the first block", []int{7, 99}, []string{"p/a"}},
		{"another block", []int{301, 302}, []string{"p/a/3"}},
		{"two blocks", []int{99, 469}, []string{"p/a/4", "p/a"}},
		{"the state alone", nil, []string{"p/a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			changed := make(map[clusterstate.UnitKey]bool)
			for _, i := range tt.changed {
				changed[clusterstate.UnitKey{Index: i}] = true
			}
			records, _ := clusterstate.ProgressRecords(j, p, changed, nil)
			var keys []string
			for _, r := range records {
				keys = append(keys, r.Key)
				if len(r.Value) > 10<<10 {
					t.Errorf("record %q has %d bytes, want 10 KiB at most", r.Key, len(r.Value))
				}
			}
			if diff := cmp.Diff(tt.want, keys); diff != "" {
				t.Errorf("records (-want +got):\n%s", diff)
			}
		})
	}
}

// A planner has stored a block, but not the record that says so, and another one went on without it. When the
// progress is split later, the block must not count.
func TestBlockOfLostSplitIsReplaced(t *testing.T) {
	const tasks = 250
	j := job("a", tasks)
	lost, _ := clusterstate.ProgressRecords(j, claimedProgress(1, tasks), nil, nil)
	records := []journal.Record{clusterstate.JobRecord(j), lost[0], clusterstate.ProgressRecord("a", claimedProgress(1, 100))}
	if lost[0].Key != "p/a/1" {
		t.Fatalf("the first record is %q", lost[0].Key)
	}
	known, _ := apply(t, records...).Job("a")
	p := known.Progress()
	u := clusterstate.UnitProgress{Run: 7}
	last := clusterstate.UnitKey{Index: tasks - 1}
	p.Units[last] = u
	split, _ := clusterstate.ProgressRecords(j, p, map[clusterstate.UnitKey]bool{last: true}, known.Blocks())
	want := claimedProgress(1, 100)
	want.Split, want.Units[last] = true, u
	got, _ := apply(t, append(records, split...)...).Job("a")
	if diff := cmp.Diff(want, got.Progress()); diff != "" {
		t.Errorf("progress (-want +got):\n%s", diff)
	}
}

// A checkpoint that no record can hold is left out, so that the task starts from its beginning.
func TestHugeCheckpointsAreLeftOut(t *testing.T) {
	p := claimedProgress(1, 3)
	u := p.Units[clusterstate.UnitKey{Index: 1}]
	u.Checkpoint = strings.Repeat("c", 1<<20)
	p.Units[clusterstate.UnitKey{Index: 1}] = u
	records, _ := clusterstate.ProgressRecords(job("a", 3), p, nil, nil)
	s := apply(t, append([]journal.Record{clusterstate.JobRecord(job("a", 3))}, records...)...)
	want := claimedProgress(1, 3)
	want.Split = true
	u.Checkpoint = ""
	want.Units[clusterstate.UnitKey{Index: 1}] = u
	got, _ := s.Job("a")
	if diff := cmp.Diff(want, got.Progress()); diff != "" {
		t.Errorf("progress (-want +got):\n%s", diff)
	}
}
