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
	// ErrNotAppended means that the records have no effect and never will.
	ErrNotAppended = errors.New("not appended")
	// ErrOutcomeUnknown means that the records may or may not take effect. The
	// error is an OutcomeUnknownError.
	ErrOutcomeUnknown = errors.New("unknown whether appended")
)

// Defaults of a Log.
const (
	DefaultCallTimeout    = time.Second
	DefaultAppendTimeout  = 3 * time.Second
	DefaultInitialBackoff = 20 * time.Millisecond
	DefaultMaxBackoff     = time.Second
	// ResolveReadLimit is the maximum number of records in one read when the
	// outcome of an append is resolved.
	ResolveReadLimit = 1000
)

// PendingAppend is an append whose outcome is unknown.
type PendingAppend struct {
	Stream string
	// From is a lower bound of the records' offsets.
	From      uint64
	RecordIDs []string
}

// OutcomeUnknownError is an ErrOutcomeUnknown with the append that Log.Resolve
// needs to resolve it later.
type OutcomeUnknownError struct {
	PendingAppend
	Cause error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("platform: %v: %v", ErrOutcomeUnknown, e.Cause)
}

// Is makes errors.Is(err, ErrOutcomeUnknown) true.
func (e *OutcomeUnknownError) Is(target error) bool { return target == ErrOutcomeUnknown }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Log is a client of the platform's log.
type Log struct {
	Client sniperillv1connect.LogServiceClient
	// CallTimeout is the timeout of one call, in addition to the time that a read
	// waits for records.
	CallTimeout time.Duration
	// AppendTimeout is the timeout of an append, including its retries.
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

// Append appends records to a stream atomically and returns the offset of the
// first. It retries, and resolves a try whose response was lost by reading the
// stream back. Otherwise it fails with ErrNotAppended or ErrOutcomeUnknown.
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

// appendOnce makes one try of an append. It sets lost after a try that may have
// taken effect; the next try then reads the stream back before it appends again.
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
	callCtx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	resp, err := l.Client.Append(callCtx, connect.NewRequest(req))
	if err != nil {
		if !withoutEffect(err) {
			*lost = true
		}
		return 0, markPermanent(err)
	}
	if !*lost {
		return resp.Msg.Offset, nil
	}
	// An earlier try may have been appended before this one; the first one counts.
	f, err := l.find(ctx, p)
	if err == nil && !f.found {
		err = fmt.Errorf("offset %d was trimmed before it was read back", resp.Msg.Offset)
	}
	return f.offset, err
}

// withoutEffect reports whether the error rules out that the append took effect.
func withoutEffect(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted, connect.CodeInvalidArgument, connect.CodeFailedPrecondition,
		connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeUnimplemented:
		return true
	default:
		return false
	}
}

// markPermanent marks errors that a retry can't resolve, so that backoff.Retry
// stops.
func markPermanent(err error) error {
	if withoutEffect(err) && connect.CodeOf(err) != connect.CodeResourceExhausted {
		return backoff.Permanent(err)
	}
	return err
}

// findResult is the result of searching a stream for a pending append.
type findResult struct {
	found  bool
	offset uint64
	// gap is true when part of the range was trimmed: the records may have been
	// there even if they were not found.
	gap bool
}

// find reads the stream back and looks for the first record of a pending append.
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

// Find looks for a pending append and does not prevent it from taking effect
// later. It fails with ErrOutcomeUnknown when the records aren't in the stream.
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

// Resolve determines the final outcome of a pending append. It returns the offset
// of the first record when the append took effect. Otherwise it appends a void
// record, so that the records have no effect when they are appended later, and
// fails with ErrNotAppended. It fails with ErrOutcomeUnknown while the log is
// unavailable, or when the records may have been trimmed.
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
		return 0, fmt.Errorf("platform.Resolve: voided at offset %d: %w", voided, ErrNotAppended)
	}
}

// voidRecord returns the record that voids the append.
func (p PendingAppend) voidRecord() Record {
	return Record{ID: uuid.NewString(), Kind: KindVoid, AsOf: p.From, Voids: p.RecordIDs}
}

// TrimmedError means that the log has trimmed the requested offset.
type TrimmedError struct {
	// First is the first offset that the log still has.
	First uint64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("platform: trimmed: first offset kept is %d", e.First)
}

// page is the result of one read.
type page struct {
	records []Record
	// damaged is the number of records that couldn't be decoded.
	damaged int
	// resumeAt is the offset to read from next. streamStart is the first offset
	// that the log still has, and streamEnd the offset after the last record.
	resumeAt, streamStart, streamEnd uint64
}

// read returns at most limit records starting at an offset. When there is none
// yet, it waits for one, at most for the given time. It fails with a
// TrimmedError when the offset was trimmed.
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

// readError turns the log's out-of-range error into a TrimmedError.
func readError(err error) error {
	if connect.CodeOf(err) != connect.CodeOutOfRange {
		return err
	}
	var connectErr *connect.Error
	var first uint64
	if !errors.As(err, &connectErr) {
		return err
	}
	if _, scanErr := fmt.Sscanf(connectErr.Message(), "first offset kept is %d", &first); scanErr != nil {
		return err
	}
	return &TrimmedError{First: first}
}
