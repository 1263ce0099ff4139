package guarantee

import (
	"cmp"
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// Bounds of the search for a packing. They keep the time of a run bounded; the
// order of the search is fixed, so that every entry finds the same packing.
const (
	maxPlaceRounds   = 12
	maxRepairs       = 32
	maxRepairGroups  = 48
	maxDisplaced     = 8
	firstRepackRacks = 2 // Racks.
)

// packingBuilder is the state of one packing run: the wanted cells and the hardware.
// Cells without parts are not placed.
type packingBuilder struct {
	hardware      *hardware
	cells         CellList
	previousParts []PartList // Where each cell was before.
}

func newPackingBuilder(h *hardware, teams shop.TeamList, previous Packing) *packingBuilder {
	b := &packingBuilder{hardware: h, cells: wantedCells(teams)}
	b.previousParts = matchPreviousParts(previous.cells, b.cells)
	return b
}

// matchPreviousParts finds for each wanted cell where it was before: the cell of the same
// id, or else another of the same team and shape, so that a guarantee added in
// front of others moves none of them.
func matchPreviousParts(previous, wanted CellList) []PartList {
	type kind struct {
		team  string
		shape shop.Shape
	}
	hints := make([]PartList, len(wanted))
	taken := make(map[CellID]bool)
	for i, c := range wanted {
		if old, ok := previous.Find(c.ID); ok && old.Shape == c.Shape {
			hints[i] = old.Parts
			taken[c.ID] = true
		}
	}
	spare := make(map[kind][]PartList)
	for _, c := range previous {
		if !taken[c.ID] {
			k := kind{c.ID.Team, c.Shape}
			spare[k] = append(spare[k], c.Parts)
		}
	}
	for i, c := range wanted {
		k := kind{c.ID.Team, c.Shape}
		if hints[i] == nil && len(spare[k]) > 0 {
			hints[i] = spare[k][0]
			spare[k] = spare[k][1:]
		}
	}
	return hints
}

func (b *packingBuilder) clone() *packingBuilder {
	return &packingBuilder{hardware: b.hardware.clone(), cells: slices.Clone(b.cells), previousParts: b.previousParts}
}

// unplaced returns the cells that are not placed, hardest first.
func (b *packingBuilder) unplaced() []int {
	var out []int
	for i, c := range b.cells {
		if len(c.Parts) == 0 {
			out = append(out, i)
		}
	}
	b.sortHardestFirst(out)
	return out
}

func (b *packingBuilder) sortHardestFirst(cells []int) {
	slices.SortFunc(cells, func(i, j int) int {
		return cmp.Or(compareDifficulty(b.cells[i].Shape, b.cells[j].Shape), cmp.Compare(i, j))
	})
}

func (b *packingBuilder) placedCells() CellList {
	return slices.DeleteFunc(slices.Clone(b.cells), func(c Cell) bool { return len(c.Parts) == 0 })
}

// mayImprove says whether the free accelerators are enough for a missing cell.
func (b *packingBuilder) mayImprove() bool {
	free := b.hardware.freeAccelerators()
	return slices.ContainsFunc(b.cells, func(c Cell) bool {
		return len(c.Parts) == 0 && c.Shape.TotalAccelerators() <= free
	})
}

func (b *packingBuilder) place(i int) bool {
	parts, ok := b.hardware.place(b.cells[i].Shape)
	b.cells[i].Parts = parts
	return ok
}

func (b *packingBuilder) remove(i int) {
	b.hardware.release(b.cells[i].Parts)
	b.cells[i].Parts = nil
}

// restore puts a cell back onto the parts that it had.
func (b *packingBuilder) restore(i int, parts PartList) bool {
	if len(parts) == 0 || !b.hardware.allocate(parts) {
		return false
	}
	b.cells[i].Parts = parts
	return true
}

// keepPrevious leaves all cells where they were and places the others around them.
func (b *packingBuilder) keepPrevious() {
	for i, hint := range b.previousParts {
		b.restore(i, hint)
	}
	b.placeAll(b.unplaced())
}

// repackHardestFirst places all cells again, each where it was if that is free.
func (b *packingBuilder) repackHardestFirst() {
	b.removeAll()
	for _, i := range b.unplaced() {
		if !b.restore(i, b.previousParts[i]) {
			b.place(i)
		}
	}
}

// repackFromScratch places all cells again wherever they fit best. It goes the way of a
// run without a previous packing, so it finds whatever such a run finds.
func (b *packingBuilder) repackFromScratch() {
	hints := b.previousParts
	b.previousParts = make([]PartList, len(hints))
	b.removeAll()
	b.placeAll(b.unplaced())
	b.repair()
	b.repackFreestRacks()
	b.previousParts = hints
}

// repackSpread places all cells again, the loose shapes on what the others leave.
func (b *packingBuilder) repackSpread() {
	b.hardware.spread = true
	b.repackFromScratch()
}

func (b *packingBuilder) removeAll() {
	for i := range b.cells {
		b.remove(i)
	}
}

// placeAll places cells in order. Those that found no room go to the front of the
// order in the next round; the best round counts.
func (b *packingBuilder) placeAll(order []int) {
	best, bestFailed := order, len(order)+1
	for round := range maxPlaceRounds {
		failed := b.placeInOrder(order)
		if len(failed) < bestFailed {
			best, bestFailed = order, len(failed)
		}
		if len(failed) == 0 || round > 0 && len(failed) == len(order) || !b.mayImprove() {
			break
		}
		order = moveToFront(order, failed)
	}
	if !slices.Equal(best, order) || bestFailed > 0 {
		b.placeInOrder(best)
	}
}

func (b *packingBuilder) placeInOrder(order []int) []int {
	for _, i := range order {
		b.remove(i)
	}
	var failed []int
	for _, i := range order {
		if !b.place(i) {
			failed = append(failed, i)
		}
	}
	return failed
}

// moveToFront returns the order with the failed cells in front.
func moveToFront(order, failed []int) []int {
	front := make(map[int]bool, len(failed))
	for _, i := range failed {
		front[i] = true
	}
	out := slices.Clone(failed)
	for _, i := range order {
		if !front[i] {
			out = append(out, i)
		}
	}
	return out
}
