// Package admission refuses work early, before it waits or costs anything, when
// its team is beyond the bounds of the class or the entry as a whole is full.
package admission

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"sniperill.example/sniperill/pkg/shop"
)

// Bounds of the work that an entry holds at once.
const (
	DefaultMaxTotal = 20000
	// reservedShare of the total belongs to the teams by their weights; no other
	// team can use it up. The rest is open to all that are beyond their part.
	reservedShare = 0.5
	// nonUrgentShare of the open rest takes any work; beyond it, only urgent work.
	nonUrgentShare = 0.7
	// defaultDrainTime is what an entry takes to drain a full queue, until its own
	// rate is known.
	defaultDrainTime = 10 * time.Second
	// MinRetryAfter and MaxRetryAfter bound what a caller is told.
	MinRetryAfter = 50 * time.Millisecond
	MaxRetryAfter = 5 * time.Minute
)

// Controller admits work. Set the exported fields before the first Update; then any
// number of goroutines may call Admit. Teams share no lock: each team and class
// has a limiter of its own, found through a table that Update replaces.
type Controller struct {
	// Now gives the time; nil stands for time.Now.
	Now func() time.Time
	// MaxTotal bounds the waiting work of all teams; zero stands for DefaultMaxTotal.
	MaxTotal int

	table  atomic.Pointer[table]
	shared atomic.Int64 // Work of teams that are beyond their reserved part.
	drain  drainMeter
}

// table is one configuration. It is never changed in place.
type table struct {
	teamClasses map[teamClassKey]*teamClass
	teams       map[string]*teamLoad
}

type teamClassKey struct{ team, class string }

// teamClass is one team's work of one class.
type teamClass struct {
	key       teamClassKey
	team      *teamLoad
	urgent    bool
	maxQueued int64
	limiter   *rate.Limiter
	queued    *atomic.Int64
	drain     *drainMeter
}

// teamLoad is the reserved part of a team and what it uses of it.
type teamLoad struct {
	used     *atomic.Int64
	reserved int64
}

// Update takes over a configuration. Its bounds hold for all live entries
// together, so each entry takes an equal part of them. Work that waits stays
// counted, and the tokens of a limiter stay used.
func (g *Controller) Update(config shop.Config, entries int) {
	now := g.now()
	old := g.table.Load()
	next := &table{teamClasses: make(map[teamClassKey]*teamClass), teams: make(map[string]*teamLoad)}
	weights := 0.0
	for _, t := range config.Teams {
		weights += t.Weight
	}
	for _, t := range config.Teams {
		reserved := g.maxTotal() * reservedShare * t.Weight / weights
		load := &teamLoad{used: new(atomic.Int64), reserved: int64(reserved)}
		if old != nil && old.teams[t.Name] != nil {
			load.used = old.teams[t.Name].used
		}
		next.teams[t.Name] = load
		for _, c := range config.Classes {
			k := teamClassKey{t.Name, c.Name}
			next.teamClasses[k] = newTeamClass(now, k, perEntryBounds(c, entries), load, old.teamClass(k))
		}
	}
	g.table.Store(next)
}

func (t *table) teamClass(k teamClassKey) *teamClass {
	if t == nil {
		return nil
	}
	return t.teamClasses[k]
}

// perEntryBounds returns the class with the bounds of one of several entries.
func perEntryBounds(c shop.Class, entries int) shop.Class {
	n := max(1, entries)
	c.Rate /= float64(n)
	c.Burst = (c.Burst + n - 1) / n
	c.MaxQueued = (c.MaxQueued + n - 1) / n
	return c
}

func newTeamClass(now time.Time, k teamClassKey, c shop.Class, load *teamLoad, old *teamClass) *teamClass {
	l := &teamClass{key: k, team: load, urgent: c.Urgent, maxQueued: int64(c.MaxQueued)}
	if old == nil {
		l.queued, l.drain = new(atomic.Int64), new(drainMeter)
		l.limiter = rate.NewLimiter(rate.Limit(c.Rate), c.Burst)
		return l
	}
	l.queued, l.drain, l.limiter = old.queued, old.drain, old.limiter
	l.limiter.SetLimitAt(now, rate.Limit(c.Rate))
	l.limiter.SetBurstAt(now, c.Burst)
	return l
}

// Admit takes one piece of work in, or returns a *Refusal. The ticket must be
// released once the work no longer waits.
func (g *Controller) Admit(team, class string) (*Ticket, error) {
	l := g.table.Load().teamClass(teamClassKey{team, class})
	if l == nil {
		return nil, &Refusal{Team: team, Class: class, Reason: UnknownName}
	}
	now := g.now()
	if n := l.queued.Add(1); n > l.maxQueued {
		l.queued.Add(-1)
		return nil, l.refuse(QueueBound, l.drain.timeToDrain(now, n-l.maxQueued))
	}
	ticket := &Ticket{controller: g, teamClass: l}
	if over := g.reserve(ticket); over > 0 {
		ticket.releaseCounts()
		return nil, l.refuse(TotalBound, g.drain.timeToDrain(now, over))
	}
	if !l.limiter.AllowN(now, 1) {
		ticket.releaseCounts()
		return nil, l.refuse(RateBound, l.timeUntilToken(now))
	}
	return ticket, nil
}

func (g *Controller) now() time.Time {
	if g.Now == nil {
		return time.Now()
	}
	return g.Now()
}

func (g *Controller) maxTotal() float64 {
	if g.MaxTotal <= 0 {
		return DefaultMaxTotal
	}
	return float64(g.MaxTotal)
}

// reserve counts the work against its team's reserved part, or else against
// the open rest. It returns how much has to leave first when that is full.
func (g *Controller) reserve(t *Ticket) int64 {
	team := t.teamClass.team
	if team.used.Add(1) <= team.reserved {
		return 0
	}
	team.used.Add(-1)
	t.shared = true
	limit := g.maxTotal() * (1 - reservedShare)
	if !t.teamClass.urgent {
		limit *= nonUrgentShare
	}
	return g.shared.Add(1) - int64(limit)
}

func (l *teamClass) refuse(r Reason, after time.Duration) *Refusal {
	return &Refusal{
		Team: l.key.team, Class: l.key.class, Reason: r,
		RetryAfter: min(max(after, MinRetryAfter), MaxRetryAfter),
	}
}

// timeUntilToken is how long the limiter takes to have a token again.
func (l *teamClass) timeUntilToken(now time.Time) time.Duration {
	missing := 1 - l.limiter.TokensAt(now)
	wait := time.Duration(missing / float64(l.limiter.Limit()) * float64(time.Second))
	return wait.Truncate(time.Millisecond) + time.Millisecond
}

// Ticket stands for one piece of admitted work that waits.
type Ticket struct {
	controller *Controller
	teamClass  *teamClass
	shared     bool // Counts against the open rest.
	released   atomic.Bool
}

// Release says that the work no longer waits. Further calls do nothing.
func (t *Ticket) Release() {
	if t.released.Swap(true) {
		return
	}
	now := t.controller.now()
	t.releaseCounts()
	t.teamClass.drain.add(now)
	t.controller.drain.add(now)
}

func (t *Ticket) releaseCounts() {
	t.teamClass.queued.Add(-1)
	if t.shared {
		t.controller.shared.Add(-1)
		return
	}
	t.teamClass.team.used.Add(-1)
}
