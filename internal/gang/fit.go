package gang

import (
	"cmp"
	"slices"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// fit is how a hold finds its room on the worker, or the reason why it doesn't.
type fit struct {
	mask    shop.Mask
	cores   int
	memory  shop.Bytes
	victims []*record
	reason  string
}

// fit looks for room: free accelerators first, then those that others give up.
func (l *Allocator) fit(req *sniperillv1.HoldRequest) fit {
	shape, tasks := req.GetJob().GetShape(), int(req.GetTasks())
	f := fit{
		cores:  tasks * int(shape.GetCores()),
		memory: shop.Bytes(uint64(tasks) * shape.GetMemoryBytes()),
	}
	var ok bool
	f.mask, ok = l.chooseAccelerators(req, tasks*int(shape.GetAccelerators()))
	if !ok {
		f.reason = "no room: accelerators"
		return f
	}
	f.victims = l.overlapping(f.mask, req)
	if !l.addVictims(&f, req) {
		f.reason = "no room: cores or memory"
		return f
	}
	if !req.GetPreemptible() && !l.preservesOwnerShares(f, req.GetJob().GetTeam()) {
		f.reason = "no room: kept for the owners of accelerators"
	}
	return f
}

// chooseAccelerators returns n accelerators for the request, the cheapest first.
func (l *Allocator) chooseAccelerators(req *sniperillv1.HoldRequest, n int) (shop.Mask, bool) {
	team := req.GetJob().GetTeam()
	own, unowned := l.owned(team), l.owned("")
	allowed := own | unowned
	if req.GetPreemptible() {
		allowed = shop.MaskOf(l.Accelerators)
	}
	var taken, kept shop.Mask
	for _, r := range l.active {
		if r.job.GetId() == req.GetJob().GetId() {
			continue
		}
		taken |= r.mask
		kept |= r.mask &^ l.yieldedAccelerators(r, req)
	}
	if want := shop.Mask(req.GetAccelerators()); want != 0 {
		return want, want&^allowed == 0 && want&kept == 0
	}
	var out shop.Mask
	for _, tier := range []shop.Mask{own &^ taken, unowned &^ taken, ^taken, own &^ kept, ^kept} {
		out |= (tier & allowed &^ out).First(n - out.Len())
	}
	return out, out.Len() == n
}

// yieldedAccelerators returns the accelerators that a record gives up for a request.
func (l *Allocator) yieldedAccelerators(r *record, req *sniperillv1.HoldRequest) shop.Mask {
	team := req.GetJob().GetTeam()
	var out shop.Mask
	if r.preemptible && r.job.GetTeam() != team {
		out |= l.owned(team)
	}
	others := ^l.owned(r.job.GetTeam())
	if r.job.GetTeam() == team {
		others = ^shop.Mask(0)
	}
	if r.state == Held && r.rank < req.GetRank() {
		out |= others
	}
	if r.preemptible && inEvictList(r, req.GetEvict()) {
		out |= others
	}
	return out
}

func inEvictList(r *record, evict []*sniperillv1.Attempt) bool {
	return slices.ContainsFunc(evict, func(a *sniperillv1.Attempt) bool {
		return a.GetJob() == r.attempt.GetJob() && r.isAttempt(a)
	})
}

// overlapping returns the records of other jobs that stand on some of the accelerators.
func (l *Allocator) overlapping(mask shop.Mask, req *sniperillv1.HoldRequest) []*record {
	var out []*record
	for _, r := range l.active {
		if r.job.GetId() != req.GetJob().GetId() && r.mask&mask != 0 {
			out = append(out, r)
		}
	}
	return out
}

// addVictims adds to the victims until cores and memory suffice. An owner takes
// them from borrowers, the newest first; others from those that give way anyway.
func (l *Allocator) addVictims(f *fit, req *sniperillv1.HoldRequest) bool {
	cores, memory := l.Cores-f.cores, int64(l.Memory)-int64(f.memory)
	var more []*record
	for _, r := range l.active {
		if r.job.GetId() == req.GetJob().GetId() || slices.Contains(f.victims, r) {
			continue
		}
		cores -= r.cores
		memory -= int64(r.memory)
		if l.yieldsAll(r, f.mask, req) {
			more = append(more, r)
		}
	}
	slices.SortFunc(more, func(a, b *record) int {
		return cmp.Or(b.started.Compare(a.started), cmp.Compare(a.job.GetId(), b.job.GetId()))
	})
	for _, r := range more {
		if cores >= 0 && memory >= 0 {
			break
		}
		cores += r.cores
		memory += int64(r.memory)
		f.victims = append(f.victims, r)
	}
	return cores >= 0 && memory >= 0
}

// yieldsAll says whether a record gives up all it has for a request.
func (l *Allocator) yieldsAll(r *record, mask shop.Mask, req *sniperillv1.HoldRequest) bool {
	home := r.mask & l.owned(r.job.GetTeam())
	if home != 0 && r.job.GetTeam() != req.GetJob().GetTeam() {
		return false
	}
	owner := mask != 0 && mask&^l.owned(req.GetJob().GetTeam()) == 0
	if owner && r.preemptible && r.job.GetTeam() != req.GetJob().GetTeam() {
		return true
	}
	if r.state == Held && r.rank < req.GetRank() {
		return true
	}
	return r.preemptible && inEvictList(r, req.GetEvict())
}

// preservesOwnerShares says whether work that can't be preempted leaves each other
// owner the cores and memory that go with its accelerators.
func (l *Allocator) preservesOwnerShares(f fit, team string) bool {
	if l.Accelerators == 0 {
		return true
	}
	cores, memory := f.cores, f.memory
	fixed := map[string]*record{}
	for _, r := range l.active {
		if r.preemptible || slices.Contains(f.victims, r) {
			continue
		}
		cores += r.cores
		memory += r.memory
		sum := fixed[r.job.GetTeam()]
		if sum == nil {
			sum = &record{}
			fixed[r.job.GetTeam()] = sum
		}
		sum.cores += r.cores
		sum.memory += r.memory
	}
	shares := map[string]int{}
	for _, o := range l.owners {
		if o.GetTeam() != "" && o.GetTeam() != team {
			shares[o.GetTeam()]++
		}
	}
	for owner, n := range shares {
		used := fixed[owner]
		if used == nil {
			used = &record{}
		}
		cores += max(0, n*l.Cores/l.Accelerators-used.cores)
		memory += max(0, shop.Bytes(n)*l.Memory/shop.Bytes(l.Accelerators)-min(used.memory, shop.Bytes(n)*l.Memory/shop.Bytes(l.Accelerators)))
	}
	return cores <= l.Cores && memory <= l.Memory
}
