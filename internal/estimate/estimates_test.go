package estimate

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

func ExampleEstimates_RunTime() {
	var e Estimates
	for range Window {
		e = e.With(RunTimeObservation("quotes", "mockup", time.Hour, 4*time.Hour))
	}
	fmt.Println(e.RunTime("quotes", "mockup", time.Hour, 0.5).Round(6 * time.Minute))
	fmt.Println(Estimates{}.RunTime("quotes", "mockup", time.Hour, 0.9))
	// Output:
	// 4h0m0s
	// 1h0m0s
}

// repeat adds n observations of a declared run time of an hour and an actual one of ratio
// times that.
func repeat(e Estimates, n int, team, class string, ratio float64) Estimates {
	for range n {
		e = e.With(RunTimeObservation(team, class, time.Hour, time.Duration(ratio*float64(time.Hour))))
	}
	return e
}

func TestRunTime(t *testing.T) {
	one := repeat(Estimates{}, 1, "a", "render", 16)
	many := repeat(Estimates{}, 3*Window, "a", "render", 16)
	tests := []struct {
		name        string
		e           Estimates
		team, class string
		quantile    float64
		least, most float64 // In declared run times.
	}{
		{"no observations", Estimates{}, "a", "render", 0.9, 1, 1},
		{"one observation corrects a little", one, "a", "render", 0.5, 1.1, 4},
		{"one extreme observation is limited", repeat(Estimates{}, 1, "a", "render", 1e6), "a", "render", 0.5, 1.1, 4},
		{"many observations correct fully", many, "a", "render", 0.5, 13, 16},
		{"another team is corrected by the class", many, "b", "render", 0.5, 8, 16},
		{"another class is corrected by all jobs", many, "a", "fit", 0.5, 4, 16},
		{"far too long", repeat(Estimates{}, 200, "a", "render", 1000), "a", "render", 0.5, 25, MaxRatio},
		{"far too short", repeat(Estimates{}, 200, "a", "render", 0.0001), "a", "render", 0.5, 1 / MaxRatio, 0.04},
		{"old observations are dropped", repeat(many, Window, "a", "render", 0.5), "a", "render", 0.9, 0.5, 0.6},
		{"high quantile of a mixture", repeat(repeat(many, Window-8, "a", "render", 1), 8, "a", "render", 8), "a", "render", 0.9, 5, 8},
		{"median of a mixture", repeat(repeat(many, Window-8, "a", "render", 1), 8, "a", "render", 8), "a", "render", 0.5, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := float64(tt.e.RunTime(tt.team, tt.class, time.Hour, tt.quantile)) / float64(time.Hour)
			if got < tt.least || got > tt.most {
				t.Errorf("%g times the declared run time, want %g to %g", got, tt.least, tt.most)
			}
		})
	}
}

func TestWithIgnores(t *testing.T) {
	tests := []struct {
		name string
		o    Observation
		want bool
	}{
		{"a run time", RunTimeObservation("a", "fit", time.Hour, 2*time.Hour), true},
		{"nothing declared", RunTimeObservation("a", "fit", 0, time.Hour), false},
		{"nothing measured", RunTimeObservation("a", "fit", time.Hour, 0), false},
		{"not a number", Observation{Declared: math.NaN(), Actual: 1}, false},
		{"infinite", Observation{Declared: 1, Actual: math.Inf(1)}, false},
		{"stopped early", Observation{Quantity: RunTime, Declared: 4, Actual: 1, AtLeast: true}, false},
		{"stopped late", Observation{Quantity: RunTime, Declared: 4, Actual: 9, AtLeast: true}, true},
	}
	for _, tt := range tests {
		var before Estimates
		if got := before.With(tt.o).observations == 1; got != tt.want || before.observations != 0 {
			t.Errorf("%s: counted %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestRemaining(t *testing.T) {
	e := repeat(repeat(Estimates{}, 32, "a", "render", 1), 32, "a", "render", 4)
	tests := []struct {
		name          string
		elapsed, want time.Duration
	}{
		{"longer than the short jobs", 90 * time.Minute, 150 * time.Minute},
		{"longer than all jobs", 5 * time.Hour, 5 * time.Hour},
	}
	for _, tt := range tests {
		if got := e.Remaining("a", "render", time.Hour, tt.elapsed, 0.5); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestMemory(t *testing.T) {
	var e Estimates
	for range Window {
		e = e.With(MemoryObservation("a", "render", 8*shop.GiB, 2*shop.GiB))
	}
	if got := e.Memory("a", "render", 8*shop.GiB, 0.99); got < 2*shop.GiB || got > 3*shop.GiB {
		t.Errorf("memory %v, want 2GiB to 3GiB", got)
	}
	if got := e.RunTime("a", "render", time.Hour, 0.5); got != time.Hour {
		t.Errorf("observations of memory changed the run time to %v", got)
	}
	if got := e.RunTime("a", "render", math.MaxInt64, 0.5); got <= 0 {
		t.Errorf("run time overflowed to %v", got)
	}
}

func TestMaxSamples(t *testing.T) {
	var all []Observation
	for i := range MaxSamples + 100 {
		all = append(all, RunTimeObservation(fmt.Sprint(i), "fit", time.Hour, 2*time.Hour))
	}
	e := Estimates{}.With(all...)
	if len(e.samples) != MaxSamples {
		t.Errorf("%d samples, want MaxSamples", len(e.samples))
	}
	if e.samples[groupKey{RunTime, "0", "fit"}] != nil || e.samples[groupKey{quantity: RunTime}] == nil {
		t.Error("pair updated longest ago was kept, or a wider group dropped")
	}
}

func BenchmarkWith(b *testing.B) {
	for _, teams := range []int{4, 32, 130, 400} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			var e Estimates
			var all []Observation
			for i := range teams * Window * 8 {
				all = append(all, RunTimeObservation(fmt.Sprint(i%teams), fmt.Sprint(i/teams%8), time.Hour, time.Hour))
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			e = e.With(all...)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				e = e.With(RunTimeObservation("0", "0", time.Hour, 2*time.Hour))
			}
			b.ReportMetric(float64(len(e.samples)), "samples")
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(len(e.samples)), "kept-B/sample")
			runtime.KeepAlive(all)
		})
	}
}

func BenchmarkRunTime(b *testing.B) {
	e := repeat(Estimates{}, Window, "a", "render", 2)
	for b.Loop() {
		e.RunTime("a", "render", time.Hour, 0.9)
	}
}
