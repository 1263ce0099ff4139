package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Limits of the log.
const (
	// DefaultAppendRate is the maximum number of appends per second.
	DefaultAppendRate = 500
	// DefaultReadLimit is the maximum number of records returned by a read that sets no limit.
	DefaultReadLimit = 1000
	// MaxReadBytes bounds the data returned by one read. A larger first record is returned alone.
	MaxReadBytes = 1 << 20
)

// LogFaults are the faults of a log. The zero value is a log without faults.
type LogFaults struct {
	// Down fails every call before it has an effect.
	Down bool
	// Delay is the time that every call waits before it has an effect.
	Delay time.Duration
	// LoseAnswers fails appends after they have had their effect.
	LoseAnswers bool
	// Reject refuses appends with resource_exhausted before they have an effect.
	Reject bool
}

// Log stands in for the platform's append-only log. It keeps its streams in
// memory and serves sniperillv1connect.LogServiceHandler. The zero value is
// ready for use; the exported fields are set before the first call.
type Log struct {
	// Now is the log's clock; time.Now when nil.
	Now func() time.Time
	// AppendRate is the maximum number of appends per second; DefaultAppendRate when zero.
	AppendRate rate.Limit

	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	limiter *rate.Limiter
	appends int
}

// stream holds the retained records of one stream. grown is closed and replaced when records are
// appended.
type stream struct {
	first   uint64
	records []*sniperillv1.LogRecord
	grown   chan struct{}
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// SetFaults replaces the faults. Calls in progress keep those with which they started.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim drops all but the newest records of a stream; keep is their number.
func (l *Log) Trim(name string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.drop(max(0, len(s.records)-keep))
}

// TrimOlder drops the records of every stream that are older than age.
func (l *Log) TrimOlder(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.now().Add(-age).UnixMilli()
	for _, s := range l.streams {
		n := 0
		for n < len(s.records) && s.records[n].AppendedUnixMs < oldest {
			n++
		}
		s.drop(n)
	}
}

// Reset replaces the log by a new, empty one.
func (l *Log) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		close(s.grown)
	}
	l.streams = nil
}

func (s *stream) drop(n int) {
	s.first += uint64(n)
	s.records = append([]*sniperillv1.LogRecord(nil), s.records[n:]...)
}

// Append implements LogService.
func (l *Log) Append(
	ctx context.Context, req *connect.Request[sniperillv1.AppendRequest],
) (*connect.Response[sniperillv1.AppendResponse], error) {
	f, err := l.applyFaults(ctx)
	if err != nil {
		return nil, err
	}
	if len(req.Msg.Records) == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("no records"))
	}
	if f.Reject || !l.allow() {
		return nil, connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("too many appends"))
	}
	offset := l.add(req.Msg.Stream, req.Msg.Records)
	if f.LoseAnswers {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("answer lost"))
	}
	return connect.NewResponse(&sniperillv1.AppendResponse{Offset: offset}), nil
}

// Read implements LogService.
func (l *Log) Read(
	ctx context.Context, req *connect.Request[sniperillv1.ReadRequest],
) (*connect.Response[sniperillv1.ReadResponse], error) {
	if _, err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(req.Msg.Wait.AsDuration())
	defer timeout.Stop()
	for {
		resp, grown, err := l.slice(req.Msg)
		if err != nil {
			return nil, err
		}
		if len(resp.Records) > 0 {
			return connect.NewResponse(resp), nil
		}
		select {
		case <-grown:
		case <-timeout.C:
			return connect.NewResponse(resp), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// applyFaults applies the faults that come before a call's effect, and returns all current faults.
func (l *Log) applyFaults(ctx context.Context) (LogFaults, error) {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Down {
		return f, connect.NewError(connect.CodeUnavailable, fmt.Errorf("log is down"))
	}
	if f.Delay == 0 {
		return f, nil
	}
	t := time.NewTimer(f.Delay)
	defer t.Stop()
	select {
	case <-t.C:
		return f, nil
	case <-ctx.Done():
		return f, ctx.Err()
	}
}

func (l *Log) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		limit := l.AppendRate
		if limit == 0 {
			limit = DefaultAppendRate
		}
		l.limiter = rate.NewLimiter(limit, max(1, int(limit)))
	}
	return l.limiter.AllowN(l.now(), 1)
}

func (l *Log) add(name string, records [][]byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	now := l.now().UnixMilli()
	for i, data := range records {
		s.records = append(s.records, &sniperillv1.LogRecord{
			Offset:         offset + uint64(i),
			AppendedUnixMs: now,
			Data:           data,
		})
	}
	l.appends++
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// slice returns the records that a read asks for, and a channel that is closed when more are appended.
func (l *Log) slice(req *sniperillv1.ReadRequest) (*sniperillv1.ReadResponse, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(req.Stream)
	if req.Offset < s.first {
		return nil, nil, connect.NewError(connect.CodeOutOfRange, fmt.Errorf("first offset kept is %d", s.first))
	}
	resp := &sniperillv1.ReadResponse{First: s.first, Next: s.next()}
	if req.Offset >= s.next() {
		return resp, s.grown, nil
	}
	limit := int(req.Limit)
	if limit == 0 {
		limit = DefaultReadLimit
	}
	size := 0
	for _, r := range s.records[req.Offset-s.first:] {
		size += len(r.Data)
		if len(resp.Records) == limit || len(resp.Records) > 0 && size > MaxReadBytes {
			break
		}
		resp.Records = append(resp.Records, r)
	}
	return resp, s.grown, nil
}

func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) now() time.Time {
	if l.Now == nil {
		return time.Now()
	}
	return l.Now()
}
