// Package admission refuses work, that is jobs and calls, before it is queued or uses
// resources, if its team exceeds the bounds of the class or too much work waits at the
// entry.
package admission

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"sniperill.example/sniperill/pkg/shop"
)

// Bounds of the work that waits at an entry.
const (
	DefaultMaxTotal = 20000
	// reservedShare is the share of the total that is reserved for the teams by their
	// weights, so that no other team can use it up. Teams beyond their reserved part
	// share the rest.
	reservedShare = 0.5
	// nonUrgentShare is the share of the shared part that any work may use. The rest
	// of it is for urgent work only.
	nonUrgentShare = 0.7
	// defaultDrainTime is the assumed time to drain a full queue if no work has left
	// lately, so that the rate is unknown.
	defaultDrainTime = 10 * time.Second
	// MinRetryAfter and MaxRetryAfter bound Refusal.RetryAfter.
	MinRetryAfter = 50 * time.Millisecond
	MaxRetryAfter = 5 * time.Minute
)

// Controller admits work. Set the exported fields before the first Update; then any
// number of goroutines may call Admit. Teams share no lock: each team and class has
// its own limiter, looked up in a table that Update replaces.
type Controller struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// MaxTotal bounds the waiting work of all teams at this entry; zero means
	// DefaultMaxTotal. It is not divided among the entries, unlike the bounds of classes.
	MaxTotal int

	table  atomic.Pointer[table]
	shared atomic.Int64 // Work that counts against the shared part.
	drain  drainMeter
}

// table is the limits of one configuration. It is immutable, except for the counters
// and limiters that it refers to.
type table struct {
	teamClasses map[teamClassKey]*teamClass
	teams       map[string]*teamLoad
}

type teamClassKey struct{ team, class string }

// teamClass is the limits and counters of one team in one class.
type teamClass struct {
	key       teamClassKey
	team      *teamLoad
	urgent    bool
	maxQueued int64
	limiter   *rate.Limiter
	queued    *atomic.Int64
	drain     *drainMeter
}

// teamLoad is the reserved part of a team and how much of it is in use.
type teamLoad struct {
	used     *atomic.Int64
	reserved int64
}

// Update applies a configuration. The bounds of its classes hold for all live entries
// together, so each entry gets an equal part. Waiting work stays counted, and used
// tokens of a limiter stay used.
func (c *Controller) Update(config shop.Config, entries int) {
	now := c.now()
	old := c.table.Load()
	next := &table{teamClasses: make(map[teamClassKey]*teamClass), teams: make(map[string]*teamLoad)}
	weights := 0.0
	for _, t := range config.Teams {
		weights += t.Weight
	}
	for _, t := range config.Teams {
		reserved := c.maxTotal() * reservedShare * t.Weight / weights
		load := &teamLoad{used: new(atomic.Int64), reserved: int64(reserved)}
		if old != nil && old.teams[t.Name] != nil {
			load.used = old.teams[t.Name].used
		}
		next.teams[t.Name] = load
		for _, class := range config.Classes {
			k := teamClassKey{t.Name, class.Name}
			next.teamClasses[k] = newTeamClass(now, k, perEntryBounds(class, entries), load, old.teamClass(k))
		}
	}
	c.table.Store(next)
}

func (t *table) teamClass(k teamClassKey) *teamClass {
	if t == nil {
		return nil
	}
	return t.teamClasses[k]
}

// perEntryBounds returns the class with its bounds divided among the entries, rounded
// up where they are integers.
func perEntryBounds(class shop.Class, entries int) shop.Class {
	n := max(1, entries)
	class.Rate /= float64(n)
	class.Burst = (class.Burst + n - 1) / n
	class.MaxQueued = (class.MaxQueued + n - 1) / n
	return class
}

// newTeamClass returns the limits of a class. It takes over the counters and the
// limiter of old, if any.
func newTeamClass(now time.Time, k teamClassKey, class shop.Class, load *teamLoad, old *teamClass) *teamClass {
	tc := &teamClass{key: k, team: load, urgent: class.Urgent, maxQueued: int64(class.MaxQueued)}
	if old == nil {
		tc.queued, tc.drain = new(atomic.Int64), new(drainMeter)
		tc.limiter = rate.NewLimiter(rate.Limit(class.Rate), class.Burst)
		return tc
	}
	tc.queued, tc.drain, tc.limiter = old.queued, old.drain, old.limiter
	tc.limiter.SetLimitAt(now, rate.Limit(class.Rate))
	tc.limiter.SetBurstAt(now, class.Burst)
	return tc
}

// Admit admits one job or call, or returns a *Refusal. The ticket must be released
// when the work no longer waits.
func (c *Controller) Admit(team, class string) (*Ticket, error) {
	tc := c.table.Load().teamClass(teamClassKey{team, class})
	if tc == nil {
		return nil, &Refusal{Team: team, Class: class, Reason: UnknownName}
	}
	now := c.now()
	if n := tc.queued.Add(1); n > tc.maxQueued {
		tc.queued.Add(-1)
		return nil, tc.refuse(QueueBound, tc.drain.timeToDrain(now, n-tc.maxQueued))
	}
	ticket := &Ticket{controller: c, teamClass: tc}
	if over := c.reserve(ticket); over > 0 {
		ticket.releaseCounts()
		return nil, tc.refuse(TotalBound, c.drain.timeToDrain(now, over))
	}
	if !tc.limiter.AllowN(now, 1) {
		ticket.releaseCounts()
		return nil, tc.refuse(RateBound, tc.timeUntilToken(now))
	}
	return ticket, nil
}

func (c *Controller) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

func (c *Controller) maxTotal() float64 {
	if c.MaxTotal <= 0 {
		return DefaultMaxTotal
	}
	return float64(c.MaxTotal)
}

// reserve counts the work against its team's reserved part, or else against the
// shared part. It returns by how much that exceeds the limit of the shared part; the
// work fits if the result is not positive.
func (c *Controller) reserve(t *Ticket) int64 {
	team := t.teamClass.team
	if team.used.Add(1) <= team.reserved {
		return 0
	}
	team.used.Add(-1)
	t.shared = true
	limit := c.maxTotal() * (1 - reservedShare)
	if !t.teamClass.urgent {
		limit *= nonUrgentShare
	}
	return c.shared.Add(1) - int64(limit)
}

func (tc *teamClass) refuse(r Reason, after time.Duration) *Refusal {
	return &Refusal{
		Team: tc.key.team, Class: tc.key.class, Reason: r,
		RetryAfter: min(max(after, MinRetryAfter), MaxRetryAfter),
	}
}

// timeUntilToken returns the time until the limiter has a token. It adds up to
// a millisecond, so that a retry does not come too early.
func (tc *teamClass) timeUntilToken(now time.Time) time.Duration {
	missing := 1 - tc.limiter.TokensAt(now)
	wait := time.Duration(missing / float64(tc.limiter.Limit()) * float64(time.Second))
	return wait.Truncate(time.Millisecond) + time.Millisecond
}

// Ticket represents one admitted job or call that waits.
type Ticket struct {
	controller *Controller
	teamClass  *teamClass
	shared     bool // Counts against the shared part.
	released   atomic.Bool
}

// Release records that the work no longer waits. Further calls do nothing.
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
