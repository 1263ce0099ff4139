package roster

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxConcurrentProbes is the number of agents that are probed at the same time.
const maxConcurrentProbes = 128

// Run calls Tick every TickInterval until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Tick(ctx)
		}
	}
}

// Tick checks once how long agents and entries have been silent. It probes silent
// agents, marks them as suspect or dead, and removes agents and entries that have
// been silent for ForgetAfter.
func (r *Roster) Tick(ctx context.Context) {
	view, now := r.View(), r.now()
	suspectAfter, deadAfter := r.suspectAfter(view), r.deadAfter(view)
	var changed, silent MemberList
	for _, m := range view.Agents {
		age := m.age(now)
		switch {
		case age <= suspectAfter && m.Health != Alive:
			becameAlive.Inc()
			changed = append(changed, m.with(m.State, Alive))
		case age > suspectAfter && m.Health == Alive:
			silent = append(silent, m)
		case age > deadAfter && m.Health == Suspect:
			silent = append(silent, m)
		}
	}
	changed = append(changed, r.checkSilent(ctx, silent, r.regionsMostlySilent(view, now))...)
	if len(changed) > 0 || r.timeoutsDue(view, now) {
		r.update(func(v *View) {
			v.Agents = v.Agents.withAll(changed)
			r.applyTimeouts(v, now)
		})
	}
}

// regionsMostlySilent returns the regions in which so many agents are silent at the
// same time that this entry's own link may be the cause.
func (r *Roster) regionsMostlySilent(view *View, now time.Time) []string {
	suspectAfter := r.suspectAfter(view)
	silent, all := make(map[string]int), make(map[string]int)
	for _, m := range view.Agents {
		if m.Health == Dead {
			continue
		}
		region := m.State.GetPlace().GetRegion()
		all[region]++
		if m.age(now) > suspectAfter {
			silent[region]++
		}
	}
	var out []string
	for region, n := range silent {
		if n >= minSilentAgents && float64(n) >= minSilentShare*float64(all[region]) {
			ownLinkSuspect.Inc()
			out = append(out, region)
		}
	}
	return out
}

// withAll returns a list in which the changed members are replaced, except for those
// whose state has changed in the meantime.
func (l MemberList) withAll(changed MemberList) MemberList {
	for _, m := range changed {
		current, ok := l.Find(m.Name())
		if ok && current.State == m.State {
			l = l.with(m)
		}
	}
	return l
}

// checkSilent probes agents that have been silent for too long and returns those
// whose health changes. A probe that succeeds counts as hearing from the agent.
// When most agents of a region are silent, a suspect one becomes dead only if
// another entry confirms that it is silent.
func (r *Roster) checkSilent(ctx context.Context, silent MemberList, mostlySilent []string) MemberList {
	alive := r.probe(ctx, silent)
	var out MemberList
	now := r.now()
	for i, m := range silent {
		switch {
		case alive[i]:
			storeMax(&m.lastHeard, now.UnixNano())
			if m.Health != Alive {
				becameAlive.Inc()
				out = append(out, m.with(m.State, Alive))
			}
		case m.Health == Alive:
			becameSuspect.Inc()
			out = append(out, m.with(m.State, Suspect))
		case slices.Contains(mostlySilent, m.State.GetPlace().GetRegion()) && !r.confirmedSilent(m, now):
			// This entry itself may be cut off.
		default:
			becameDead.Inc()
			out = append(out, m.with(m.State, Dead))
		}
	}
	return out
}

// probe reports for each agent whether it answers on a new connection.
func (r *Roster) probe(ctx context.Context, agents MemberList) []bool {
	alive := make([]bool, len(agents))
	if r.Probe == nil {
		return alive
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for i, m := range agents {
		group.Go(func() error {
			probeCtx, cancel := context.WithTimeout(ctx, r.ProbeTimeout)
			defer cancel()
			alive[i] = r.Probe(probeCtx, m.State) == nil
			return nil
		})
	}
	// The functions of the group never return an error.
	_ = group.Wait()
	return alive
}

// confirmedSilent reports whether another entry of the agent's region recently
// reported it as silent, and nobody has heard from it since.
func (r *Roster) confirmedSilent(m *Member, now time.Time) bool {
	reported := m.reportedSilent.Load()
	return reported > m.lastHeard.Load() && now.Sub(time.Unix(0, reported)) < r.deadAfter(r.View())
}

// timeoutsDue reports whether applyTimeouts would change the view.
func (r *Roster) timeoutsDue(v *View, now time.Time) bool {
	for _, m := range v.Agents {
		if m.Health == Dead && m.age(now) > r.ForgetAfter {
			return true
		}
	}
	for _, e := range v.Entries {
		if e.Live != r.isLive(e, now) || r.isExpired(e, now) {
			return true
		}
	}
	return false
}

func (r *Roster) isLive(e Entry, now time.Time) bool {
	heard := e.lastHeard.Load()
	return e.Peer.GetName() == r.Self.GetName() || heard > 0 && now.Sub(time.Unix(0, heard)) <= r.deadAfter(r.View())
}

func (r *Roster) isExpired(e Entry, now time.Time) bool {
	return !r.isLive(e, now) && now.Sub(time.Unix(0, max(e.lastHeard.Load(), e.firstHeard))) > r.ForgetAfter
}

// applyTimeouts removes agents and entries that have been silent for ForgetAfter and
// updates which entries are live.
func (r *Roster) applyTimeouts(v *View, now time.Time) {
	var agents MemberList
	for _, m := range v.Agents {
		if m.Health != Dead || m.age(now) <= r.ForgetAfter {
			agents = append(agents, m)
		}
	}
	var entries EntryList
	changed := false
	for _, e := range v.Entries {
		live := r.isLive(e, now)
		changed = changed || live != e.Live
		e.Live = live
		if !r.isExpired(e, now) {
			entries = append(entries, e)
		}
	}
	v.Agents, v.Entries = agents, entries
	if changed {
		v.EntriesVersion++
	}
}
