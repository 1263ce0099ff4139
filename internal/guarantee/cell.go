// Package guarantee assigns accelerators, cores and memory of the workers to the
// guarantees of all teams, so that each accelerator is owned by one team or none.
//
// The unit of the assignment is a cell: one copy of one guaranteed shape. The
// packing is a pure function of its inputs: every entry with the same
// configuration, inventory and previous packing computes the same result.
package guarantee

import (
	"cmp"
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// CellID identifies one copy of one guarantee.
type CellID struct {
	Team      string `json:"team"`
	Guarantee int    `json:"guarantee"` // Index in the guarantees of the team.
	Copy      int    `json:"copy"`
}

// Compare orders cells by team, guarantee and copy.
func (id CellID) Compare(other CellID) int {
	return cmp.Or(
		cmp.Compare(id.Team, other.Team),
		cmp.Compare(id.Guarantee, other.Guarantee),
		cmp.Compare(id.Copy, other.Copy),
	)
}

// Part is the resources that one task of a cell has on its worker.
type Part struct {
	Worker       string     `json:"worker"`
	Accelerators shop.Mask  `json:"accelerators"`
	Cores        int        `json:"cores"`
	Memory       shop.Bytes `json:"memory"`
}

// PartList is the parts of a cell, one per task.
type PartList []Part

// OnWorker reports whether any part is on the worker.
func (l PartList) OnWorker(worker string) bool {
	return slices.ContainsFunc(l, func(p Part) bool { return p.Worker == worker })
}

// Cell is one copy of a guarantee with the hardware that backs it.
type Cell struct {
	ID    CellID     `json:"id"`
	Shape shop.Shape `json:"shape"`
	Parts PartList   `json:"parts"`
}

// CellList is a list of cells sorted by id.
type CellList []Cell

// Find returns the cell with the given id.
func (l CellList) Find(id CellID) (Cell, bool) {
	i, ok := slices.BinarySearchFunc(l, id, func(c Cell, id CellID) int { return c.ID.Compare(id) })
	if !ok {
		return Cell{}, false
	}
	return l[i], true
}

// wantedCells returns a cell without parts for each copy of each guarantee.
func wantedCells(teams shop.TeamList) CellList {
	var cells CellList
	for _, t := range teams {
		for i, g := range t.Guarantees {
			g.Shape.SetDefaults()
			for n := range g.Count {
				cells = append(cells, Cell{ID: CellID{t.Name, i, n}, Shape: g.Shape})
			}
		}
	}
	slices.SortFunc(cells, func(a, b Cell) int { return a.ID.Compare(b.ID) })
	return cells
}

// compareDifficulty orders shapes that are harder to place first. It compares the
// accelerators that must be adjacent, then the adjacency, then the size of a task.
func compareDifficulty(a, b shop.Shape) int {
	return cmp.Or(
		cmp.Compare(adjacentAccelerators(b), adjacentAccelerators(a)),
		cmp.Compare(levelOf(a), levelOf(b)),
		cmp.Compare(b.Accelerators, a.Accelerators),
		cmp.Compare(b.Tasks, a.Tasks),
		cmp.Compare(b.Cores*b.Tasks, a.Cores*a.Tasks),
		cmp.Compare(b.Memory, a.Memory),
	)
}

// adjacentAccelerators counts the accelerators that must be on one worker or in
// one rack.
func adjacentAccelerators(s shop.Shape) int {
	if levelOf(s) <= rackLevel {
		return s.TotalAccelerators()
	}
	return s.Accelerators
}
