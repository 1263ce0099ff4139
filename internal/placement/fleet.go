package placement

import (
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Fleet is the workers of a deployment, sorted by place, with what is free on
// each and what teams own there. Planners copy it and change their copy; a
// Fleet that is shared is never changed.
type Fleet struct {
	nodes      []node
	ownerships []ownership
	reserved   []reservedRoom
	groups
	teams        shop.TeamList
	teamIndex    map[string]int
	workerIndex  map[string]int
	occupants    []Occupant
	jobs         []jobParts // By the job number of an occupant.
	byJob        []int32    // Occupants, those of one job next to each other.
	byFree       freeIndex
	all          []int32   // All workers.
	ownedWorkers [][]int32 // The workers that each team owns something on.
	scratch      scratch
}

// jobParts are the occupants of one job, as a run of Fleet.byJob.
type jobParts struct {
	first, end int32
	evicted    bool
}

// node is a worker together with what the fleet derives for it.
type node struct {
	Worker
	rack, zone, region           int
	ownershipFirst, ownershipEnd int
	occupantFirst, occupantEnd   int
	unowned                      shop.Mask
	preemptible                  shop.Mask // What preemptible work stands on.
	// Room that no team owns, less what work that can't be preempted took of it.
	unownedCores  int
	unownedMemory int64
}

// ownership is what one team owns on one worker, and what its own work took of it.
type ownership struct {
	team       int
	mask       shop.Mask
	cores      int
	memory     int64
	usedCores  int
	usedMemory int64
}

// reservedRoom is room of one worker that is reserved.
type reservedRoom struct {
	all, drained room
	// from is when the first reservation needs the room.
	from time.Time
}

// groups indexes the workers by how near they are to one another.
type groups struct {
	racks, zones, regions []span
}

// span is a run of neighbouring workers.
type span struct{ first, end int }

// Occupant is one running part that a plan may have to evict.
type Occupant struct {
	Job    int // Number of the running job within the plan.
	Worker int // Index of the worker in the fleet.
	Team   int // Index of the team, -1 for a team no longer configured.
	Tasks  int
	Mask   shop.Mask
	Cores  int
	Memory int64
	// Submitted is when the job was submitted.
	Submitted time.Time
	// Started and End are when the work started and when it is expected to end.
	Started, End time.Time
	// Preemptible work may be evicted; Urgent work only by its owner.
	Preemptible, Urgent bool
	// Loss is the work that an eviction throws away.
	Loss time.Duration
	// GangAccelerators is the accelerators of the whole job, zero for a small job.
	GangAccelerators int
	// Borrower says that the part stands on more than its team owns.
	Borrower bool
	usage    usage
}

// NewFleet indexes workers with what teams own on them.
func NewFleet(workers WorkerList, owned shop.OwnedList, teams shop.TeamList) *Fleet {
	f := &Fleet{
		nodes:       make([]node, len(workers)),
		reserved:    make([]reservedRoom, len(workers)),
		teams:       teams,
		teamIndex:   make(map[string]int, len(teams)),
		workerIndex: make(map[string]int, len(workers)),
	}
	for i, t := range teams {
		f.teamIndex[t.Name] = i
	}
	for i, w := range workers {
		f.nodes[i].Worker = w
	}
	slices.SortFunc(f.nodes, func(a, b node) int { return a.Place.Compare(b.Place) })
	for i := range f.nodes {
		n := &f.nodes[i]
		f.workerIndex[n.Place.Worker] = i
		f.all = append(f.all, int32(i))
		n.unowned = shop.MaskOf(n.Accelerators)
		n.unownedCores = n.Cores
		n.unownedMemory = int64(n.Memory)
	}
	f.buildGroups()
	f.addOwned(owned)
	f.byFree.build(f.nodes)
	return f
}

// buildGroups finds the runs of workers that share a rack, zone or region.
func (f *Fleet) buildGroups() {
	for i := range f.nodes {
		n := &f.nodes[i]
		n.rack = f.joinSpan(&f.racks, i, shop.SameRack)
		n.zone = f.joinSpan(&f.zones, i, shop.SameZone)
		n.region = f.joinSpan(&f.regions, i, shop.SameRegion)
	}
}

func (f *Fleet) joinSpan(l *[]span, i int, a shop.Adjacency) int {
	if i == 0 || !f.nodes[i-1].Place.Near(f.nodes[i].Place, a) {
		*l = append(*l, span{first: i, end: i})
	}
	last := len(*l) - 1
	(*l)[last].end = i + 1
	return last
}

// addOwned enters what teams own.
func (f *Fleet) addOwned(owned shop.OwnedList) {
	sorted := make([]shop.Owned, 0, len(owned))
	for _, o := range owned {
		if _, ok := f.workerIndex[o.Worker]; ok {
			sorted = append(sorted, o)
		}
	}
	slices.SortStableFunc(sorted, func(a, b shop.Owned) int { return f.workerIndex[a.Worker] - f.workerIndex[b.Worker] })
	f.ownedWorkers = make([][]int32, len(f.teams))
	for _, o := range sorted {
		if t := f.TeamIndex(o.Team); t >= 0 {
			f.ownedWorkers[t] = append(f.ownedWorkers[t], int32(f.workerIndex[o.Worker]))
		}
		n := &f.nodes[f.workerIndex[o.Worker]]
		if n.ownershipEnd == n.ownershipFirst {
			n.ownershipFirst = len(f.ownerships)
		}
		f.ownerships = append(f.ownerships, ownership{
			team:   f.TeamIndex(o.Team),
			mask:   o.Accelerators,
			cores:  o.Cores,
			memory: int64(o.Memory),
		})
		n.ownershipEnd = len(f.ownerships)
		n.unowned &^= o.Accelerators
		n.unownedCores -= o.Cores
		n.unownedMemory -= int64(o.Memory)
	}
}

// CopyFrom makes f a copy of another fleet that can be changed, reusing f's memory.
func (f *Fleet) CopyFrom(from *Fleet) {
	nodes, claims, reserved := f.nodes, f.ownerships, f.reserved
	occupants, jobs, byJob, scratch := f.occupants, f.jobs, f.byJob, f.scratch
	order := f.byFree
	*f = *from
	f.nodes = append(nodes[:0], from.nodes...)
	f.ownerships = append(claims[:0], from.ownerships...)
	f.reserved = append(reserved[:0], from.reserved...)
	f.occupants = append(occupants[:0], from.occupants...)
	f.jobs = append(jobs[:0], from.jobs...)
	f.byJob = append(byJob[:0], from.byJob...)
	f.byFree = order
	f.byFree.copyFrom(&from.byFree)
	f.scratch = scratch
}

// TeamIndex returns the index of a team, or -1 when it is not configured.
func (f *Fleet) TeamIndex(name string) int {
	if i, ok := f.teamIndex[name]; ok {
		return i
	}
	return -1
}

// WorkerIndex returns the index of a worker.
func (f *Fleet) WorkerIndex(worker string) (int, bool) {
	i, ok := f.workerIndex[worker]
	return i, ok
}

// Len counts the workers.
func (f *Fleet) Len() int { return len(f.nodes) }

// Worker returns the worker at an index as it stands in this fleet.
func (f *Fleet) Worker(i int) Worker { return f.nodes[i].Worker }

// Capacity sums the accelerators, cores and memory of all workers.
func (f *Fleet) Capacity() (accelerators, cores int, memory shop.Bytes) {
	for i := range f.nodes {
		n := &f.nodes[i]
		accelerators += n.Accelerators
		cores += n.Cores
		memory += n.Memory
	}
	return accelerators, cores, memory
}

// AddOwnedAccelerators adds up the accelerators that each team owns on workers that can run
// work, by the index of the team.
func (f *Fleet) AddOwnedAccelerators(byTeam []int) {
	for i := range f.nodes {
		n := &f.nodes[i]
		for _, c := range f.ownerships[n.ownershipFirst:n.ownershipEnd] {
			if n.Flags == 0 && c.team >= 0 {
				byTeam[c.team] += c.mask.Len()
			}
		}
	}
}

func (f *Fleet) ownershipOf(n *node, team int) *ownership {
	for j := n.ownershipFirst; j < n.ownershipEnd; j++ {
		if f.ownerships[j].team == team {
			return &f.ownerships[j]
		}
	}
	return nil
}

func (f *Fleet) ownMask(n *node, team int) shop.Mask {
	if team < 0 {
		return 0
	}
	if c := f.ownershipOf(n, team); c != nil {
		return c.mask
	}
	return 0
}
