package roster_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/roster"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

func protoDuration(d time.Duration) *durationpb.Duration { return durationpb.New(d) }

func protoSize(m proto.Message) int { return proto.Size(m) }

// fullState returns the state of an agent with eight accelerators, four tasks and a
// backend server.
func fullState(i int) *sniperillv1.AgentState {
	s := state(fmt.Sprintf("worker-%04d", i), "fi", 1_790_000_000_000_000_000+uint64(i)*7_919_973_331_117, 1)
	s.Address = "10.0.100.200:7443"
	s.Backends = []*sniperillv1.BackendSlots{{Class: "quote", Slots: 8, Connections: 64}}
	for a := range uint32(8) {
		s.Owners = append(s.Owners, &sniperillv1.AcceleratorOwner{Accelerator: a, Team: "quotes", Version: 9})
	}
	for k := range uint32(4) {
		s.Tasks = append(s.Tasks, &sniperillv1.AgentTask{
			Attempt: &sniperillv1.Attempt{Job: fmt.Sprintf("0193a1b2-c3d4-7e5f-8a9b-%012d", i), Number: 1},
			Tasks:   1, Accelerators: 1 << k, State: "running",
		})
	}
	return s
}

var agentCounts = []int{40, 160, 320, 640}

func newFilledRoster(b *testing.B, agents int) (*roster.Roster, []*sniperillv1.HeartbeatRequest) {
	b.Helper()
	return newFilledRosterAmong(b, agents, 4)
}

func newFilledRosterAmong(b *testing.B, agents, entries int) (*roster.Roster, []*sniperillv1.HeartbeatRequest) {
	b.Helper()
	r := newRoster("e1", "fi", "z1")
	for i := 2; i <= entries; i++ {
		exchange(newRoster(fmt.Sprint("e", i), "fi", fmt.Sprint("z", i)), r)
	}
	heartbeats := make([]*sniperillv1.HeartbeatRequest, agents)
	for i := range agents {
		s := fullState(i)
		if _, err := r.Heartbeat(newHeartbeatWithState(s)); err != nil {
			b.Fatal(err)
		}
		heartbeats[i] = newHeartbeat(s)
	}
	return r, heartbeats
}

func BenchmarkSlopeHeartbeat(b *testing.B) {
	for _, n := range agentCounts {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			r, heartbeats := newFilledRoster(b, n)
			var bytes int
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				res, err := r.Heartbeat(heartbeats[i%n])
				if err != nil {
					b.Fatal(err)
				}
				bytes = protoSize(heartbeats[i%n]) + protoSize(res)
			}
			b.ReportMetric(float64(bytes), "wire-bytes/op")
		})
	}
}

func BenchmarkSlopeHeartbeatWithNews(b *testing.B) {
	for _, n := range agentCounts {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			r, _ := newFilledRoster(b, n)
			s := fullState(n / 2)
			var bytes int
			b.ReportAllocs()
			for i := uint64(2); b.Loop(); i++ {
				s = proto.CloneOf(s)
				s.Sequence = i
				req := newHeartbeatWithState(s)
				res, err := r.Heartbeat(req)
				if err != nil {
					b.Fatal(err)
				}
				bytes = protoSize(req) + protoSize(res)
			}
			b.ReportMetric(float64(bytes), "wire-bytes/op")
		})
	}
}

func BenchmarkSlopeDigest(b *testing.B) {
	for _, entries := range []int{4, 7} {
		for _, n := range agentCounts {
			b.Run(fmt.Sprintf("entries=%d/agents=%d", entries, n), func(b *testing.B) {
				r, heartbeats := newFilledRosterAmong(b, n, entries)
				// Another entry heard from every agent later.
				for _, hb := range heartbeats {
					r.MergeDigests("fi", []*sniperillv1.AgentDigest{{
						Name: hb.GetAgent(), Incarnation: hb.GetIncarnation(), Sequence: hb.GetSequence(),
					}})
				}
				var req *sniperillv1.ExchangeRequest
				b.ReportAllocs()
				for b.Loop() {
					req = r.StartExchange()
				}
				b.ReportMetric(float64(protoSize(req)), "wire-bytes/op")
				b.ReportMetric(float64(compressedSize(b, req)), "gzip-bytes/op")
				b.ReportMetric(float64(len(req.GetDigests())), "digests/op")
			})
		}
	}
}

// compressedSize returns the size of a message as it is sent: compressed by gzip.
func compressedSize(b *testing.B, m proto.Message) int {
	b.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		b.Fatal(err)
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
	return out.Len()
}

func BenchmarkSlopeMemory(b *testing.B) {
	for _, n := range agentCounts {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				r, _ := newFilledRoster(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(r)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-bytes/agent")
		})
	}
}
