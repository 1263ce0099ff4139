package guarantee

import (
	"cmp"
	"slices"

	"github.com/google/btree"

	"sniperill.example/sniperill/pkg/shop"
)

// level is the size of a group of adjacent workers.
type level int

const (
	workerLevel level = iota
	rackLevel
	zoneLevel
	regionLevel
	anyLevel
	numLevels
)

var levelAdjacency = [numLevels]shop.Adjacency{
	shop.SameWorker, shop.SameRack, shop.SameZone, shop.SameRegion, shop.Anywhere,
}

// levelOf returns the level of the largest group that the tasks may spread over.
// A single task needs one worker whatever its adjacency.
func levelOf(s shop.Shape) level {
	if s.Tasks <= 1 {
		return workerLevel
	}
	for l, a := range levelAdjacency {
		if s.Adjacency == a {
			return level(l)
		}
	}
	return anyLevel
}

// machine is a worker with its free resources.
type machine struct {
	place  shop.Place
	free   shop.Mask
	cores  int
	memory shop.Bytes
	group  [numLevels]int // Index of its group at each level.
}

// taskCapacity counts the tasks of a shape that fit in the free resources.
func (m machine) taskCapacity(s shop.Shape) int {
	n := s.Tasks
	if s.Accelerators > 0 {
		n = min(n, m.free.Len()/s.Accelerators)
	}
	if s.Cores > 0 {
		n = min(n, m.cores/s.Cores)
	}
	if s.Memory > 0 {
		n = min(n, int(min(m.memory/s.Memory, shop.Bytes(s.Tasks))))
	}
	return n
}

// group is a set of adjacent workers: a range of the machines sorted by place.
type group struct {
	from, to int // Indexes of machines; to is exclusive.
	free     int // Accelerators.
}

// fitKey is the sort key of a group for best fit: the fullest group first.
type fitKey struct {
	free, rackFree, index int // rackFree is set for single workers only.
}

func fitKeyLess(a, b fitKey) bool {
	return cmp.Or(
		cmp.Compare(a.free, b.free),
		cmp.Compare(a.rackFree, b.rackFree),
		cmp.Compare(a.index, b.index),
	) < 0
}

const btreeDegree = 16

// hardware is the machines of a packing run and what is free on them.
type hardware struct {
	workers  shop.WorkerList // One per machine.
	machines []machine
	byName   map[string]int
	groups   [numLevels][]group
	byFit    [numLevels]*btree.BTreeG[fitKey]
	spread   bool // Place tasks on the fullest racks that the adjacency allows, not close together.
}

func newHardware(workers shop.WorkerList, down func(string) bool) *hardware {
	h := &hardware{byName: make(map[string]int, len(workers))}
	sorted := slices.SortedFunc(slices.Values(workers), func(a, b shop.Worker) int { return a.Place.Compare(b.Place) })
	for _, w := range sorted {
		if down != nil && down(w.Place.Worker) {
			continue
		}
		if _, twice := h.byName[w.Place.Worker]; twice {
			continue
		}
		h.byName[w.Place.Worker] = len(h.machines)
		h.workers = append(h.workers, w)
		h.machines = append(h.machines, machine{
			place: w.Place, free: shop.MaskOf(w.Accelerators),
			cores: w.Cores, memory: w.Memory,
		})
	}
	h.buildIndex()
	return h
}

func (h *hardware) clone() *hardware {
	c := &hardware{workers: h.workers, machines: slices.Clone(h.machines), byName: h.byName, spread: h.spread}
	for l := range numLevels {
		c.groups[l] = slices.Clone(h.groups[l])
		c.byFit[l] = h.byFit[l].Clone()
	}
	return c
}

// freeAccelerators counts the free accelerators of all machines.
func (h *hardware) freeAccelerators() int {
	n := 0
	for _, g := range h.groups[anyLevel] {
		n += g.free
	}
	return n
}

// buildIndex builds the groups of each level and sorts them for best fit.
func (h *hardware) buildIndex() {
	for l := range numLevels {
		h.groups[l] = nil
		h.byFit[l] = btree.NewG(btreeDegree, fitKeyLess)
		for i := range h.machines {
			m := &h.machines[i]
			if i == 0 || !m.place.Near(h.machines[i-1].place, levelAdjacency[l]) {
				h.groups[l] = append(h.groups[l], group{from: i})
			}
			m.group[l] = len(h.groups[l]) - 1
			g := &h.groups[l][m.group[l]]
			g.to = i + 1
			g.free += m.free.Len()
		}
	}
	for l := range numLevels {
		for i := range h.groups[l] {
			h.byFit[l].ReplaceOrInsert(h.fitKey(l, i))
		}
	}
}

func (h *hardware) fitKey(l level, index int) fitKey {
	k := fitKey{free: h.groups[l][index].free, index: index}
	if l == workerLevel {
		k.rackFree = h.groups[rackLevel][h.machines[index].group[rackLevel]].free
	}
	return k
}

// adjustFree adds n to the free accelerators of a machine's groups at all levels.
// It takes their keys out of the best-fit index first, as the keys change.
func (h *hardware) adjustFree(i, n int) {
	if n == 0 {
		return
	}
	m := h.machines[i]
	rack := h.groups[rackLevel][m.group[rackLevel]]
	for j := rack.from; j < rack.to; j++ {
		h.byFit[workerLevel].Delete(h.fitKey(workerLevel, j))
	}
	for l := rackLevel; l < numLevels; l++ {
		h.byFit[l].Delete(h.fitKey(l, m.group[l]))
	}
	for l := range numLevels {
		h.groups[l][m.group[l]].free += n
	}
	for j := rack.from; j < rack.to; j++ {
		h.byFit[workerLevel].ReplaceOrInsert(h.fitKey(workerLevel, j))
	}
	for l := rackLevel; l < numLevels; l++ {
		h.byFit[l].ReplaceOrInsert(h.fitKey(l, m.group[l]))
	}
}

// allocate takes exactly the given parts, or nothing if one of them is not free.
func (h *hardware) allocate(parts PartList) bool {
	for n, p := range parts {
		i, ok := h.byName[p.Worker]
		if !ok || !h.machines[i].hasFree(p) {
			h.release(parts[:n])
			return false
		}
		m := &h.machines[i]
		m.free &^= p.Accelerators
		m.cores -= p.Cores
		m.memory -= p.Memory
		h.adjustFree(i, -p.Accelerators.Len())
	}
	return true
}

func (m machine) hasFree(p Part) bool {
	return m.free&p.Accelerators == p.Accelerators && m.cores >= p.Cores && m.memory >= p.Memory
}

func (h *hardware) release(parts PartList) {
	for _, p := range parts {
		i := h.byName[p.Worker]
		m := &h.machines[i]
		m.free |= p.Accelerators
		m.cores += p.Cores
		m.memory += p.Memory
		h.adjustFree(i, p.Accelerators.Len())
	}
}
