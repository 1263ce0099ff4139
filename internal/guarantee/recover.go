package guarantee

import (
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// Recover rebuilds a packing from what teams own according to the agents. An entry
// that has just started uses it as the previous packing. Cells that do not fit in
// what their team owns are left out.
func Recover(teams shop.TeamList, workers shop.WorkerList, owned shop.OwnedList) Packing {
	byName := make(map[string]shop.Worker, len(workers))
	for _, w := range workers {
		byName[w.Place.Worker] = w
	}
	type holding struct {
		workers shop.WorkerList
		idle    IdleCapacityList
	}
	holdings := make(map[string]holding)
	for _, o := range owned {
		w, ok := byName[o.Worker]
		if !ok {
			continue
		}
		h := holdings[o.Team]
		h.workers = append(h.workers, w)
		h.idle = append(h.idle, IdleCapacity{o.Worker, o.Accelerators, o.Cores, o.Memory})
		holdings[o.Team] = h
	}
	var cells CellList
	for _, t := range teams {
		h := holdings[t.Name]
		b := newPackingBuilder(idleHardware(h.workers, h.idle), shop.TeamList{t}, Packing{})
		b.keepPrevious()
		cells = append(cells, b.placedCells()...)
	}
	slices.SortFunc(cells, func(a, b Cell) int { return a.ID.Compare(b.ID) })
	return newPacking(cells, nil, newHardware(workers, nil).workers)
}
