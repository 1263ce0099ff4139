package host

import (
	"time"

	"sniperill.example/sniperill/internal/clock"
)

const (
	// maxReports is how many of the newest reports a grant or an order may refer to. The planner
	// refers to the newest one that it got. At most some 50 are sent in a second.
	maxReports = 1024
	// minClockRate is the lowest rate of a worker's clock relative to the agent's; the platform
	// guarantees a deviation of at most 2%.
	minClockRate = 0.98
	// leaseSlack is added to the time that a worker takes to end its runs after a lease, for timers that are late.
	leaseSlack = 300 * time.Millisecond
)

// LongestLease returns how long a lease of d on a worker's clock may last.
func LongestLease(d time.Duration) time.Duration { return time.Duration(float64(d) / minClockRate) }

// minRenewalWait is the shortest wait for a change while a lease runs out.
const minRenewalWait = 100 * time.Millisecond

// RenewalWait returns how long a call may wait for a change which next renews a lease, given when the lease ends by now
// and how long such a call waits otherwise. A lease that runs out, as after an outage of the store, is renewed while
// there is time.
func RenewalWait(end clock.Instant, longest time.Duration) time.Duration {
	left := end.Sub(clock.Now())
	if left <= 0 {
		return longest // It is too late.
	}
	return min(longest, max(minRenewalWait, left/3))
}

// lease tracks how far the worker's lease may be and was extended. All times are on the agent's
// clock unless the worker's is named.
type lease struct {
	reportsSent map[uint64]clock.Instant // When the newest reports were sent, by number.
	lastReport  uint64
	grantEnd    clock.Instant // The latest end of a grant.

	workerClock time.Duration // The worker's clock in its newest answer.
	clockReadAt clock.Instant // When that answer arrived; zero if there was none.
	latestEnd   time.Duration // The latest lease end that was requested, on the worker's clock.
}

// nextReport returns the number of a report that is about to be sent.
func (l *lease) nextReport(now clock.Instant) uint64 {
	if l.reportsSent == nil {
		l.reportsSent = make(map[uint64]clock.Instant)
	}
	l.lastReport++
	l.reportsSent[l.lastReport] = now
	delete(l.reportsSent, l.lastReport-maxReports)
	return l.lastReport
}

// grant allows the lease to last for d after the report was sent.
func (l *lease) grant(report uint64, d time.Duration) {
	l.grantEnd = max(l.grantEnd, l.endOf(report, d))
}

// endOf returns when a permission ends that lasts for d after a report was sent. It returns zero if that
// is not known, as the report was sent too long ago.
func (l *lease) endOf(report uint64, d time.Duration) clock.Instant {
	sent, ok := l.reportsSent[report]
	if !ok {
		return 0
	}
	return sent.Add(d)
}

// updateClock records the worker's clock. At the first answer, it assumes that an earlier
// incarnation of the agent has just extended the lease by the longest time.
func (l *lease) updateClock(c time.Duration, now clock.Instant, longest time.Duration) {
	if l.clockReadAt == 0 {
		l.latestEnd = c + longest
	}
	l.workerClock, l.clockReadAt = c, now
}

// reset drops what is known of the worker's lifetime.
func (l *lease) reset() { l.workerClock, l.clockReadAt, l.latestEnd = 0, 0, 0 }

// endOnWorkerClock returns a lease end on the worker's clock that is not after the grant's end,
// even if the worker's clock is slow. It returns zero if the lease may not be extended.
func (l *lease) endOnWorkerClock(now clock.Instant) time.Duration {
	if l.clockReadAt == 0 || l.grantEnd <= now {
		return 0
	}
	end := l.workerClock + time.Duration(minClockRate*float64(l.grantEnd.Sub(l.clockReadAt)))
	l.latestEnd = max(l.latestEnd, end)
	return end
}

// lapsed reports whether the lease has ended for certain, and with it what ran under it, given the time that
// the worker may take to stop its runs.
func (l *lease) lapsed(now clock.Instant, stopTimeout time.Duration) bool {
	if l.clockReadAt == 0 {
		return false
	}
	sinceRead := now.Sub(l.clockReadAt) - stopTimeout - leaseSlack
	return l.workerClock+time.Duration(minClockRate*float64(sinceRead)) > l.latestEnd
}
