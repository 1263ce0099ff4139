package entry

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/queue"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"

	"google.golang.org/protobuf/proto"
)

// scaleFactors are parts of the size to design for.
var scaleFactors = []float64{0.125, 0.25, 0.5, 1, 2}

// heapGrowth returns what the heap grows by while build runs and its result is kept.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// decoded returns states as an entry gets them: each from bytes of its own.
func decoded(b *testing.B, states []*sniperillv1.AgentState) []*sniperillv1.AgentState {
	out := make([]*sniperillv1.AgentState, len(states))
	for i, s := range states {
		data, err := proto.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		out[i] = &sniperillv1.AgentState{}
		if err := proto.Unmarshal(data, out[i]); err != nil {
			b.Fatal(err)
		}
	}
	return out
}

// decodedJobs returns records as an entry reads them.
func decodedJobs(b *testing.B, records []platform.Record) []platform.Record {
	var out []platform.Record
	for _, r := range records {
		data, err := r.Encode()
		if err != nil {
			b.Fatal(err)
		}
		read, err := platform.DecodeRecord(data)
		if err != nil {
			b.Fatal(err)
		}
		read.Offset, read.Appended = r.Offset, r.Appended
		out = append(out, read)
	}
	return out
}

// BenchmarkSlopeEntryMemory gives the heap of an entry that has planned once,
// and how much of it each item adds to what an entry has without any.
func BenchmarkSlopeEntryMemory(b *testing.B) {
	tests := []struct {
		name string
		unit string
		make func(n int) deploymentSize
		n    []int
	}{
		{"workers", "worker", func(n int) deploymentSize { return deploymentSize{workers: n, teams: 1} }, []int{80, 160, 320, 640, 1280}},
		{"tasks", "task", func(n int) deploymentSize { return deploymentSize{workers: 640, tasks: n, teams: 130} }, []int{1375, 2750, 5500, 11_000, 22_000}},
		{"queued", "job", func(n int) deploymentSize { return deploymentSize{640, 11_000, n, 130} }, []int{250, 500, 1000, 2000}},
		{"teams", "team", func(n int) deploymentSize { return deploymentSize{640, 11_000, 0, max(2, n)} }, []int{16, 32, 65, 130, 260}},
	}
	for _, tt := range tests {
		base := 0.0
		for _, n := range tt.n {
			b.Run(fmt.Sprintf("%s=%d", tt.name, n), func(b *testing.B) {
				if base == 0 {
					base = entryHeap(b, tt.make(0))
				}
				bytes := 0.0
				for range b.N {
					bytes += entryHeap(b, tt.make(n))
				}
				bytes /= float64(b.N)
				b.ReportMetric(bytes/1024, "KB")
				b.ReportMetric((bytes-base)/float64(n), "B/"+tt.unit)
			})
		}
	}
}

func entryHeap(b *testing.B, l deploymentSize) float64 {
	return heapGrowth(func() any {
		w := newDeployment(l)
		w.states, w.jobs = decoded(b, w.states), decodedJobs(b, w.jobs)
		e := w.newEntry(b)
		e.planner.plan(b.Context())
		w.states, w.jobs = nil, nil
		return e
	})
}

// BenchmarkSlopePlan plans again and again with nothing changed, and after one
// agent reported a change.
func BenchmarkSlopePlan(b *testing.B) {
	for _, changed := range []bool{false, true} {
		for _, f := range scaleFactors {
			l := designSize.scaled(f)
			b.Run(fmt.Sprintf("changed=%t/workers=%d", changed, l.workers), func(b *testing.B) {
				w := newDeployment(l)
				e := w.newEntry(b)
				for range 2 {
					e.planner.plan(b.Context())
					w.now = w.now.Add(time.Minute)
					w.heartbeatAll(b, e)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					w.now = w.now.Add(time.Millisecond)
					if changed {
						w.changeAgent(b, e, i)
					}
					e.planner.plan(b.Context())
				}
			})
		}
	}
}

// changeAgent lets one agent report its state anew.
func (w *deployment) changeAgent(b *testing.B, e *Entry, i int) {
	at := i % w.workers
	s := proto.CloneOf(w.states[at])
	s.Sequence++
	w.states[at] = s
	r := &sniperillv1.HeartbeatRequest{Agent: s.Name, Incarnation: s.Incarnation, Sequence: s.Sequence, State: s}
	if _, err := e.roster.Heartbeat(r); err != nil {
		b.Fatal(err)
	}
	e.viewChanged()
}

