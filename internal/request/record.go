package request

import (
	"slices"
	"sync/atomic"
	"time"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// state is how far a request has come on its agent.
type state = int32

const (
	// admitted requests have not been handed to the backend server.
	admitted state = iota
	// running requests have been, and may have run from then on.
	running
	// ended requests have an answer, kept or not any more.
	ended
	// sealed requests did not run and never will.
	sealed
)

// record is what the agent remembers of one request. Whoever stores the first
// record of an id decides what becomes of it.
type record struct {
	id         string
	team       string
	idempotent bool
	// minted is the ticket's time, in Unix milliseconds.
	minted int64
	// transient records are not kept once ended.
	transient bool
	// forgotten records are not in the table any more.
	forgotten atomic.Bool
	state     atomic.Int32
	// done is closed when the state is ended or sealed.
	done   chan struct{}
	answer atomic.Pointer[sniperillv1.Answer]
	// endedAt is written before done is closed.
	endedAt time.Time
	next    *record
}

func newRecord(id, team string, idempotent bool, minted int64) *record {
	return &record{
		id:         id,
		team:       team,
		idempotent: idempotent,
		minted:     minted,
		done:       make(chan struct{}),
	}
}

// finish sets the answer. It is called once, by the owner of the state.
func (r *record) finish(s state, a *sniperillv1.Answer, now time.Time) {
	r.answer.Store(a)
	r.endedAt = now
	r.state.Store(s)
	close(r.done)
}

func (r *record) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// recordStack is a stack that many goroutines push to and one takes whole.
type recordStack struct {
	top atomic.Pointer[record]
}

func (s *recordStack) push(r *record) {
	for {
		top := s.top.Load()
		r.next = top
		if s.top.CompareAndSwap(top, r) {
			return
		}
	}
}

// takeAll returns the records, oldest first.
func (s *recordStack) takeAll() []*record {
	var out []*record
	for r := s.top.Swap(nil); r != nil; {
		out = append(out, r)
		next := r.next
		r.next = nil
		r = next
	}
	slices.Reverse(out)
	return out
}
