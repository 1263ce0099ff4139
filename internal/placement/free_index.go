package placement

import (
	"cmp"
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// freeIndex keeps the workers by how many accelerators are free, then by free
// cores, then by place: the order in which best fit prefers them.
type freeIndex [shop.MaxWorkerAccelerators + 1][]int32

// build sorts all workers in.
func (o *freeIndex) build(nodes []node) {
	for i := range nodes {
		n := &nodes[i]
		l := &o[n.Free.Len()]
		*l = append(*l, int32(i))
	}
	for _, l := range o {
		slices.SortFunc(l, func(a, b int32) int {
			return cmp.Or(cmp.Compare(nodes[a].FreeCores, nodes[b].FreeCores), cmp.Compare(a, b))
		})
	}
}

// copyFrom makes o a copy of another order, reusing its memory.
func (o *freeIndex) copyFrom(from *freeIndex) {
	for i := range o {
		o[i] = append(o[i][:0], from[i]...)
	}
}

// positionOf returns where a worker with that many free cores stands in its list.
func positionOf(l []int32, nodes []node, cores, worker int) int {
	at, _ := slices.BinarySearchFunc(l, worker, func(x int32, worker int) int {
		return cmp.Or(cmp.Compare(nodes[x].FreeCores, cores), cmp.Compare(int(x), worker))
	})
	return at
}

// remove takes a worker out before its free room changes.
func (o *freeIndex) remove(nodes []node, i int) {
	n := &nodes[i]
	l := &o[n.Free.Len()]
	at := positionOf(*l, nodes, n.FreeCores, i)
	*l = slices.Delete(*l, at, at+1)
}

// insert puts a worker back after its free room changed.
func (o *freeIndex) insert(nodes []node, i int) {
	n := &nodes[i]
	l := &o[n.Free.Len()]
	at := positionOf(*l, nodes, n.FreeCores, i)
	*l = slices.Insert(*l, at, int32(i))
}

// first returns the first worker in order that has the free accelerators and
// cores and that fits.
func (o *freeIndex) first(nodes []node, accelerators, cores int, fits func(int) bool) int {
	for free := accelerators; free < len(o); free++ {
		l := o[free]
		for _, i := range l[positionOf(l, nodes, cores, -1):] {
			if fits(int(i)) {
				return int(i)
			}
		}
	}
	return -1
}
