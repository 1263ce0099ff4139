package gang

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// states returns the state of a job on each node, empty where there is none.
func (c *cluster) states(job string) []string {
	var out []string
	for _, n := range c.nodes {
		state := ""
		for _, t := range n.State().GetTasks() {
			if t.GetAttempt().GetJob() == job {
				state = t.GetState()
			}
		}
		out = append(out, state)
	}
	return out
}

// stop stops the agents and waits until their last calls have returned.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.cancel()
	}
	time.Sleep(2 * time.Second)
}

func TestStart(t *testing.T) {
	for _, tt := range []struct {
		name    string
		event   func(*cluster) // Happens once the gang runs.
		wait    time.Duration
		want    []string
		outcome Outcome
	}{
		{"runs on", func(*cluster) {}, time.Minute, []string{"running", "running", "running"}, Started},
		{"all done", func(c *cluster) {
			for _, n := range c.nodes {
				n.worker.finish(attemptKey("render", 1)+"/0", Done)
			}
		}, 5 * time.Second, []string{"done", "done", "done"}, Started},
		{"one fails", func(c *cluster) {
			c.nodes[2].worker.finish(attemptKey("render", 1)+"/0", Failed)
		}, 5 * time.Second, []string{"stopped", "stopped", "failed"}, Started},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(3, 1)
				defer c.stop()
				time.Sleep(2 * time.Second)
				res, err := c.starter("entry").Start(t.Context(), c.plan(job("render", "red", 3, 2), 1, 2, 0, 1))
				if err != nil || res.Outcome != tt.outcome {
					t.Fatalf("Start = %+v, %v", res, err)
				}
				tt.event(c)
				time.Sleep(tt.wait)
				if diff := cmp.Diff(tt.want, c.states("render")); diff != "" || c.violation != "" {
					t.Error(diff, c.violation)
				}
			})
		})
	}
}

func TestStartRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 1)
		defer c.stop()
		time.Sleep(2 * time.Second)
		_, err := c.starter("entry").Start(t.Context(), c.plan(job("small", "red", 1, 3), 1, 2))
		if err != nil {
			t.Fatal(err)
		}
		res, err := c.starter("entry").Start(context.Background(), c.plan(job("render", "red", 3, 2), 1, 0, 1, 2))
		if !errors.Is(err, ErrRefused) || !errors.Is(err, shop.ErrNotRun) || res.Outcome != NotRun || res.Agent != agentName(2) {
			t.Errorf("Start = %+v, %v", res, err)
		}
		if diff := cmp.Diff([]string{"", "", ""}, c.states("render")); diff != "" {
			t.Error(diff)
		}
	})
}

// TestStartInEvacuatedZone checks that a gang doesn't start if the zone of one of its agents is evacuated, and does
// once it is taken back.
func TestStartInEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 1)
		defer c.stop()
		time.Sleep(2 * time.Second)
		c.nodes[1].SetEvacuated(true)
		res, err := c.starter("entry").Start(t.Context(), c.plan(job("render", "red", 3, 2), 1, 0, 1, 2))
		if !errors.Is(err, ErrRefused) || res.Outcome != NotRun || res.Agent != agentName(1) {
			t.Errorf("Start = %+v, %v", res, err)
		}
		if diff := cmp.Diff([]string{"", "", ""}, c.states("render")); diff != "" {
			t.Error(diff)
		}
		c.nodes[1].SetEvacuated(false)
		res, err = c.starter("entry").Start(t.Context(), c.plan(job("render", "red", 3, 2), 2, 0, 1, 2))
		if err != nil || res.Outcome != Started {
			t.Errorf("Start = %+v, %v", res, err)
		}
	})
}

// TestLeaseEnds checks that no task of a gang runs a lease and a margin after a
// fault. It uses faults that the model test rarely draws.
func TestLeaseEnds(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(*model)
	}{
		{"lead loses one member, later the other", func(m *model) {
			m.setCut(agentName(0)+">"+agentName(2), true)
			time.Sleep(5500 * time.Millisecond)
			m.setCut(agentName(0)+">"+agentName(1), true)
		}},
		{"member resumes from a pause with an old renewal queued", func(m *model) {
			m.pause(m.nodes[1], 3900*time.Millisecond)
			time.Sleep(1600 * time.Millisecond)
			m.pause(m.nodes[0], time.Minute)
		}},
		{"lead crashes", func(m *model) { m.boot(0, m.nodes[0].worker) }},
		{"member crashes", func(m *model) { m.boot(2, m.nodes[2].worker) }},
	} {
		for offset := TickInterval / 5; offset < 2*time.Second; offset += TickInterval {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(1)
				defer m.stop()
				defer m.resumeAll()
				time.Sleep(2 * time.Second)
				if _, err := m.entries[0].Start(t.Context(), m.plan(job("render", "red", 3, 2), 1, 0, 1, 2)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5*time.Second + offset)
				begin := time.Now()
				tt.fault(m)
				time.Sleep(time.Until(begin.Add(defaultTimes.ExpireAfter())))
				for _, n := range m.nodes {
					if left := n.worker.running(); len(left) > 0 {
						t.Errorf("%s at %v: %s still runs %v", tt.name, offset, n.Name, left)
					}
				}
			})
		}
	}
}

func TestStartOldPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1)
		defer c.stop()
		p := c.plan(job("render", "red", 1, 2), 1, 0)
		c.boot(0, c.nodes[0].worker)
		time.Sleep(2 * time.Second)
		res, err := c.starter("entry").Start(t.Context(), p)
		if !errors.Is(err, ErrRefused) || res.Outcome != NotRun {
			t.Errorf("Start on a plan of the earlier incarnation = %+v, %v", res, err)
		}
	})
}

// TestReleaseUnprepared checks that no task starts if the lead is released while a
// member has a hold but is not prepared.
func TestReleaseUnprepared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 1)
		defer c.stop()
		time.Sleep(2 * time.Second)
		s, p := c.starter("entry"), c.plan(job("render", "red", 2, 2), 1, 0, 1)
		s.Prepare = func(ctx context.Context, m *sniperillv1.Member, req *sniperillv1.PrepareRequest) (*sniperillv1.PrepareResponse, error) {
			if m.GetAgent() == agentName(1) {
				return &sniperillv1.PrepareResponse{Prepared: true}, nil
			}
			return c.starter("entry").Prepare(ctx, m, req)
		}
		res, err := s.Start(t.Context(), p)
		if !errors.Is(err, shop.ErrNotRun) || res.Outcome != NotRun {
			t.Errorf("Start = %+v, %v", res, err)
		}
		for _, n := range c.nodes {
			if state := n.worker.state("render/1/0"); state != "" {
				t.Errorf("%s ran the task: %s", n.Name, state)
			}
		}
	})
}
