package host

import (
	"time"

	"sniperill.example/sniperill/internal/clock"
)

const (
	// maxReports is how many reports a grant may refer to; the planner echoes the newest.
	maxReports = 64
	// minClockRate is the least speed of a worker's clock; the platform promises 2%.
	minClockRate = 0.98
)

// lease is how far the worker's lease may be extended. All times are of the agent's
// clock but where the worker's is named.
type lease struct {
	reportsSent map[uint64]clock.Instant // When the newest reports were sent, by number.
	lastReport  uint64
	grantEnd    clock.Instant // The newest grant's end.

	workerClock time.Duration // The worker's clock as it was shown last.
	clockReadAt clock.Instant // When that answer arrived.
	latestEnd   time.Duration // The latest end that was asked for, on the worker's clock.
}

// nextReport numbers a report that is about to be sent.
func (l *lease) nextReport(now clock.Instant) uint64 {
	if l.reportsSent == nil {
		l.reportsSent = make(map[uint64]clock.Instant)
	}
	l.lastReport++
	l.reportsSent[l.lastReport] = now
	delete(l.reportsSent, l.lastReport-maxReports)
	return l.lastReport
}

// grant allows the lease to last for d from when the report was sent.
func (l *lease) grant(report uint64, d time.Duration) {
	if sent, ok := l.reportsSent[report]; ok {
		l.grantEnd = max(l.grantEnd, sent.Add(d))
	}
}

// updateClock takes in the worker's clock. At the first time, an earlier life of the agent may
// just have given the worker the longest lease.
func (l *lease) updateClock(c time.Duration, now clock.Instant, longest time.Duration) {
	if l.clockReadAt == 0 {
		l.latestEnd = c + longest
	}
	l.workerClock, l.clockReadAt = c, now
}

// reset forgets a lifetime of the worker.
func (l *lease) reset() { l.workerClock, l.clockReadAt, l.latestEnd = 0, 0, 0 }

// endOnWorkerClock returns the grant's end on the worker's clock, such that it has passed at the
// grant's end even when the worker's clock is slow; zero when nothing may be extended.
func (l *lease) endOnWorkerClock(now clock.Instant) time.Duration {
	if l.clockReadAt == 0 || l.grantEnd <= now {
		return 0
	}
	end := l.workerClock + time.Duration(minClockRate*float64(l.grantEnd.Sub(l.clockReadAt)))
	l.latestEnd = max(l.latestEnd, end)
	return end
}

// lapsed says whether the lease has ended for certain.
func (l *lease) lapsed(now clock.Instant) bool {
	if l.clockReadAt == 0 {
		return false
	}
	return l.workerClock+time.Duration(minClockRate*float64(now.Sub(l.clockReadAt))) > l.latestEnd
}
