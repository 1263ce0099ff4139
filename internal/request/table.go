package request

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Defaults of a Table.
const (
	DefaultMaxBytes   = 256 * shop.MiB
	DefaultAnswerAge  = 10 * time.Minute
	DefaultMaxRecords = 500_000
	DefaultRecordAge  = 30 * time.Minute
	DefaultRetryAfter = 100 * time.Millisecond
	DefaultMaxSkew    = time.Minute
	sweepInterval     = time.Second
)

var (
	requestsServed   = metrics.NewCounter(`sniperill_request_served_total`)
	requestsRepeated = metrics.NewCounter(`sniperill_request_repeated_total`)
	requestsRefused  = metrics.NewCounter(`sniperill_request_refused_total`)
	requestsSealed   = metrics.NewCounter(`sniperill_request_sealed_total`)
	answersEvicted   = metrics.NewCounter(`sniperill_request_answers_evicted_total`)
)

// Table holds the records of an agent's requests in one incarnation. Set the
// exported fields before the first request, then call Run.
type Table struct {
	Agent       string
	Incarnation uint64
	Now         func() time.Time
	// Send sends a request to the backend server. An error that wraps
	// shop.ErrNotRun means that the request never reached it.
	Send func(context.Context, backend.Request) (backend.Answer, error)
	// MaxBytes and AnswerAge limit the size and age of stored answers.
	MaxBytes  shop.Bytes
	AnswerAge time.Duration
	// MaxRecords and RecordAge limit the number of records, and the age of those of
	// ended requests.
	MaxRecords int
	RecordAge  time.Duration
	// RetryAfter is the delay in answers that refuse a request for lack of room.
	RetryAfter time.Duration
	// MaxSkew is the greatest difference between the clocks of agents and entries.
	MaxSkew time.Duration

	once    sync.Once
	records sync.Map // Request id to *record.
	count   atomic.Int64
	bytes   atomic.Int64
	// floor is the newest mint time of any ticket whose record was removed, in
	// Unix milliseconds. Tickets minted at or before it are refused, so a request
	// whose record was removed can't run again.
	floor        atomic.Int64
	leaving      atomic.Bool
	evacuated    atomic.Bool
	inProgress   atomic.Int64
	requestEnded chan struct{}
	newlyEnded   recordStack
	sweepMu      sync.Mutex
	history      history
}

func (t *Table) init() {
	if t.Now == nil {
		t.Now = time.Now
	}
	if t.MaxBytes == 0 {
		t.MaxBytes = DefaultMaxBytes
	}
	if t.AnswerAge == 0 {
		t.AnswerAge = DefaultAnswerAge
	}
	if t.MaxRecords == 0 {
		t.MaxRecords = DefaultMaxRecords
	}
	if t.RecordAge == 0 {
		t.RecordAge = DefaultRecordAge
	}
	if t.RetryAfter == 0 {
		t.RetryAfter = DefaultRetryAfter
	}
	if t.MaxSkew == 0 {
		t.MaxSkew = DefaultMaxSkew
	}
	t.requestEnded = make(chan struct{}, 1)
}

// Serve runs a request, or returns the outcome of an earlier request with the
// same id. It returns an error only when ctx ends; every other result is an
// answer.
func (t *Table) Serve(ctx context.Context, req *sniperillv1.ServeRequest) (*sniperillv1.ServeResponse, error) {
	t.once.Do(t.init)
	minted, err := t.checkTicket(req)
	if err != nil {
		requestsRefused.Inc()
		return t.response(req, NewNotRun(req.GetId(), req.GetAttempt(), err.Error(), 0)), nil
	}
	created := newRecord(req.GetId(), req.GetTeam(), req.GetIdempotent(), minted)
	found, loaded := t.records.LoadOrStore(req.GetId(), created)
	r := found.(*record)
	if loaded {
		requestsRepeated.Inc()
	} else {
		t.admit(ctx, r, req)
	}
	select {
	case <-r.done:
		return t.response(req, r.answer.Load()), nil
	case <-ctx.Done():
		// The request continues and its answer is stored.
		return nil, fmt.Errorf("request.Serve: %w", ctx.Err())
	}
}

