package guarantee

import (
	"cmp"
	"math/bits"
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// place allocates parts for a shape at the lowest level with a group that fits it,
// in the fullest such group, so that larger groups stay free for larger shapes.
// When spread is set, it tries only the highest level that the shape allows.
func (h *hardware) place(s shop.Shape) (PartList, bool) {
	from := workerLevel
	if h.spread {
		from = levelOf(s)
	}
	for l := from; l <= levelOf(s); l++ {
		if g, ok := h.bestGroup(s, l); ok {
			return h.placeIn(s, h.groups[l][g])
		}
	}
	return nil, false
}

// bestGroup returns the index of the fullest group of a level that fits the shape.
func (h *hardware) bestGroup(s shop.Shape, l level) (int, bool) {
	best, found := 0, false
	h.byFit[l].AscendGreaterOrEqual(fitKey{free: s.TotalAccelerators()}, func(k fitKey) bool {
		best, found = k.index, h.fits(s, h.groups[l][k.index])
		return !found
	})
	return best, found
}

// fits reports whether all tasks of the shape fit in the group.
func (h *hardware) fits(s shop.Shape, g group) bool {
	n := 0
	for i := g.from; i < g.to && n < s.Tasks; i++ {
		n += h.machines[i].taskCapacity(s)
	}
	return n >= s.Tasks
}

// candidate is a machine that fits some tasks of a shape.
type candidate struct {
	machine, tasks, free, rackFree int
}

// placeIn allocates parts for all tasks on the machines of the group.
func (h *hardware) placeIn(s shop.Shape, g group) (PartList, bool) {
	all := h.candidates(s, g)
	if h.spread {
		return h.placeOnFullest(s, all)
	}
	return h.placeOnFewest(s, all)
}

func (h *hardware) candidates(s shop.Shape, g group) []candidate {
	var all []candidate
	for i := g.from; i < g.to; i++ {
		if n := h.machines[i].taskCapacity(s); n > 0 {
			key := h.fitKey(workerLevel, i)
			all = append(all, candidate{i, n, key.free, key.rackFree})
		}
	}
	return all
}

// placeOnFullest fills the machines of the fullest racks first.
func (h *hardware) placeOnFullest(s shop.Shape, all []candidate) (PartList, bool) {
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rackFree, b.rackFree),
			cmp.Compare(a.free, b.free),
			cmp.Compare(a.machine, b.machine),
		)
	})
	var parts PartList
	for _, c := range all {
		taken := h.chooseParts(s, c.machine, min(c.tasks, s.Tasks-len(parts)))
		h.allocate(taken)
		parts = append(parts, taken...)
	}
	if len(parts) < s.Tasks {
		h.release(parts)
		return nil, false
	}
	return parts, true
}

// placeOnFewest uses as few machines as it can: the fullest machine that fits all
// remaining tasks, or else the machine that fits the most.
func (h *hardware) placeOnFewest(s shop.Shape, all []candidate) (PartList, bool) {
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.tasks, b.tasks),
			cmp.Compare(a.free, b.free),
			cmp.Compare(a.rackFree, b.rackFree),
			cmp.Compare(a.machine, b.machine),
		)
	})
	var parts PartList
	for rest := s.Tasks; rest > 0; {
		if len(all) == 0 {
			h.release(parts)
			return nil, false
		}
		want := min(rest, all[len(all)-1].tasks)
		i, _ := slices.BinarySearchFunc(all, want, func(c candidate, n int) int { return cmp.Compare(c.tasks, n) })
		taken := h.chooseParts(s, all[i].machine, want)
		h.allocate(taken)
		parts = append(parts, taken...)
		rest -= want
		all = slices.Delete(all, i, i+1)
	}
	return parts, true
}

// chooseParts chooses free accelerators for n tasks on a machine and divides them
// into parts.
func (h *hardware) chooseParts(s shop.Shape, index, n int) PartList {
	m := h.machines[index]
	block := chooseBlock(m.free, n*s.Accelerators)
	parts := make(PartList, n)
	for i := range parts {
		mask := block.First(s.Accelerators)
		block &^= mask
		parts[i] = Part{Worker: m.place.Worker, Accelerators: mask, Cores: s.Cores, Memory: s.Memory}
	}
	return parts
}

// chooseBlock chooses n of the free accelerators as a buddy allocator does: from
// the smallest free aligned block that holds them, so that larger blocks stay
// free. Link groups that are partly in use are preferred to free ones, even when
// that takes fragments.
func chooseBlock(free shop.Mask, n int) shop.Mask {
	if n <= 0 {
		return 0
	}
	size := 1 << bits.Len(uint(n-1))
	var best shop.Mask
	bestEnclosing := shop.MaxWorkerAccelerators + 1
	for at := 0; at+size <= shop.MaxWorkerAccelerators; at += size {
		block := shop.MaskOf(size) << at
		if free&block != block {
			continue
		}
		if enclosing := enclosingFreeSize(free, at, size); enclosing < bestEnclosing {
			best, bestEnclosing = block, enclosing
		}
	}
	if best != 0 && (bestEnclosing < linkGroupSize || freeInPartialGroups(free).Len() < n) {
		return best.First(n)
	}
	return chooseFragments(free, n)
}

// freeInPartialGroups returns the free accelerators of the link groups that are
// partly in use.
func freeInPartialGroups(free shop.Mask) shop.Mask {
	var out shop.Mask
	for at := 0; at < shop.MaxWorkerAccelerators; at += linkGroupSize {
		group := shop.MaskOf(linkGroupSize) << at
		if free&group != group {
			out |= free & group
		}
	}
	return out
}

// enclosingFreeSize returns the size of the largest free aligned block that
// contains the free block of the given size at an index.
func enclosingFreeSize(free shop.Mask, at, size int) int {
	for size < shop.MaxWorkerAccelerators {
		wider := size * 2
		block := shop.MaskOf(wider) << (at / wider * wider)
		if free&block != block {
			break
		}
		size = wider
	}
	return size
}

// linkGroupSize is the number of accelerators that share a high-bandwidth link.
const linkGroupSize = 8

// chooseFragments chooses n free accelerators from any link groups, those with the
// fewest free ones first.
func chooseFragments(free shop.Mask, n int) shop.Mask {
	var groups []shop.Mask
	for at := 0; at < shop.MaxWorkerAccelerators; at += linkGroupSize {
		groups = append(groups, free&(shop.MaskOf(linkGroupSize)<<at))
	}
	slices.SortStableFunc(groups, func(a, b shop.Mask) int { return cmp.Compare(a.Len(), b.Len()) })
	var out shop.Mask
	for _, g := range groups {
		out |= g.First(n - out.Len())
	}
	return out
}
