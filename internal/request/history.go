package request

import (
	"context"
	"time"
)

// minCompactLen is the number of records below which a history is not compacted.
const minCompactLen = 1024

// history lists ended requests, oldest first. Answers are dropped and records
// are removed from its front.
type history struct {
	list []*record
	// dropped is the number of records at the front whose answers were dropped.
	dropped int
}

// Run calls Sweep periodically until ctx ends.
func (t *Table) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.Sweep()
		}
	}
}

// Sweep drops the answers and forgets the records that exceed the limits of the
// table.
func (t *Table) Sweep() {
	t.once.Do(t.init)
	t.sweepMu.Lock()
	defer t.sweepMu.Unlock()
	h := &t.history
	h.list = append(h.list, t.newlyEnded.takeAll()...)
	now := t.Now()
	t.dropAnswers(h, now)
	t.forgetRecords(h, now)
}

func (t *Table) dropAnswers(h *history, now time.Time) {
	for ; h.dropped < len(h.list); h.dropped++ {
		r := h.list[h.dropped]
		if now.Sub(r.endedAt) <= t.AnswerAge && t.bytes.Load() <= int64(t.MaxBytes) {
			return
		}
		before := t.bytes.Load()
		t.dropAnswer(r)
		if t.bytes.Load() < before {
			answersEvicted.Inc()
		}
	}
}

// forgetRecords removes the records that are past RecordAge. It raises the floor
// before it removes a record, so that a request with that ticket finds either
// the record or a floor that refuses the ticket.
func (t *Table) forgetRecords(h *history, now time.Time) {
	n := 0
	for n < h.dropped && now.Sub(h.list[n].endedAt) > t.RecordAge {
		r := h.list[n]
		t.raiseFloor(r.minted)
		t.forget(r)
		n++
	}
	clear(h.list[:n])
	h.list = h.list[n:]
	h.dropped -= n
	if len(h.list) > minCompactLen+2*int(t.count.Load()) {
		h.compact()
	}
}

// compact removes the records that were dropped from the table on acknowledgement.
func (h *history) compact() {
	dropped := 0
	var list []*record
	for i, r := range h.list {
		if r.removed.Load() {
			continue
		}
		list = append(list, r)
		if i < h.dropped {
			dropped++
		}
	}
	h.list, h.dropped = list, dropped
}
