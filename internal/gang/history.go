package gang

import (
	"time"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// maxHistories bounds the jobs whose attempts a ledger remembers.
const maxHistories = 16384

// history is what a ledger remembers of a job's attempts after they ended.
type history struct {
	highestHeld   uint32    // Highest attempt held here.
	highestClosed uint32    // Attempts up to this one never start here any more.
	highestRan    uint32    // Highest attempt that may have run here.
	lastChange    time.Time // Last change.
}

// history returns the memory of a job, new when there is none.
func (l *Allocator) history(job string, now time.Time) *history {
	h := l.histories[job]
	if h == nil {
		h = &history{}
		l.histories[job] = h
	}
	h.lastChange = now
	return h
}

// neverRan says whether the attempt surely did not run here. An attempt that
// this incarnation never saw may have run in an earlier one.
func (l *Allocator) neverRan(a *sniperillv1.Attempt) bool {
	h := l.histories[a.GetJob()]
	return h != nil && h.highestHeld >= a.GetNumber() && h.highestRan < a.GetNumber()
}

// historiesFull forgets what is old enough, and says whether too much is left. A
// history is only forgotten once no message about its attempts can arrive, so
// that a full memory refuses new jobs rather than forget an attempt.
func (l *Allocator) historiesFull(now time.Time) bool {
	if len(l.histories) < maxHistories && now.Sub(l.lastSweep) < l.Times.Lease {
		return false
	}
	if now.Sub(l.lastSweep) >= l.Times.Margin {
		l.sweep(now)
	}
	return len(l.histories) >= maxHistories
}

// sweep forgets old histories and the ended records that nobody fetched.
func (l *Allocator) sweep(now time.Time) {
	l.lastSweep = now
	keep := l.Times.HistoryRetention
	if len(l.histories) >= maxHistories {
		keep = 2 * l.Times.ExpireAfter()
	}
	for job, h := range l.histories {
		if now.Sub(h.lastChange) < keep {
			continue
		}
		r := l.records[job]
		if r != nil && (r.occupiesResources() || now.Sub(r.ended) < keep) {
			continue
		}
		delete(l.histories, job)
		if r != nil {
			delete(l.records, job)
			l.markChanged()
		}
	}
}
