package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/keys"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// packetHeader is the size of the IPv4 and UDP headers of a datagram, in bytes.
const packetHeader = 28

// warmUp is the number of calls before those that are counted, so that the packets
// of path MTU discovery are not counted.
const warmUp = 20

// countedConn counts the bytes of a server's datagrams in both directions.
type countedConn struct {
	net.PacketConn

	in, out, packets atomic.Int64
}

func (c *countedConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, a, err := c.PacketConn.ReadFrom(p)
	if err == nil {
		c.in.Add(int64(n + packetHeader))
		c.packets.Add(1)
	}
	return n, a, err
}

func (c *countedConn) WriteTo(p []byte, a net.Addr) (int, error) {
	c.out.Add(int64(len(p) + packetHeader))
	c.packets.Add(1)
	return c.PacketConn.WriteTo(p, a)
}

// countedListener is an entry's listener that counts its traffic.
type countedListener struct {
	*countedConn

	authority *keys.Authority
	address   string
}

func newCountedListener(b *testing.B, heartbeat func(context.Context, *sniperillv1.HeartbeatRequest) (*sniperillv1.HeartbeatResponse, error)) *countedListener {
	b.Helper()
	a, err := keys.NewAuthority(time.Now())
	if err != nil {
		b.Fatal(err)
	}
	mux := http.NewServeMux()
	Handle(mux, sniperillv1connect.EntryServiceHeartbeatProcedure, heartbeat)
	s := &QUICServer{Config: newBenchTLSConfig(b, a), Handler: mux}
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l := &countedListener{countedConn: &countedConn{PacketConn: s.conn}, authority: a, address: address}
	s.conn = l.countedConn
	go func() { _ = s.Serve() }()
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return l
}

// client returns the client of an agent, which has its own connection.
func (l *countedListener) client(b *testing.B) sniperillv1connect.EntryServiceClient {
	b.Helper()
	p := NewQUICPool(newBenchTLSConfig(b, l.authority))
	b.Cleanup(func() { _ = p.Close() })
	c := &Clients{HTTP: p.Client(), Scheme: p.Scheme}
	return c.Entry(l.address)
}

// report records the traffic per call since the last reset, for n calls.
func (l *countedListener) report(b *testing.B, n int) {
	b.ReportMetric(float64(l.in.Load())/float64(n), "B-in/call")
	b.ReportMetric(float64(l.out.Load())/float64(n), "B-out/call")
	b.ReportMetric(float64(l.packets.Load())/float64(n), "packets/call")
}

func (l *countedListener) reset() {
	l.in.Store(0)
	l.out.Store(0)
	l.packets.Store(0)
}

// cpuTime returns the processor time that this process has used, which includes both
// ends of a call.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // RUSAGE_SELF is always valid.
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// newHeartbeat returns a heartbeat with a state of about size bytes, half of which
// can't be compressed.
func newHeartbeat(size int) *sniperillv1.HeartbeatRequest {
	r := &sniperillv1.HeartbeatRequest{Agent: "worker-0001", Incarnation: 1_790_000_000_000_000_000, Sequence: 7, ConfigVersion: 3}
	random := rand.New(rand.NewPCG(1, 1))
	for i := 0; i < size; i += 256 {
		payload := make([]byte, 128)
		for k := range payload {
			payload[k] = byte(random.Uint32())
		}
		if r.State == nil {
			r.State = &sniperillv1.AgentState{Name: r.Agent, Incarnation: r.Incarnation, Sequence: r.Sequence}
		}
		r.State.Tasks = append(r.State.Tasks, &sniperillv1.AgentTask{
			Attempt: &sniperillv1.Attempt{Job: fmt.Sprintf("team-001/0193a1b2-c3d4-7e5f-8a9b-%012d", i), Number: 1},
			Job:     &sniperillv1.Job{Id: fmt.Sprintf("team-001/0193a1b2-c3d4-7e5f-8a9b-%012d", i), Team: "team-001", Payload: payload},
			State:   "running",
		})
	}
	return r
}

func respond(_ context.Context, r *sniperillv1.HeartbeatRequest) (*sniperillv1.HeartbeatResponse, error) {
	return &sniperillv1.HeartbeatResponse{ConfigVersion: r.ConfigVersion}, nil
}

