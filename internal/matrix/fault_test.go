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
	slowBy     = 1500 * time.Millisecond
	burstCalls = 300
)

// defaultHeal is how long a fault of a cell lasts.
func defaultHeal(f Fault) time.Duration {
	switch f {
	case LeaseLapses:
		return times().ExpireAfter() + 3*time.Second
	case LogAnswerLost:
		return 3 * time.Second
	case WorkerFailsAll, RegionsParted:
		return 20 * time.Second
	default:
		return 8 * time.Second
	}
}

// inject puts a fault in now, and lets it heal later.
func (d *deployment) inject(a *armed, m passing) {
	d.logf("fault: %s at %s, %+v", a.fault, a.step, m)
	agent, taker := d.agentOf(m), d.entryOf(m)
	heal := func(f func()) { time.AfterFunc(a.heal, f) }
	switch a.fault {
	case None:
	case EntryDies:
		taker.kill()
		heal(taker.revive)
	case AgentDies:
		agent.kill()
		heal(agent.revive)
	case WorkerDies:
		agent.worker.Crash()
		heal(agent.worker.Restart)
	case BackendDies:
		host := agent.name + ".backend"
		agent.backend.renew()
		d.cut(agent.name, host)
		heal(func() { d.heal(agent.name, host) })
	case LogDown, LogSlow, LogAnswerLost:
		d.breakLog(a)
	case LeaseLapses:
		if p := agent.life(); p != nil {
			p.pause()
			heal(p.resume)
		}
	case ConnectionSilent:
		d.silence(agent.name, m)
	case OperatorsRace:
		d.work.spawn(d.race)
	case Cancellation:
		d.work.spawn(d.work.cancelSome)
	case WorkerFailsAll:
		agent.worker.SetBroken(true)
		heal(func() { agent.worker.SetBroken(false) })
	case ZoneLost:
		d.loseZone(agent.place.Zone, a.heal)
	case RegionsParted:
		d.part(a.heal)
	case OverloadBurst:
		for i := range burstCalls {
			d.work.spawn(func() { d.work.burst(i) })
		}
	}
}

func (n *entryNode) revive() {
	if n.life() == nil && !n.d.closed() {
		n.run()
	}
}

func (n *agentNode) revive() {
	if n.life() == nil && !n.d.closed() {
		n.run()
	}
}

// cut parts two hosts, counted, as several faults may part them.
func (d *deployment) cut(from, to string) {
	d.mu.Lock()
	if d.cuts == nil {
		d.cuts = make(map[[2]string]int)
	}
	d.cuts[[2]string{from, to}]++
	d.mu.Unlock()
	d.network.Cut(from, to)
}

func (d *deployment) heal(from, to string) {
	d.mu.Lock()
	d.cuts[[2]string{from, to}]--
	whole := d.cuts[[2]string{from, to}] == 0
	d.mu.Unlock()
	if whole {
		d.network.Heal(from, to)
	}
}

// breakFrom ends the open connections of a host that died.
func (d *deployment) breakFrom(from string) {
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

// breakLog adds the faults of the log, and takes them away later.
func (d *deployment) breakLog(a *armed) {
	d.mu.Lock()
	d.logFaults = append(d.logFaults, a)
	d.mu.Unlock()
	d.setLog()
	time.AfterFunc(a.heal, func() {
		d.mu.Lock()
		d.logFaults = d.logFaults[1:]
		d.mu.Unlock()
		d.setLog()
	})
}

func (d *deployment) setLog() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var f standin.LogFaults
	for _, a := range d.logFaults {
		switch a.fault {
		case LogDown:
			f.Down = true
		case LogSlow:
			f.Delay = slowBy
		case LogAnswerLost:
			f.LoseAnswers = true
		}
	}
	d.log.SetFaults(f)
}

// silence lets the open connections between an agent and the entries, and those
// of the message, go silent.
func (d *deployment) silence(agent string, m passing) {
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

// race lets two operators change the same version at two entries.
func (d *deployment) race() {
	_, first, _ := d.up(0)
	_, second, _ := d.up(1)
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
			time.AfterFunc(heal, e.revive)
		}
	}
	for _, a := range d.agents {
		if a.place.Zone == zone {
			a.kill()
			a.worker.Crash()
			a.backend.renew()
			time.AfterFunc(heal, func() {
				a.worker.Restart()
				a.revive()
			})
		}
	}
}

// part cuts every link between the two regions for a while.
func (d *deployment) part(heal time.Duration) {
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
