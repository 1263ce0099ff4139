package guarantee

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sniperill.example/sniperill/pkg/shop"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// testWorkers returns workers with equal numbers of accelerators, three to a rack,
// the racks spread over the zones.
func testWorkers(workers, accelerators, zones int) shop.WorkerList {
	var l shop.WorkerList
	for i := range workers {
		rack := i / 3
		l = append(l, shop.Worker{
			Place: shop.Place{
				Region: "south", Zone: fmt.Sprintf("zone-%02d", rack%zones),
				Rack: fmt.Sprintf("rack-%04d", rack), Worker: fmt.Sprintf("worker-%04d", i),
			},
			Accelerators: accelerators, Cores: 32, Memory: 128 * shop.GiB,
		})
	}
	return l
}

func shape(tasks, accelerators int, a shop.Adjacency) shop.Shape {
	return shop.Shape{Tasks: tasks, Accelerators: accelerators, Cores: 1, Memory: shop.GiB, Adjacency: a}
}

func team(name string, guarantees ...shop.Guarantee) shop.Team {
	return shop.Team{Name: name, Guarantees: guarantees}
}

var adjacencies = []shop.Adjacency{shop.SameWorker, shop.SameRack, shop.SameZone, shop.SameRegion, shop.Anywhere}

func drawTeams(t *rapid.T) shop.TeamList {
	var l shop.TeamList
	for i := range rapid.IntRange(1, 5).Draw(t, "teams") {
		var g []shop.Guarantee
		for range rapid.IntRange(1, 3).Draw(t, "guarantees") {
			g = append(g, shop.Guarantee{
				Shape: shape(rapid.IntRange(1, 8).Draw(t, "tasks"), rapid.IntRange(0, 4).Draw(t, "accelerators"),
					rapid.SampledFrom(adjacencies).Draw(t, "adjacency")),
				Count: rapid.IntRange(1, 3).Draw(t, "count"),
			})
		}
		l = append(l, team(fmt.Sprintf("team-%d", i), g...))
	}
	return l
}

func downOnly(name string) func(string) bool {
	return func(w string) bool { return w == name }
}

// checkPacking fails if two cells overlap, a cell is incomplete, violates its
// adjacency or is on a worker that is down, or a worker is overcommitted.
func checkPacking(t *rapid.T, p Packing, workers shop.WorkerList, down func(string) bool) {
	used := map[string]Part{}
	byName := map[string]shop.Worker{}
	for _, w := range workers {
		byName[w.Place.Worker] = w
	}
	for _, c := range p.Cells() {
		if len(c.Parts) != c.Shape.Tasks {
			t.Fatalf("%v has %d parts for %v", c.ID, len(c.Parts), c.Shape)
		}
		first := byName[c.Parts[0].Worker].Place
		for _, part := range c.Parts {
			w, u := byName[part.Worker], used[part.Worker]
			if part.Accelerators.Len() != c.Shape.Accelerators || u.Accelerators&part.Accelerators != 0 {
				t.Fatalf("%v: part %+v overlaps or has the wrong size", c.ID, part)
			}
			if !w.Place.Near(first, c.Shape.Adjacency) || down != nil && down(part.Worker) {
				t.Fatalf("%v: %v is not near %v, or down", c.ID, w.Place, first)
			}
			u.Accelerators |= part.Accelerators
			u.Cores += part.Cores
			u.Memory += part.Memory
			used[part.Worker] = u
			if u.Accelerators&^shop.MaskOf(w.Accelerators) != 0 || u.Cores > w.Cores || u.Memory > w.Memory {
				t.Fatalf("%s holds more than it has: %+v", part.Worker, u)
			}
		}
	}
	for _, s := range p.Shortfalls() {
		if s.Packed >= s.Count {
			t.Fatalf("%v is not a shortfall", s)
		}
	}
}

func TestPackProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := drawTeams(t)
		workers := testWorkers(rapid.IntRange(2, 12).Draw(t, "workers"), rapid.SampledFrom([]int{2, 4, 8, 12}).Draw(t, "size"), 2)
		p := Pack(teams, workers, nil, Packing{})
		checkPacking(t, p, workers, nil)

		r := rand.New(rand.NewPCG(1, uint64(len(workers))))
		r.Shuffle(len(teams), func(i, j int) { teams[i], teams[j] = teams[j], teams[i] })
		shuffled := slices.Clone(workers)
		r.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if d := cmp.Diff(p.Cells(), Pack(teams, shuffled, nil, Packing{}).Cells()); d != "" {
			t.Fatalf("the order of the inputs matters: %s", d)
		}
		if again := Pack(teams, workers, nil, p); again.Moved(p) != 0 {
			t.Fatalf("%d cells moved though nothing changed", again.Moved(p))
		}
		if r := Recover(teams, workers, p.Owned()); len(p.Shortfalls()) == 0 && len(r.Cells()) != len(p.Cells()) {
			t.Fatalf("%d of %d cells recovered", len(r.Cells()), len(p.Cells()))
		}
		checkSwap(t, p, workers)

		lost := workers[rapid.IntRange(0, len(workers)-1).Draw(t, "lost")].Place.Worker
		after := Pack(teams, workers, downOnly(lost), p)
		checkPacking(t, after, workers, downOnly(lost))
		var displaced []Cell
		moved := 0
		for _, c := range p.Cells() {
			now, ok := after.Cells().Find(c.ID)
			if c.Parts.OnWorker(lost) {
				displaced = append(displaced, c)
			} else if !ok || !slices.Equal(now.Parts, c.Parts) {
				moved++
			}
		}
		if moved > 0 && canKeepOthers(p, workers, lost, displaced) {
			t.Fatalf("%d cells moved without need", moved)
		}
		back := Pack(teams, workers, nil, after)
		if len(p.Shortfalls()) == 0 && len(back.Shortfalls()) > 0 {
			t.Fatalf("shortfalls after the worker is back: %v", back.Shortfalls())
		}
	})
}

