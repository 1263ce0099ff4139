package roster

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxConcurrentProbes is how many agents are probed at once.
const maxConcurrentProbes = 128

// Run judges silence until ctx ends.
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

// Tick judges silence once: it suspects, probes, declares dead and forgets.
func (r *Roster) Tick(ctx context.Context) {
	view, now := r.View(), r.now()
	suspectAfter, deadAfter := r.suspectAfter(view), r.deadAfter(view)
	var changed, doubtful MemberList
	for _, m := range view.Agents {
		age := m.age(now)
		switch {
		case age <= suspectAfter && m.Health != Alive:
			becameAlive.Inc()
			changed = append(changed, m.with(m.State, Alive))
		case age > suspectAfter && m.Health == Alive:
			doubtful = append(doubtful, m)
		case age > deadAfter && m.Health == Suspect:
			doubtful = append(doubtful, m)
		}
	}
	changed = append(changed, r.checkSilent(ctx, doubtful, r.regionsMostlySilent(view, now))...)
	if len(changed) > 0 || r.timeoutsDue(view, now) {
		r.update(func(v *View) {
			v.Agents = v.Agents.withAll(changed)
			r.applyTimeouts(v, now)
		})
	}
}

// regionsMostlySilent returns the regions in which so many agents are silent at once
// that this entry's own link may be the cause.
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

// withAll returns a list with some members replaced, unless they have news.
func (l MemberList) withAll(changed MemberList) MemberList {
	for _, m := range changed {
		now, ok := l.Find(m.Name())
		if ok && now.State == m.State {
			l = l.with(m)
		}
	}
	return l
}

// checkSilent probes agents that have been silent for too long and returns those
// whose health changes. A probe that succeeds is a sign of life.
func (r *Roster) checkSilent(ctx context.Context, doubtful MemberList, many []string) MemberList {
	alive := r.probe(ctx, doubtful)
	var out MemberList
	now := r.now()
	for i, m := range doubtful {
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
		case slices.Contains(many, m.State.GetPlace().GetRegion()) && !r.confirmedSilent(m, now):
			// It may be this entry that is cut off.
		default:
			becameDead.Inc()
			out = append(out, m.with(m.State, Dead))
		}
	}
	return out
}

// probe says which agents answer on a fresh connection.
func (r *Roster) probe(ctx context.Context, agents MemberList) []bool {
	alive := make([]bool, len(agents))
	if r.Probe == nil {
		return alive
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for i, m := range agents {
		group.Go(func() error {
			probing, cancel := context.WithTimeout(ctx, r.ProbeTimeout)
			defer cancel()
			alive[i] = r.Probe(probing, m.State) == nil
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
	return alive
}

// confirmedSilent says whether another entry of the agent's region found it silent lately.
func (r *Roster) confirmedSilent(m *Member, now time.Time) bool {
	outside := m.reportedSilent.Load()
	return outside > m.lastHeard.Load() && now.Sub(time.Unix(0, outside)) < r.deadAfter(r.View())
}

// timeoutsDue says whether time alone changes the view.
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

// applyTimeouts forgets dead agents and entries, and marks entries that fell silent.
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
