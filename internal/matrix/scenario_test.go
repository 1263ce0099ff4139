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
	cancelAfter = 3 * time.Second
	urgentAfter = 2 * time.Second
	applyAfter  = 5 * time.Second
	leaveAfter  = 6 * time.Second
	// spreadBound is how long a configuration or a leaving may take to spread.
	spreadBound = 3 * time.Second
	// afterwards is how long is looked at what runs after all callers know their ends.
	afterwards = 15 * time.Second
)

// left is a leaving of an agent.
type left struct {
	agent    *agentNode
	from, to time.Time
	err      error
}

// play runs the work on a fresh deployment, with faults, and checks the promises.
func play(t *testing.T, faults ...*armed) {
	synctest.Test(t, func(t *testing.T) {
		regions := 1
		for _, a := range faults {
			if a.fault == RegionsParted {
				regions = 2
			}
		}
		d := newDeployment(t, regions)
		defer d.close()
		d.work = &workload{d: d}
		d.ready()
		watching, stop := context.WithCancel(t.Context())
		go d.watchVersions(watching)
		for _, a := range faults {
			d.trigger.arm(a)
		}
		gone := d.scenario()
		d.work.group.Wait()
		time.Sleep(afterwards)
		stop()
		d.check(faults, gone)
		for i, p := range d.problems {
			if i < 12 {
				t.Error(p)
			}
		}
	})
}

// scenario is one day's work in short: every step of a request and of a job is in it.
func (d *deployment) scenario() *left {
	w := d.work
	d.trigger.reach(d, Accept, passing{})
	w.spawn(w.stream)
	for i := range 4 {
		w.spawn(func() { w.job(i, entry.Submission{ID: fmt.Sprintf("mockup-%d", i), Team: "beta", Class: "mockup"}) })
	}
	w.spawn(func() { w.job(0, entry.Submission{ID: "gang", Team: "beta", Class: "gang"}) })
	w.spawn(func() { w.job(1, entry.Submission{ID: "ledger", Team: "beta", Class: "ledger"}) })
	w.spawn(func() { w.job(1, entry.Submission{ID: "long", Team: "beta", Class: "long"}) })
	w.spawn(func() {
		time.Sleep(cancelAfter)
		w.cancelJob(w.find("long"))
	})
	w.spawn(func() {
		time.Sleep(urgentAfter)
		w.job(0, entry.Submission{ID: "render", Team: "alpha", Class: "render"})
	})
	w.spawn(func() {
		time.Sleep(applyAfter)
		d.operate()
	})
	gone := &left{agent: d.agents[workerCount-1]}
	w.spawn(func() {
		time.Sleep(leaveAfter)
		d.leave(gone)
	})
	return gone
}

// stream sends requests of all kinds for a while.
func (w *workload) stream() {
	for i := range requestCount {
		w.spawn(func() { w.quote(i) })
		w.spawn(func() { w.order(i) })
		if i%4 == 0 {
			w.spawn(func() { w.keyed(i / 4) })
		}
		time.Sleep(requestGap)
	}
}

// operate applies a change of the configuration until it is accepted.
func (d *deployment) operate() {
	for try := range 100 {
		_, e, life := d.up(1 + try)
		if e == nil {
			time.Sleep(retryWait)
			continue
		}
		ctx, cancel := context.WithTimeout(life, 10*time.Second)
		version, err := e.Apply(ctx, config(2+try), versionOf(e), "operator", false)
		cancel()
		if err == nil && life.Err() == nil {
			d.repeatFirst()
			d.checkSpread(version)
			return
		}
		d.logf("apply: %v", err)
		time.Sleep(retryWait)
	}
	d.errorf("the configuration was not accepted")
}

// repeatFirst delivers a late copy of the first configuration to every entry.
func (d *deployment) repeatFirst() {
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
			Name: other.name, Address: other.name, Region: other.place.Region, Zone: other.place.Zone, Incarnation: other.number,
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
	before := d.disturbed()
	time.Sleep(spreadBound)
	if before || d.disturbed() {
		return
	}
	if !d.inForce(version) {
		d.errorf("version %d is not in force everywhere after %s", version, spreadBound)
	}
}

// disturbed says whether some process can't be reached now, or couldn't be lately.
func (d *deployment) disturbed() bool {
	d.trigger.mu.Lock()
	defer d.trigger.mu.Unlock()
	for _, a := range d.trigger.armed {
		switch a.fault {
		case None, OperatorsRace, Cancellation, WorkerDies, WorkerFailsAll, BackendDies, OverloadBurst:
			continue
		}
		if a.fired && time.Since(a.at) < a.heal+settleAfter {
			return true
		}
	}
	return false
}

// settleAfter is how long after a fault has healed membership may take to settle.
const settleAfter = 12 * time.Second

// leave makes an agent leave as its process does on a signal.
func (d *deployment) leave(l *left) {
	p := l.agent.life()
	if p == nil {
		return
	}
	l.agent.mu.Lock()
	a := l.agent.agent
	l.agent.mu.Unlock()
	l.from = time.Now()
	d.trigger.reach(d, Leave, passing{to: l.agent.name})
	ctx, cancel := context.WithTimeout(p.ctx, 30*time.Second)
	defer cancel()
	l.err = a.Leave(ctx)
	a.KeepAnswers(ctx)
	l.to = time.Now()
	if l.agent.life() == p {
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
