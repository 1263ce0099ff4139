package gang

import (
	"context"
	"fmt"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Own applies all requested changes of accelerator owners or none. Each change must
// be based on the current version of its accelerator's owner. An accelerator that
// a non-preemptible task uses can only go to the team of that task.
func (a *Allocator) Own(_ context.Context, req *sniperillv1.OwnRequest) (*sniperillv1.OwnResponse, error) {
	a.lockAndExpire()
	defer a.mu.Unlock()
	next := append([]*sniperillv1.AcceleratorOwner(nil), a.owners...)
	for _, o := range req.GetOwners() {
		if int(o.GetAccelerator()) >= len(a.owners) {
			return nil, fmt.Errorf("gang.Ledger.Own: accelerator %d: %w", o.GetAccelerator(), shop.ErrInvalid)
		}
		if !a.ownerChangeAllowed(o) {
			return &sniperillv1.OwnResponse{Owners: a.owners}, nil
		}
		next[o.GetAccelerator()] = &sniperillv1.AcceleratorOwner{
			Accelerator: o.GetAccelerator(),
			Team:        o.GetTeam(),
			Version:     o.GetVersion(),
		}
	}
	a.owners = next
	a.markChanged()
	return &sniperillv1.OwnResponse{Changed: true, Owners: next}, nil
}

// ownerChangeAllowed reports whether one change of owner is allowed. A repeat of the
// last applied change is allowed.
func (a *Allocator) ownerChangeAllowed(o *sniperillv1.AcceleratorOwner) bool {
	i := o.GetAccelerator()
	now := a.owners[i]
	if now.GetVersion() == o.GetVersion() && now.GetTeam() == o.GetTeam() {
		return true
	}
	if now.GetVersion() != o.GetBase() || o.GetVersion() <= o.GetBase() {
		return false
	}
	if o.GetTeam() == "" {
		return true
	}
	for _, r := range a.active {
		if r.mask.Has(int(i)) && !r.preemptible && r.job.GetTeam() != o.GetTeam() {
			return false
		}
	}
	return true
}

// owned returns the accelerators that a team owns; those without an owner have the
// empty team.
func (a *Allocator) owned(team string) shop.Mask {
	var m shop.Mask
	for i, o := range a.owners {
		if o.GetTeam() == team {
			m |= 1 << i
		}
	}
	return m
}

func (a *Allocator) ownerVersion() uint64 {
	var v uint64
	for _, o := range a.owners {
		v = max(v, o.GetVersion())
	}
	return v
}
