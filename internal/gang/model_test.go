package gang

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

const (
	modelAgents    = 5
	modelEntries   = 2
	modelJobs      = 6
	modelSteps     = 40
	maxReclaimTime = 1900 * time.Millisecond // Urgent work must start within 1.9 s.
)

// step is one randomly drawn action of the model. Its kind decides which other
// fields are used.
type step struct {
	kind    string
	entry   int
	agent   int
	other   int // Number of an agent; from modelAgents on, of an entry.
	job     int
	agents  []int
	perTask int // Accelerators per task.
	rank    int // Also the accelerator of "own" and the strength of "cut", "loss" and "delay".
	wait    time.Duration
}

var stepKinds = []string{
	"start", "start", "start", "start", "start", "crash", "pause", "pause", "cut", "heal", "loss", "delay",
	"finish", "fail", "own", "preempt", "cancel", "stall", "sleep", "sleep",
}

var drawStep = rapid.Custom(func(t *rapid.T) step {
	return step{
		kind:    rapid.SampledFrom(stepKinds).Draw(t, "kind"),
		entry:   rapid.IntRange(0, modelEntries-1).Draw(t, "entry"),
		agent:   rapid.IntRange(0, modelAgents-1).Draw(t, "agent"),
		other:   rapid.IntRange(0, modelAgents+modelEntries-1).Draw(t, "other"),
		job:     rapid.IntRange(0, modelJobs-1).Draw(t, "job"),
		agents:  rapid.SliceOfNDistinct(rapid.IntRange(0, modelAgents-1), 1, modelAgents, rapid.ID).Draw(t, "agents"),
		perTask: rapid.IntRange(1, 3).Draw(t, "perTask"),
		rank:    rapid.IntRange(0, 3).Draw(t, "rank"),
		wait:    time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
	}
})

// claim is an attempt that an entry has claimed, as it would in the append-only log.
type claim struct {
	*sniperillv1.Attempt
	members []*sniperillv1.Member
}

// model is a cluster with the entries' knowledge of the jobs.
type model struct {
	*cluster
	entries         [modelEntries]Starter
	number          [modelJobs]uint32    // Number of the newest attempt, by job.
	open            [modelJobs][]claim   // Claimed attempts that no entry has ended yet, by job.
	lastComplete    map[string]time.Time // When all members of an attempt last ran, by attempt.
	mustNotRunAfter map[string]time.Time // When an attempt must have ended, by attempt; zero if it must never run.
}

// team returns the team of one of the model's jobs.
func team(job int) string { return []string{"red", "blue", "green"}[job%3] }

func newModel(seed uint64) *model {
	m := &model{
		cluster:         newCluster(modelAgents, seed),
		lastComplete:    map[string]time.Time{},
		mustNotRunAfter: map[string]time.Time{},
	}
	for i := range m.entries {
		m.entries[i] = m.starter(fmt.Sprint("entry-", i))
	}
	return m
}

// start starts a job as an entry does: it claims the next attempt, ends the earlier
// ones, and starts. Jobs 0 and 1 are not preemptible.
func (m *model) start(s step) {
	j := job(fmt.Sprint("job-", s.job), team(s.job), len(s.agents), s.perTask)
	p := m.plan(j, 0, s.agents...)
	p.Rank, p.Preemptible = uint64(s.rank), s.job > 1
	m.Lock()
	m.number[s.job]++
	p.Attempt.Number = m.number[s.job]
	earlier := m.open[s.job]
	m.open[s.job] = append(slices.Clone(m.open[s.job]), claim{p.Attempt, p.Parts.Members()})
	m.Unlock()
	e := m.entries[s.entry]
	for _, c := range earlier {
		result, err := e.EndAttempt(context.Background(), c.Attempt, c.members)
		if err != nil {
			return
		}
		m.noteEnded(c.Attempt, result.Outcome, result.Wait)
		time.Sleep(result.Wait)
		m.Lock()
		m.open[s.job] = slices.DeleteFunc(slices.Clone(m.open[s.job]), func(o claim) bool { return o.GetNumber() == c.GetNumber() })
		m.Unlock()
	}
	res, _ := e.Start(context.Background(), p)
	m.noteEnded(p.Attempt, res.Outcome, res.Wait)
}

// noteEnded records the outcome of an attempt that an entry was told.
func (m *model) noteEnded(a *sniperillv1.Attempt, o Outcome, wait time.Duration) {
	m.Lock()
	defer m.Unlock()
	key := attemptKey(a.GetJob(), a.GetNumber())
	switch {
	case o == NotRun:
		m.mustNotRunAfter[key] = time.Time{}
	case o == Ended, wait > 0:
		if _, known := m.mustNotRunAfter[key]; !known {
			m.mustNotRunAfter[key] = time.Now().Add(wait)
		}
	}
}