// BenchmarkSlopePlanParts measures the steps of a plan one by one.
func BenchmarkSlopePlanParts(b *testing.B) {
	for _, f := range scaleFactors {
		l := designSize.scaled(f)
		w := newDeployment(l)
		e := w.newEntry(b)
		p := &e.planner
		p.plan(b.Context())
		w.now = w.now.Add(time.Minute)
		w.heartbeatAll(b, e)
		p.plan(b.Context())
		members, config := p.roster.View().Agents, p.Config()
		inv := p.buildInventory(config, members, w.now)
		view := p.buildView(b.Context(), config, inv, w.now)
		parts := []struct {
			name string
			run  func()
		}{
			{"follow", func() { p.updateAgents(members, w.now) }},
			{"inventory", func() { p.buildInventory(config, members, w.now) }},
			{"view", func() { p.buildView(b.Context(), config, inv, w.now) }},
			{"next", func() {
				var q queue.Planner
				q.Policy = queue.Default
				q.Next(view)
			}},
			{"next-again", func() { p.queue.Next(view) }},
			{"view-changed", func() {
				e.membership.lastView.Store(nil)
				e.viewChanged()
			}},
		}
		for _, part := range parts {
			b.Run(fmt.Sprintf("%s/workers=%d", part.name, l.workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					part.run()
				}
			})
		}
	}
}

// BenchmarkSlopeState gives the bytes of the state of one agent and what it
// costs an entry to take it in.
func BenchmarkSlopeState(b *testing.B) {
	for _, f := range scaleFactors {
		l := designSize
		l.tasks = int(f * float64(l.tasks))
		b.Run(fmt.Sprintf("tasks=%d", l.tasks), func(b *testing.B) {
			w := newDeployment(l)
			size, parts := 0, 0
			var data [][]byte
			for _, s := range w.states {
				d, err := proto.Marshal(s)
				if err != nil {
					b.Fatal(err)
				}
				data = append(data, d)
				size += len(d)
				parts += len(s.Tasks)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if err := proto.Unmarshal(data[i%len(data)], &sniperillv1.AgentState{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size)/float64(len(w.states)), "B/state")
			b.ReportMetric(compressed(b, data)/float64(len(w.states)), "gzip-B/state")
			b.ReportMetric(float64(parts)/float64(len(w.states)), "parts/state")
		})
	}
}

// BenchmarkSlopeConfig gives the bytes of a configuration and what it costs to
// put it in force.
func BenchmarkSlopeConfig(b *testing.B) {
	for _, teams := range []int{16, 32, 65, 130, 260} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			l := designSize
			l.teams = teams
			w := newDeployment(l)
			e := w.newEntry(b)
			data, _ := e.configData()
			var encoded [][]byte
			for i := range 64 {
				encoded = append(encoded, encodedConfigOf(b, w.config.WithVersion(uint64(i+2))))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				e.learnConfig(encoded[min(i, len(encoded)-1)])
				i++
			}
			b.ReportMetric(float64(len(data)), "B/config")
			b.ReportMetric(compressed(b, [][]byte{data}), "gzip-B/config")
		})
	}
}

// BenchmarkSlopeRecovery gives what an entry reads, and how long it works,
// until it can plan.
func BenchmarkSlopeRecovery(b *testing.B) {
	for _, f := range scaleFactors {
		l := designSize
		l.queued = 0
		l.tasks = int(f * float64(l.tasks))
		b.Run(fmt.Sprintf("tasks=%d", l.tasks), func(b *testing.B) {
			w := newDeployment(l)
			var log, agents int
			for _, r := range w.jobs {
				data, err := r.Encode()
				if err != nil {
					b.Fatal(err)
				}
				log += len(data)
			}
			for _, s := range w.states {
				agents += proto.Size(s)
			}
			for b.Loop() {
				w.states, w.jobs = decoded(b, w.states), decodedJobs(b, w.jobs)
				w.newEntry(b).planner.plan(b.Context())
			}
			b.ReportMetric(float64(log)/1024, "KB-log")
			b.ReportMetric(float64(agents)/1024, "KB-states")
		})
	}
}

// BenchmarkSlopeEnded gives the heap of ended jobs that an entry remembers.
func BenchmarkSlopeEnded(b *testing.B) {
	for _, n := range []int{475, 950, 1900, 3800} {
		b.Run(fmt.Sprintf("ended=%d", n), func(b *testing.B) {
			bytes := 0.0
			w := newDeployment(deploymentSize{workers: 7, teams: 2})
			for range b.N {
				bytes += heapGrowth(func() any {
					k := &endedJobs{}
					for i := range n {
						job := w.newJob(fmt.Sprintf("ended-%05d", i), i, 1, homeRegion)
						k.add(Status{Job: job, Answer: make([]byte, 256)}.WithEnd(shop.Done, "", w.now))
					}
					return k
				})
			}
			b.ReportMetric(bytes/float64(b.N)/float64(n), "B/job")
		})
	}
}

func encodedConfigOf(b *testing.B, c shop.Config) []byte {
	b.Helper()
	data, err := json.Marshal(platform.AcceptedConfig{Config: c})
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// compressed returns how many bytes the messages have when each is compressed
// by itself.
func compressed(b *testing.B, messages [][]byte) float64 {
	b.Helper()
	var n bytes.Buffer
	for _, m := range messages {
		w := gzip.NewWriter(&n)
		if _, err := w.Write(m); err != nil {
			b.Fatal(err)
		}
		if err := w.Close(); err != nil {
			b.Fatal(err)
		}
	}
	return float64(n.Len())
}
