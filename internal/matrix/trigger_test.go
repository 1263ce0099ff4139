package matrix

import (
	"strings"
	"sync"
	"time"

	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// runStepDelay is how long after the start of a task a fault at step Run is injected.
const runStepDelay = 200 * time.Millisecond

// armedFault is a fault to be injected when its step is reached, once.
type armedFault struct {
	step  Step
	fault Fault
	// afterAnswer injects the fault after the response to the step's message, not before
	// the request is sent.
	afterAnswer bool
	// duration is how long the fault lasts.
	duration time.Duration
	fired    bool
	firedAt  time.Time
}

// trigger injects faults when their steps are reached.
type trigger struct {
	mu    sync.Mutex
	armed []*armedFault
	// abandonCount is the number of Abandon requests.
	abandonCount int
}

func (t *trigger) arm(a *armedFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = append(t.armed, a)
}

func (t *trigger) disarm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = nil
}

// takeFaults returns the faults to be injected at a step, before its request or after its
// response, and marks them as fired. Faults at Answer and Run are always injected after
// the response.
func (t *trigger) takeFaults(step Step, answered bool) []*armedFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*armedFault
	for _, a := range t.armed {
		afterAnswer := a.afterAnswer || a.step == Answer || a.step == Run
		if a.step == step && afterAnswer == answered && !a.fired {
			a.fired = true
			a.firedAt = time.Now()
			out = append(out, a)
		}
	}
	return out
}

// onStep injects the faults of a step that isn't a message between processes.
func (t *trigger) onStep(d *deployment, step Step, m message) {
	for _, a := range append(t.takeFaults(step, false), t.takeFaults(step, true)...) {
		d.inject(a, m)
	}
}

// stepByProcedure lists the procedures whose messages are steps.
var stepByProcedure = []struct {
	procedure string
	step      Step
}{
	{sniperillv1connect.AgentServiceHoldProcedure, Hold},
	{sniperillv1connect.AgentServicePrepareProcedure, Prepare},
	{sniperillv1connect.AgentServiceReleaseProcedure, Release},
	{sniperillv1connect.WorkerServiceStartTaskProcedure, Run},
	{sniperillv1connect.WorkerServiceCheckpointTaskProcedure, Checkpoint},
	{sniperillv1connect.AgentServiceServeProcedure, Answer},
	{sniperillv1connect.AgentServiceAcknowledgeProcedure, Acknowledge},
}

// onMessage injects the faults of the step that a message belongs to. It is called before
// the request is sent and after the response has arrived.
func (t *trigger) onMessage(d *deployment, m message) {
	if m.procedure == sniperillv1connect.AgentServiceAbandonProcedure && !m.answered {
		t.mu.Lock()
		t.abandonCount++
		d.logf("abandon %+v", m)
		t.mu.Unlock()
	}
	for _, p := range stepByProcedure {
		if p.procedure != m.procedure {
			continue
		}
		for _, a := range t.takeFaults(p.step, m.answered) {
			if a.step == Run {
				time.AfterFunc(runStepDelay, func() { d.inject(a, m) })
				continue
			}
			d.inject(a, m)
		}
	}
}

// agentOf returns the agent that a message is to or from, else the first one whose worker
// runs a task, else the second agent.
func (d *deployment) agentOf(m message) *agentNode {
	for _, name := range []string{m.to, m.from} {
		host, _, _ := strings.Cut(name, ".")
		if a := d.agent(host); a != nil {
			return a
		}
	}
	for _, a := range d.agents {
		for _, s := range a.worker.Spans() {
			if s.End == "" {
				return a
			}
		}
	}
	return d.agents[1]
}

// entryOf returns the entry that a message is from or to, else the first one.
func (d *deployment) entryOf(m message) *entryNode {
	for _, name := range []string{m.from, m.to} {
		if e := d.entry(name); e != nil {
			return e
		}
	}
	return d.entries[0]
}
