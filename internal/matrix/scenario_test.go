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

// Times of the scenario. The delays count from its start.
const (
	cancelDelay = 3 * time.Second
	urgentDelay = 2 * time.Second
	applyDelay  = 5 * time.Second
	leaveDelay  = 6 * time.Second
	// maxSpreadTime is the maximum time in which a configuration, or the news that an agent
	// leaves, must reach all processes.
	maxSpreadTime = 3 * time.Second
	// observationTime is how long a run goes on after all callers are done, to detect
	// work that runs after its end was reported.
	observationTime = 15 * time.Second
)

// departure records that an agent leaves: from is when it starts to, to when
// it is done, and err what Leave returned.
type departure struct {
	agent    *agentNode
	from, to time.Time
	err      error
}

// runScenario runs the workload on a new deployment while the faults are injected, and
// reports the first 12 violations.
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
		watchCtx, stop := context.WithCancel(t.Context())
		go d.watchVersions(watchCtx)
		for _, a := range faults {
			d.trigger.arm(a)
		}
		dep := d.startScenario()
		d.workload.group.Wait()
		time.Sleep(observationTime)
		stop()
		d.check(faults, dep)
		for i, v := range d.violations {
			if i < 12 {
				t.Error(v)
			}
		}
	})
}

// startScenario starts the workload: requests and jobs, a cancellation, an update of the
// configuration and an agent that leaves. Together they reach every step.
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
	dep := &departure{agent: d.agents[workerCount-1]}
	w.spawn(func() {
		time.Sleep(leaveDelay)
		d.leaveAgent(dep)
	})
	return dep
}

// sendRequests sends requests of all kinds at a constant rate.
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

// applyUpdate changes the configuration, retrying until the change is accepted, and checks
// that it spreads.
func (d *deployment) applyUpdate() {
	for try := range 100 {
		_, e, entryCtx := d.readyEntry(1 + try)
		if e == nil {
			time.Sleep(retryDelay)
			continue
		}
		ctx, cancel := context.WithTimeout(entryCtx, 10*time.Second)
		version, err := e.Apply(ctx, config(2+try), versionOf(e), "operator", false)
		cancel()
		if err == nil && entryCtx.Err() == nil {
			d.resendFirstConfig()
			d.checkSpread(version)
			return
		}
		d.logf("apply: %v", err)
		time.Sleep(retryDelay)
	}
	d.errorf("no configuration change was accepted")
}

// resendFirstConfig sends the first configuration to every entry again, as if it came late
// from a peer, and checks that none goes back to it.
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
			d.errorf("configuration version decreased from %d to %d at %s", before, after, n.name)
		}
	}
}

// checkSpread checks that a version is in force everywhere after maxSpreadTime, unless some
// process was unreachable at the start or end of that time.
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

// recentlyUnreachable reports whether a fault that makes some process or the log
// unreachable is in effect, or ended less than maxSettleTime ago.
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

// maxSettleTime is the maximum time that membership takes to settle after a fault has ended.
const maxSettleTime = 12 * time.Second

// leaveAgent makes an agent leave as on a termination signal.
func (d *deployment) leaveAgent(dep *departure) {
	p := dep.agent.runningProcess()
	if p == nil {
		return
	}
	dep.agent.mu.Lock()
	a := dep.agent.agent
	dep.agent.mu.Unlock()
	dep.from = time.Now()
	d.trigger.onStep(d, Leave, message{to: dep.agent.name})
	ctx, cancel := context.WithTimeout(p.ctx, 30*time.Second)
	defer cancel()
	dep.err = a.Leave(ctx)
	a.KeepAnswers(ctx)
	dep.to = time.Now()
	if dep.agent.runningProcess() == p {
		dep.agent.kill()
	}
}

// versionOf returns the version of an entry's configuration, or 0 when it has none.
func versionOf(e *entry.Entry) uint64 {
	if c := e.Config(); c != nil {
		return c.Version
	}
	return 0
}

// watchVersions checks until ctx is done that the configuration version of no entry, and of
// no agent as the entries see it, ever decreases.
func (d *deployment) watchVersions(ctx context.Context) {
	type key struct {
		entry       *entry.Entry
		node        string
		incarnation uint64
	}
	highest := make(map[key]uint64)
	record := func(k key, v uint64) {
		if v < highest[k] {
			d.errorf("configuration version decreased from %d to %d at %s", highest[k], v, k.node)
		}
		highest[k] = v
	}
	for ctx.Err() == nil {
		for _, n := range d.entries {
			e, _, ok := n.current()
			if !ok {
				continue
			}
			record(key{entry: e, node: n.name}, versionOf(e))
			for _, s := range e.Workers() {
				record(key{e, s.State.Name, s.State.Incarnation}, s.State.ConfigVersion)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
