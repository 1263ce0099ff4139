package roster

import "time"

// The heartbeats of all agents and the digests of all entries together stay
// within a part of each entry's bandwidth, so their interval grows with the number
// of agents and entries.
const (
	MinInterval = 2 * time.Second
	MaxInterval = 15 * time.Second
	// MaxHoldTime is the longest time for which an entry holds a heartbeat
	// unanswered.
	MaxHoldTime = standbyFactor * MaxInterval
	// InitialHoldTime is how long an entry may hold a heartbeat of an agent to
	// which it has not announced a hold time yet.
	InitialHoldTime = 5 * time.Second
	// standbyFactor is the ratio of the interval of heartbeats to the standby to
	// that of heartbeats to the primary.
	standbyFactor = 3
	// heartbeatBytes is the size of one heartbeat with its answer on the wire.
	heartbeatBytes = 430
	// exchangeBytes is the size of one exchange on the wire without its digests,
	// and digestBytes what each digest adds when compressed.
	exchangeBytes = 700
	digestBytes   = 11
	// targetBytesPerSecond is the traffic of heartbeats and exchanges per entry that
	// the interval is chosen for.
	targetBytesPerSecond = 9000
)

// Interval returns the time between the heartbeats of an agent to its primary
// entry, and between exchanges of two entries.
func (r *Roster) Interval() time.Duration { return r.View().interval() }

func (v *View) interval() time.Duration {
	entries := float64(max(1, len(v.Entries.Live())))
	agents := float64(len(v.Agents))
	heartbeats := agents / entries * (1 + 1.0/standbyFactor)
	exchanges := 2 * (entries - 1)
	digests := agents/entries + agents/digestRounds
	bytes := heartbeats*heartbeatBytes + exchanges*(exchangeBytes+digests*digestBytes)
	seconds := bytes / targetBytesPerSecond
	return min(MaxInterval, max(MinInterval, time.Duration(seconds*float64(time.Second))))
}

// HoldTime returns how long the entry holds a heartbeat of the agent unanswered
// when it has nothing to send: never longer than was announced to the agent. The
// agent sends its next heartbeat after the answer, so changes reach it at once
// while heartbeats stay rare.
func (r *Roster) HoldTime(agent string) time.Duration {
	announced := InitialHoldTime
	v := r.View()
	m, ok := v.Agents.Find(agent)
	if ok && m.announcedHoldTime.Load() > 0 {
		announced = time.Duration(m.announcedHoldTime.Load())
	}
	return min(announced, r.heartbeatInterval(m, v))
}

// NextHoldTime returns how long the entry may hold the agent's next heartbeat, to be
// announced with the answer to this one. It also records that value.
func (r *Roster) NextHoldTime(agent string) time.Duration {
	v := r.View()
	m, ok := v.Agents.Find(agent)
	holdTime := r.heartbeatInterval(m, v)
	if ok {
		m.announcedHoldTime.Store(int64(holdTime))
	}
	return holdTime
}

// heartbeatInterval returns the time between the agent's heartbeats to this entry.
func (r *Roster) heartbeatInterval(m *Member, v *View) time.Duration {
	if m != nil && !r.isPrimary(m, v) {
		return standbyFactor * v.interval()
	}
	return v.interval()
}

// isPrimary reports whether this entry is the agent's primary, whose digests name the
// agent in every round.
func (r *Roster) isPrimary(m *Member, v *View) bool {
	assigned := AssignEntries(m.Name(), m.State.GetPlace().GetRegion(), v.Entries.Live())
	return assigned.Primary.GetName() == r.Self.GetName()
}

// suspectAfter and deadAfter return the silences after which an agent is suspect or
// may be declared dead. The defaults grow with the interval of heartbeats.
func (r *Roster) suspectAfter(v *View) time.Duration {
	if r.SuspectAfter > 0 {
		return r.SuspectAfter
	}
	return scaleToInterval(DefaultSuspectAfter, v)
}

func (r *Roster) deadAfter(v *View) time.Duration {
	if r.DeadAfter > 0 {
		return r.DeadAfter
	}
	return scaleToInterval(DefaultDeadAfter, v)
}

func scaleToInterval(d time.Duration, v *View) time.Duration {
	return time.Duration(float64(d) * float64(v.interval()) / float64(MinInterval))
}