// check checks the invariants for the tasks that run now.
func (m *model) check() {
	m.Lock()
	defer m.Unlock()
	now := time.Now()
	type gang struct {
		job    string
		number uint32
		tasks  int
	}
	gangs := map[string]*gang{}
	for _, n := range m.nodes {
		var used uint64
		for _, t := range n.worker.running() {
			key := attemptKey(t.GetJob().GetId(), t.GetAttempt())
			if gangs[key] == nil {
				gangs[key] = &gang{job: t.GetJob().GetId(), number: t.GetAttempt()}
			}
			gangs[key].tasks++
			if used&t.GetAccelerators() != 0 {
				m.fail("two tasks share accelerators on %s", n.Name)
			}
			used |= t.GetAccelerators()
		}
	}
	runs := map[string]string{}
	for key, g := range gangs {
		done := m.doneTasks(key)
		last, seen := m.lastComplete[key]
		if !seen || g.tasks+done == m.memberCount[key] {
			m.lastComplete[key] = now
		} else if age := now.Sub(last); age > defaultTimes.ExpireAfter() {
			m.fail("part of a gang outlives its lease: %s runs %d of %d tasks, for %v", key, g.tasks, m.memberCount[key], age)
		}
		if other := runs[g.job]; other != "" {
			m.fail("two attempts of a job run: %s and %s", key, other)
		}
		runs[g.job] = key
	}
	for key, since := range m.mustNotRunAfter {
		if since.IsZero() && m.everRan(key) {
			m.fail("an attempt reported as not run has run: %s", key)
		}
		if gangs[key] != nil && now.After(since) {
			m.fail("an attempt runs after it was reported to have ended: %s", key)
		}
	}
}

func (m *model) doneTasks(key string) int {
	sum := 0
	for _, n := range m.nodes {
		if n.worker.state(key+"/0") == Done {
			sum++
		}
	}
	return sum
}

func (m *model) everRan(key string) bool {
	return slices.ContainsFunc(m.nodes, func(n *node) bool { return n.worker.state(key+"/0") != "" })
}

// perform carries out one step. It passes work that takes long to background.
func (m *model) perform(s step, background func(func())) {
	m.Lock()
	n := m.nodes[s.agent]
	attempt := &sniperillv1.Attempt{Job: fmt.Sprint("job-", s.job), Number: m.number[s.job]}
	from, to := agentName(s.agent), fmt.Sprint("entry-", s.other%modelEntries)
	if s.other < modelAgents {
		to = agentName(s.other)
	}
	m.Unlock()
	switch s.kind {
	case "start":
		background(func() { m.start(s) })
	case "crash":
		m.resume(n)
		m.boot(s.agent, n.worker)
	case "pause":
		m.pause(n, 4*s.wait)
	case "cut":
		m.setCut(from+">"+to, true)
		m.setCut(to+">"+from, s.rank > 0)
	case "heal":
		m.heal()
	case "loss":
		m.Lock()
		m.loss = 0.1 * float64(s.rank)
		m.Unlock()
	case "delay":
		m.Lock()
		m.delay = time.Duration(s.rank) * 100 * time.Millisecond
		m.Unlock()
	case "finish":
		m.finishAll(attempt)
	case "fail":
		n.worker.finish(attemptKey(attempt.GetJob(), attempt.GetNumber())+"/0", Failed)
	case "own":
		background(func() { m.own(n, s) })
	case "preempt":
		background(func() { _, _ = n.Preempt(context.Background(), &sniperillv1.PreemptRequest{Attempt: attempt}) })
	case "cancel":
		background(func() { _, _ = n.Abandon(context.Background(), &sniperillv1.AbandonRequest{Attempt: attempt}) })
	case "stall":
		m.stall(fmt.Sprint("entry-", s.entry), time.Now().Add(2*s.wait))
	}
	time.Sleep(s.wait)
}

func (m *model) finishAll(a *sniperillv1.Attempt) {
	key := attemptKey(a.GetJob(), a.GetNumber())
	for _, n := range m.nodes {
		if n.worker.state(key+"/0") != "" {
			n.worker.finish(key+"/0", Done)
		}
	}
}

// own gives one accelerator of an agent to a team.
func (m *model) own(n *node, s step) {
	o := n.State().GetOwners()[s.rank]
	_, _ = n.Own(context.Background(), &sniperillv1.OwnRequest{Owners: []*sniperillv1.AcceleratorOwner{{
		Accelerator: uint32(s.rank), Team: team(s.job), Base: o.GetVersion(), Version: o.GetVersion() + 1,
	}}})
}

