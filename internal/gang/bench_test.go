package gang

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// directAgents is a set of agents that call one another directly, without a network.
type directAgents struct {
	agents   []*Allocator
	messages atomic.Int64
	bytes    atomic.Int64
}

func newDirectAgents(n int) *directAgents {
	d := &directAgents{}
	begin := time.Now().Add(-time.Minute)
	for i := range n {
		a := &Allocator{Name: agentName(i), Incarnation: 1, Accelerators: 8, Cores: 128, Memory: 256 * shop.GiB}
		a.Now = func() time.Time { return begin }
		a.StartTask = func(context.Context, *sniperillv1.StartTaskRequest) error { return nil }
		a.StopTask = func(context.Context, *sniperillv1.StopTaskRequest) error { return nil }
		a.RenewMember = countCalls(d, (*Allocator).Renew)
		a.ReleaseMember = countCalls(d, (*Allocator).Release)
		a.AbandonMember = countCalls(d, (*Allocator).Abandon)
		a.lockAndExpire()
		a.lastActive = time.Now()
		a.mu.Unlock()
		a.Now = time.Now
		d.agents = append(d.agents, a)
	}
	return d
}

// countCalls returns a call to f that counts the messages and their bytes.
func countCalls[Req, Resp proto.Message](d *directAgents, f func(*Allocator, context.Context, Req) (Resp, error)) call[Req, Resp] {
	return func(ctx context.Context, m *sniperillv1.Member, req Req) (Resp, error) {
		i := slices.IndexFunc(d.agents, func(a *Allocator) bool { return a.Name == m.GetAgent() })
		resp, err := f(d.agents[i], ctx, req)
		d.messages.Add(2)
		d.bytes.Add(int64(proto.Size(req) + proto.Size(resp)))
		return resp, err
	}
}

func BenchmarkGang(b *testing.B) {
	for _, members := range []int{1, 2, 8, 64} {
		b.Run(fmt.Sprint("start/members=", members), func(b *testing.B) { benchmarkStart(b, members) })
	}
	b.Run("hold", benchmarkHold)
	for _, tasks := range []int{16, 128, 1024, 8192} {
		b.Run(fmt.Sprint("memory/tasks=", tasks), func(b *testing.B) { benchmarkMemory(b, tasks) })
	}
}

func benchmarkStart(b *testing.B, members int) {
	d := newDirectAgents(members)
	s := Starter{
		Hold: countCalls(d, (*Allocator).Hold), Prepare: countCalls(d, (*Allocator).Prepare), Release: countCalls(d, (*Allocator).Release),
		Renew: countCalls(d, (*Allocator).Renew), Abandon: countCalls(d, (*Allocator).Abandon),
	}
	p := Plan{Job: job("render", "red", members, 1)}
	for _, a := range d.agents {
		p.Parts = append(p.Parts, Part{Member: &sniperillv1.Member{Agent: a.Name, Incarnation: 1}, Tasks: 1})
	}
	for i := range b.N {
		p.Attempt = &sniperillv1.Attempt{Job: "render", Number: uint32(i + 1)}
		if _, err := s.Start(b.Context(), p); err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		messages, bytes := d.messages.Load(), d.bytes.Load()
		for _, a := range d.agents {
			if _, err := a.Abandon(b.Context(), &sniperillv1.AbandonRequest{Attempt: p.Attempt}); err != nil {
				b.Fatal(err)
			}
		}
		d.messages.Store(messages) // The lead's notices are not part of the start.
		d.bytes.Store(bytes)
		b.StartTimer()
	}
	b.ReportMetric(float64(d.messages.Load())/float64(b.N), "messages/start")
	b.ReportMetric(float64(d.bytes.Load())/float64(d.messages.Load()), "bytes/message")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
}

func holdRequest(id string, number uint32, accelerators int) *sniperillv1.HoldRequest {
	return &sniperillv1.HoldRequest{
		Attempt: &sniperillv1.Attempt{Job: id, Number: number},
		Job:     &sniperillv1.Job{Id: id, Team: "red", Shape: &sniperillv1.Shape{Tasks: 1, Accelerators: uint32(accelerators)}},
		Tasks:   1,
		Ttl:     durationpb.New(time.Minute),
	}
}

func benchmarkHold(b *testing.B) {
	a := newDirectAgents(1).agents[0]
	for i := range b.N {
		req := holdRequest("render", uint32(i+1), 8)
		resp, err := a.Hold(b.Context(), req)
		if err != nil || !resp.GetHeld() {
			b.Fatal(resp, err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "holds/s")
}

func benchmarkMemory(b *testing.B, tasks int) {
	var before, after runtime.MemStats
	var sum uint64
	for range b.N {
		a := newDirectAgents(1).agents[0]
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range tasks {
			if _, err := a.Hold(b.Context(), holdRequest(fmt.Sprint("job-", i), 1, 0)); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		sum += after.HeapAlloc - before.HeapAlloc
		runtime.KeepAlive(a)
	}
	b.ReportMetric(float64(sum)/float64(b.N)/float64(tasks), "bytes/task")
}
