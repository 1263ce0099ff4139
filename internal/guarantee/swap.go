package guarantee

import (
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// IdleCapacity is what runs nothing on one worker at the moment.
type IdleCapacity struct {
	Worker       string
	Accelerators shop.Mask
	Cores        int
	Memory       shop.Bytes
}

// IdleCapacityList is what runs nothing, at most one entry for a worker.
type IdleCapacityList []IdleCapacity

// Swap binds a cell late: when its accelerators are borrowed, it moves the cell
// to an equivalent idle shape, so that its owner's job evicts no borrower. The
// idle shape is one that nobody owns, or else an unused cell of the same shape,
// which takes over the borrowed accelerators. It returns false when there is no
// such shape; the packing itself never changes.
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

// idleHardware is the hardware of the workers with only the idle part free.
func idleHardware(workers shop.WorkerList, idle IdleCapacityList) *hardware {
	h := newHardware(workers, nil)
	found := make([]IdleCapacity, len(h.machines))
	for _, f := range idle {
		if i, ok := h.byName[f.Worker]; ok {
			found[i] = f
		}
	}
	for i := range h.machines {
		m := &h.machines[i]
		m.free &= found[i].Accelerators
		m.cores = min(m.cores, found[i].Cores)
		m.memory = min(m.memory, found[i].Memory)
	}
	h.buildIndex()
	return h
}

// allocateAvailable takes what is still free of the parts.
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

// withCells returns the packing with some cells replaced.
func (p Packing) withCells(cells ...Cell) Packing {
	next := slices.Clone(p.cells)
	for _, c := range cells {
		i := slices.IndexFunc(next, func(old Cell) bool { return old.ID == c.ID })
		next[i] = c
	}
	return newPacking(next, p.shortfalls, p.workers)
}
