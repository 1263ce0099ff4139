package guarantee

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sniperill.example/sniperill/pkg/shop"
)

// largeInventory returns an inventory with 98 accelerators per 64 workers, in seven
// zones and two regions.
func largeInventory(workers int) shop.WorkerList {
	l := testWorkers(workers, 0, 7)
	for i := range l {
		switch n := i % 64; {
		case n < 10:
			l[i].Accelerators = 8
		case n < 19:
			l[i].Accelerators = 2
		}
		if l[i].Place.Zone >= "zone-04" {
			l[i].Place.Region = "north"
		}
	}
	return l
}

// largeTeams returns teams with guarantees for most of a large inventory.
func largeTeams(workers int) shop.TeamList {
	var l shop.TeamList
	for i := range workers * 130 / 640 {
		t := team(fmt.Sprintf("team-%04d", i),
			shop.Guarantee{Shape: shape(1, 1, shop.Anywhere), Count: 1},
			shop.Guarantee{Shape: shape(2, 1, shop.SameWorker), Count: 1})
		switch i % 13 {
		case 0:
			t.Guarantees = append(t.Guarantees, shop.Guarantee{Shape: shape(2, 8, shop.SameRack), Count: 1})
		case 1, 2:
			t.Guarantees = append(t.Guarantees, shop.Guarantee{Shape: shape(8, 1, shop.SameWorker), Count: 1})
		case 3, 4, 5:
			t.Guarantees = append(t.Guarantees, shop.Guarantee{Shape: shape(4, 1, shop.SameZone), Count: 1})
		}
		l = append(l, t)
	}
	return l
}

var benchWorkerCounts = []int{160, 320, 640, 1280, 2560}

func BenchmarkPack(b *testing.B) {
	for _, n := range benchWorkerCounts {
		workers, teams := largeInventory(n), largeTeams(n)
		packed := Pack(teams, workers, nil, Packing{})
		lost := packed.Cells()[0].Parts[0].Worker
		everyThird := func(w string) bool { return w[len(w)-1]%3 == 0 }
		tests := []struct {
			name     string
			down     func(string) bool
			previous Packing
		}{
			{"afresh", nil, Packing{}},
			{"unchanged", nil, packed},
			{"worker-lost", downOnly(lost), packed},
			{"third-lost", everyThird, packed},
		}
		for _, tt := range tests {
			b.Run(fmt.Sprintf("%s/workers=%d", tt.name, n), func(b *testing.B) {
				b.ReportAllocs()
				var p Packing
				for b.Loop() {
					p = Pack(teams, workers, tt.down, tt.previous)
				}
				b.ReportMetric(float64(len(p.Cells())), "cells")
				b.ReportMetric(float64(len(p.Shortfalls())), "shortfalls")
				b.ReportMetric(float64(p.Moved(tt.previous)), "moved")
			})
		}
	}
}

// BenchmarkPackOvercommitted packs guarantees that do not all fit, so that every
// stage of the search runs to its limit.
func BenchmarkPackOvercommitted(b *testing.B) {
	for _, n := range benchWorkerCounts {
		workers, teams := largeInventory(n), largeTeams(n*5/4)
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var p Packing
			for b.Loop() {
				p = Pack(teams, workers, nil, Packing{})
			}
			b.ReportMetric(float64(len(p.Shortfalls())), "shortfalls")
		})
	}
}

// plantedTeams divides a whole inventory into shapes, so that a packing is known
// to exist. It keeps each shape with the probability used, as the guarantee of a team
// of its own.
func plantedTeams(seed uint64, workers shop.WorkerList, used float64) shop.TeamList {
	r := rand.New(rand.NewPCG(seed, 1))
	h := newHardware(workers, nil)
	var l shop.TeamList
	for h.freeAccelerators() > 0 {
		s := shape(1+r.IntN(8), 1+r.IntN(4), adjacencies[r.IntN(3)])
		s.Cores, s.Memory = 0, 0
		h.spread = r.IntN(2) == 0
		if _, ok := h.place(s); !ok {
			s = h.largestFitting(s)
			h.place(s)
		}
		if s.Tasks > 0 && r.Float64() < used {
			l = append(l, team(fmt.Sprintf("team-%04d", len(l)), shop.Guarantee{Shape: s, Count: 1}))
		}
	}
	return l
}

// BenchmarkPackPlanted reports how often Pack misses a packing that exists.
func BenchmarkPackPlanted(b *testing.B) {
	const seeds = 50
	for _, used := range []float64{0.8, 0.9, 0.95, 1} {
		for _, n := range []int{12, 48, 192} {
			b.Run(fmt.Sprintf("used=%v/workers=%d", used, n), func(b *testing.B) {
				missed, cells, missing := 0, 0, 0
				workers := testWorkers(n, 8, 4)
				for i := range seeds * b.N {
					p := Pack(plantedTeams(uint64(i%seeds), workers, used), workers, nil, Packing{})
					cells += len(p.Cells())
					for _, s := range p.Shortfalls() {
						missing += s.Count - s.Packed
					}
					missed += min(1, len(p.Shortfalls()))
				}
				b.ReportMetric(float64(missed)/float64(seeds*b.N), "missed-share")
				b.ReportMetric(float64(missing)/float64(cells+missing), "cells-missing-share")
			})
		}
	}
}

// BenchmarkPackFullWorkerLost loses a worker while all or nearly all hardware is
// guaranteed. Without spare hardware the search runs to its limits.
func BenchmarkPackFullWorkerLost(b *testing.B) {
	for _, used := range []float64{0.9, 1} {
		for _, n := range []int{48, 160, 320, 640} {
			workers := testWorkers(n, 8, 7)
			teams := plantedTeams(1, workers, used)
			packed := Pack(teams, workers, nil, Packing{})
			b.Run(fmt.Sprintf("used=%v/workers=%d", used, n), func(b *testing.B) {
				var p Packing
				for b.Loop() {
					p = Pack(teams, workers, downOnly("worker-0001"), packed)
				}
				b.ReportMetric(float64(len(p.Cells())), "cells")
				b.ReportMetric(float64(len(p.Shortfalls())), "shortfalls")
				b.ReportMetric(float64(p.Moved(packed)), "moved")
			})
		}
	}
}

// BenchmarkPackMoves reports how many cells move besides those on a lost worker,
// the share of losses with any such move, and the share with a shortfall, while about
// 15 % of the hardware is not guaranteed.
func BenchmarkPackMoves(b *testing.B) {
	for _, n := range []int{12, 48, 96} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			workers := testWorkers(n, 8, 4)
			losses, moving, extra, short := 0.0, 0.0, 0.0, 0.0
			for i := range 40 * b.N {
				teams := plantedTeams(uint64(i%40), workers, 0.85)
				packed := Pack(teams, workers, nil, Packing{})
				lost := workers[i%n].Place.Worker
				p := Pack(teams, workers, downOnly(lost), packed)
				extraMoves := p.Moved(packed)
				for _, c := range packed.Cells() {
					if c.Parts.OnWorker(lost) {
						extraMoves--
					}
				}
				losses++
				extra += float64(extraMoves)
				moving += float64(min(extraMoves, 1))
				short += float64(min(len(p.Shortfalls()), 1))
			}
			b.ReportMetric(extra/losses, "extra-moves")
			b.ReportMetric(moving/losses, "moving-share")
			b.ReportMetric(short/losses, "short-share")
		})
	}
}
