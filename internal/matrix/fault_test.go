package matrix

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// Parameters of faults: the delay of the log, and the number of calls in a burst.
const (
	slowLogDelay   = 1500 * time.Millisecond
	burstCallCount = 300
)

// defaultDuration returns how long a fault lasts in the matrix.
func defaultDuration(f Fault) time.Duration {
	switch f {
	case LeaseLapses:
		return gangTimes().ExpireAfter() + 3*time.Second
	case LogAnswerLost:
		return 3 * time.Second
	case WorkerFailsAll, RegionsParted:
		return 20 * time.Second
	default:
		return 8 * time.Second
	}
}

// inject injects a fault, and ends it after its duration.
func (d *deployment) inject(a *armedFault, m message) {
	d.logf("fault: %s at %s, %+v", a.fault, a.step, m)
	agent, e := d.agentOf(m), d.entryOf(m)
	afterDuration := func(f func()) { time.AfterFunc(a.duration, f) }
	switch a.fault {
	case None:
	case EntryDies:
		e.kill()
		afterDuration(e.restart)
	case AgentDies:
		agent.kill()
		afterDuration(agent.restart)
	case WorkerDies:
		agent.worker.Crash()
		afterDuration(agent.worker.Restart)
	case BackendDies:
		host := agent.name + ".backend"
		agent.backend.replace()
		d.cut(agent.name, host)
		afterDuration(func() { d.heal(agent.name, host) })
	case LogDown, LogSlow, LogAnswerLost:
		d.injectLogFault(a)
	case LeaseLapses:
		if p := agent.runningProcess(); p != nil {
			p.pause()
			afterDuration(p.resume)
		}
	case ConnectionSilent:
		d.silenceConnections(agent.name, m)
	case OperatorsRace:
		d.workload.spawn(d.raceOperators)
	case Cancellation:
		d.workload.spawn(d.workload.cancelSome)
	case WorkerFailsAll:
		agent.worker.SetBroken(true)
		afterDuration(func() { agent.worker.SetBroken(false) })
	case ZoneLost:
		d.loseZone(agent.place.Zone, a.duration)
	case RegionsParted:
		d.partitionRegions(a.duration)
	case OverloadBurst:
		for i := range burstCallCount {
			d.workload.spawn(func() { d.workload.sendBurst(i) })
		}
	}
}

// restart starts a new incarnation, unless one is running or the deployment is closed.
func (n *entryNode) restart() {
	if n.runningProcess() == nil && !n.d.closed() {
		n.start()
	}
}

// restart starts a new incarnation, unless one is running or the deployment is closed.
func (n *agentNode) restart() {
	if n.runningProcess() == nil && !n.d.closed() {
		n.start()
	}
}

// cut breaks the link between two hosts. Cuts are counted, as faults that cut the same link
// may overlap: it heals when heal was called as often.
func (d *deployment) cut(from, to string) {
	d.mu.Lock()
	if d.cutCounts == nil {
		d.cutCounts = make(map[[2]string]int)
	}
	d.cutCounts[[2]string{from, to}]++
	d.mu.Unlock()
	d.network.Cut(from, to)
}

// heal undoes one cut of a link.
func (d *deployment) heal(from, to string) {
	d.mu.Lock()
	d.cutCounts[[2]string{from, to}]--
	healed := d.cutCounts[[2]string{from, to}] == 0
	d.mu.Unlock()
	if healed {
		d.network.Heal(from, to)
	}
}

// breakConnections closes the open connections dialled by a host that died.
func (d *deployment) breakConnections(from string) {
	for _, to := range d.allHosts() {
		d.cut(from, to)
		d.heal(from, to)
	}
}

// allHosts returns the names of all hosts, including those of the log and the stand-ins.
func (d *deployment) allHosts() []string {
	out := append(d.hosts(func(shop.Place) bool { return true }), logHost)
	for _, a := range d.agents {
		out = append(out, a.name+".backend", a.name+".platform")
	}
	return out
}

// injectLogFault adds a fault of the log. After its duration, the oldest fault of the log is removed.
func (d *deployment) injectLogFault(a *armedFault) {
	d.mu.Lock()
	d.logFaults = append(d.logFaults, a)
	d.mu.Unlock()
	d.applyLogFaults()
	time.AfterFunc(a.duration, func() {
		d.mu.Lock()
		d.logFaults = d.logFaults[1:]
		d.mu.Unlock()
		d.applyLogFaults()
	})
}

// applyLogFaults sets the current faults at the log stand-in.
func (d *deployment) applyLogFaults() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var f standin.LogFaults
	for _, a := range d.logFaults {
		switch a.fault {
		case LogDown:
			f.Down = true
		case LogSlow:
			f.Delay = slowLogDelay
		case LogAnswerLost:
			f.LoseAnswers = true
		}
	}
	d.log.SetFaults(f)
}

// silenceConnections silences the open connections between an agent and the entries, from
// the agent to other agents, and those that the message was sent over: they lose
// everything that is written, without an error.
func (d *deployment) silenceConnections(agent string, m message) {
	for _, e := range d.entries {
		d.network.Silence(e.name, agent)
		d.network.Silence(agent, e.name)
	}
	if m.from != "" && m.to != "" {
		d.network.Silence(m.from, m.to)
	}
	for _, a := range d.agents {
		d.network.Silence(agent, a.name)
	}
}

// raceOperators applies two changes that are based on the same version, at two entries if
// both are ready. At most one may be accepted.
func (d *deployment) raceOperators() {
	_, first, _ := d.readyEntry(0)
	_, second, _ := d.readyEntry(1)
	if first == nil || second == nil {
		return
	}
	base := max(versionOf(first), versionOf(second))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	results := make(chan error, 2)
	for i, e := range []*entry.Entry{first, second} {
		go func() {
			_, err := e.Apply(ctx, config(100+i), base, fmt.Sprintf("racer-%d", i), false)
			results <- err
		}()
	}
	a, b := <-results, <-results
	if a == nil && b == nil {
		d.errorf("both racing operators were given version %d", base+1)
	}
	for _, err := range []error{a, b} {
		if err != nil && !errors.Is(err, shop.ErrConflict) {
			d.logf("race: %v", err)
		}
	}
}

// loseZone kills the entries, agents, workers and backend servers in a zone, and restarts
// them after a duration.
func (d *deployment) loseZone(zone string, duration time.Duration) {
	for _, e := range d.entries {
		if e.place.Zone == zone {
			e.kill()
			time.AfterFunc(duration, e.restart)
		}
	}
	for _, a := range d.agents {
		if a.place.Zone == zone {
			a.kill()
			a.worker.Crash()
			a.backend.replace()
			time.AfterFunc(duration, func() {
				a.worker.Restart()
				a.restart()
			})
		}
	}
}

// partitionRegions cuts every link between the entries and agents of the two regions for a duration.
func (d *deployment) partitionRegions(duration time.Duration) {
	first := d.hosts(func(p shop.Place) bool { return p.Region == regionOne })
	second := d.hosts(func(p shop.Place) bool { return p.Region != regionOne })
	for _, a := range first {
		for _, b := range second {
			d.cut(a, b)
			d.cut(b, a)
			time.AfterFunc(duration, func() {
				d.heal(a, b)
				d.heal(b, a)
			})
		}
	}
}
