package placement

import (
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Fleet is the workers of a deployment, sorted by place, with their free resources
// and what teams own on them. Planners copy it and change their copy; a shared
// Fleet is never changed.
type Fleet struct {
	nodes      []node
	ownerships []ownership
	reserved   []reservedRoom
	groups
	teams        shop.TeamList
	teamIndex    map[string]int
	workerIndex  map[string]int
	occupants    []Occupant
	jobs         []jobParts // By Occupant.Job.
	byJob        []int32    // Indexes of occupants, grouped by job.
	byFree       freeIndex
	all          []int32   // Indexes of all workers.
	ownedWorkers [][]int32 // Indexes of the workers that a team owns resources on, by team.
	scratch      scratch
}

// jobParts is the occupants of one job, as a range of Fleet.byJob.
type jobParts struct {
	first, end int32
	evicted    bool
}

// node is a worker with what the fleet derives for it. The First and End fields
// are ranges of Fleet.ownerships and Fleet.occupants.
type node struct {
	Worker
	rack, zone, region           int
	ownershipFirst, ownershipEnd int
	occupantFirst, occupantEnd   int
	unowned                      shop.Mask
	preemptible                  shop.Mask // In use by preemptible work.
	// Resources that no team owns, less what non-preemptible work uses of them.
	unownedCores  int
	unownedMemory int64
}

// ownership is what one team owns on one worker, and what its own work uses of it.
type ownership struct {
	team       int
	mask       shop.Mask
	cores      int
	memory     int64
	usedCores  int
	usedMemory int64
}

// reservedRoom is the room of one worker that is reserved: by all reservations, and
// by those that drain.
type reservedRoom struct {
	all, drained room
	// from is when the earliest reservation starts.
	from time.Time
}

// groups lists the sets of adjacent workers.
type groups struct {
	racks, zones, regions []span
}

// span is a range of adjacent workers in Fleet.nodes.
type span struct{ first, end int }

// Occupant is the part of a running job on one worker.
type Occupant struct {
	Job    int // Number of the running job within the plan.
	Worker int // Index of the worker in the fleet.
	Team   int // Index of the team, -1 if it is no longer configured.
	Tasks  int
	Mask   shop.Mask
	Cores  int
	Memory int64
	// Submitted is when the job was submitted.
	Submitted time.Time
	// Started and End are when the work started and when it is expected to end.
	Started, End time.Time
	// Preemptible work may be evicted. Urgent work is evicted only for the owner of
	// what it borrows.
	Preemptible, Urgent bool
	// Loss is the work that an eviction loses, in accelerator-time.
	Loss time.Duration
	// GangAccelerators counts the accelerators of the whole job; zero for a small job.
	GangAccelerators int
	// Borrower is set if the part uses resources that its team doesn't own, whether or
	// not another team owns them.
	Borrower bool
	usage    usage
}

// NewFleet returns a fleet of the workers, with what teams own on them.
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

// buildGroups finds the workers that share a rack, zone or region.
func (f *Fleet) buildGroups() {
	for i := range f.nodes {
		n := &f.nodes[i]
		n.rack = f.joinSpan(&f.racks, i, shop.SameRack)
		n.zone = f.joinSpan(&f.zones, i, shop.SameZone)
		n.region = f.joinSpan(&f.regions, i, shop.SameRegion)
	}
}

// joinSpan adds worker i to the last span, or to a new one if it is not adjacent to
// the worker before. It returns the index of the span.
func (f *Fleet) joinSpan(l *[]span, i int, a shop.Adjacency) int {
	if i == 0 || !f.nodes[i-1].Place.Near(f.nodes[i].Place, a) {
		*l = append(*l, span{first: i, end: i})
	}
	last := len(*l) - 1
	(*l)[last].end = i + 1
	return last
}

// addOwned adds what teams own.
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

// CopyFrom makes f a copy of another fleet. The copy can be changed; it reuses the
// memory of f.
func (f *Fleet) CopyFrom(from *Fleet) {
	nodes, ownerships, reserved := f.nodes, f.ownerships, f.reserved
	occupants, jobs, byJob, scratch := f.occupants, f.jobs, f.byJob, f.scratch
	byFree := f.byFree
	*f = *from
	f.nodes = append(nodes[:0], from.nodes...)
	f.ownerships = append(ownerships[:0], from.ownerships...)
	f.reserved = append(reserved[:0], from.reserved...)
	f.occupants = append(occupants[:0], from.occupants...)
	f.jobs = append(jobs[:0], from.jobs...)
	f.byJob = append(byJob[:0], from.byJob...)
	f.byFree = byFree
	f.byFree.copyFrom(&from.byFree)
	f.scratch = scratch
}

// TeamIndex returns the index of a team, or -1 if it is not configured.
func (f *Fleet) TeamIndex(name string) int {
	if i, ok := f.teamIndex[name]; ok {
		return i
	}
	return -1
}

// WorkerIndex returns the index of a worker, and false if the fleet lacks it.
func (f *Fleet) WorkerIndex(worker string) (int, bool) {
	i, ok := f.workerIndex[worker]
	return i, ok
}

// Len counts the workers.
func (f *Fleet) Len() int { return len(f.nodes) }

// Worker returns the worker at an index with its current free resources.
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

// AddOwnedAccelerators adds to byTeam, at the index of each team, the accelerators
// that the team owns on workers without flags.
func (f *Fleet) AddOwnedAccelerators(byTeam []int) {
	for i := range f.nodes {
		n := &f.nodes[i]
		for _, o := range f.ownerships[n.ownershipFirst:n.ownershipEnd] {
			if n.Flags == 0 && o.team >= 0 {
				byTeam[o.team] += o.mask.Len()
			}
		}
	}
}

// ownershipOf returns what a team owns on a worker, or nil.
func (f *Fleet) ownershipOf(n *node, team int) *ownership {
	for j := n.ownershipFirst; j < n.ownershipEnd; j++ {
		if f.ownerships[j].team == team {
			return &f.ownerships[j]
		}
	}
	return nil
}

// ownMask returns the accelerators that a team owns on a worker.
func (f *Fleet) ownMask(n *node, team int) shop.Mask {
	if team < 0 {
		return 0
	}
	if o := f.ownershipOf(n, team); o != nil {
		return o.mask
	}
	return 0
}
