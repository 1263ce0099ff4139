package request

import (
	"slices"
	"sync/atomic"
	"time"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// state is the progress of a request on its agent.
type state = int32

const (
	// admitted requests have not been sent to the backend server.
	admitted state = iota
	// running requests have been sent to it, so they may have run.
	running
	// ended requests have been answered; the answer may have been dropped since.
	ended
	// sealed requests did not run and never will run.
	sealed
)

// record is the agent's record of one request. The first record that is stored
// for an id decides what becomes of the request; repeated requests share it.
type record struct {
	id         string
	team       string
	idempotent bool
	// minted is when the ticket was minted, in Unix milliseconds; 0 without a ticket.
	minted int64
	// transient records are removed as soon as they end.
	transient bool
	// removed is set when the record has been removed from the table.
	removed atomic.Bool
	state   atomic.Int32
	// done is closed when the state is ended or sealed.
	done   chan struct{}
	answer atomic.Pointer[sniperillv1.Answer]
	// endedAt is written before done is closed, and may be read after that.
	endedAt time.Time
	// next is the record below this one in a recordStack.
	next *record
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

// finish sets the answer and closes done. It is called once, by whoever moved
// the record out of the admitted state.
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

// recordStack is a lock-free stack: many goroutines push, one takes all records
// at once.
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

// takeAll empties the stack and returns its records, oldest first.
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
