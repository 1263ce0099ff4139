package gang

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Outcome is the result of an attempt as far as it is known after Start.
type Outcome string

// Outcomes of Start.
const (
	// Started means that every member was released.
	Started Outcome = "started"
	// NotRun means that no task of the attempt has run or ever will.
	NotRun Outcome = "not-run"
	// Ended means that the attempt may have run and that no task of it runs now.
	Ended Outcome = "over"
	// Unknown means that the attempt may still run, at most for Result.Wait if that
	// is not zero.
	Unknown Outcome = "unknown"
)

// Part is the share of a gang that one agent is asked to run.
type Part struct {
	Member       *sniperillv1.Member // Has the agent's incarnation that the plan is based on.
	Tasks        int
	Accelerators shop.Mask // If zero, the agent chooses.
	Evict        []*sniperillv1.Attempt
}

// PartList has the parts of a whole gang.
type PartList []Part

// Members returns the agents of the parts.
func (l PartList) Members() []*sniperillv1.Member {
	out := make([]*sniperillv1.Member, len(l))
	for i, p := range l {
		out[i] = p.Member
	}
	return out
}

// Plan is one attempt at starting a job.
type Plan struct {
	Attempt     *sniperillv1.Attempt
	Job         *sniperillv1.Job
	Parts       PartList
	Rank        uint64 // A plan may displace holds of plans with a lower rank.
	Preemptible bool
	Checkpoint  []byte
	Planner     string
}

// Result is the result of Start for a Plan.
type Result struct {
	Outcome Outcome
	Reason  string
	// Agent is the agent that refused the hold, if one did.
	Agent string
	// RetryAfter is the time to wait before another attempt.
	RetryAfter time.Duration
	// Wait is how long tasks of an attempt with outcome Unknown may still run, if
	// a member answered. Zero means that no member did.
	Wait time.Duration
	// Members are in the order of their holds; the first is the lead.
	Members []*sniperillv1.Member
}

// Starter starts gangs for an entry. Its fields must be set before the first Start.
type Starter struct {
	Times Times

	Hold    func(context.Context, *sniperillv1.Member, *sniperillv1.HoldRequest) (*sniperillv1.HoldResponse, error)
	Prepare func(context.Context, *sniperillv1.Member, *sniperillv1.PrepareRequest) (*sniperillv1.PrepareResponse, error)
	Release func(context.Context, *sniperillv1.Member, *sniperillv1.ReleaseRequest) (*sniperillv1.ReleaseResponse, error)
	Renew   func(context.Context, *sniperillv1.Member, *sniperillv1.RenewRequest) (*sniperillv1.RenewResponse, error)
	Abandon func(context.Context, *sniperillv1.Member, *sniperillv1.AbandonRequest) (*sniperillv1.AbandonResponse, error)
}

// maxTries limits how often a call is made that gets no answer.
const maxTries = 3

// maxHoldWait limits the wait for resources of one agent.
const maxHoldWait = time.Second

// Start gets a hold from each agent in the order of their names, has all of them
// prepare, and asks the first one to release the gang. Either the whole gang starts
// or none of it: the error tells which step failed, and the Result whether the
// attempt ran.
func (s Starter) Start(ctx context.Context, p Plan) (Result, error) {
	s.Times.SetDefaults()
	p.Parts = slices.Clone(p.Parts)
	slices.SortFunc(p.Parts, func(a, b Part) int { return compareByAgent(a.Member, b.Member) })
	if len(p.Parts) == 0 {
		return Result{Outcome: NotRun}, fmt.Errorf("gang.Starter.Start: no parts: %w", shop.ErrInvalid)
	}
	res := Result{Members: p.Parts.Members()}
	err := s.hold(ctx, p, &res)
	if err == nil {
		err = s.prepare(ctx, p, &res)
	}
	if err != nil {
		// Only the release below starts an attempt, and it was not sent.
		res.Outcome = NotRun
		s.abandon(ctx, p.Attempt, res.Members, err.Error())
		return res, fmt.Errorf("gang.Starter.Start: %w: %w", shop.ErrNotRun, err)
	}
	if err := s.release(ctx, p, &res); err != nil {
		return res, fmt.Errorf("gang.Starter.Start: %w", err)
	}
	return res, nil
}

