package gang

import (
	"context"
	"fmt"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Own changes the owners of accelerators, all or none, when each change is based
// on the version in force. An accelerator under a task that can't be preempted
// goes to no other team than the task's.
func (l *Allocator) Own(_ context.Context, req *sniperillv1.OwnRequest) (*sniperillv1.OwnResponse, error) {
	l.lockAndExpire()
	defer l.mu.Unlock()
	next := append([]*sniperillv1.AcceleratorOwner(nil), l.owners...)
	for _, o := range req.GetOwners() {
		if int(o.GetAccelerator()) >= len(l.owners) {
			return nil, fmt.Errorf("gang.Ledger.Own: accelerator %d: %w", o.GetAccelerator(), shop.ErrInvalid)
		}
		if !l.ownerChangeAllowed(o) {
			return &sniperillv1.OwnResponse{Owners: l.owners}, nil
		}
		next[o.GetAccelerator()] = &sniperillv1.AcceleratorOwner{
			Accelerator: o.GetAccelerator(),
			Team:        o.GetTeam(),
			Version:     o.GetVersion(),
		}
	}
	l.owners = next
	l.markChanged()
	return &sniperillv1.OwnResponse{Changed: true, Owners: next}, nil
}

// ownerChangeAllowed says whether one change of owner is allowed. A repeat of the change in
// force is.
func (l *Allocator) ownerChangeAllowed(o *sniperillv1.AcceleratorOwner) bool {
	i := o.GetAccelerator()
	now := l.owners[i]
	if now.GetVersion() == o.GetVersion() && now.GetTeam() == o.GetTeam() {
		return true
	}
	if now.GetVersion() != o.GetBase() || o.GetVersion() <= o.GetBase() {
		return false
	}
	if o.GetTeam() == "" {
		return true
	}
	for _, r := range l.active {
		if r.mask.Has(int(i)) && !r.preemptible && r.job.GetTeam() != o.GetTeam() {
			return false
		}
	}
	return true
}

// owned returns the accelerators that a team owns.
func (l *Allocator) owned(team string) shop.Mask {
	var m shop.Mask
	for i, o := range l.owners {
		if o.GetTeam() == team {
			m |= 1 << i
		}
	}
	return m
}

func (l *Allocator) ownerVersion() uint64 {
	var v uint64
	for _, o := range l.owners {
		v = max(v, o.GetVersion())
	}
	return v
}