func (t *Table) response(req *sniperillv1.ServeRequest, a *sniperillv1.Answer) *sniperillv1.ServeResponse {
	a = withAttempt(a, req.GetAttempt())
	a.Agent = t.Agent
	return &sniperillv1.ServeResponse{Answer: a}
}

// checkTicket returns the mint time of the ticket, or an error when this
// incarnation must not run the request. The text of the error reaches the
// caller as the reason.
func (t *Table) checkTicket(req *sniperillv1.ServeRequest) (int64, error) {
	if req.GetId() == "" {
		return 0, fmt.Errorf("no request id: %w", shop.ErrInvalid)
	}
	ticket := req.GetTicket()
	if ticket == nil && req.GetIdempotent() {
		return 0, nil
	}
	if ticket.GetAgent() != t.Agent || ticket.GetIncarnation() != t.Incarnation {
		return 0, fmt.Errorf("ticket is for incarnation %d of agent %q: %w",
			ticket.GetIncarnation(), ticket.GetAgent(), shop.ErrConflict)
	}
	return mintedAt(ticket, req.GetId())
}

// admit starts the request of a new record or refuses it.
func (t *Table) admit(ctx context.Context, r *record, req *sniperillv1.ServeRequest) {
	t.count.Add(1)
	// Counted before leaving is read, so that Drain waits for every request that
	// was not refused.
	t.inProgress.Add(1)
	deadline := time.Duration(shop.DefaultDeadline)
	if d := req.GetDeadline(); d != nil {
		deadline = d.AsDuration()
	}
	switch {
	case r.minted != 0 && r.minted <= t.floor.Load():
		t.refuse(r, req, "ticket is older than what is remembered", 0)
	case t.leaving.Load():
		t.refuse(r, req, "agent is leaving", 0)
	case t.evacuated.Load():
		t.refuse(r, req, "zone is evacuated", 0)
	case deadline <= 0:
		t.refuse(r, req, "deadline has passed", 0)
	case t.count.Load() > int64(t.MaxRecords):
		// From here on the floor refuses this ticket, without a record.
		t.raiseFloor(r.minted)
		r.transient = true
		t.refuse(r, req, "request table is full", t.RetryAfter)
	case !r.state.CompareAndSwap(admitted, running):
		// Seal came first.
		t.finishRequest()
	default:
		requestsServed.Inc()
		runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
		go func() {
			defer cancel()
			t.run(runCtx, r, req)
		}()
	}
}

// refuse ends a request that has not started, unless it was sealed first.
func (t *Table) refuse(r *record, req *sniperillv1.ServeRequest, reason string, retryAfter time.Duration) {
	if r.state.CompareAndSwap(admitted, sealed) {
		t.end(r, sealed, NewNotRun(r.id, req.GetAttempt(), reason, retryAfter))
	}
	t.finishRequest()
}

func (t *Table) run(ctx context.Context, r *record, req *sniperillv1.ServeRequest) {
	defer t.finishRequest()
	answer, err := t.Send(ctx, backend.Request{
		ID:          req.GetId(),
		Attempt:     req.GetAttempt(),
		Team:        req.GetTeam(),
		Class:       req.GetClass(),
		Idempotent:  req.GetIdempotent(),
		ContentType: req.GetContentType(),
		Body:        req.GetBody(),
	})
	switch {
	case err == nil:
		t.end(r, ended, NewAnswer(r.id, req.GetAttempt(), answer.Status, answer.ContentType, answer.Body))
	case errors.Is(err, shop.ErrNotRun):
		t.end(r, sealed, NewNotRun(r.id, req.GetAttempt(), err.Error(), t.RetryAfter))
	default:
		t.end(r, ended, NewMayHaveRun(r.id, req.GetAttempt(), err.Error()))
	}
}

