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

// shortRetry is when to ask again after a refusal that may pass quickly.
const shortRetry = 250 * time.Millisecond

// Hold sets resources aside for all the tasks it asks for, or for none. A repeat
// for the same attempt changes nothing and gets the same answer.
func (l *Allocator) Hold(_ context.Context, req *sniperillv1.HoldRequest) (*sniperillv1.HoldResponse, error) {
	if err := checkHold(req); err != nil {
		return nil, fmt.Errorf("gang.Ledger.Hold: %w", err)
	}
	now := l.lockAndExpire()
	defer l.mu.Unlock()
	if r := l.find(req.GetAttempt()); r != nil && !r.state.Final() {
		return l.heldResponse(r), nil
	}
	if reason := l.refusalReason(req, now); reason != "" {
		return l.refusedResponse(reason, shortRetry), nil
	}
	f := l.fit(req)
	if f.reason != "" {
		return l.refusedResponse(f.reason, l.retryAfter()), nil
	}
	r := l.hold(req, f, now)
	return l.heldResponse(r), nil
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

// refusalReason returns why no hold is given for this attempt, whatever is free.
func (l *Allocator) refusalReason(req *sniperillv1.HoldRequest, now time.Time) string {
	number := req.GetAttempt().GetNumber()
	h := l.histories[req.GetJob().GetId()]
	r := l.records[req.GetJob().GetId()]
	switch {
	case l.leaving:
		return "agent is leaving"
	case !l.workerStateKnown(now):
		return "agent is recovering"
	case h != nil && number <= h.highestClosed:
		return "attempt has ended here"
	case h != nil && number < h.highestHeld:
		return "a newer attempt is known here"
	case r != nil && r.state == Done && r.lead:
		return "job is done"
	case r != nil && r.occupiesResources() && (r.state == Running || r.stopping):
		return "an earlier attempt still runs"
	case l.historiesFull(now):
		return "too many jobs remembered"
	}
	return ""
}

// hold records a hold that fits.
func (l *Allocator) hold(req *sniperillv1.HoldRequest, f fit, now time.Time) *record {
	job := req.GetJob().GetId()
	if old := l.records[job]; old != nil && !old.state.Final() {
		l.drop(old, "replaced by a newer attempt", now)
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
		deadline:    now.Add(min(req.GetTtl().AsDuration(), l.Times.MaxHold)),
		finalStates: map[string]TaskState{},
		throttled:   map[string]bool{},
		releaseLock: semaphore.NewWeighted(1),
		workerLock:  semaphore.NewWeighted(1),
	}
	for _, v := range f.victims {
		if v.state == Held || v.state == Prepared {
			l.drop(v, "gave way to "+job, now)
			continue
		}
		r.victims = append(r.victims, v)
	}
	h := l.history(job, now)
	h.highestHeld = max(h.highestHeld, r.attempt.GetNumber())
	l.records[job] = r
	l.active[job] = r
	l.markChanged()
	return r
}

func (l *Allocator) heldResponse(r *record) *sniperillv1.HoldResponse {
	return &sniperillv1.HoldResponse{
		Held:         true,
		Accelerators: uint64(r.mask),
		Incarnation:  l.Incarnation,
	}
}

func (l *Allocator) refusedResponse(reason string, after time.Duration) *sniperillv1.HoldResponse {
	return &sniperillv1.HoldResponse{
		Reason:      reason,
		RetryAfter:  durationpb.New(after),
		Incarnation: l.Incarnation,
	}
}

// retryAfter returns when asking again makes sense: soon while others only hold or
// prepare, since one of them may give up.
func (l *Allocator) retryAfter() time.Duration {
	for _, r := range l.active {
		if r.state == Held || r.state == Prepared {
			return shortRetry
		}
	}
	return l.Times.Lease
}
