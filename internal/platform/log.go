package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// Outcomes of an append that didn't succeed.
var (
	// ErrNotAppended says that the records have no effect now and never will.
	ErrNotAppended = errors.New("not appended")
	// ErrOutcomeUnknown says that the records may or may not take effect; the error
	// is an UnknownError.
	ErrOutcomeUnknown = errors.New("unknown whether appended")
)

// Defaults of the client.
const (
	DefaultCallTimeout    = time.Second
	DefaultAppendTimeout  = 3 * time.Second
	DefaultInitialBackoff = 20 * time.Millisecond
	DefaultMaxBackoff     = time.Second
	// ResolveReadLimit bounds the records of one read when settling.
	ResolveReadLimit = 1000
)

// PendingAppend is an append whose outcome isn't known.
type PendingAppend struct {
	Stream string
	// From is an offset that the records can't lie before.
	From      uint64
	RecordIDs []string
}

// OutcomeUnknownError is an ErrUnknown with what is needed to settle it later.
type OutcomeUnknownError struct {
	PendingAppend
	Cause error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("platform: %v: %v", ErrOutcomeUnknown, e.Cause)
}

// Is makes errors.Is(err, ErrUnknown) hold.
func (e *OutcomeUnknownError) Is(target error) bool { return target == ErrOutcomeUnknown }

// Unwrap returns what went wrong.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Log is a client of the platform's log.
type Log struct {
	Client sniperillv1connect.LogServiceClient
	// CallTimeout of one call, on top of the time that a read may wait.
	CallTimeout time.Duration
	// AppendTimeout bounds an append with its retries.
	AppendTimeout time.Duration
}

func (l *Log) callTimeout() time.Duration {
	if l.CallTimeout == 0 {
		return DefaultCallTimeout
	}
	return l.CallTimeout
}

func (l *Log) appendTimeout() time.Duration {
	if l.AppendTimeout == 0 {
		return DefaultAppendTimeout
	}
	return l.AppendTimeout
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = DefaultInitialBackoff
	b.MaxInterval = DefaultMaxBackoff
	return b
}

// Append adds records to a stream, all or none, and returns the offset of the
// first. It retries, and settles a try whose answer was lost by reading the
// stream back. Otherwise it fails with ErrNotAppended or ErrUnknown.
func (l *Log) Append(ctx context.Context, stream string, records ...Record) (uint64, error) {
	req := &sniperillv1.AppendRequest{Stream: stream}
	p := PendingAppend{Stream: stream}
	for i, r := range records {
		data, err := r.Encode()
		if err != nil {
			return 0, fmt.Errorf("platform.Append: %w: %w", ErrNotAppended, err)
		}
		req.Records = append(req.Records, data)
		p.RecordIDs = append(p.RecordIDs, r.ID)
		if i == 0 || r.AsOf < p.From {
			p.From = r.AsOf
		}
	}
	ctx, cancel := context.WithTimeout(ctx, l.appendTimeout())
	defer cancel()
	lost := false
	offset, err := backoff.Retry(ctx, func() (uint64, error) {
		return l.appendOnce(ctx, req, p, &lost)
	}, backoff.WithBackOff(newBackoff()))
	switch {
	case err == nil:
		return offset, nil
	case lost:
		return 0, &OutcomeUnknownError{PendingAppend: p, Cause: err}
	default:
		return 0, fmt.Errorf("platform.Append: %w: %w", ErrNotAppended, err)
	}
}

// appendOnce appends once. After a try that may have taken effect, lost is true and
// the stream is read back before the append is tried again.
func (l *Log) appendOnce(ctx context.Context, req *sniperillv1.AppendRequest, p PendingAppend, lost *bool) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if *lost {
		f, err := l.find(ctx, p)
		if err != nil || f.found {
			return f.offset, err
		}
	}
	call, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	resp, err := l.Client.Append(call, connect.NewRequest(req))
	if err != nil {
		if !withoutEffect(err) {
			*lost = true
		}
		return 0, markPermanent(err)
	}
	if !*lost {
		return resp.Msg.Offset, nil
	}
	// An earlier try may have landed before this one: the first counts.
	f, err := l.find(ctx, p)
	if err == nil && !f.found {
		err = fmt.Errorf("offset %d was trimmed before it was read back", resp.Msg.Offset)
	}
	return f.offset, err
}

// withoutEffect says whether the log's answer rules out that the append took effect.
func withoutEffect(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted, connect.CodeInvalidArgument, connect.CodeFailedPrecondition,
		connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeUnimplemented:
		return true
	default:
		return false
	}
}

