package guarantee

import (
	"cmp"
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// Packing records which team owns which accelerators. It is immutable.
type Packing struct {
	cells      CellList
	shortfalls ShortfallList
	workers    shop.WorkerList // Workers that were up.
	owners     map[string][]owner
}

type owner struct {
	team         string
	accelerators shop.Mask
}

func newPacking(cells CellList, shortfalls ShortfallList, workers shop.WorkerList) Packing {
	p := Packing{cells: cells, shortfalls: shortfalls, workers: workers, owners: make(map[string][]owner)}
	for _, c := range cells {
		for _, part := range c.Parts {
			p.owners[part.Worker] = append(p.owners[part.Worker], owner{c.ID.Team, part.Accelerators})
		}
	}
	return p
}

// Cells returns the placed cells, sorted by id.
func (p Packing) Cells() CellList { return slices.Clone(p.cells) }

// Shortfalls returns the guarantees that are not fully packed.
func (p Packing) Shortfalls() ShortfallList { return slices.Clone(p.shortfalls) }

// OwnerOf returns the team that owns an accelerator, or "" if none does.
func (p Packing) OwnerOf(worker string, accelerator int) string {
	for _, o := range p.owners[worker] {
		if o.accelerators.Has(accelerator) {
			return o.team
		}
	}
	return ""
}

// Owned returns what each team owns on each worker, sorted by worker and team.
func (p Packing) Owned() shop.OwnedList {
	var all shop.OwnedList
	for _, c := range p.cells {
		for _, part := range c.Parts {
			all = append(all, shop.Owned{
				Worker: part.Worker, Team: c.ID.Team,
				Accelerators: part.Accelerators, Cores: part.Cores, Memory: part.Memory,
			})
		}
	}
	slices.SortStableFunc(all, func(a, b shop.Owned) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Team, b.Team))
	})
	var out shop.OwnedList
	for _, o := range all {
		if n := len(out); n > 0 && out[n-1].Worker == o.Worker && out[n-1].Team == o.Team {
			out[n-1].Accelerators |= o.Accelerators
			out[n-1].Cores += o.Cores
			out[n-1].Memory += o.Memory
			continue
		}
		out = append(out, o)
	}
	return out
}

// Moved counts the cells of an earlier packing that have other parts in this one
// or are missing from it.
func (p Packing) Moved(earlier Packing) int {
	n := 0
	for _, c := range earlier.cells {
		now, ok := p.cells.Find(c.ID)
		if !ok || !slices.Equal(now.Parts, c.Parts) {
			n++
		}
	}
	return n
}

// stages are the steps of the search, in the order in which they are tried while a
// cell is unplaced.
var stages = []func(*packingBuilder){
	(*packingBuilder).repair,
	(*packingBuilder).repackFreestRacks,
	(*packingBuilder).repackHardestFirst,
	(*packingBuilder).repackFromScratch,
	(*packingBuilder).repackSpread,
}

// Pack assigns resources of the workers that are not down to every guarantee of
// the teams. Cells of the previous packing stay where they are as long as the
// others fit beside them. The order of the inputs does not matter; a nil down
// means that every worker is up.
func Pack(teams shop.TeamList, workers shop.WorkerList, down func(worker string) bool, previous Packing) Packing {
	b := newPackingBuilder(newHardware(workers, down), teams, previous)
	b.keepPrevious()
	for _, stage := range stages {
		if !b.mayImprove() {
			break
		}
		next := b.clone()
		stage(next)
		if len(next.unplaced()) < len(b.unplaced()) {
			next.returnToPrevious()
			b = next
		}
	}
	return newPacking(b.placedCells(), b.shortfalls(workers, down), b.hardware.workers)
}
