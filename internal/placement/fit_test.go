package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/pkg/shop"
)

// testWorker returns a worker in region r with 4 accelerators and 16 cores.
func testWorker(zone, rack, name string) Worker {
	return IdleWorker(shop.Worker{
		Place:        shop.Place{Region: "r", Zone: zone, Rack: rack, Worker: name},
		Accelerators: 4,
		Cores:        16,
		Memory:       32 * shop.GiB,
	})
}

// testWorkers returns two racks of two workers in zone z0 and one rack of one in z1.
func testWorkers() WorkerList {
	return WorkerList{
		testWorker("z0", "k0", "w0"), testWorker("z0", "k0", "w1"),
		testWorker("z0", "k1", "w2"), testWorker("z0", "k1", "w3"),
		testWorker("z1", "k2", "w4"),
	}
}

func taskShape(n, accelerators int, a shop.Adjacency) shop.Shape {
	return shop.Shape{Tasks: n, Accelerators: accelerators, Cores: 1, Memory: shop.GiB, Adjacency: a}
}

// part returns a part with the given accelerators.
func part(worker string, tasks int, mask shop.Mask) Part {
	return Part{Worker: worker, Tasks: tasks, Accelerators: mask}
}

func TestFitAdjacency(t *testing.T) {
	tests := []struct {
		name  string
		shape shop.Shape
		want  PartList
	}{
		{"one worker", taskShape(2, 2, shop.SameWorker), PartList{part("w0", 2, 0b1111)}},
		{"one worker is too small", taskShape(3, 2, shop.SameWorker), nil},
		{"one rack", taskShape(2, 4, shop.SameRack), PartList{part("w0", 1, 0b1111), part("w1", 1, 0b1111)}},
		{"rack with the least room", taskShape(1, 4, shop.SameRack), PartList{part("w0", 1, 0b1111)}},
		{"small gang in the smallest rack", taskShape(2, 2, shop.SameRack), PartList{part("w4", 2, 0b1111)}},
		{"one rack is too small", taskShape(3, 4, shop.SameRack), nil},
		{"one zone", taskShape(4, 4, shop.SameZone), PartList{part("w0", 1, 0b1111), part("w1", 1, 0b1111), part("w2", 1, 0b1111), part("w3", 1, 0b1111)}},
		{"one zone is too small", taskShape(5, 4, shop.SameZone), nil},
		{"one region", taskShape(5, 4, shop.SameRegion), PartList{part("w0", 1, 0b1111), part("w1", 1, 0b1111), part("w2", 1, 0b1111), part("w3", 1, 0b1111), part("w4", 1, 0b1111)}},
		{"anywhere is too small", taskShape(6, 4, shop.Anywhere), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFleet(testWorkers(), nil, nil)
			got, ok := f.Fit(Request{Shape: tt.shape, Team: -1})
			if d := cmp.Diff(tt.want, got.Parts); ok != (tt.want != nil) || d != "" {
				t.Errorf("Fit: %v\n%s", ok, d)
			}
		})
	}
}

func TestFitsWhenEmpty(t *testing.T) {
	down := testWorkers()
	for i := range down {
		down[i].Flags = Down
		down[i].Free, down[i].FreeCores, down[i].FreeMemory = 0, 0, 0
	}
	tests := []struct {
		name   string
		shape  shop.Shape
		region string
		want   bool
	}{
		{"down workers count", taskShape(2, 4, shop.SameRack), "", true},
		{"no rack is so large", taskShape(3, 4, shop.SameRack), "", false},
		{"all workers together", taskShape(5, 4, shop.SameRegion), "", true},
		{"too many cores", shop.Shape{Tasks: 1, Cores: 17}, "", false},
		{"too much memory", shop.Shape{Tasks: 1, Memory: 33 * shop.GiB}, "", false},
		{"other region", taskShape(1, 1, shop.Anywhere), "s", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFleet(down, nil, nil)
			if _, ok := f.Fit(Request{Shape: tt.shape, Team: -1}); ok {
				t.Error("Fit: fits on workers that are down")
			}
			if got := f.FitsWhenEmpty(tt.shape, tt.region); got != tt.want {
				t.Errorf("FitsWhenEmpty is %v", got)
			}
		})
	}
}

