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

// Sizes of faults.
const (
	slowLogDelay   = 1500 * time.Millisecond
	burstCallCount = 300
)

// defaultDuration is how long a fault of a cell lasts.
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

// inject puts a fault in now, and lets it heal later.
func (d *deployment) inject(a *armedFault, m message) {
	d.logf("fault: %s at %s, %+v", a.fault, a.step, m)
	agent, taker := d.agentOf(m), d.entryOf(m)
	heal := func(f func()) { time.AfterFunc(a.duration, f) }
	switch a.fault {
	case None:
	case EntryDies:
		taker.kill()
		heal(taker.restart)
	case AgentDies:
		agent.kill()
		heal(agent.restart)
	case WorkerDies:
		agent.worker.Crash()
		heal(agent.worker.Restart)
	case BackendDies:
		host := agent.name + ".backend"
		agent.backend.replace()
		d.cut(agent.name, host)
		heal(func() { d.heal(agent.name, host) })
	case LogDown, LogSlow, LogAnswerLost:
		d.injectLogFault(a)
	case LeaseLapses:
		if p := agent.runningProcess(); p != nil {
			p.pause()
			heal(p.resume)
		}
	case ConnectionSilent:
		d.silenceConnections(agent.name, m)
	case OperatorsRace:
		d.workload.spawn(d.raceOperators)
	case Cancellation:
		d.workload.spawn(d.workload.cancelSome)
	case WorkerFailsAll:
		agent.worker.SetBroken(true)
		heal(func() { agent.worker.SetBroken(false) })
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

func (n *entryNode) restart() {
	if n.runningProcess() == nil && !n.d.closed() {
		n.start()
	}
}

func (n *agentNode) restart() {
	if n.runningProcess() == nil && !n.d.closed() {
		n.start()
	}
}

// cut parts two hosts, counted, as several faults may part them.
func (d *deployment) cut(from, to string) {
	d.mu.Lock()
	if d.cutCounts == nil {
		d.cutCounts = make(map[[2]string]int)
	}
	d.cutCounts[[2]string{from, to}]++
	d.mu.Unlock()
	d.network.Cut(from, to)
}

func (d *deployment) heal(from, to string) {
	d.mu.Lock()
	d.cutCounts[[2]string{from, to}]--
	whole := d.cutCounts[[2]string{from, to}] == 0
	d.mu.Unlock()
	if whole {
		d.network.Heal(from, to)
	}
}

// breakConnections ends the open connections of a host that died.
func (d *deployment) breakConnections(from string) {
	for _, to := range d.allHosts() {
		d.cut(from, to)
		d.heal(from, to)
	}
}

func (d *deployment) allHosts() []string {
	out := append(d.hosts(func(shop.Place) bool { return true }), logHost)
	for _, a := range d.agents {
		out = append(out, a.name+".backend", a.name+".platform")
	}
	return out
}

// injectLogFault adds the faults of the log, and takes them away later.
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

// silenceConnections lets the open connections between an agent and the entries, and those
// of the message, go silent.
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

// raceOperators lets two operators change the same version at two entries.
func (d *deployment) raceOperators() {
	_, first, _ := d.readyEntry(0)
	_, second, _ := d.readyEntry(1)
	if first == nil || second == nil {
		return
	}
	base := max(versionOf(first), versionOf(second))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	won := make(chan error, 2)
	for i, e := range []*entry.Entry{first, second} {
		go func() {
			_, err := e.Apply(ctx, config(100+i), base, fmt.Sprintf("racer-%d", i), false)
			won <- err
		}()
	}
	a, b := <-won, <-won
	if a == nil && b == nil {
		d.errorf("two operators won version %d", base+1)
	}
	for _, err := range []error{a, b} {
		if err != nil && !errors.Is(err, shop.ErrConflict) {
			d.logf("race: %v", err)
		}
	}
}

// loseZone kills everything in a zone.
func (d *deployment) loseZone(zone string, heal time.Duration) {
	for _, e := range d.entries {
		if e.place.Zone == zone {
			e.kill()
			time.AfterFunc(heal, e.restart)
		}
	}
	for _, a := range d.agents {
		if a.place.Zone == zone {
			a.kill()
			a.worker.Crash()
			a.backend.replace()
			time.AfterFunc(heal, func() {
				a.worker.Restart()
				a.restart()
			})
		}
	}
}

// partitionRegions cuts every link between the two regions for a while.
func (d *deployment) partitionRegions(heal time.Duration) {
	first := d.hosts(func(p shop.Place) bool { return p.Region == regionOne })
	second := d.hosts(func(p shop.Place) bool { return p.Region != regionOne })
	for _, a := range first {
		for _, b := range second {
			d.cut(a, b)
			d.cut(b, a)
			time.AfterFunc(heal, func() {
				d.heal(a, b)
				d.heal(b, a)
			})
		}
	}
}