func (m *model) pause(n *node, d time.Duration) {
	gate := make(chan struct{})
	if !n.pauseGate.CompareAndSwap(nil, &gate) {
		return
	}
	time.AfterFunc(d, func() { m.resume(n) })
}

func (m *model) resume(n *node) {
	if gate := n.pauseGate.Swap(nil); gate != nil {
		close(*gate)
	}
}

func (m *model) resumeAll() {
	for _, n := range m.nodes {
		m.resume(n)
	}
}

func (m *model) heal() {
	m.Lock()
	defer m.Unlock()
	clear(m.cutLinks)
	clear(m.stalls)
	m.loss, m.delay = 0, time.Millisecond
}

// unusedOwned returns the accelerators that a team owns at an agent, or none if the
// team uses any of them.
func (n *node) unusedOwned(team string) shop.Mask {
	n.lockAndExpire()
	defer n.mu.Unlock()
	mask := n.owned(team)
	for _, r := range n.active {
		if r.job.GetTeam() == team && r.mask&mask != 0 {
			return 0
		}
	}
	return mask
}

// reclaim checks that each owner that uses none of its accelerators at an agent can
// start a job on all of them within maxReclaimTime.
func (m *model) reclaim() {
	for i := range modelAgents {
		for _, owner := range []string{"red", "blue", "green"} {
			m.Lock()
			n := m.nodes[i]
			m.Unlock()
			mask := n.unusedOwned(owner)
			if mask == 0 {
				continue
			}
			p := m.plan(job(fmt.Sprint("reclaim-", i, owner), owner, 1, mask.Len()), 1, i)
			p.Parts[0].Accelerators = mask
			begin := time.Now()
			res, err := m.entries[0].Start(context.Background(), p)
			if took := time.Since(begin); res.Outcome != Started || took > maxReclaimTime {
				m.Lock()
				m.fail("owner could not reclaim its accelerators in time: %s at %s: %v after %v", owner, n.Name, err, took)
				m.Unlock()
			}
		}
	}
}

// race has two entries concurrently start a gang that needs all accelerators, and
// checks that exactly one succeeds.
func (m *model) race() {
	for _, n := range m.nodes {
		for _, t := range n.State().GetTasks() {
			_, _ = n.Abandon(context.Background(), &sniperillv1.AbandonRequest{Attempt: t.GetAttempt()})
		}
		owners := n.State().GetOwners()
		for _, o := range owners {
			_, _ = n.Own(context.Background(), &sniperillv1.OwnRequest{Owners: []*sniperillv1.AcceleratorOwner{{
				Accelerator: o.GetAccelerator(), Base: o.GetVersion(), Version: o.GetVersion() + 1,
			}}})
		}
	}
	time.Sleep(time.Second)
	won := make(chan Outcome, modelEntries)
	for i, e := range m.entries {
		agents := []int{0, 1, 2, 3, 4}
		if i > 0 {
			slices.Reverse(agents)
		}
		p := m.plan(job(fmt.Sprint("race-", i), "red", modelAgents, 4), 1, agents...)
		p.Rank = uint64(i) * (m.seed % 2)
		go func() {
			res, _ := e.Start(context.Background(), p)
			won <- res.Outcome
		}()
	}
	got := []Outcome{<-won, <-won}
	slices.Sort(got)
	if !slices.Equal(got, []Outcome{NotRun, Started}) {
		m.Lock()
		m.fail("not exactly one of two competing gangs started: outcomes %v", got)
		m.Unlock()
	}
}

// runSteps performs the steps on a new cluster and returns the first violation of
// an invariant, or an empty string.
func runSteps(t *testing.T, seed uint64, steps []step) string {
	violation := ""
	synctest.Test(t, func(*testing.T) {
		m := newModel(seed)
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					m.check()
				}
			}
		}()
		time.Sleep(2 * time.Second)
		pending := 0
		ended := make(chan struct{}, modelSteps)
		for _, s := range steps {
			m.perform(s, func(f func()) {
				pending++
				go func() { f(); ended <- struct{}{} }()
			})
		}
		m.heal()
		m.resumeAll()
		for range pending {
			<-ended
		}
		time.Sleep(15 * time.Second)
		m.reclaim()
		time.Sleep(2 * time.Second)
		m.race()
		time.Sleep(time.Second)
		close(stop)
		m.cluster.stop()
		violation = m.violation
	})
	return violation
}

func TestModel(t *testing.T) {
	for _, f := range []string{"rapid.seed=1", "rapid.nofailfile=true"} {
		name, value, _ := strings.Cut(f, "=")
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		steps := rapid.SliceOfN(drawStep, 1, modelSteps).Draw(r, "steps")
		if v := runSteps(t, seed, steps); v != "" {
			r.Fatal(v)
		}
	})
}
