package clusterstate_test

import (
	"fmt"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
)

// jobRecords returns what a planner stores from the first claim of a job's tasks to its end, and the number
// of appends. Ten tasks run at a time, and each pass stores the end of one and the claim of the next.
func jobRecords(tasks int) (records []journal.Record, appends int) {
	const running = 10
	j := job("1c8a0000000000aa", tasks)
	records = append(records, clusterstate.JobRecord(j))
	whole := claimedProgress(1, tasks)
	p := clusterstate.Progress{}.Clone()
	for i := range tasks + running {
		changed := make(map[clusterstate.UnitKey]bool)
		if i < tasks {
			k := clusterstate.UnitKey{Index: i}
			p.Units[k], changed[k] = whole.Units[k], true
		}
		if i >= running {
			k := clusterstate.UnitKey{Index: i - running}
			u := p.Units[k]
			u.Done, u.Checkpoint, u.Members = true, "", nil
			p.Units[k], changed[k] = u, true
		}
		var pass []journal.Record
		pass, p.Split = clusterstate.ProgressRecords(j, p, changed, nil)
		records = append(records, pass...)
		appends++
	}
	for i := range records {
		records[i].Offset = int64(i)
	}
	return records, appends
}

// BenchmarkSlopeProgress measures by the number of a job's tasks what each costs at the store, and an entry that
// doesn't plan.
func BenchmarkSlopeProgress(b *testing.B) {
	for _, tasks := range []int{10, 47, 100, 200, 470} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			records, appends := jobRecords(tasks)
			bytes := 0
			for _, r := range records[1:] {
				bytes += len(r.Key) + len(r.Value)
			}
			b.ReportAllocs()
			for b.Loop() {
				s := &clusterstate.State{}
				for _, r := range records {
					if err := s.Apply(r); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks)/float64(time.Microsecond.Nanoseconds()), "µs/task")
			b.ReportMetric(float64(bytes)/float64(tasks), "bytes/task")
			b.ReportMetric(float64(len(records)-1)/float64(tasks), "records/task")
			b.ReportMetric(float64(appends)/float64(tasks), "appends/task")
		})
	}
}

// BenchmarkSlopeStepUp measures by the number of a job's tasks how long a planner that steps up takes to decode
// the job's progress.
func BenchmarkSlopeStepUp(b *testing.B) {
	for _, tasks := range []int{10, 47, 100, 200, 470} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			s := &clusterstate.State{}
			for _, r := range []journal.Record{clusterstate.JobRecord(job("a", tasks)), clusterstate.ProgressRecord("a", claimedProgress(1, tasks))} {
				if err := s.Apply(r); err != nil {
					b.Fatal(err)
				}
			}
			j, _ := s.Job("a")
			b.ReportAllocs()
			for b.Loop() {
				j.Progress()
			}
		})
	}
}

// BenchmarkSlopeStore measures by the number of a job's tasks what each costs a planner that encodes the records.
func BenchmarkSlopeStore(b *testing.B) {
	for _, tasks := range []int{10, 47, 100, 200, 470} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			for b.Loop() {
				jobRecords(tasks)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*tasks), "µs/task")
		})
	}
}
