package guarantee

import (
	"cmp"
	"slices"
)

// repair places unplaced cells by moving as few other cells as it can.
func (b *packingBuilder) repair() {
	unplaced := b.unplaced()
	for _, i := range unplaced[:min(len(unplaced), maxRepairs)] {
		if !b.place(i) {
			b.makeRoom(i)
		}
	}
}

// repackFreestRacks packs the cells of the freest racks again, and of twice as
// many racks each time, until all cells are placed or half of the racks were
// tried.
func (b *packingBuilder) repackFreestRacks() {
	fewest := len(b.unplaced())
	racks := b.racksByFree()
	for n := firstRepackRacks; n <= len(racks)/2 && fewest > 0 && b.mayImprove(); n *= 2 {
		next := b.clone()
		next.removeFromRacks(racks[:n])
		next.placeAll(next.unplaced())
		if unplaced := len(next.unplaced()); unplaced < fewest {
			next.returnToPrevious()
			*b, fewest = *next, unplaced
		}
	}
}

// racksByFree returns the racks by free accelerators, most first.
func (b *packingBuilder) racksByFree() []int {
	var out []int
	b.hardware.byFit[rackLevel].Descend(func(k fitKey) bool {
		out = append(out, k.index)
		return true
	})
	return out
}

// removeFromRacks removes all cells with a part in one of the racks.
func (b *packingBuilder) removeFromRacks(racks []int) {
	chosen := make([]bool, len(b.hardware.groups[rackLevel]))
	for _, r := range racks {
		chosen[r] = true
	}
	for i, c := range b.cells {
		if slices.ContainsFunc(c.Parts, func(p Part) bool {
			return chosen[b.hardware.machines[b.hardware.byName[p.Worker]].group[rackLevel]]
		}) {
			b.remove(i)
		}
	}
}

// returnToPrevious moves cells back to their previous parts where those are free.
// It repeats until nothing moves, as each move may free the parts of another cell.
func (b *packingBuilder) returnToPrevious() {
	for moved := true; moved; {
		moved = false
		for i, previous := range b.previousParts {
			parts := b.cells[i].Parts
			if len(previous) == 0 || len(parts) == 0 || slices.Equal(parts, previous) {
				continue
			}
			b.remove(i)
			if b.restore(i, previous) {
				moved = true
			} else {
				b.restore(i, parts)
			}
		}
	}
}

// makeRoom places cell i by displacing others: first one of them, then twice as
// many each time.
func (b *packingBuilder) makeRoom(i int) {
	groups := b.groupsByFree(i)
	for count := 1; count <= maxDisplaced; count *= 2 {
		for _, g := range groups {
			if b.makeRoomIn(i, g, count) {
				return
			}
		}
	}
}

// groupsByFree returns the groups that cell i may be placed in by free
// accelerators, most first.
func (b *packingBuilder) groupsByFree(i int) []group {
	var out []group
	l := levelOf(b.cells[i].Shape)
	b.hardware.byFit[l].Descend(func(k fitKey) bool {
		out = append(out, b.hardware.groups[l][k.index])
		return len(out) < maxRepairGroups
	})
	return out
}

// makeRoomIn tries to place cell i in the group by displacing count others that
// are consecutive in order of size.
func (b *packingBuilder) makeRoomIn(i int, g group, count int) bool {
	others := b.occupants(i, g)
	count = min(count, len(others))
	for from := 0; from+count <= len(others); from++ {
		if b.tryDisplacing(i, g, slices.Clone(others[from:from+count])) {
			return true
		}
	}
	return false
}

// occupants returns the other cells with a part in the group, smallest first.
func (b *packingBuilder) occupants(i int, g group) []int {
	var out []int
	for j, c := range b.cells {
		if j != i && slices.ContainsFunc(c.Parts, func(p Part) bool {
			at := b.hardware.byName[p.Worker]
			return at >= g.from && at < g.to
		}) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(x, y int) int {
		return cmp.Or(
			cmp.Compare(b.cells[x].Shape.TotalAccelerators(), b.cells[y].Shape.TotalAccelerators()),
			cmp.Compare(x, y),
		)
	})
	return out
}

// tryDisplacing removes the others, places cell i in the group and then the others
// where they still fit. If one of them does not fit, it restores all of them.
func (b *packingBuilder) tryDisplacing(i int, g group, others []int) bool {
	before := make([]PartList, len(others))
	for n, other := range others {
		before[n] = b.cells[other].Parts
		b.remove(other)
	}
	if b.displace(i, g, others, before) {
		return true
	}
	b.remove(i)
	for _, other := range others {
		b.remove(other)
	}
	for n, other := range others {
		b.restore(other, before[n])
	}
	return false
}

// displace does the work of tryDisplacing without undoing it on failure. before
// holds the parts that the others had.
func (b *packingBuilder) displace(i int, g group, others []int, before []PartList) bool {
	if !b.hardware.fits(b.cells[i].Shape, g) {
		return false
	}
	parts, ok := b.hardware.placeIn(b.cells[i].Shape, g)
	if !ok {
		return false
	}
	b.cells[i].Parts = parts
	var displaced []int
	for n, other := range others {
		if !b.restore(other, before[n]) {
			displaced = append(displaced, other)
		}
	}
	b.sortHardestFirst(displaced)
	for _, other := range displaced {
		if !b.place(other) {
			return false
		}
	}
	return true
}
