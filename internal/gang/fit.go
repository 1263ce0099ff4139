package gang

import (
	"cmp"
	"slices"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// fit is the set of resources that a hold would get on the worker, with the
// records to evict for it, or the reason why the hold does not fit.
type fit struct {
	mask    shop.Mask
	cores   int
	memory  shop.Bytes
	victims []*record
	reason  string
}

// fit selects resources for a hold. It takes free accelerators first, then those
// of records that can be evicted.
func (a *Allocator) fit(req *sniperillv1.HoldRequest) fit {
	shape, tasks := req.GetJob().GetShape(), int(req.GetTasks())
	f := fit{
		cores:  tasks * int(shape.GetCores()),
		memory: shop.Bytes(uint64(tasks) * shape.GetMemoryBytes()),
	}
	var ok bool
	f.mask, ok = a.chooseAccelerators(req, tasks*int(shape.GetAccelerators()))
	if !ok {
		f.reason = "no room: accelerators"
		return f
	}
	f.victims = a.overlapping(f.mask, req)
	if !a.addVictims(&f, req) {
		f.reason = "no room: cores or memory"
		return f
	}
	if !req.GetPreemptible() && !a.preservesOwnerShares(f, req.GetJob().GetTeam()) {
		f.reason = "no room: kept for the owners of accelerators"
	}
	return f
}

// chooseAccelerators returns n accelerators for the request and whether there are
// as many. Free accelerators come first (those that the team owns, those without an
// owner, any others), then those that other records yield (owned by the team, any
// others). A request that names its accelerators gets those.
func (a *Allocator) chooseAccelerators(req *sniperillv1.HoldRequest, n int) (shop.Mask, bool) {
	team := req.GetJob().GetTeam()
	own, unowned := a.owned(team), a.owned("")
	allowed := own | unowned
	if req.GetPreemptible() {
		allowed = shop.MaskOf(a.Accelerators)
	}
	var taken, unavailable shop.Mask
	for _, r := range a.active {
		if r.job.GetId() == req.GetJob().GetId() {
			continue
		}
		taken |= r.mask
		unavailable |= r.mask &^ a.yieldedAccelerators(r, req)
	}
	if want := shop.Mask(req.GetAccelerators()); want != 0 {
		return want, want&^allowed == 0 && want&unavailable == 0
	}
	var out shop.Mask
	for _, tier := range []shop.Mask{own &^ taken, unowned &^ taken, ^taken, own &^ unavailable, ^unavailable} {
		out |= (tier & allowed &^ out).First(n - out.Len())
	}
	return out, out.Len() == n
}

// yieldedAccelerators returns the accelerators that may be taken from a record for
// a request.
func (a *Allocator) yieldedAccelerators(r *record, req *sniperillv1.HoldRequest) shop.Mask {
	team := req.GetJob().GetTeam()
	var out shop.Mask
	if r.preemptible && r.job.GetTeam() != team {
		out |= a.owned(team)
	}
	others := ^a.owned(r.job.GetTeam())
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
	return slices.ContainsFunc(evict, func(attempt *sniperillv1.Attempt) bool {
		return attempt.GetJob() == r.attempt.GetJob() && r.isAttempt(attempt)
	})
}

// overlapping returns the records of other jobs that use any of the accelerators.
func (a *Allocator) overlapping(mask shop.Mask, req *sniperillv1.HoldRequest) []*record {
	var out []*record
	for _, r := range a.active {
		if r.job.GetId() != req.GetJob().GetId() && r.mask&mask != 0 {
			out = append(out, r)
		}
	}
	return out
}

// addVictims adds records to f.victims until cores and memory suffice, the most
// recently started first, and reports whether they do. An owner of the
// accelerators may evict any borrower, other requests only the records that
// yieldsAll allows.
func (a *Allocator) addVictims(f *fit, req *sniperillv1.HoldRequest) bool {
	cores, memory := a.Cores-f.cores, int64(a.Memory)-int64(f.memory)
	var candidates []*record
	for _, r := range a.active {
		if r.job.GetId() == req.GetJob().GetId() || slices.Contains(f.victims, r) {
			continue
		}
		cores -= r.cores
		memory -= int64(r.memory)
		if a.yieldsAll(r, f.mask, req) {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(x, y *record) int {
		return cmp.Or(y.started.Compare(x.started), cmp.Compare(x.job.GetId(), y.job.GetId()))
	})
	for _, r := range candidates {
		if cores >= 0 && memory >= 0 {
			break
		}
		cores += r.cores
		memory += int64(r.memory)
		f.victims = append(f.victims, r)
	}
	return cores >= 0 && memory >= 0
}

// yieldsAll reports whether all resources of a record may be taken for a request.
func (a *Allocator) yieldsAll(r *record, mask shop.Mask, req *sniperillv1.HoldRequest) bool {
	ownedPart := r.mask & a.owned(r.job.GetTeam())
	if ownedPart != 0 && r.job.GetTeam() != req.GetJob().GetTeam() {
		return false
	}
	owner := mask != 0 && mask&^a.owned(req.GetJob().GetTeam()) == 0
	if owner && r.preemptible && r.job.GetTeam() != req.GetJob().GetTeam() {
		return true
	}
	if r.state == Held && r.rank < req.GetRank() {
		return true
	}
	return r.preemptible && inEvictList(r, req.GetEvict())
}

// preservesOwnerShares reports whether non-preemptible work, including f, leaves
// every other owner the share of cores and memory that belongs to its accelerators.
func (a *Allocator) preservesOwnerShares(f fit, team string) bool {
	if a.Accelerators == 0 {
		return true
	}
	cores, memory := f.cores, f.memory
	nonPreemptible := map[string]*record{}
	for _, r := range a.active {
		if r.preemptible || slices.Contains(f.victims, r) {
			continue
		}
		cores += r.cores
		memory += r.memory
		sum := nonPreemptible[r.job.GetTeam()]
		if sum == nil {
			sum = &record{}
			nonPreemptible[r.job.GetTeam()] = sum
		}
		sum.cores += r.cores
		sum.memory += r.memory
	}
	shares := map[string]int{}
	for _, o := range a.owners {
		if o.GetTeam() != "" && o.GetTeam() != team {
			shares[o.GetTeam()]++
		}
	}
	for owner, n := range shares {
		used := nonPreemptible[owner]
		if used == nil {
			used = &record{}
		}
		cores += max(0, n*a.Cores/a.Accelerators-used.cores)
		memory += max(0, shop.Bytes(n)*a.Memory/shop.Bytes(a.Accelerators)-min(used.memory, shop.Bytes(n)*a.Memory/shop.Bytes(a.Accelerators)))
	}
	return cores <= a.Cores && memory <= a.Memory
}
