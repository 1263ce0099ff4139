package standin

import (
	"math"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/host"
)

// Gangs are the gangs that executors run together. The members of a gang work from the moment when all members of one
// run are there, and are done together with the slowest. If one ends before, the others end, too. Set the exported
// fields before use.
type Gangs struct {
	// Timeout is how long a member waits for the others, until it ends by itself.
	Timeout time.Duration
	// Size returns the number of members of a task's gang, and zero for a task that isn't in a gang.
	Size func(task clusterstate.TaskID) int

	mu   sync.Mutex
	runs map[gangName]*gangRun
}

// gangName names a run of a gang.
type gangName struct {
	job              string
	occurrence, step int
	run              int
}

// gangRun is a run of a gang.
type gangRun struct {
	size    int
	members []*gangMember
}

// gangMember is a member of a gang that runs, or has run. A nil one is a run that isn't in a gang.
type gangMember struct {
	gangs  *Gangs
	run    *gangRun
	index  int
	joined clock.Instant
	work   workload
	left   clock.Instant // When its run has ended or will have been stopped, if that is known.
	lapse  clock.Instant // When its lease ends, unless that is extended before.
}

// join adds a run that has just started to its gang. It returns nil if there is none.
func (g *Gangs) join(name runName, r *run, lapse clock.Instant) *gangMember {
	if g == nil {
		return nil
	}
	task, err := clusterstate.ParseTaskID(name.task)
	if err != nil {
		return nil
	}
	size := g.Size(task)
	if size == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs == nil {
		g.runs = make(map[gangName]*gangRun)
	}
	key := gangName{task.Job, task.Occurrence, task.Step, name.number}
	if g.runs[key] == nil {
		g.runs[key] = &gangRun{size: size}
	}
	m := &gangMember{gangs: g, run: g.runs[key], index: task.Index, joined: r.started, work: r.work, lapse: lapse}
	m.run.members = append(m.run.members, m)
	return m
}

// leave notes when the member's run ends.
func (m *gangMember) leave(at clock.Instant) {
	if m == nil {
		return
	}
	m.gangs.mu.Lock()
	defer m.gangs.mu.Unlock()
	if m.left == 0 {
		m.left = at
	}
}

// extendLease notes when the member's lease ends.
func (m *gangMember) extendLease(lapse clock.Instant) {
	if m == nil {
		return
	}
	m.gangs.mu.Lock()
	defer m.gangs.mu.Unlock()
	m.lapse = lapse
}

// worked returns how much of its own work the member has done. It may be done before the slowest member is.
func (m *gangMember) worked() time.Duration {
	m.gangs.mu.Lock()
	defer m.gangs.mu.Unlock()
	if began := m.run.began(); began != 0 {
		return m.work.done(began, clock.Now())
	}
	return 0
}

// never is later than all that happens.
const never = clock.Instant(math.MaxInt64)

// finished returns how the member ends by itself, and when. A time to come may still change.
func (m *gangMember) finished(now clock.Instant) (end host.End, at clock.Instant) {
	m.gangs.mu.Lock()
	defer m.gangs.mu.Unlock()
	end, at = host.Done, never
	if began := m.run.began(); began != 0 {
		at = began
		for _, o := range m.run.members {
			at = max(at, o.work.end(began))
		}
	}
	for _, o := range m.run.members {
		if gone := o.gone(now); o != m && gone < at {
			end, at = host.Broken, max(gone, m.joined)
		}
	}
	if alone := m.aloneAt(); alone <= at {
		end, at = host.Alone, alone
	}
	return end, at
}

// gone returns when the member's run ends in another way than with all others, as far as that is known.
func (m *gangMember) gone(now clock.Instant) clock.Instant {
	at := m.aloneAt()
	if m.left != 0 {
		at = min(at, m.left)
	}
	if m.lapse < now {
		at = min(at, m.lapse)
	}
	return at
}

// aloneAt returns when the member has waited too long for the others.
func (m *gangMember) aloneAt() clock.Instant {
	at := m.joined.Add(m.gangs.Timeout)
	if began := m.run.began(); began != 0 && began <= at {
		return never
	}
	return at
}

// began returns when the last member joined, and zero as long as one is missing.
func (r *gangRun) began() clock.Instant {
	var last clock.Instant
	present := make(map[int]bool)
	for _, m := range r.members {
		present[m.index] = true
		last = max(last, m.joined)
	}
	if len(present) < r.size {
		return 0
	}
	return last
}