// markPermanent marks errors that a retry doesn't mend.
func markPermanent(err error) error {
	if withoutEffect(err) && connect.CodeOf(err) != connect.CodeResourceExhausted {
		return backoff.Permanent(err)
	}
	return err
}

// findResult is what reading a stream back came to.
type findResult struct {
	found  bool
	offset uint64
	// gap is true when part of the range was trimmed, so that absence proves nothing.
	gap bool
}

// find reads a stream back for the first record of a pending append.
func (l *Log) find(ctx context.Context, p PendingAppend) (findResult, error) {
	var f findResult
	for at := p.From; ; {
		page, err := l.read(ctx, p.Stream, at, ResolveReadLimit, 0)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) {
			f.gap = true
			at = trimmed.First
			continue
		}
		if err != nil {
			return f, err
		}
		for _, r := range page.records {
			if r.ID == p.RecordIDs[0] {
				f.found, f.offset = true, r.Offset
				return f, nil
			}
		}
		if at = page.resumeAt; at >= page.streamEnd {
			return f, nil
		}
	}
}

// Find looks for a pending append without preventing it from landing later.
// It fails with ErrUnknown when the records aren't in the stream.
func (l *Log) Find(ctx context.Context, p PendingAppend) (uint64, error) {
	f, err := l.find(ctx, p)
	if err == nil && !f.found {
		err = errors.New("not in the stream so far")
	}
	if err != nil {
		return 0, &OutcomeUnknownError{PendingAppend: p, Cause: err}
	}
	return f.offset, nil
}

// Resolve decides a pending append for good: it returns the offset of the first
// record when the append took effect, and otherwise appends a void record, so
// that the records have no effect when they land later, and fails with
// ErrNotAppended. It fails with ErrUnknown while the log is away.
func (l *Log) Resolve(ctx context.Context, p PendingAppend) (uint64, error) {
	if offset, err := l.Find(ctx, p); err == nil {
		return offset, nil
	}
	voided, err := l.Append(ctx, p.Stream, p.voidRecord())
	if err != nil {
		return 0, &OutcomeUnknownError{PendingAppend: p, Cause: err}
	}
	f, err := l.find(ctx, p)
	switch {
	case err != nil:
		return 0, &OutcomeUnknownError{PendingAppend: p, Cause: err}
	case f.found && f.offset < voided:
		return f.offset, nil
	case f.gap:
		return 0, &OutcomeUnknownError{PendingAppend: p, Cause: errors.New("part of the stream was trimmed")}
	default:
		return 0, fmt.Errorf("platform.Settle: voided at offset %d: %w", voided, ErrNotAppended)
	}
}

func (p PendingAppend) voidRecord() Record {
	return Record{ID: uuid.NewString(), Kind: KindVoid, AsOf: p.From, Voids: p.RecordIDs}
}

// TrimmedError says that an offset is no longer kept.
type TrimmedError struct {
	// First offset that is kept.
	First uint64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("platform: trimmed: first offset kept is %d", e.First)
}

// page is the answer to one read.
type page struct {
	records []Record
	// damaged counts records that couldn't be decoded.
	damaged int
	// resumeAt is the offset to read from next, first and next are the ends of the stream.
	resumeAt, streamStart, streamEnd uint64
}

// read returns the records from an offset on, waiting for one at most wait.
func (l *Log) read(ctx context.Context, stream string, from uint64, limit uint32, wait time.Duration) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+l.callTimeout())
	defer cancel()
	resp, err := l.Client.Read(ctx, connect.NewRequest(&sniperillv1.ReadRequest{
		Stream: stream,
		Offset: from,
		Limit:  limit,
		Wait:   durationpb.New(wait),
	}))
	if err != nil {
		return page{}, readError(err)
	}
	p := page{resumeAt: from, streamStart: resp.Msg.First, streamEnd: resp.Msg.Next}
	for _, lr := range resp.Msg.Records {
		p.resumeAt = lr.Offset + 1
		r, err := DecodeRecord(lr.Data)
		if err != nil {
			p.damaged++
			continue
		}
		r.Offset = lr.Offset
		r.Appended = time.UnixMilli(lr.AppendedUnixMs)
		p.records = append(p.records, r)
	}
	return p, nil
}

func readError(err error) error {
	if connect.CodeOf(err) != connect.CodeOutOfRange {
		return err
	}
	var ce *connect.Error
	var first uint64
	if !errors.As(err, &ce) {
		return err
	}
	if _, scanErr := fmt.Sscanf(ce.Message(), "first offset kept is %d", &first); scanErr != nil {
		return err
	}
	return &TrimmedError{First: first}
}
