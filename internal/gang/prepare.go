package gang

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Prepare readies a held attempt to run. Borrowers leave only now, once every
// agent of the gang holds, so that a gang that fails to hold costs them nothing.
func (l *Allocator) Prepare(ctx context.Context, req *sniperillv1.PrepareRequest) (*sniperillv1.PrepareResponse, error) {
	if len(req.GetMembers()) == 0 {
		return nil, fmt.Errorf("gang.Ledger.Prepare: no members: %w", shop.ErrInvalid)
	}
	now := l.lockAndExpire()
	r, reason := l.findPreparable(req)
	if reason != "" || r.state != Held {
		l.mu.Unlock()
		return &sniperillv1.PrepareResponse{Prepared: reason == "", Reason: reason}, nil
	}
	r.deadline = now.Add(l.Times.PrepareTimeout)
	victims := slices.Clone(r.victims)
	l.mu.Unlock()
	l.evict(ctx, victims)
	now = l.lockAndExpire()
	defer l.mu.Unlock()
	if r.state != Held && r.state != Prepared {
		return &sniperillv1.PrepareResponse{Reason: "hold was lost: " + r.reason}, nil
	}
	if slices.ContainsFunc(r.victims, (*record).occupiesResources) {
		return &sniperillv1.PrepareResponse{Reason: "borrowers are still leaving"}, nil
	}
	r.victims = nil
	r.state = Prepared
	r.deadline = now.Add(l.Times.PrepareTimeout)
	r.members = req.GetMembers()
	r.lead = r.members[0].GetAgent() == l.Name
	r.checkpoint = req.GetCheckpoint()
	l.markChanged()
	return &sniperillv1.PrepareResponse{Prepared: true}, nil
}

// findPreparable returns the record to prepare, or the reason why there is none.
func (l *Allocator) findPreparable(req *sniperillv1.PrepareRequest) (*record, string) {
	r := l.find(req.GetAttempt())
	if r == nil {
		return nil, "not held"
	}
	if r.state.Final() {
		return nil, "attempt has ended here"
	}
	self := slices.ContainsFunc(req.GetMembers(), func(m *sniperillv1.Member) bool {
		return m.GetAgent() == l.Name && m.GetIncarnation() == l.Incarnation
	})
	if !self {
		return nil, "not a member in this incarnation"
	}
	return r, ""
}

// evict preempts borrowers at the same time and waits for them.
func (l *Allocator) evict(ctx context.Context, victims []*record) {
	var all sync.WaitGroup
	for _, v := range victims {
		all.Go(func() { l.preempt(ctx, v, l.Times.MaxGrace) })
	}
	all.Wait()
}