// mixedGuaranteeInputs returns one worker on which team a has two guarantees: two
// accelerators with 6 cores each, and one with 2 cores. Team b owns nothing.
func mixedGuaranteeInputs() (WorkerList, shop.OwnedList, shop.TeamList) {
	pair := shop.Shape{Tasks: 1, Accelerators: 2, Cores: 12, Memory: 8 * shop.GiB}
	single := shop.Shape{Tasks: 1, Accelerators: 1, Cores: 2, Memory: shop.GiB}
	teams := shop.TeamList{
		{Name: "a", Guarantees: []shop.Guarantee{{Shape: pair, Count: 1}, {Shape: single, Count: 1}}},
		{Name: "b"},
	}
	owned := shop.OwnedList{{Worker: "w0", Team: "a", Accelerators: 0b111, Cores: 14, Memory: 9 * shop.GiB}}
	return testWorkers()[:1], owned, teams
}

func TestFitOwnedAndUnowned(t *testing.T) {
	pair := shop.Shape{Tasks: 1, Accelerators: 2, Cores: 12, Memory: 8 * shop.GiB}
	core := func(n int) shop.Shape { return shop.Shape{Tasks: 1, Cores: n} }
	tests := []struct {
		name string
		q    Request
		want shop.Mask
		ok   bool
	}{
		{"owner gets its own accelerators", Request{Team: 0, Shape: pair, OwnedOnly: true}, 0b11, true},
		{"non-preemptible work doesn't borrow", Request{Team: 1, Shape: taskShape(1, 2, shop.SameWorker)}, 0, false},
		{"preemptible work borrows", Request{Team: 1, Shape: taskShape(1, 2, shop.SameWorker), Preemptible: true}, 0b1001, true},
		{"unowned accelerators first", Request{Team: 1, Shape: taskShape(1, 1, shop.SameWorker), Preemptible: true}, 0b1000, true},
		{"non-preemptible work uses unowned cores", Request{Team: 1, Shape: core(2)}, 0, true},
		{"non-preemptible work uses no owned cores", Request{Team: 1, Shape: core(3)}, 0, false},
		{"owner without accelerators uses no owned cores", Request{Team: 0, Shape: core(3)}, 0, false},
		{"preemptible work borrows cores", Request{Team: 1, Shape: core(16), Preemptible: true}, 0, true},
		{"non-preemptible work uses no owned memory", Request{Team: 1, Shape: shop.Shape{Tasks: 1, Memory: 24 * shop.GiB}}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFleet(mixedGuaranteeInputs())
			got, ok := f.Fit(tt.q)
			if ok != tt.ok {
				t.Fatalf("Fit: %v %v", got, ok)
			}
			if ok && got.Parts[0].Accelerators != tt.want {
				t.Errorf("accelerators %b, want %b", got.Parts[0].Accelerators, tt.want)
			}
		})
	}
}

// Two guarantees of one team are on one worker. Whichever runs first must leave the
// other its cores and memory.
func TestMixedGuarantees(t *testing.T) {
	workers, owned, teams := mixedGuaranteeInputs()
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		f := NewFleet(workers, owned, teams)
		filler := Request{Team: 1, Shape: shop.Shape{Tasks: 1, Cores: 2, Memory: 23 * shop.GiB}}
		for _, i := range append([]int{-1}, order...) {
			q := filler
			if i >= 0 {
				q = Request{Team: 0, Shape: teams[0].Guarantees[i].Shape, OwnedOnly: true}
			}
			found, ok := f.Fit(q)
			if !ok {
				t.Fatalf("order %v: guarantee %d doesn't fit", order, i)
			}
			f.Allocate(q, found.Parts)
		}
	}
}

