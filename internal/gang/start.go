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

// Outcome is what is known of an attempt after Start.
type Outcome string

// Outcomes of Start.
const (
	// Started says that every member was released.
	Started Outcome = "started"
	// NotRun says that no task of the attempt ran or ever will.
	NotRun Outcome = "not-run"
	// Ended says that the attempt may have run, and that nothing of it runs now.
	Ended Outcome = "over"
	// Unknown says that the attempt may run, at the longest for Result.Until.
	Unknown Outcome = "unknown"
)

// Part is what one agent is asked to run of a gang.
type Part struct {
	Member       *sniperillv1.Member // With the incarnation that the plan is based on.
	Tasks        int
	Accelerators shop.Mask // Zero lets the agent choose.
	Evict        []*sniperillv1.Attempt
}

// PartList is a whole gang.
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
	Rank        uint64 // Against other plans; the lower one gives way.
	Preemptible bool
	Checkpoint  []byte
	Planner     string
}

// Result is what became of a Plan.
type Result struct {
	Outcome Outcome
	Reason  string
	// Agent that refused, if one did.
	Agent string
	// RetryAfter is when another attempt makes sense.
	RetryAfter time.Duration
	// Wait is when an unknown attempt is over; zero when no member answered.
	Wait time.Duration
	// Members in the order of their holds; the first is the lead.
	Members []*sniperillv1.Member
}

// Starter starts gangs for an entry. Its fields are set before the first Start.
type Starter struct {
	Times Times

	Hold    func(context.Context, *sniperillv1.Member, *sniperillv1.HoldRequest) (*sniperillv1.HoldResponse, error)
	Prepare func(context.Context, *sniperillv1.Member, *sniperillv1.PrepareRequest) (*sniperillv1.PrepareResponse, error)
	Release func(context.Context, *sniperillv1.Member, *sniperillv1.ReleaseRequest) (*sniperillv1.ReleaseResponse, error)
	Renew   func(context.Context, *sniperillv1.Member, *sniperillv1.RenewRequest) (*sniperillv1.RenewResponse, error)
	Abandon func(context.Context, *sniperillv1.Member, *sniperillv1.AbandonRequest) (*sniperillv1.AbandonResponse, error)
}

// maxTries bounds how often a call without an answer is repeated.
const maxTries = 3

// maxHoldWait bounds the wait for one agent's room.
const maxHoldWait = time.Second

// Start holds at each agent in the order of their names, prepares them all, and
// has the first release the gang. It fails whole: the error tells the step and
// the Result whether the attempt ran.
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
		// Only Start releases an attempt, and it has not.
		res.Outcome = NotRun
		s.abandon(ctx, p.Attempt, res.Members, err.Error())
		return res, fmt.Errorf("gang.Starter.Start: %w: %w", shop.ErrNotRun, err)
	}
	if err := s.release(ctx, p, &res); err != nil {
		return res, fmt.Errorf("gang.Starter.Start: %w", err)
	}
	return res, nil
}

// compareByAgent is the order of holds; the first of the members is the lead.
func compareByAgent(a, b *sniperillv1.Member) int { return cmp.Compare(a.GetAgent(), b.GetAgent()) }

// hold asks one agent after the other. Planners that race meet at the first
// agent that they share, so one of them gets on.
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

// holdPart asks one agent, again for a while when its room may soon come free: a
// planner that lost a race gives up what it holds. Waiting can't deadlock, for
// all planners wait in the same order of agents.
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

// prepare asks all agents at the same time.
func (s Starter) prepare(ctx context.Context, p Plan, res *Result) error {
	req := &sniperillv1.PrepareRequest{Attempt: p.Attempt, Members: res.Members, Checkpoint: p.Checkpoint}
	all, ctx := errgroup.WithContext(ctx)
	for _, m := range res.Members {
		all.Go(func() error {
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
	return all.Wait()
}

// release has the lead start the gang, and finds out what became of it when the
// answer is lost.
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

// resolve ends an attempt whose release failed or got no answer.
func (s Starter) resolve(ctx context.Context, p Plan, res *Result, cause error) error {
	ask := &sniperillv1.RenewRequest{Attempt: p.Attempt}
	resp, err := retry(ctx, s, res.Members[0], ask, s.Renew)
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

// EndResult is what is known of an attempt after Settle.
type EndResult struct {
	Outcome Outcome
	// Wait is how long something of the attempt may go on running.
	Wait time.Duration
}

// EndAttempt ends an attempt at all its members, so that the next may begin after
// Settlement.Wait. One member that answers is enough, since no gang starts or
// goes on without all; ErrUnsettled says that none did.
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

// abandonResult is what the members say of an abandoned attempt.
type abandonResult struct {
	neverRan bool // Nowhere, and never will.
	stopped  bool // Everywhere.
	answered bool // By one member at least, which will never start it.
}

// abandon ends an attempt at all members at the same time, also when the caller
// has gone.
func (s Starter) abandon(ctx context.Context, a *sniperillv1.Attempt, members []*sniperillv1.Member, reason string) abandonResult {
	ctx = context.WithoutCancel(ctx)
	members = slices.SortedFunc(slices.Values(members), compareByAgent)
	req := &sniperillv1.AbandonRequest{Attempt: a, Reason: reason}
	never := make([]bool, len(members))
	stopped := make([]bool, len(members))
	var all errgroup.Group
	for i, m := range members {
		all.Go(func() error {
			resp, err := retry(ctx, s, m, req, s.Abandon)
			never[i], stopped[i] = resp.GetNeverRan(), err == nil
			return nil
		})
	}
	_ = all.Wait()
	out := abandonResult{
		neverRan: !slices.Contains(never, false),
		stopped:  !slices.Contains(stopped, false),
		answered: slices.Contains(stopped, true),
	}
	// No member starts before its lead has.
	out.neverRan = out.neverRan || len(never) > 0 && never[0]
	return out
}

// call is one of the Starter's seams.
type call[Req, Resp any] func(context.Context, *sniperillv1.Member, Req) (Resp, error)

// retry repeats a call that got no answer. Every message may be repeated.
func retry[Req, Resp any](ctx context.Context, s Starter, m *sniperillv1.Member, req Req, f call[Req, Resp]) (Resp, error) {
	return retryWithTimeout(ctx, s, s.Times.CallTimeout, m, req, f)
}

// retryWithTimeout is retry with a bound on each call.
func retryWithTimeout[Req, Resp any](ctx context.Context, _ Starter, each time.Duration, m *sniperillv1.Member, req Req, f call[Req, Resp]) (Resp, error) {
	var resp Resp
	var err error
	for range maxTries {
		resp, err = callOnce(ctx, each, m, req, f)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return resp, err
}

func callOnce[Req, Resp any](ctx context.Context, each time.Duration, m *sniperillv1.Member, req Req, f call[Req, Resp]) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, each)
	defer cancel()
	return f(ctx, m, req)
}
