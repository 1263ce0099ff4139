package placement

import (
	"cmp"
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// freeIndex sorts the workers for best fit: by free accelerators, then by free
// cores, then by place. List i holds the workers with i free accelerators.
type freeIndex [shop.MaxWorkerAccelerators + 1][]int32

// build adds all workers.
func (ix *freeIndex) build(nodes []node) {
	for i := range nodes {
		n := &nodes[i]
		l := &ix[n.Free.Len()]
		*l = append(*l, int32(i))
	}
	for _, l := range ix {
		slices.SortFunc(l, func(a, b int32) int {
			return cmp.Or(cmp.Compare(nodes[a].FreeCores, nodes[b].FreeCores), cmp.Compare(a, b))
		})
	}
}

// copyFrom makes ix a copy of another index, reusing its memory.
func (ix *freeIndex) copyFrom(from *freeIndex) {
	for i := range ix {
		ix[i] = append(ix[i][:0], from[i]...)
	}
}

// positionOf returns the position in a list at which a worker with the given free
// cores belongs.
func positionOf(l []int32, nodes []node, cores, worker int) int {
	at, _ := slices.BinarySearchFunc(l, worker, func(x int32, worker int) int {
		return cmp.Or(cmp.Compare(nodes[x].FreeCores, cores), cmp.Compare(int(x), worker))
	})
	return at
}

// remove removes a worker. Call it before the free resources of the worker change.
func (ix *freeIndex) remove(nodes []node, i int) {
	n := &nodes[i]
	l := &ix[n.Free.Len()]
	at := positionOf(*l, nodes, n.FreeCores, i)
	*l = slices.Delete(*l, at, at+1)
}

// insert adds a worker back after its free resources changed.
func (ix *freeIndex) insert(nodes []node, i int) {
	n := &nodes[i]
	l := &ix[n.Free.Len()]
	at := positionOf(*l, nodes, n.FreeCores, i)
	*l = slices.Insert(*l, at, int32(i))
}

// first returns the first worker with enough free accelerators and cores for which
// fits returns true, or -1.
func (ix *freeIndex) first(nodes []node, accelerators, cores int, fits func(int) bool) int {
	for free := accelerators; free < len(ix); free++ {
		l := ix[free]
		for _, i := range l[positionOf(l, nodes, cores, -1):] {
			if fits(int(i)) {
				return int(i)
			}
		}
	}
	return -1
}