// compareByAgent orders the members for their holds; the first one is the lead.
func compareByAgent(a, b *sniperillv1.Member) int { return cmp.Compare(a.GetAgent(), b.GetAgent()) }

// hold asks one agent after the other. Competing planners conflict at the first
// agent that they share, so one of them makes progress.
func (s Starter) hold(ctx context.Context, p Plan, res *Result) error {
	for _, part := range p.Parts {
		req := &sniperillv1.HoldRequest{
			Attempt:      p.Attempt,
			Job:          p.Job,
			Tasks:        uint32(part.Tasks),
			Accelerators: uint64(part.Accelerators),
			Ttl:          durationpb.New(s.Times.MaxHold),
			Rank:         p.Rank,
			Evict:        part.Evict,
			Preemptible:  p.Preemptible,
			Planner:      p.Planner,
		}
		resp, err := s.holdPart(ctx, part.Member, req)
		res.Agent = part.Member.GetAgent()
		if err != nil {
			return fmt.Errorf("%w: %s: %w", ErrRefused, res.Agent, err)
		}
		res.Reason, res.RetryAfter = resp.GetReason(), resp.GetRetryAfter().AsDuration()
		if !resp.GetHeld() {
			return fmt.Errorf("%w: %s: %s", ErrRefused, res.Agent, res.Reason)
		}
		if resp.GetIncarnation() != part.Member.GetIncarnation() {
			res.Reason = "agent has restarted since the plan"
			return fmt.Errorf("%w: %s: %s", ErrRefused, res.Agent, res.Reason)
		}
	}
	res.Agent = ""
	return nil
}

// holdPart asks one agent for a hold. It retries for up to maxHoldWait if resources
// may soon become free, as they do when a competing planner fails to get all its
// holds. Waiting can't deadlock, because all planners ask agents in the same order.
func (s Starter) holdPart(ctx context.Context, m *sniperillv1.Member, req *sniperillv1.HoldRequest) (*sniperillv1.HoldResponse, error) {
	for waited := time.Duration(0); ; {
		resp, err := retry(ctx, s, m, req, s.Hold)
		wait := resp.GetRetryAfter().AsDuration()
		if err != nil || resp.GetHeld() || wait > shortRetry || waited >= maxHoldWait {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
			waited += wait
		}
	}
}

// prepare asks all agents concurrently to prepare.
func (s Starter) prepare(ctx context.Context, p Plan, res *Result) error {
	req := &sniperillv1.PrepareRequest{Attempt: p.Attempt, Members: res.Members, Checkpoint: p.Checkpoint}
	wg, ctx := errgroup.WithContext(ctx)
	for _, m := range res.Members {
		wg.Go(func() error {
			resp, err := retryWithTimeout(ctx, s, s.Times.PrepareTimeout, m, req, s.Prepare)
			if err != nil {
				return fmt.Errorf("%w: %s: %w", ErrNotPrepared, m.GetAgent(), err)
			}
			if !resp.GetPrepared() {
				return fmt.Errorf("%w: %s: %s", ErrNotPrepared, m.GetAgent(), resp.GetReason())
			}
			return nil
		})
	}
	return wg.Wait()
}

// release asks the lead to start the gang. If that fails or gets no answer, it
// determines whether the attempt runs.
func (s Starter) release(ctx context.Context, p Plan, res *Result) error {
	req := &sniperillv1.ReleaseRequest{Attempt: p.Attempt, Lease: durationpb.New(s.Times.Lease)}
	resp, err := retryWithTimeout(ctx, s, s.Times.PrepareTimeout, res.Members[0], req, s.Release)
	if err == nil && resp.GetReleased() {
		res.Outcome = Started
		return nil
	}
	if err == nil {
		res.Reason = resp.GetReason()
		err = errors.New(res.Reason)
	}
	err = fmt.Errorf("%w: %s: %w", ErrNotReleased, res.Members[0].GetAgent(), err)
	return s.resolve(ctx, p, res, err)
}

