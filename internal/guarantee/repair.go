package guarantee

import (
	"cmp"
	"slices"
)

// repair makes room for missing cells by moving as few others as it can.
func (b *packingBuilder) repair() {
	missing := b.unplaced()
	for _, i := range missing[:min(len(missing), maxRepairs)] {
		if !b.place(i) {
			b.makeRoom(i)
		}
	}
}

// repackFreestRacks packs the cells of the freest racks again, of twice as many racks each
// time, until all cells are placed or half of the racks are taken.
func (b *packingBuilder) repackFreestRacks() {
	best := len(b.unplaced())
	racks := b.racksByFree()
	for n := firstRepackRacks; n <= len(racks)/2 && best > 0 && b.mayImprove(); n *= 2 {
		next := b.clone()
		next.removeFromRacks(racks[:n])
		next.placeAll(next.unplaced())
		if missing := len(next.unplaced()); missing < best {
			next.returnToPrevious()
			*b, best = *next, missing
		}
	}
}

// racksByFree returns the racks, those with the most free accelerators first.
func (b *packingBuilder) racksByFree() []int {
	var out []int
	b.hardware.byFit[rackLevel].Descend(func(s fitKey) bool {
		out = append(out, s.index)
		return true
	})
	return out
}

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

// returnToPrevious moves cells back to where they were before, where that is free, until
// no more can.
func (b *packingBuilder) returnToPrevious() {
	for again := true; again; {
		again = false
		for i, home := range b.previousParts {
			parts := b.cells[i].Parts
			if len(home) == 0 || len(parts) == 0 || slices.Equal(parts, home) {
				continue
			}
			b.remove(i)
			if b.restore(i, home) {
				again = true
			} else {
				b.restore(i, parts)
			}
		}
	}
}

func (b *packingBuilder) makeRoom(i int) {
	groups := b.groupsByFree(i)
	for limit := 1; limit <= maxDisplaced; limit *= 2 {
		for _, g := range groups {
			if b.makeRoomIn(i, g, limit) {
				return
			}
		}
	}
}

// groupsByFree returns the groups that cell i may be placed in, the freest first.
func (b *packingBuilder) groupsByFree(i int) []group {
	var out []group
	l := levelOf(b.cells[i].Shape)
	b.hardware.byFit[l].Descend(func(s fitKey) bool {
		out = append(out, b.hardware.groups[l][s.index])
		return len(out) < maxRepairGroups
	})
	return out
}

// makeRoomIn tries to place cell i in the group by moving limit others that
// are next to each other in the order of their sizes.
func (b *packingBuilder) makeRoomIn(i int, g group, limit int) bool {
	others := b.occupants(i, g)
	limit = min(limit, len(others))
	for from := 0; from+limit <= len(others); from++ {
		if b.tryDisplacing(i, g, slices.Clone(others[from:from+limit])) {
			return true
		}
	}
	return false
}

// occupants returns the placed cells on the machines of the group, smallest first.
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

// tryDisplacing lifts the others, places cell i in the group and then the others where
// they still fit. It changes nothing when one of them finds no room.
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

func (b *packingBuilder) displace(i int, g group, others []int, before []PartList) bool {
	if !b.hardware.fits(b.cells[i].Shape, g) {
		return false
	}
	parts, ok := b.hardware.placeIn(b.cells[i].Shape, g)
	if !ok {
		return false
	}
	b.cells[i].Parts = parts
	var moving []int
	for n, other := range others {
		if !b.restore(other, before[n]) {
			moving = append(moving, other)
		}
	}
	b.sortHardestFirst(moving)
	for _, other := range moving {
		if !b.place(other) {
			return false
		}
	}
	return true
}
