package gang

import (
	"time"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// maxHistories limits the number of jobs whose attempts an Allocator remembers.
const maxHistories = 16384

// history is what an Allocator remembers of a job's attempts, also after they ended.
type history struct {
	highestHeld   uint32 // Highest attempt that got a hold here.
	highestClosed uint32 // Attempts up to this one can no longer start here.
	highestRan    uint32 // Highest attempt that may have run here.
	lastChange    time.Time
}

// history returns the history of a job and marks it as changed now. It creates the
// history if there is none.
func (a *Allocator) history(job string, now time.Time) *history {
	h := a.histories[job]
	if h == nil {
		h = &history{}
		a.histories[job] = h
	}
	h.lastChange = now
	return h
}

// neverRan reports whether the attempt is known not to have run here. An attempt
// unknown to this incarnation of the agent may have run under an earlier one.
func (a *Allocator) neverRan(attempt *sniperillv1.Attempt) bool {
	h := a.histories[attempt.GetJob()]
	return h != nil && h.highestHeld >= attempt.GetNumber() && h.highestRan < attempt.GetNumber()
}

// historiesFull removes old histories and reports whether there are still at least
// maxHistories. A history is removed only once no message about its attempts can
// arrive: when the limit is reached, new jobs are refused instead of forgetting
// attempts.
func (a *Allocator) historiesFull(now time.Time) bool {
	if len(a.histories) < maxHistories && now.Sub(a.lastSweep) < a.Times.Lease {
		return false
	}
	if now.Sub(a.lastSweep) >= a.Times.Margin {
		a.sweep(now)
	}
	return len(a.histories) >= maxHistories
}

// sweep removes old histories and old ended records that were not acknowledged.
func (a *Allocator) sweep(now time.Time) {
	a.lastSweep = now
	keep := a.Times.HistoryRetention
	if len(a.histories) >= maxHistories {
		keep = 2 * a.Times.ExpireAfter()
	}
	for job, h := range a.histories {
		if now.Sub(h.lastChange) < keep {
			continue
		}
		r := a.records[job]
		if r != nil && (r.occupiesResources() || now.Sub(r.ended) < keep) {
			continue
		}
		delete(a.histories, job)
		if r != nil {
			delete(a.records, job)
			a.markChanged()
		}
	}
}
