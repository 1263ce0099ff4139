package deployment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/pkg/caller"
	"sniperill.example/sniperill/pkg/shop"
)

// Size of the deployment, which is that of an order desk, and parameters of the load.
const (
	benchWorkers      = 11
	benchAccelerators = 8
	benchCallers      = 64
	benchTeam         = "hari-quotes"
	benchClass        = "price-quote"
	// steadyEnv is the environment variable with the duration of TestSteadyLoad, such as 1m.
	steadyEnv          = "SNIPERILL_STEADY"
	steadyCallers      = 16
	steadyCallInterval = 20 * time.Millisecond
	steadyJobInterval  = 2 * time.Second
	heapSampleInterval = 5 * time.Second
)

// startBenchDeployment starts a deployment of an order desk's size with the sample
// configuration, but with class rates that are too high to limit the load.
func startBenchDeployment(tb testing.TB, zones int, serviceTime time.Duration) *Local {
	tb.Helper()
	l := &Local{Entries: 2, Workers: benchWorkers, Accelerators: benchAccelerators, Zones: zones, Logger: zerolog.Nop()}
	if err := l.Start(tb.Context()); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = l.Stop(ctx)
	})
	for _, a := range l.Agents {
		a.Backend.ServiceTime = func(string) time.Duration { return serviceTime }
	}
	folder, err := shop.ReadFolder(SampleFolder())
	if err != nil {
		tb.Fatal(err)
	}
	for i := range folder.Config.Classes {
		folder.Config.Classes[i].Rate, folder.Config.Classes[i].Burst = 1e6, 1e6
	}
	c, err := l.Operator(0, "bench")
	if err != nil {
		tb.Fatal(err)
	}
	version, err := c.Apply(tb.Context(), folder.Config, 0, "bench", false)
	if err != nil {
		tb.Fatal(err)
	}
	if err := l.AwaitConfig(tb.Context(), version); err != nil {
		tb.Fatal(err)
	}
	return l
}

// BenchmarkRequest compares requests to backend servers through the deployment with
// requests that go straight to the same servers.
func BenchmarkRequest(b *testing.B) {
	l := startBenchDeployment(b, 3, 0)
	body := bytes.Repeat([]byte("x"), 256)
	client, err := l.Caller(0, benchTeam)
	if err != nil {
		b.Fatal(err)
	}
	direct := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	var turn atomic.Int64
	tests := []struct {
		name string
		call func(context.Context) error
	}{
		{"straight", func(ctx context.Context) error {
			a := l.Agents[int(turn.Add(1))%len(l.Agents)]
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Settings.Backend+backend.RequestPath+benchClass, bytes.NewReader(body))
			if err != nil {
				return err
			}
			r.Header.Set(backend.HeaderRequestID, fmt.Sprint("straight-", turn.Load()))
			response, err := direct.Do(r)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.Copy(io.Discard, response.Body)
			return err
		}},
		{"through", func(ctx context.Context) error {
			_, err := client.Call(ctx, caller.Request{Class: benchClass, Body: body})
			return err
		}},
	}
	for _, tt := range tests {
		for _, callers := range []int{1, 4, 16, benchCallers} {
			b.Run(fmt.Sprintf("%s/callers=%d", tt.name, callers), func(b *testing.B) {
				benchCalls(b, callers, tt.call)
			})
		}
	}
}

// benchCalls distributes b.N calls over concurrent callers, each of which waits for the
// answer before its next call.
func benchCalls(b *testing.B, callers int, call func(context.Context) error) {
	b.ReportAllocs()
	took := make([]time.Duration, b.N)
	var next atomic.Int64
	var failed atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				start := time.Now()
				if err := call(b.Context()); err != nil {
					failed.Add(1)
				}
				took[i] = time.Since(start)
			}
		})
	}
	wg.Wait()
	slices.Sort(took)
	b.ReportMetric(float64(took[b.N/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[b.N*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// TestSteadyLoad runs a steady load on a deployment for the duration in the environment,
// and logs the memory use of the process. It guards against failed calls and against a
// heap that more than doubles in the second half.
func TestSteadyLoad(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv(steadyEnv))
	if err != nil {
		t.Skip(steadyEnv + " is not set to a duration")
	}
	for _, zones := range []int{3, 4} {
		t.Run(fmt.Sprintf("zones=%d", zones), func(t *testing.T) { runSteadyLoad(t, startBenchDeployment(t, zones, 5*time.Millisecond), duration) })
	}
}

func runSteadyLoad(t *testing.T, l *Local, duration time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var calls, failed, jobs atomic.Int64
	var wg sync.WaitGroup
	c, err := l.Caller(0, benchTeam)
	if err != nil {
		t.Fatal(err)
	}
	for range steadyCallers {
		wg.Go(func() {
			for clock.Pause(ctx, steadyCallInterval) == nil {
				calls.Add(1)
				if _, err := c.Call(t.Context(), caller.Request{Class: benchClass, Body: []byte("steady")}); err != nil {
					failed.Add(1)
				}
			}
		})
	}
	wg.Go(func() {
		for clock.Pause(ctx, steadyJobInterval) == nil {
			if _, err := c.Submit(t.Context(), caller.Submission{Class: "mockup"}); err == nil {
				jobs.Add(1)
			}
		}
	})
	var heaps []uint64
	for clock.Pause(ctx, heapSampleInterval) == nil {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		heaps = append(heaps, m.HeapAlloc)
		t.Logf("heap %.1f MB, obtained from the system %.1f MB, %d goroutines, %d calls, %d failed calls, %d jobs",
			float64(m.HeapAlloc)/1e6, float64(m.Sys)/1e6, runtime.NumGoroutine(), calls.Load(), failed.Load(), jobs.Load())
	}
	wg.Wait()
	if failed.Load() > 0 {
		t.Errorf("%d of %d calls failed", failed.Load(), calls.Load())
	}
	if n := len(heaps); n > 3 && heaps[n-1] > 2*heaps[n/2] {
		t.Errorf("the heap grew from %d to %d bytes in the second half", heaps[n/2], heaps[n-1])
	}
}
