package guarantee

import (
	"cmp"
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// Limits of the search for a packing. They bound the time of a run. The order of
// the search is fixed, so that every entry finds the same packing.
const (
	maxPlaceRounds   = 12 // Rounds of placeAll.
	maxRepairs       = 32 // Unplaced cells that repair tries to place.
	maxRepairGroups  = 48 // Groups that repair tries for one cell.
	maxDisplaced     = 8  // Cells that repair displaces for one cell.
	firstRepackRacks = 2  // Racks that repackFreestRacks starts with.
)

// packingBuilder is the state of one packing run: the wanted cells and the
// hardware. A cell without parts is unplaced. Methods take cells by their index.
type packingBuilder struct {
	hardware      *hardware
	cells         CellList
	previousParts []PartList // Parts of each cell in the previous packing, if any.
}

func newPackingBuilder(h *hardware, teams shop.TeamList, previous Packing) *packingBuilder {
	b := &packingBuilder{hardware: h, cells: wantedCells(teams)}
	b.previousParts = matchPreviousParts(previous.cells, b.cells)
	return b
}

// matchPreviousParts returns the previous parts of each wanted cell: those of the
// cell with the same id and shape, or else of another cell of the same team and
// shape. Inserting a guarantee before others changes the ids of those, but must
// not move them.
func matchPreviousParts(previous, wanted CellList) []PartList {
	type kind struct {
		team  string
		shape shop.Shape
	}
	parts := make([]PartList, len(wanted))
	matched := make(map[CellID]bool)
	for i, c := range wanted {
		if old, ok := previous.Find(c.ID); ok && old.Shape == c.Shape {
			parts[i] = old.Parts
			matched[c.ID] = true
		}
	}
	unmatched := make(map[kind][]PartList)
	for _, c := range previous {
		if !matched[c.ID] {
			k := kind{c.ID.Team, c.Shape}
			unmatched[k] = append(unmatched[k], c.Parts)
		}
	}
	for i, c := range wanted {
		k := kind{c.ID.Team, c.Shape}
		if parts[i] == nil && len(unmatched[k]) > 0 {
			parts[i] = unmatched[k][0]
			unmatched[k] = unmatched[k][1:]
		}
	}
	return parts
}

func (b *packingBuilder) clone() *packingBuilder {
	return &packingBuilder{hardware: b.hardware.clone(), cells: slices.Clone(b.cells), previousParts: b.previousParts}
}

// unplaced returns the cells without parts, hardest to place first.
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

// mayImprove reports whether enough accelerators are free for any unplaced cell.
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

// restore places a cell on the given parts. It returns false if they are not free.
func (b *packingBuilder) restore(i int, parts PartList) bool {
	if len(parts) == 0 || !b.hardware.allocate(parts) {
		return false
	}
	b.cells[i].Parts = parts
	return true
}

// keepPrevious places all cells on their previous parts and then the remaining
// cells on what is left.
func (b *packingBuilder) keepPrevious() {
	for i, parts := range b.previousParts {
		b.restore(i, parts)
	}
	b.placeAll(b.unplaced())
}

// repackHardestFirst places all cells again in order of difficulty, each on its
// previous parts if they are free.
func (b *packingBuilder) repackHardestFirst() {
	b.removeAll()
	for _, i := range b.unplaced() {
		if !b.restore(i, b.previousParts[i]) {
			b.place(i)
		}
	}
}

// repackFromScratch places all cells again wherever they fit best. It takes the
// same steps as a run without a previous packing, so it finds whatever such a run
// finds.
func (b *packingBuilder) repackFromScratch() {
	previous := b.previousParts
	b.previousParts = make([]PartList, len(previous))
	b.removeAll()
	b.placeAll(b.unplaced())
	b.repair()
	b.repackFreestRacks()
	b.previousParts = previous
}

// repackSpread places all cells again. Cells that may use several workers are spread
// over the fullest racks that their adjacency allows.
func (b *packingBuilder) repackSpread() {
	b.hardware.spread = true
	b.repackFromScratch()
}

func (b *packingBuilder) removeAll() {
	for i := range b.cells {
		b.remove(i)
	}
}

// placeAll places cells in the given order. Cells that did not fit move to the
// front of the order for the next round. The order that placed the most is kept.
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

// placeInOrder places the cells again in the given order and returns those that
// did not fit.
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

// moveToFront returns the order with the failed cells first.
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