// resolve determines the outcome of an attempt whose release failed or got no
// answer. Unless the lead runs it, the attempt is abandoned.
func (s Starter) resolve(ctx context.Context, p Plan, res *Result, cause error) error {
	req := &sniperillv1.RenewRequest{Attempt: p.Attempt} // Without a lease it only asks for the state.
	resp, err := retry(ctx, s, res.Members[0], req, s.Renew)
	state := TaskState(resp.GetState())
	if err == nil && (state == Running || state == Done) {
		res.Outcome = Started
		return nil
	}
	end := s.abandon(ctx, p.Attempt, res.Members, cause.Error())
	switch {
	case end.neverRan:
		res.Outcome = NotRun
		return fmt.Errorf("%w: %w", shop.ErrNotRun, cause)
	case end.stopped:
		res.Outcome = Ended
		return cause
	}
	res.Outcome = Unknown
	if end.answered {
		res.Wait = s.Times.ExpireAfter()
	}
	return fmt.Errorf("%w: %w", ErrMayStillRun, cause)
}

// EndResult is the state of an attempt as far as it is known after EndAttempt.
type EndResult struct {
	Outcome Outcome
	// Wait is how long tasks of the attempt may still run.
	Wait time.Duration
}

// EndAttempt ends an attempt at all its members, so that the next one may start
// after EndResult.Wait. One member that answers is enough, because a gang neither
// starts nor continues unless all members run. If no member answers, EndAttempt
// returns ErrMayStillRun.
func (s Starter) EndAttempt(ctx context.Context, a *sniperillv1.Attempt, members []*sniperillv1.Member) (EndResult, error) {
	s.Times.SetDefaults()
	end := s.abandon(ctx, a, members, "settled")
	switch {
	case end.neverRan:
		return EndResult{Outcome: NotRun}, nil
	case end.stopped:
		return EndResult{Outcome: Ended}, nil
	case end.answered:
		return EndResult{Outcome: Unknown, Wait: s.Times.ExpireAfter()}, nil
	}
	return EndResult{Outcome: Unknown}, fmt.Errorf("gang.Starter.Settle: %s/%d: %w", a.GetJob(), a.GetNumber(), ErrMayStillRun)
}

// abandonResult summarizes what the members of an abandoned attempt answered.
type abandonResult struct {
	neverRan bool // The attempt has not run on any member and never will.
	stopped  bool // All members have confirmed that none of its tasks runs.
	answered bool // At least one member has answered and will never start it.
}

// abandon ends an attempt at all members concurrently, even if ctx is done.
func (s Starter) abandon(ctx context.Context, a *sniperillv1.Attempt, members []*sniperillv1.Member, reason string) abandonResult {
	ctx = context.WithoutCancel(ctx)
	members = slices.SortedFunc(slices.Values(members), compareByAgent)
	req := &sniperillv1.AbandonRequest{Attempt: a, Reason: reason}
	never := make([]bool, len(members))
	stopped := make([]bool, len(members))
	var wg errgroup.Group
	for i, m := range members {
		wg.Go(func() error {
			resp, err := retry(ctx, s, m, req, s.Abandon)
			never[i], stopped[i] = resp.GetNeverRan(), err == nil
			return nil
		})
	}
	_ = wg.Wait()
	out := abandonResult{
		neverRan: !slices.Contains(never, false),
		stopped:  !slices.Contains(stopped, false),
		answered: slices.Contains(stopped, true),
	}
	// No member starts before the lead runs the attempt, so the lead's answer suffices.
	out.neverRan = out.neverRan || len(never) > 0 && never[0]
	return out
}

// call is the type of the functions in Starter that send one message to a member.
type call[Req, Resp any] func(context.Context, *sniperillv1.Member, Req) (Resp, error)

// retry repeats a call that got no answer. All messages are idempotent.
func retry[Req, Resp any](ctx context.Context, s Starter, m *sniperillv1.Member, req Req, f call[Req, Resp]) (Resp, error) {
	return retryWithTimeout(ctx, s, s.Times.CallTimeout, m, req, f)
}

// retryWithTimeout is retry with a given time limit for each call.
func retryWithTimeout[Req, Resp any](ctx context.Context, _ Starter, timeout time.Duration, m *sniperillv1.Member, req Req, f call[Req, Resp]) (Resp, error) {
	var resp Resp
	var err error
	for range maxTries {
		resp, err = callOnce(ctx, timeout, m, req, f)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return resp, err
}

func callOnce[Req, Resp any](ctx context.Context, timeout time.Duration, m *sniperillv1.Member, req Req, f call[Req, Resp]) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx, m, req)
}
