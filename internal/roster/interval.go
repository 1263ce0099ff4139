package roster

import "time"

// Heartbeats of all agents and digests of all entries together stay within a
// part of each entry's bandwidth, so their interval grows with the agents and
// the entries.
const (
	MinInterval = 2 * time.Second
	MaxInterval = 15 * time.Second
	// MaxHoldTime is the longest time that a heartbeat stays unanswered.
	MaxHoldTime = standbyFactor * MaxInterval
	// InitialHoldTime is how long an entry may hold a heartbeat of an agent that it
	// has not told yet.
	InitialHoldTime = 5 * time.Second
	// standbyFactor is how much rarer heartbeats to the standby are.
	standbyFactor = 3
	// heartbeatBytes is one heartbeat with its answer on the wire.
	heartbeatBytes = 430
	// exchangeBytes is one exchange on the wire without its digests, and
	// digestBytes what each of those adds when compressed.
	exchangeBytes = 700
	digestBytes   = 11
	// targetBytesPerSecond is what an entry spends on heartbeats and exchanges, in bytes a second.
	targetBytesPerSecond = 9000
)

// Interval is the time between the heartbeats of an agent to its primary
// entry, and between exchanges of two entries.
func (r *Roster) Interval() time.Duration { return r.View().interval() }

func (v *View) interval() time.Duration {
	entries := float64(max(1, len(v.Entries.Live())))
	agents := float64(len(v.Agents))
	beats := agents / entries * (1 + 1.0/standbyFactor)
	exchanges := 2 * (entries - 1)
	digests := agents/entries + agents/digestRounds
	bytes := beats*heartbeatBytes + exchanges*(exchangeBytes+digests*digestBytes)
	seconds := bytes / targetBytesPerSecond
	return min(MaxInterval, max(MinInterval, time.Duration(seconds*float64(time.Second))))
}

// HoldTime is how long an entry keeps a heartbeat unanswered when it has no news
// for the agent: never longer than the agent was told. The agent sends the next
// one after the answer, so news reaches it at once while heartbeats stay rare.
func (r *Roster) HoldTime(agent string) time.Duration {
	told := InitialHoldTime
	v := r.View()
	m, ok := v.Agents.Find(agent)
	if ok && m.announcedHoldTime.Load() > 0 {
		told = time.Duration(m.announcedHoldTime.Load())
	}
	return min(told, r.heartbeatInterval(m, v))
}

// NextHoldTime is how long the entry may keep the agent's next heartbeat, as it is
// told with the answer of this one.
func (r *Roster) NextHoldTime(agent string) time.Duration {
	v := r.View()
	m, ok := v.Agents.Find(agent)
	due := r.heartbeatInterval(m, v)
	if ok {
		m.announcedHoldTime.Store(int64(due))
	}
	return due
}

func (r *Roster) heartbeatInterval(m *Member, v *View) time.Duration {
	if m != nil && !r.isPrimary(m, v) {
		return standbyFactor * v.interval()
	}
	return v.interval()
}

// isPrimary says whether this entry is the one whose digests name the agent.
func (r *Roster) isPrimary(m *Member, v *View) bool {
	homes := AssignEntries(m.Name(), m.State.GetPlace().GetRegion(), v.Entries.Live())
	return homes.Primary.GetName() == r.Self.GetName()
}

// suspectAfter and deadAfter grow with the interval of heartbeats.
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