// end stores the answer in the record. The record of an idempotent request
// without an answer of the backend server is removed, so that the request can be
// tried on this agent again.
func (t *Table) end(r *record, s state, a *sniperillv1.Answer) {
	a.Agent = t.Agent
	if s == sealed {
		requestsRefused.Inc()
	}
	forget := r.transient || r.idempotent && a.GetOutcome() != string(shop.OutcomeDone)
	if forget {
		t.forget(r)
	}
	t.bytes.Add(int64(len(a.GetBody())))
	r.finish(s, a, t.Now())
	if !forget {
		t.newlyEnded.push(r)
	}
}

// forget removes the record from the table.
func (t *Table) forget(r *record) {
	if t.records.CompareAndDelete(r.id, r) {
		r.removed.Store(true)
		t.count.Add(-1)
	}
}

func (t *Table) raiseFloor(minted int64) {
	for {
		floor := t.floor.Load()
		if minted <= floor || t.floor.CompareAndSwap(floor, minted) {
			return
		}
	}
}

// Seal makes sure that a request that has not started never will.
func (t *Table) Seal(_ context.Context, req *sniperillv1.SealRequest) (*sniperillv1.SealResponse, error) {
	t.once.Do(t.init)
	now := t.Now()
	if t.count.Load() > 2*int64(t.MaxRecords) {
		if _, ok := t.records.Load(req.GetId()); !ok {
			return &sniperillv1.SealResponse{}, nil
		}
	}
	// The request's ticket is not known here. No ticket minted until now can be
	// newer than this.
	latest := now.Add(t.MaxSkew).UnixMilli()
	created := newRecord(req.GetId(), "", false, latest)
	found, loaded := t.records.LoadOrStore(req.GetId(), created)
	r := found.(*record)
	if !loaded {
		t.count.Add(1)
	}
	if r.state.CompareAndSwap(admitted, sealed) {
		requestsSealed.Inc()
		t.end(r, sealed, NewNotRun(r.id, 0, "sealed", 0))
	}
	if !r.isDone() {
		return &sniperillv1.SealResponse{}, nil
	}
	return &sniperillv1.SealResponse{
		Sealed: r.state.Load() == sealed,
		Answer: r.answer.Load(),
	}, nil
}

// FetchAnswer returns the stored answer to a request. It waits for a request that
// is still running.
func (t *Table) FetchAnswer(ctx context.Context, req *sniperillv1.FetchAnswerRequest) (*sniperillv1.FetchAnswerResponse, error) {
	t.once.Do(t.init)
	found, ok := t.records.Load(req.GetId())
	if !ok {
		return &sniperillv1.FetchAnswerResponse{}, nil
	}
	r := found.(*record)
	timer := time.NewTimer(req.GetWait().AsDuration())
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	case <-ctx.Done():
		return nil, fmt.Errorf("request.FetchAnswer: %w", ctx.Err())
	}
	if !r.isDone() {
		return &sniperillv1.FetchAnswerResponse{Known: true, Running: true}, nil
	}
	return &sniperillv1.FetchAnswerResponse{Known: true, Answer: r.answer.Load()}, nil
}

// Acknowledge drops answers that their callers have received. The record of a
// request that must not run twice stays, without the answer.
func (t *Table) Acknowledge(_ context.Context, req *sniperillv1.AcknowledgeRequest) (*sniperillv1.AcknowledgeResponse, error) {
	t.once.Do(t.init)
	for _, id := range req.GetIds() {
		found, ok := t.records.Load(id)
		if !ok {
			continue
		}
		r := found.(*record)
		if !r.isDone() {
			continue
		}
		if r.idempotent {
			t.forget(r)
		}
		t.dropAnswer(r)
	}
	return &sniperillv1.AcknowledgeResponse{}, nil
}

// dropAnswer frees the body of an answer. What remains says that the request ran
// but its answer is no longer available.
func (t *Table) dropAnswer(r *record) {
	old := r.answer.Load()
	if old.GetOutcome() != string(shop.OutcomeDone) {
		return
	}
	dropped := NewMayHaveRun(r.id, old.GetAttempt(), "ran, but its answer is no longer kept")
	dropped.Agent = t.Agent
	if r.answer.CompareAndSwap(old, dropped) {
		t.bytes.Add(-int64(len(old.GetBody())))
	}
}
