package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/internal/platform"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Times of the scenario, from its start.
const (
	cancelDelay = 3 * time.Second
	urgentDelay = 2 * time.Second
	applyDelay  = 5 * time.Second
	leaveDelay  = 6 * time.Second
	// maxSpreadTime is how long a configuration or a leaving may take to spread.
	maxSpreadTime = 3 * time.Second
	// observationTime is how long is looked at what runs after all callers know their ends.
	observationTime = 15 * time.Second
)

// departure is a leaving of an agent.
type departure struct {
	agent    *agentNode
	from, to time.Time
	err      error
}

// runScenario runs the work on a fresh deployment, with faults, and checks the promises.
func runScenario(t *testing.T, faults ...*armedFault) {
	synctest.Test(t, func(t *testing.T) {
		regions := 1
		for _, a := range faults {
			if a.fault == RegionsParted {
				regions = 2
			}
		}
		d := newDeployment(t, regions)
		defer d.close()
		d.workload = &workload{d: d}
		d.ready()
		watching, stop := context.WithCancel(t.Context())
		go d.watchVersions(watching)
		for _, a := range faults {
			d.trigger.arm(a)
		}
		gone := d.startScenario()
		d.workload.group.Wait()
		time.Sleep(observationTime)
		stop()
		d.check(faults, gone)
		for i, p := range d.violations {
			if i < 12 {
				t.Error(p)
			}
		}
	})
}

// startScenario is one day's work in short: every step of a request and of a job is in it.
func (d *deployment) startScenario() *departure {
	w := d.workload
	d.trigger.onStep(d, Accept, message{})
	w.spawn(w.sendRequests)
	for i := range 4 {
		w.spawn(func() { w.runJob(i, entry.Submission{ID: fmt.Sprintf("mockup-%d", i), Team: "beta", Class: "mockup"}) })
	}
	w.spawn(func() { w.runJob(0, entry.Submission{ID: "gang", Team: "beta", Class: "gang"}) })
	w.spawn(func() { w.runJob(1, entry.Submission{ID: "ledger", Team: "beta", Class: "ledger"}) })
	w.spawn(func() { w.runJob(1, entry.Submission{ID: "long", Team: "beta", Class: "long"}) })
	w.spawn(func() {
		time.Sleep(cancelDelay)
		w.cancelJob(w.findJob("long"))
	})
	w.spawn(func() {
		time.Sleep(urgentDelay)
		w.runJob(0, entry.Submission{ID: "render", Team: "alpha", Class: "render"})
	})
	w.spawn(func() {
		time.Sleep(applyDelay)
		d.applyUpdate()
	})
	gone := &departure{agent: d.agents[workerCount-1]}
	w.spawn(func() {
		time.Sleep(leaveDelay)
		d.leaveAgent(gone)
	})
	return gone
}

// sendRequests sends requests of all kinds for a while.
func (w *workload) sendRequests() {
	for i := range requestCount {
		w.spawn(func() { w.sendQuote(i) })
		w.spawn(func() { w.sendOrder(i) })
		if i%4 == 0 {
			w.spawn(func() { w.sendKeyed(i / 4) })
		}
		time.Sleep(requestInterval)
	}
}

// applyUpdate applies a change of the configuration until it is accepted.
func (d *deployment) applyUpdate() {
	for try := range 100 {
		_, e, life := d.readyEntry(1 + try)
		if e == nil {
			time.Sleep(retryDelay)
			continue
		}
		ctx, cancel := context.WithTimeout(life, 10*time.Second)
		version, err := e.Apply(ctx, config(2+try), versionOf(e), "operator", false)
		cancel()
		if err == nil && life.Err() == nil {
			d.resendFirstConfig()
			d.checkSpread(version)
			return
		}
		d.logf("apply: %v", err)
		time.Sleep(retryDelay)
	}
	d.errorf("the configuration was not accepted")
}

// resendFirstConfig delivers a late copy of the first configuration to every entry.
func (d *deployment) resendFirstConfig() {
	data, err := json.Marshal(platform.AcceptedConfig{Config: config(1).WithDefaults().WithVersion(1), Author: "first"})
	if err != nil {
		d.errorf("%v", err)
		return
	}
	for i, n := range d.entries {
		e, ctx, ok := n.current()
		if !ok {
			continue
		}
		other := d.entries[(i+1)%len(d.entries)]
		from := &sniperillv1.EntryPeer{
			Name: other.name, Address: other.name, Region: other.place.Region, Zone: other.place.Zone, Incarnation: other.incarnation,
		}
		before := versionOf(e)
		if _, err := e.Exchange(ctx, &sniperillv1.ExchangeRequest{From: from, Config: data, ConfigVersion: 1}); err != nil {
			d.logf("late copy: %v", err)
		}
		if after := versionOf(e); after < before {
			d.errorf("configuration went back from %d to %d at %s", before, after, n.name)
		}
	}
}

// checkSpread checks that a version is in force in time wherever it can be.
func (d *deployment) checkSpread(version uint64) {
	before := d.recentlyUnreachable()
	time.Sleep(maxSpreadTime)
	if before || d.recentlyUnreachable() {
		return
	}
	if !d.inForce(version) {
		d.errorf("version %d is not in force everywhere after %s", version, maxSpreadTime)
	}
}

// recentlyUnreachable says whether some process can't be reached now, or couldn't be lately.
func (d *deployment) recentlyUnreachable() bool {
	d.trigger.mu.Lock()
	defer d.trigger.mu.Unlock()
	for _, a := range d.trigger.armed {
		switch a.fault {
		case None, OperatorsRace, Cancellation, WorkerDies, WorkerFailsAll, BackendDies, OverloadBurst:
			continue
		}
		if a.fired && time.Since(a.firedAt) < a.duration+maxSettleTime {
			return true
		}
	}
	return false
}

// maxSettleTime is how long after a fault has healed membership may take to settle.
const maxSettleTime = 12 * time.Second

// leaveAgent makes an agent leave as its process does on a signal.
func (d *deployment) leaveAgent(l *departure) {
	p := l.agent.runningProcess()
	if p == nil {
		return
	}
	l.agent.mu.Lock()
	a := l.agent.agent
	l.agent.mu.Unlock()
	l.from = time.Now()
	d.trigger.onStep(d, Leave, message{to: l.agent.name})
	ctx, cancel := context.WithTimeout(p.ctx, 30*time.Second)
	defer cancel()
	l.err = a.Leave(ctx)
	a.KeepAnswers(ctx)
	l.to = time.Now()
	if l.agent.runningProcess() == p {
		l.agent.kill()
	}
}

func versionOf(e *entry.Entry) uint64 {
	if c := e.Config(); c != nil {
		return c.Version
	}
	return 0
}

// watchVersions checks that no configuration ever goes back.
func (d *deployment) watchVersions(ctx context.Context) {
	type key struct {
		entry *entry.Entry
		agent string
		life  uint64
	}
	highest := make(map[key]uint64)
	see := func(k key, v uint64) {
		if v < highest[k] {
			d.errorf("configuration went back from %d to %d at %s", highest[k], v, k.agent)
		}
		highest[k] = v
	}
	for ctx.Err() == nil {
		for _, n := range d.entries {
			e, _, ok := n.current()
			if !ok {
				continue
			}
			see(key{entry: e, agent: n.name}, versionOf(e))
			for _, s := range e.Workers() {
				see(key{e, s.State.Name, s.State.Incarnation}, s.State.ConfigVersion)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
