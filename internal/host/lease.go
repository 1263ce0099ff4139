package host

import (
	"time"

	"sniperill.example/sniperill/internal/clock"
)

const (
	// keptReports is how many reports a grant may refer to; the planner echoes the newest.
	keptReports = 64
	// slowestClock is the least speed of a worker's clock; the platform promises 2%.
	slowestClock = 0.98
)

// lease is how far the worker's lease may be extended. All times are of the agent's
// clock but where the worker's is named.
type lease struct {
	reports map[uint64]clock.Instant // When the newest reports were sent, by number.
	last    uint64
	until   clock.Instant // The newest grant's end.

	clock   time.Duration // The worker's clock as it was shown last.
	shown   clock.Instant // When that answer arrived.
	longest time.Duration // The latest end that was asked for, on the worker's clock.
}

// report numbers a report that is about to be sent.
func (l *lease) report(now clock.Instant) uint64 {
	if l.reports == nil {
		l.reports = make(map[uint64]clock.Instant)
	}
	l.last++
	l.reports[l.last] = now
	delete(l.reports, l.last-keptReports)
	return l.last
}

// grant allows the lease to last for d from when the report was sent.
func (l *lease) grant(report uint64, d time.Duration) {
	if sent, ok := l.reports[report]; ok {
		l.until = max(l.until, sent.Add(d))
	}
}

// show takes in the worker's clock. At the first time, an earlier life of the agent may
// just have given the worker the longest lease.
func (l *lease) show(c time.Duration, now clock.Instant, longest time.Duration) {
	if l.shown == 0 {
		l.longest = c + longest
	}
	l.clock, l.shown = c, now
}

// reset forgets a lifetime of the worker.
func (l *lease) reset() { l.clock, l.shown, l.longest = 0, 0, 0 }

// end returns the grant's end on the worker's clock, such that it has passed at the
// grant's end even when the worker's clock is slow; zero when nothing may be extended.
func (l *lease) end(now clock.Instant) time.Duration {
	if l.shown == 0 || l.until <= now {
		return 0
	}
	end := l.clock + time.Duration(slowestClock*float64(l.until.Sub(l.shown)))
	l.longest = max(l.longest, end)
	return end
}

// lapsed says whether the lease has ended for certain.
func (l *lease) lapsed(now clock.Instant) bool {
	if l.shown == 0 {
		return false
	}
	return l.clock+time.Duration(slowestClock*float64(now.Sub(l.shown))) > l.longest
}
