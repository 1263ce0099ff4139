package gang

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Prepare makes a held attempt ready to start. Borrowers are preempted only here,
// when every agent of the gang has granted its hold, so that a gang that fails to
// get its holds does not disturb them.
func (a *Allocator) Prepare(ctx context.Context, req *sniperillv1.PrepareRequest) (*sniperillv1.PrepareResponse, error) {
	if len(req.GetMembers()) == 0 {
		return nil, fmt.Errorf("gang.Ledger.Prepare: no members: %w", shop.ErrInvalid)
	}
	now := a.lockAndExpire()
	r, reason := a.findPreparable(req)
	if reason != "" || r.state != Held {
		a.mu.Unlock()
		return &sniperillv1.PrepareResponse{Prepared: reason == "", Reason: reason}, nil
	}
	r.deadline = now.Add(a.Times.PrepareTimeout)
	victims := slices.Clone(r.victims)
	a.mu.Unlock()
	a.evict(ctx, victims)
	now = a.lockAndExpire()
	defer a.mu.Unlock()
	if r.state != Held && r.state != Prepared {
		return &sniperillv1.PrepareResponse{Reason: "hold was lost: " + r.reason}, nil
	}
	if slices.ContainsFunc(r.victims, (*record).occupiesResources) {
		return &sniperillv1.PrepareResponse{Reason: "borrowers are still leaving"}, nil
	}
	r.victims = nil
	r.state = Prepared
	r.deadline = now.Add(a.Times.PrepareTimeout)
	r.members = req.GetMembers()
	r.lead = r.members[0].GetAgent() == a.Name
	r.checkpoint = req.GetCheckpoint()
	a.markChanged()
	return &sniperillv1.PrepareResponse{Prepared: true}, nil
}

// findPreparable returns the record to prepare, or the reason why it can't be
// prepared.
func (a *Allocator) findPreparable(req *sniperillv1.PrepareRequest) (*record, string) {
	r := a.find(req.GetAttempt())
	if r == nil {
		return nil, "not held"
	}
	if r.state.Final() {
		return nil, "attempt has ended here"
	}
	self := slices.ContainsFunc(req.GetMembers(), func(m *sniperillv1.Member) bool {
		return m.GetAgent() == a.Name && m.GetIncarnation() == a.Incarnation
	})
	if !self {
		return nil, "not a member in this incarnation"
	}
	return r, ""
}

// evict preempts the victims concurrently and waits until all calls have returned.
func (a *Allocator) evict(ctx context.Context, victims []*record) {
	var wg sync.WaitGroup
	for _, v := range victims {
		wg.Go(func() { a.preempt(ctx, v, a.Times.MaxGrace) })
	}
	wg.Wait()
}
