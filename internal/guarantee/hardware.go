package guarantee

import (
	"cmp"
	"slices"

	"github.com/google/btree"

	"sniperill.example/sniperill/pkg/shop"
)

// level is how large a group of adjacent workers is.
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

// levelOf returns the largest group that the tasks may spread over. A single
// task sits on one worker whatever its adjacency.
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

// machine is a worker with what is still free on it.
type machine struct {
	place  shop.Place
	free   shop.Mask
	cores  int
	memory shop.Bytes
	group  [numLevels]int
}

// taskCapacity counts the tasks of a shape that still fit.
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

// group is adjacent workers: a range of the machines sorted by place.
type group struct {
	from, to int
	free     int
}

// fitKey is the place of a group in the order of best fit: the fullest first.
type fitKey struct {
	free, rackFree, index int
}

func fitKeyLess(a, b fitKey) bool {
	return cmp.Or(
		cmp.Compare(a.free, b.free),
		cmp.Compare(a.rackFree, b.rackFree),
		cmp.Compare(a.index, b.index),
	) < 0
}

const btreeDegree = 16

// hardware is the state of one packing run.
type hardware struct {
	workers  shop.WorkerList // One for each machine.
	machines []machine
	byName   map[string]int
	groups   [numLevels][]group
	byFit    [numLevels]*btree.BTreeG[fitKey]
	spread   bool // Place loose shapes on leftovers, rather than close together.
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

// freeAccelerators counts what is free on all machines.
func (h *hardware) freeAccelerators() int {
	n := 0
	for _, g := range h.groups[anyLevel] {
		n += g.free
	}
	return n
}

// buildIndex builds the groups of each level and their order of best fit.
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
	s := fitKey{free: h.groups[l][index].free, index: index}
	if l == workerLevel {
		s.rackFree = h.groups[rackLevel][h.machines[index].group[rackLevel]].free
	}
	return s
}

// adjustFree changes the free count of a machine and of the groups around it.
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

// allocate takes exactly these parts, or nothing when one of them is not free.
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
