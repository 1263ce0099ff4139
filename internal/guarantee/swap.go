package guarantee

import (
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// IdleCapacity is the resources of one worker that no work uses at the moment.
type IdleCapacity struct {
	Worker       string
	Accelerators shop.Mask
	Cores        int
	Memory       shop.Bytes
}

// IdleCapacityList is the idle resources of all workers, at most one entry each.
type IdleCapacityList []IdleCapacity

// Swap moves a cell whose accelerators are borrowed to equivalent idle resources,
// so that its owner's job evicts no borrower. It takes resources that no team owns,
// or else exchanges the parts with an unused cell of the same shape, which then
// owns the borrowed accelerators. It returns false if neither exists. The packing
// itself is not changed.
func (p Packing) Swap(id CellID, idle IdleCapacityList) (Packing, bool) {
	cell, ok := p.cells.Find(id)
	if !ok {
		return Packing{}, false
	}
	h := idleHardware(p.workers, idle)
	free := h.clone()
	for _, c := range p.cells {
		free.allocateAvailable(c.Parts)
	}
	if parts, ok := free.place(cell.Shape); ok {
		return p.withCells(Cell{cell.ID, cell.Shape, parts}), true
	}
	for _, other := range p.cells {
		if other.ID != id && other.Shape == cell.Shape && h.allocate(other.Parts) {
			return p.withCells(
				Cell{cell.ID, cell.Shape, other.Parts},
				Cell{other.ID, other.Shape, cell.Parts},
			), true
		}
	}
	return Packing{}, false
}

// idleHardware returns the hardware of the workers, with only idle resources free.
func idleHardware(workers shop.WorkerList, idle IdleCapacityList) *hardware {
	h := newHardware(workers, nil)
	byMachine := make([]IdleCapacity, len(h.machines))
	for _, f := range idle {
		if i, ok := h.byName[f.Worker]; ok {
			byMachine[i] = f
		}
	}
	for i := range h.machines {
		m := &h.machines[i]
		m.free &= byMachine[i].Accelerators
		m.cores = min(m.cores, byMachine[i].Cores)
		m.memory = min(m.memory, byMachine[i].Memory)
	}
	h.buildIndex()
	return h
}

// allocateAvailable takes those resources of the parts that are still free.
func (h *hardware) allocateAvailable(parts PartList) {
	for _, p := range parts {
		i, ok := h.byName[p.Worker]
		if !ok {
			continue
		}
		m := &h.machines[i]
		taken := m.free & p.Accelerators
		m.free &^= taken
		m.cores = max(0, m.cores-p.Cores)
		m.memory -= min(m.memory, p.Memory)
		h.adjustFree(i, -taken.Len())
	}
}

// withCells returns a copy of the packing in which the given cells replace those with
// the same ids.
func (p Packing) withCells(cells ...Cell) Packing {
	next := slices.Clone(p.cells)
	for _, c := range cells {
		i := slices.IndexFunc(next, func(old Cell) bool { return old.ID == c.ID })
		next[i] = c
	}
	return newPacking(next, p.shortfalls, p.workers)
}