// checkSwap swaps each cell onto half of the workers. It fails if the result is not
// a valid packing, uses workers that are not idle, or moves more than two cells.
func checkSwap(t *rapid.T, p Packing, workers shop.WorkerList) {
	var idle IdleCapacityList
	for i, w := range workers {
		if i%2 == 0 {
			idle = append(idle, IdleCapacity{w.Place.Worker, shop.MaskOf(w.Accelerators), w.Cores, w.Memory})
		}
	}
	for _, c := range p.Cells() {
		next, ok := p.Swap(c.ID, idle)
		if !ok {
			continue
		}
		checkPacking(t, next, workers, nil)
		now, _ := next.Cells().Find(c.ID)
		busy := slices.ContainsFunc(now.Parts, func(part Part) bool {
			return !slices.ContainsFunc(idle, func(f IdleCapacity) bool { return f.Worker == part.Worker })
		})
		if busy || next.Moved(p) > 2 {
			t.Fatalf("%v: %d cells moved, onto busy workers: %v", c.ID, next.Moved(p), busy)
		}
	}
}

// canKeepOthers reports whether the cells of a lost worker fit beside the others
// without moving them. It tries place in every order of at most five cells.
func canKeepOthers(p Packing, workers shop.WorkerList, lost string, displaced []Cell) bool {
	if len(displaced) > 5 || len(p.Shortfalls()) > 0 {
		return false
	}
	h := newHardware(workers, downOnly(lost))
	for _, c := range p.Cells() {
		if !c.Parts.OnWorker(lost) {
			h.allocate(c.Parts)
		}
	}
	var try func(h *hardware, rest []Cell) bool
	try = func(h *hardware, rest []Cell) bool {
		for i, c := range rest {
			next := h.clone()
			if _, ok := next.place(c.Shape); ok && try(next, slices.Delete(slices.Clone(rest), i, i+1)) {
				return true
			}
		}
		return len(rest) == 0
	}
	return try(h, displaced)
}

func TestPackAgainstExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := testWorkers(rapid.IntRange(2, 4).Draw(t, "workers"), 4, 1)
		var teams shop.TeamList
		for i := range rapid.IntRange(1, 5).Draw(t, "cells") {
			s := shape(rapid.IntRange(1, 4).Draw(t, "tasks"), rapid.IntRange(1, 4).Draw(t, "accelerators"),
				rapid.SampledFrom([]shop.Adjacency{shop.SameWorker, shop.SameRack, shop.SameZone}).Draw(t, "adjacency"))
			teams = append(teams, team(fmt.Sprintf("team-%d", i), shop.Guarantee{Shape: s, Count: 1}))
		}
		p := Pack(teams, workers, nil, Packing{})
		if len(p.Shortfalls()) == 0 {
			return
		}
		free := make([]int, len(workers))
		for i := range free {
			free[i] = 4
		}
		if packable(wantedCells(teams), workers, free, nil) {
			t.Fatalf("a packing exists, but Pack found %v", p.Shortfalls())
		}
	})
}

// packable tries every way to place the cells, considering accelerators only.
func packable(cells CellList, workers shop.WorkerList, free []int, placed []int) bool {
	if len(cells) == 0 {
		return true
	}
	s := cells[0].Shape
	if len(placed) == s.Tasks {
		return packable(cells[1:], workers, free, nil)
	}
	from := 0
	if len(placed) > 0 {
		from = placed[len(placed)-1]
	}
	for i := from; i < len(workers); i++ {
		if free[i] < s.Accelerators || len(placed) > 0 && !workers[i].Place.Near(workers[placed[0]].Place, s.Adjacency) {
			continue
		}
		free[i] -= s.Accelerators
		ok := packable(cells, workers, free, append(slices.Clone(placed), i))
		free[i] += s.Accelerators
		if ok {
			return true
		}
	}
	return false
}
