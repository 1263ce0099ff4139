package gang

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// shortRetry is the RetryAfter of a refusal whose cause may end soon.
const shortRetry = 250 * time.Millisecond

// Hold reserves resources for all requested tasks or for none. It is idempotent: a
// repeated request for the same attempt gets the same response.
func (a *Allocator) Hold(_ context.Context, req *sniperillv1.HoldRequest) (*sniperillv1.HoldResponse, error) {
	if err := checkHold(req); err != nil {
		return nil, fmt.Errorf("gang.Ledger.Hold: %w", err)
	}
	now := a.lockAndExpire()
	defer a.mu.Unlock()
	if r := a.find(req.GetAttempt()); r != nil && !r.state.Final() {
		return a.heldResponse(r), nil
	}
	if reason := a.refusalReason(req, now); reason != "" {
		return a.refusedResponse(reason, shortRetry), nil
	}
	f := a.fit(req)
	if f.reason != "" {
		return a.refusedResponse(f.reason, a.retryAfter()), nil
	}
	r := a.hold(req, f, now)
	return a.heldResponse(r), nil
}

func checkHold(req *sniperillv1.HoldRequest) error {
	var problems shop.ProblemList
	if req.GetAttempt().GetJob() == "" || req.GetAttempt().GetJob() != req.GetJob().GetId() {
		problems.Add("attempt.job", req.GetAttempt().GetJob(), "must be the id of the job")
	}
	if req.GetAttempt().GetNumber() == 0 {
		problems.Add("attempt.number", "0", "must be at least 1")
	}
	if req.GetTasks() == 0 {
		problems.Add("tasks", "0", "must be at least 1")
	}
	want := uint64(req.GetTasks()) * uint64(req.GetJob().GetShape().GetAccelerators())
	got := shop.Mask(req.GetAccelerators()).Len()
	if got != 0 && uint64(got) != want {
		problems.Add("accelerators", fmt.Sprint(got), fmt.Sprintf("must be none or %d", want))
	}
	if req.GetTtl().AsDuration() <= 0 {
		problems.Add("ttl", req.GetTtl().AsDuration().String(), "must be positive")
	}
	return problems.Err()
}

// refusalReason returns why a hold for this attempt is refused regardless of free
// resources, or an empty string.
func (a *Allocator) refusalReason(req *sniperillv1.HoldRequest, now time.Time) string {
	number := req.GetAttempt().GetNumber()
	h := a.histories[req.GetJob().GetId()]
	r := a.records[req.GetJob().GetId()]
	switch {
	case a.leaving:
		return "agent is leaving"
	case a.evacuated:
		return "zone is evacuated"
	case !a.workerStateKnown(now):
		return "agent is recovering"
	case h != nil && number <= h.highestClosed:
		return "attempt has ended here"
	case h != nil && number < h.highestHeld:
		return "a newer attempt is known here"
	case r != nil && r.state == Done && r.lead:
		return "job is done"
	case r != nil && r.occupiesResources() && (r.state == Running || r.stopping):
		return "an earlier attempt still runs"
	case a.historiesFull(now):
		return "too many jobs remembered"
	}
	return ""
}

// hold stores a hold for the resources in f. Victims that do not run yet are
// dropped at once; running ones are preempted by Prepare.
func (a *Allocator) hold(req *sniperillv1.HoldRequest, f fit, now time.Time) *record {
	job := req.GetJob().GetId()
	if old := a.records[job]; old != nil && !old.state.Final() {
		a.drop(old, "replaced by a newer attempt", now)
	}
	r := &record{
		attempt:     req.GetAttempt(),
		job:         req.GetJob(),
		tasks:       int(req.GetTasks()),
		mask:        f.mask,
		cores:       f.cores,
		memory:      f.memory,
		rank:        req.GetRank(),
		preemptible: req.GetPreemptible(),
		planner:     req.GetPlanner(),
		state:       Held,
		deadline:    now.Add(min(req.GetTtl().AsDuration(), a.Times.MaxHold)),
		doneTasks:   map[string]TaskState{},
		throttled:   map[string]bool{},
		releaseLock: semaphore.NewWeighted(1),
		workerLock:  semaphore.NewWeighted(1),
	}
	for _, v := range f.victims {
		if v.state == Held || v.state == Prepared {
			a.drop(v, "gave way to "+job, now)
			continue
		}
		r.victims = append(r.victims, v)
	}
	h := a.history(job, now)
	h.highestHeld = max(h.highestHeld, r.attempt.GetNumber())
	a.records[job] = r
	a.active[job] = r
	a.markChanged()
	return r
}

func (a *Allocator) heldResponse(r *record) *sniperillv1.HoldResponse {
	return &sniperillv1.HoldResponse{
		Held:         true,
		Accelerators: uint64(r.mask),
		Incarnation:  a.Incarnation,
	}
}

func (a *Allocator) refusedResponse(reason string, after time.Duration) *sniperillv1.HoldResponse {
	return &sniperillv1.HoldResponse{
		Reason:      reason,
		RetryAfter:  durationpb.New(after),
		Incarnation: a.Incarnation,
	}
}

// retryAfter returns the wait before another request is likely to succeed. It is
// short while some attempt is only held or prepared, as that one may be abandoned.
func (a *Allocator) retryAfter() time.Duration {
	for _, r := range a.active {
		if r.state == Held || r.state == Prepared {
			return shortRetry
		}
	}
	return a.Times.Lease
}
