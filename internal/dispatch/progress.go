package dispatch

import (
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
)

// progress is how far a run of a task has come, by the reports of its worker's agent.
type progress struct {
	percent   int
	percentAt clock.Instant // When percent last changed.
	// unchangedFor is for how long percent has not changed, counting only the time for which the agent
	// has reported.
	unchangedFor time.Duration
	// fromPercent is the percentage since which the run's rate is known, and fromAt when it was reached;
	// zero if it isn't known yet.
	fromPercent int
	fromAt      clock.Instant
	started     bool // fromAt is when the worker answered the start.
	// firstListed and listed are the first and the highest percentage that the worker listed below 100; zero if
	// there is none, or the agent doesn't tell when.
	firstListed, listed listing
	cold                bool // The worker was slow after its own start when the run began, as far as that is known.
}

// listing is a percentage and when the worker listed it.
type listing struct {
	percent int
	at      clock.Instant
}

// begin notes that the run has started on a worker that is slow until a time. One that resumes from a checkpoint begins
// at a percentage that the first report tells, and one whose start was answered late has begun before.
func (p *progress) begin(now clock.Instant, resumed bool, coldUntil clock.Instant) {
	p.unchangedFor = 0
	if resumed || p.percent != 0 {
		return
	}
	p.fromAt, p.started, p.cold, p.listed = now, true, now < coldUntil, listing{}
}

// report applies a reported percentage, given for how long the agent has reported since the last time.
func (p *progress) report(percent int, now clock.Instant, observed time.Duration) {
	p.unchangedFor += observed
	if percent == p.percent {
		return
	}
	if p.fromAt == 0 {
		p.fromPercent, p.fromAt = percent, now
	}
	p.percent, p.percentAt, p.unchangedFor = percent, now, 0
}

// list applies a percentage that the worker listed at a time, and reports whether that is further than before.
func (p *progress) list(percent int, at, coldUntil clock.Instant) bool {
	if !p.started && p.firstListed.at == 0 {
		p.firstListed, p.listed, p.cold = listing{percent, at}, listing{percent, at}, at < coldUntil
		return false
	}
	if percent <= p.listed.percent || percent >= 100 {
		return false // A member that waits for its gang stays at 100.
	}
	p.listed = listing{percent, at}
	return true
}

// percentTime returns how long the run has taken for one percent so far, and false if that isn't known yet.
func (p *progress) percentTime() (time.Duration, bool) {
	if p.fromAt == 0 || p.percent <= p.fromPercent {
		return 0, false
	}
	return p.percentAt.Sub(p.fromAt) / time.Duration(p.percent-p.fromPercent), true
}

// ownRemaining estimates the time that a member takes for the rest of its own work, from its last progress on.
// A gang's members end together with the slowest of them.
func (m *member) ownRemaining() time.Duration {
	switch t, ok := m.percentTime(); {
	case m.percent >= 100:
		return 0
	case ok:
		return t * time.Duration(100-m.percent)
	default:
		return m.step().Estimate * time.Duration(100-m.percent) / 100
	}
}

const (
	// stuckTimeout is how long a task may show no progress, in addition to the time that two
	// percent of it take. Agents report once a second.
	stuckTimeout = 3 * time.Second
	// maxStandstill is how long a task may show no progress at most, in addition to the time that two percent of
	// it take, however much work its restart would throw away.
	maxStandstill = 30 * time.Second
	// maxLimitDoublings bounds how often the limit of a unit doubles that was restarted for standing still. Tasks
	// take up to forty times as long as declared: that is off, some are long, and some workers slow.
	maxLimitDoublings = 4
	// stuckPause is how long a worker on which a task got stuck gets no new tasks.
	stuckPause = 4 * time.Second
)

// standstillLimit returns how long a task may show no progress before it counts as stuck. Progress is reported
// in whole percent, and one percent of a long task may take minutes. What keeps a worker's tasks from going on
// often passes, so a task gets at least as long as the work takes that its restart would throw away. A task that
// takes several times as long as declared shows that by its own rate; before its first percent, only by standing
// still again on another worker.
func (ap *activePlanner) standstillLimit(m *member) time.Duration {
	percentTime, ok := m.percentTime()
	if !ok {
		percentTime = time.Duration(ap.RemoteFactor * float64(m.step().Estimate) / 100)
	}
	limit := 2*percentTime + min(maxStandstill, max(stuckTimeout, ap.redone(m)))
	return limit << min(m.job.unitState(m.key).standstills, maxLimitDoublings)
}

// redone returns the run time that a task which starts again takes until it is as far as it is now.
func (ap *activePlanner) redone(m *member) time.Duration {
	t, ok := m.percentTime()
	if !ok {
		t = m.step().Estimate / 100
	}
	out := t * time.Duration(m.percent)
	if m.step().Checkpoints {
		out = min(out, ap.CheckpointInterval)
	}
	return out
}

// stuck reports whether a running task makes no progress and holds its unit up.
func (ap *activePlanner) stuck(m *member) bool {
	if m.status != running || m.step().Endless || m.unchangedFor <= stuckTimeout {
		return false
	}
	return ap.heldUpFor(m) > ap.standstillLimit(m)
}

// heldUpFor returns for how long a member has held its unit up by standing still: not while another member of the
// gang takes longer anyway. A member whose own work is done shows 100 percent until the slowest one ends; if all do,
// the time counts from the last one on.
func (ap *activePlanner) heldUpFor(m *member) time.Duration {
	out, remaining := m.unchangedFor, m.ownRemaining()
	ap.forEachLiveMember(m.job, m.key, func(o *member) {
		switch {
		case o == m:
		case o.status != running || o.ownRemaining() > remaining:
			out = 0
		case m.percent >= 100:
			out = min(out, o.unchangedFor)
		}
	})
	return out
}

// lostAndRemaining estimates the run time that a stop of a member's unit loses, and the run time that remains to
// it, which is that of its slowest member.
func (ap *activePlanner) lostAndRemaining(m *member) (lost, remaining time.Duration) {
	now := clock.Now()
	startedAt := m.job.unitState(m.key).startedAt
	var ran time.Duration
	if startedAt != 0 {
		ran = now.Sub(startedAt)
	}
	ap.forEachLiveMember(m.job, m.key, func(o *member) {
		t, ok := o.percentTime()
		switch {
		case ok || o.percent >= 100: // The percentage may be a second old.
			remaining = max(remaining, o.ownRemaining()-now.Sub(o.percentAt))
		case o.percent > 0:
			remaining = max(remaining, o.ownRemaining())
		default:
			remaining = max(remaining, o.step().Estimate-ran)
		}
		if startedAt == 0 { // An earlier planner started it.
			if !ok {
				t = o.step().Estimate / 100
			}
			lost = max(lost, t*time.Duration(o.percent))
		}
	})
	lost = max(lost, ran)
	if m.step().Checkpoints {
		lost = 0 // A stop saves what was done.
	}
	return lost, remaining
}

// forEachLiveMember calls f with each member of a unit that may still be running.
func (ap *activePlanner) forEachLiveMember(j *job, key clusterstate.UnitKey, f func(*member)) {
	for _, at := range j.progress.Units[key].Members {
		if o := ap.member(j, key, at.Index); o != nil {
			f(o)
		}
	}
}