// BenchmarkSlopeCall sends heartbeats with states of several sizes.
func BenchmarkSlopeCall(b *testing.B) {
	for _, size := range []int{0, 1024, 4096, 8192, 16_384, 32_768} {
		b.Run(fmt.Sprintf("state=%d", size), func(b *testing.B) {
			l := newCountedListener(b, respond)
			c, r := l.client(b), newHeartbeat(size)
			for range warmUp {
				if _, err := Call(b.Context(), c.Heartbeat, r); err != nil {
					b.Fatal(err)
				}
			}
			l.reset()
			before := cpuTime()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Call(b.Context(), c.Heartbeat, r); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/call")
			l.report(b, b.N)
		})
	}
}

// BenchmarkSlopeHeld sends unchanged heartbeats from many agents concurrently. The
// entry holds each of them for longer than the delay of QUIC acknowledgements.
func BenchmarkSlopeHeld(b *testing.B) {
	const holdTime = 60 * time.Millisecond
	for _, agents := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			l := newCountedListener(b, func(ctx context.Context, r *sniperillv1.HeartbeatRequest) (*sniperillv1.HeartbeatResponse, error) {
				time.Sleep(holdTime)
				return respond(ctx, r)
			})
			var clients []sniperillv1connect.EntryServiceClient
			for range agents {
				clients = append(clients, l.client(b))
			}
			for range warmUp {
				sendFromAll(b, clients)
			}
			l.reset()
			before := cpuTime()
			for b.Loop() {
				sendFromAll(b, clients)
			}
			b.ReportMetric(float64(cpuTime()-before)/float64(b.N*agents), "cpu-ns/call")
			l.report(b, b.N*agents)
		})
	}
}

// sendFromAll sends one heartbeat from every agent and waits for the answers.
func sendFromAll(b *testing.B, clients []sniperillv1connect.EntryServiceClient) {
	r := newHeartbeat(0)
	var group sync.WaitGroup
	for _, c := range clients {
		group.Go(func() {
			if _, err := Call(WithHoldTime(b.Context(), time.Minute), c.Heartbeat, r); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
}

// BenchmarkSlopeConnections opens connections with one held heartbeat on each, and
// reports the memory of both ends together.
func BenchmarkSlopeConnections(b *testing.B) {
	for _, n := range []int{40, 100, 160, 320} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			heap, stack := 0.0, 0.0
			for range b.N {
				h, s := heldConnections(b, n)
				heap += h
				stack += s
			}
			b.ReportMetric(heap/float64(b.N*n), "heap-B/connection")
			b.ReportMetric(stack/float64(b.N*n), "stack-B/connection")
		})
	}
}

// heldConnections returns the growth of the heap and the stacks in bytes, for n
// connections with one held heartbeat on each.
func heldConnections(b *testing.B, n int) (heap, stack float64) {
	b.Helper()
	arrived, release := make(chan struct{}, n), make(chan struct{})
	l := newCountedListener(b, func(ctx context.Context, r *sniperillv1.HeartbeatRequest) (*sniperillv1.HeartbeatResponse, error) {
		arrived <- struct{}{}
		<-release
		return respond(ctx, r)
	})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var group sync.WaitGroup
	var clients []sniperillv1connect.EntryServiceClient
	for range n {
		c := l.client(b)
		clients = append(clients, c)
		group.Go(func() {
			if _, err := Call(WithHoldTime(b.Context(), time.Minute), c.Heartbeat, newHeartbeat(0)); err != nil {
				b.Error(err)
			}
		})
		<-arrived
	}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	close(release)
	group.Wait()
	runtime.KeepAlive(clients)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), float64(after.StackInuse) - float64(before.StackInuse)
}

func newBenchTLSConfig(b *testing.B, a *keys.Authority) *tls.Config {
	b.Helper()
	pair, err := a.Issue(keys.RoleAgent, "one", time.Now(), "127.0.0.1")
	if err != nil {
		b.Fatal(err)
	}
	c, err := pair.TLS()
	if err != nil {
		b.Fatal(err)
	}
	return c
}
