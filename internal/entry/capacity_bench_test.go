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

// scaleFactors are the factors of designSize to measure.
var scaleFactors = []float64{0.125, 0.25, 0.5, 1, 2}

// heapGrowth returns the growth of the heap in bytes by the result of build.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// decoded returns copies of the states as an entry receives them, each decoded from its own
// bytes.
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

// decodedJobs returns copies of the records as an entry reads them from the log.
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

// BenchmarkSlopeEntryMemory measures the heap of an entry that has planned once, and how much
// each item adds compared with an entry without such items.
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

func entryHeap(b *testing.B, size deploymentSize) float64 {
	return heapGrowth(func() any {
		d := newDeployment(size)
		d.states, d.jobs = decoded(b, d.states), decodedJobs(b, d.jobs)
		e := d.newEntry(b)
		e.planner.plan(b.Context())
		d.states, d.jobs = nil, nil
		return e
	})
}

// BenchmarkSlopePlan measures repeated plans without any change, and with one agent reporting
// a change before each.
func BenchmarkSlopePlan(b *testing.B) {
	for _, changed := range []bool{false, true} {
		for _, f := range scaleFactors {
			size := designSize.scaled(f)
			b.Run(fmt.Sprintf("changed=%t/workers=%d", changed, size.workers), func(b *testing.B) {
				d := newDeployment(size)
				e := d.newEntry(b)
				for range 2 {
					e.planner.plan(b.Context())
					d.now = d.now.Add(time.Minute)
					d.heartbeatAll(b, e)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					d.now = d.now.Add(time.Millisecond)
					if changed {
						d.changeAgent(b, e, i)
					}
					e.planner.plan(b.Context())
				}
			})
		}
	}
}

// changeAgent makes one agent report its state again.
func (d *deployment) changeAgent(b *testing.B, e *Entry, i int) {
	at := i % d.workers
	s := proto.CloneOf(d.states[at])
	s.Sequence++
	d.states[at] = s
	r := &sniperillv1.HeartbeatRequest{Agent: s.Name, Incarnation: s.Incarnation, Sequence: s.Sequence, State: s}
	if _, err := e.roster.Heartbeat(r); err != nil {
		b.Fatal(err)
	}
	e.viewChanged()
}

// BenchmarkSlopePlanParts measures the steps of a plan separately.
func BenchmarkSlopePlanParts(b *testing.B) {
	for _, f := range scaleFactors {
		size := designSize.scaled(f)
		d := newDeployment(size)
		e := d.newEntry(b)
		p := &e.planner
		p.plan(b.Context())
		d.now = d.now.Add(time.Minute)
		d.heartbeatAll(b, e)
		p.plan(b.Context())
		members, config := p.roster.View().Agents, p.Config()
		inv := p.buildInventory(config, members, d.now)
		view := p.buildView(b.Context(), config, inv, d.now)
		parts := []struct {
			name string
			run  func()
		}{
			{"follow", func() { p.updateAgents(members, d.now) }},
			{"inventory", func() { p.buildInventory(config, members, d.now) }},
			{"view", func() { p.buildView(b.Context(), config, inv, d.now) }},
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
			b.Run(fmt.Sprintf("%s/workers=%d", part.name, size.workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					part.run()
				}
			})
		}
	}
}

// BenchmarkSlopeState measures the size of an agent's state and the cost of decoding it.
func BenchmarkSlopeState(b *testing.B) {
	for _, f := range scaleFactors {
		size := designSize
		size.tasks = int(f * float64(size.tasks))
		b.Run(fmt.Sprintf("tasks=%d", size.tasks), func(b *testing.B) {
			d := newDeployment(size)
			bytes, parts := 0, 0
			var data [][]byte
			for _, s := range d.states {
				encoded, err := proto.Marshal(s)
				if err != nil {
					b.Fatal(err)
				}
				data = append(data, encoded)
				bytes += len(encoded)
				parts += len(s.Tasks)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if err := proto.Unmarshal(data[i%len(data)], &sniperillv1.AgentState{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(len(d.states)), "B/state")
			b.ReportMetric(compressed(b, data)/float64(len(d.states)), "gzip-B/state")
			b.ReportMetric(float64(parts)/float64(len(d.states)), "parts/state")
		})
	}
}

// BenchmarkSlopeConfig measures the size of a configuration and the cost of applying it.
func BenchmarkSlopeConfig(b *testing.B) {
	for _, teams := range []int{16, 32, 65, 130, 260} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			size := designSize
			size.teams = teams
			d := newDeployment(size)
			e := d.newEntry(b)
			data, _ := e.configData()
			var encoded [][]byte
			for i := range 64 {
				encoded = append(encoded, encodedConfigOf(b, d.config.WithVersion(uint64(i+2))))
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

// BenchmarkSlopeRecovery measures how much a new entry has to read, and how long it takes,
// until its first plan is done.
func BenchmarkSlopeRecovery(b *testing.B) {
	for _, f := range scaleFactors {
		size := designSize
		size.queued = 0
		size.tasks = int(f * float64(size.tasks))
		b.Run(fmt.Sprintf("tasks=%d", size.tasks), func(b *testing.B) {
			d := newDeployment(size)
			var log, agents int
			for _, r := range d.jobs {
				data, err := r.Encode()
				if err != nil {
					b.Fatal(err)
				}
				log += len(data)
			}
			for _, s := range d.states {
				agents += proto.Size(s)
			}
			for b.Loop() {
				d.states, d.jobs = decoded(b, d.states), decodedJobs(b, d.jobs)
				d.newEntry(b).planner.plan(b.Context())
			}
			b.ReportMetric(float64(log)/1024, "KB-log")
			b.ReportMetric(float64(agents)/1024, "KB-states")
		})
	}
}

// BenchmarkSlopeEnded measures the heap that the remembered ended jobs take.
func BenchmarkSlopeEnded(b *testing.B) {
	for _, n := range []int{475, 950, 1900, 3800} {
		b.Run(fmt.Sprintf("ended=%d", n), func(b *testing.B) {
			bytes := 0.0
			d := newDeployment(deploymentSize{workers: 7, teams: 2})
			for range b.N {
				bytes += heapGrowth(func() any {
					jobs := &endedJobs{}
					for i := range n {
						job := d.newJob(fmt.Sprintf("ended-%05d", i), i, 1, homeRegion)
						jobs.add(Status{Job: job, Answer: make([]byte, 256)}.WithEnd(shop.Done, "", d.now))
					}
					return jobs
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

// compressed returns the total size of the messages when each is compressed separately.
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