// A borrower of accelerators and cores is evicted only for their owner.
func TestFitReclaims(t *testing.T) {
	workers, owned, teams := mixedGuaranteeInputs()
	borrowed := shop.Shape{Tasks: 1, Accelerators: 4, Cores: 10}
	workers[0].Free, workers[0].FreeCores = 0, 6
	now := time.Unix(0, 0)
	tests := []struct {
		name        string
		team        int
		preemptible bool
		evict       Eviction
		want        []int
	}{
		{"owner", 0, true, EvictBorrowers, []int{0}},
		{"other team", 1, true, EvictBorrowers, nil},
		{"owner that evicts nothing", 0, true, EvictNone, nil},
		{"non-preemptible occupant", 0, false, EvictBorrowers, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFleet(workers, owned, teams)
			f.AddRunning([]RunningPart{{Shape: borrowed, Occupant: Occupant{
				Team: 1, Tasks: 1, Mask: 0b1111, Cores: 10, Preemptible: tt.preemptible, Started: now, End: now,
			}}}, 1)
			got, _ := f.Fit(Request{Team: tt.team, Shape: teams[0].Guarantees[0].Shape, OwnedOnly: tt.team == 0, Evict: tt.evict})
			if d := cmp.Diff(tt.want, got.Evict); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestProbe(t *testing.T) {
	tests := []struct {
		name  string
		flags Flags
		probe bool
		tasks int
		want  bool
	}{
		{"healthy", 0, false, 1, true},
		{"quarantined", Quarantined, true, 1, false},
		{"probe is due", Quarantined | Probe, true, 1, true},
		{"request is no probe", Quarantined | Probe, false, 1, false},
		{"gang", Quarantined | Probe, true, 2, false},
		{"down", Quarantined | Probe | Down, true, 1, false},
		{"leaving", Leaving, true, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := testWorkers()[:1]
			w[0].Flags = tt.flags
			f := NewFleet(w, nil, nil)
			q := Request{Team: -1, Shape: taskShape(tt.tasks, 1, shop.SameWorker), Probe: tt.probe}
			found, ok := f.Fit(q)
			if ok != tt.want {
				t.Fatalf("Fit: %v", ok)
			}
			if !ok || tt.flags == 0 {
				return
			}
			f.Allocate(q, found.Parts)
			if _, again := f.Fit(q); again {
				t.Error("a second probe fits at once")
			}
		})
	}
}

// More cores and memory may be reserved on a worker than are free. A job that needs
// only accelerators must still fit there.
func TestReservedCoresDontBlockAcceleratorOnlyJobs(t *testing.T) {
	only := shop.Shape{Tasks: 1, Accelerators: 4, Adjacency: shop.SameWorker}
	tests := []struct {
		name string
		q    Request
		want bool
	}{
		{"preemptible, accelerators only", Request{Shape: only, Team: -1, Preemptible: true}, true},
		{"non-preemptible, accelerators only", Request{Shape: only, Team: -1}, true},
		{"with a core", Request{Shape: taskShape(1, 4, shop.SameWorker), Team: -1, Preemptible: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := testWorker("z0", "k0", "w0")
			w.FreeCores, w.FreeMemory = 2, 4*shop.GiB
			f := NewFleet(WorkerList{w}, nil, nil)
			cores := shop.Shape{Tasks: 4, Cores: 4, Memory: 2 * shop.GiB, Adjacency: shop.SameWorker}
			f.Reserve(Request{Shape: cores, Team: -1}, PartList{part("w0", 4, 0)}, time.Unix(100, 0), true)
			if _, got := f.Fit(tt.q); got != tt.want {
				t.Errorf("Fit: %v, want %v", got, tt.want)
			}
		})
	}
}

// Non-preemptible work of an owner that gets free unowned accelerators uses no owned
// cores. It must not count on the cores that belong to its own accelerators, which a
// borrower still uses.
func TestNonPreemptibleWorkCountsOnlyAcceleratorsItGets(t *testing.T) {
	workers, owned, teams := mixedGuaranteeInputs()
	own := owned[0]
	workers[0].Free &^= own.Accelerators
	nonPreemptible := shop.Shape{Tasks: 1, Cores: workers[0].Cores - own.Cores}
	workers[0].FreeCores -= nonPreemptible.Cores
	now := time.Unix(0, 0)
	tests := []struct {
		name  string
		q     Request
		want  bool
		evict []int
	}{
		{"on its own accelerators", Request{OwnedOnly: true, Evict: EvictBorrowers}, true, []int{1}},
		{"anywhere on the worker", Request{Evict: EvictNonUrgent}, false, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFleet(workers[:1], owned, teams)
			f.AddRunning([]RunningPart{
				{Shape: nonPreemptible, Occupant: Occupant{Job: 0, Team: 1, Tasks: 1, Cores: nonPreemptible.Cores, Started: now, End: now}},
				{Shape: shop.Shape{Tasks: 1, Accelerators: own.Accelerators.Len()}, Occupant: Occupant{
					Job: 1, Team: 1, Tasks: 1, Mask: own.Accelerators, Preemptible: true, Started: now, End: now,
				}},
			}, 2)
			q := tt.q
			q.Shape = shop.Shape{Tasks: 1, Accelerators: own.Accelerators.Len(), Cores: own.Cores, Adjacency: shop.SameWorker}
			got, ok := f.Fit(q)
			if ok != tt.want {
				t.Errorf("Fit: %v at %v, want %v", ok, got.Parts, tt.want)
			}
			if d := cmp.Diff(tt.evict, got.Evict); d != "" {
				t.Errorf("evicted (-want +got):\n%s", d)
			}
		})
	}
}

// Two teams own accelerators of one worker. Work that needs more cores or memory than
// belong to the accelerators of its team must not evict the other team's work from
// that team's accelerators: that work would evict it in turn, and so on without end.
func TestOwnersDontEvictEachOther(t *testing.T) {
	guarantee := shop.Shape{Tasks: 1, Accelerators: 2, Cores: 6, Memory: 8 * shop.GiB}
	workers := testWorkers()[:1]
	teams := shop.TeamList{
		{Name: "a", Guarantees: []shop.Guarantee{{Shape: guarantee}}},
		{Name: "b", Guarantees: []shop.Guarantee{{Shape: guarantee}}},
	}
	owned := shop.OwnedList{
		{Worker: "w0", Team: "a", Accelerators: 0b11, Cores: 6, Memory: 8 * shop.GiB},
		{Worker: "w0", Team: "b", Accelerators: 0b1100, Cores: 6, Memory: 8 * shop.GiB},
	}
	now := time.Unix(0, 0)
	over := shop.Shape{Tasks: 1, Accelerators: 2, Cores: 10}
	tests := []struct {
		name  string
		shape shop.Shape
		want  []int
	}{
		{"within its guarantee", guarantee, []int{0}},
		{"more than its guarantee", over, nil},
		{"more in total than its guarantee", shop.Shape{Tasks: 2, Accelerators: 1, Cores: 4, Adjacency: shop.SameWorker}, nil},
		{"as much in total as its guarantee", shop.Shape{Tasks: 2, Accelerators: 1, Cores: 3, Adjacency: shop.SameWorker}, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			workers := slices.Clone(workers)
			workers[0].Free &^= 0b1100
			workers[0].FreeCores = 5
			f := NewFleet(workers, owned, teams)
			f.AddRunning([]RunningPart{{Shape: over, Occupant: Occupant{
				Team: 1, Tasks: 1, Mask: 0b1100, Cores: workers[0].Cores - 5, Preemptible: true, Started: now, End: now,
			}}}, 1)
			got, ok := f.Fit(Request{Team: 0, Shape: tt.shape, Preemptible: true, OwnedOnly: true, Evict: EvictBorrowers})
			if ok != (tt.want != nil) {
				t.Errorf("Fit: %v at %v", ok, got.Parts)
			}
			if d := cmp.Diff(tt.want, got.Evict); d != "" {
				t.Errorf("evicted (-want +got):\n%s", d)
			}
		})
	}
}
