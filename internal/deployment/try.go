package deployment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/pkg/caller"
	"sniperill.example/sniperill/pkg/shop"
)

// Outcome is the expected and the actual result of one check of a deployment.
type Outcome struct {
	Name  string        `json:"name"`
	Want  string        `json:"want"`
	Got   string        `json:"got"`
	Where []string      `json:"where,omitempty"`
	Took  shop.Duration `json:"took"`
}

// OK reports whether the actual result is the expected one.
func (o Outcome) OK() bool { return o.Got == o.Want }

// Report holds the outcomes of Try. OK means that all are as expected.
type Report struct {
	Outcomes []Outcome `json:"outcomes"`
	OK       bool      `json:"ok"`
}

// Parameters of the sample workload.
const (
	routePlanCount      = 40
	routePlanInterval   = 20 * time.Millisecond
	maxRenderStartDelay = 1900 * time.Millisecond
	tryTimeout          = 40 * time.Second
)

// step is a part of the sample workload.
type step struct {
	name string
	run  func(context.Context) error
}

// trial runs the sample workload on a local deployment.
type trial struct {
	*Local

	mu     sync.Mutex
	report Report
}

// Try runs the sample workload, which has requests and jobs of both order desks, and
// reports the outcomes. The steps run in sequence, since some depend on earlier ones.
func (l *Local) Try(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	t := &trial{Local: l}
	if err := t.applySample(ctx); err != nil {
		return t.report, fmt.Errorf("deployment.Try: %w", err)
	}
	steps := []step{
		{"requests", t.requests},
		{"order", t.order},
		{"mockup", t.mockup},
		{"job that can never run", t.impossibleJob},
		{"cancellation", t.cancellation},
		{"render", t.render},
		{"agent that leaves", t.drainedAgent},
	}
	for _, s := range steps {
		if err := s.run(ctx); err != nil {
			t.add(Outcome{Name: s.name, Want: "no error", Got: err.Error()})
		}
	}
	t.report.OK = !slices.ContainsFunc(t.report.Outcomes, func(o Outcome) bool { return !o.OK() })
	return t.report, nil
}

// add appends an outcome to the report.
func (t *trial) add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Outcomes = append(t.report.Outcomes, o)
}

// applySample publishes the sample configuration, and waits until all agents use it.
func (t *trial) applySample(ctx context.Context) error {
	start := time.Now()
	folder, err := shop.ReadFolder(SampleFolder())
	if err != nil {
		return trace.Wrap(err)
	}
	c, err := t.Operator(0, "try")
	if err != nil {
		return trace.Wrap(err)
	}
	version, err := c.Apply(ctx, folder.Config, 0, "try", false)
	if err != nil {
		return trace.Wrap(err)
	}
	o := Outcome{Name: "apply the sample configuration", Want: "in force everywhere within 3s", Got: "in force everywhere within 3s"}
	if err := t.AwaitConfig(ctx, version); err != nil {
		return trace.Wrap(err)
	}
	o.Took = shop.Duration(time.Since(start))
	if time.Duration(o.Took) > 3*time.Second {
		o.Got = "in force everywhere after " + o.Took.String()
	}
	t.add(o)
	return nil
}

// requests concurrently sends a price quote, a size fitting and a stream of route plans.
func (t *trial) requests(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make(chan error, 3)
	for _, f := range []func(context.Context) error{
		func(ctx context.Context) error { return t.call(ctx, "price quote", "hari-quotes", "price-quote") },
		func(ctx context.Context) error { return t.call(ctx, "size fitting", "fitting-room", "size-fitting") },
		t.routePlans,
	} {
		wg.Go(func() { errs <- f(ctx) })
	}
	wg.Wait()
	close(errs)
	var out error
	for err := range errs {
		out = errors.Join(out, err)
	}
	return out
}

// call sends one request and checks its answer.
func (t *trial) call(ctx context.Context, name, team, class string) error {
	c, err := t.Caller(0, team)
	if err != nil {
		return trace.Wrap(err)
	}
	start := time.Now()
	body := []byte(name)
	a, err := c.Call(ctx, caller.Request{Class: class, Body: body})
	o := Outcome{Name: name, Want: "own answer", Got: "own answer", Where: answeringAgents(a), Took: shop.Duration(time.Since(start))}
	if got := answerProblem(a, body, err); got != "" {
		o.Got = got
	}
	t.add(o)
	return nil
}

func answeringAgents(a caller.Answer) []string {
	if a.Agent == "" {
		return nil
	}
	return []string{a.Agent}
}

// answerProblem describes what is wrong with an answer, or returns "". The stand-in
// answers with the class, the ID and the body of the request.
func answerProblem(a caller.Answer, body []byte, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case !strings.Contains(string(a.Body), string(body)):
		return fmt.Sprintf("answer of another: %s", a.Body)
	default:
		return ""
	}
}

// routePlans sends requests at a fixed interval and counts the correct answers.
func (t *trial) routePlans(ctx context.Context) error {
	c, err := t.Caller(1%len(t.RunningEntries), "van-routes")
	if err != nil {
		return trace.Wrap(err)
	}
	start := time.Now()
	want := fmt.Sprintf("%d own answers", routePlanCount)
	var wg sync.WaitGroup
	var mu sync.Mutex
	own, wrong := 0, ""
	var workers []string
	for i := range routePlanCount {
		wg.Go(func() {
			body := []byte(fmt.Sprintf("route plan %d.", i))
			a, err := c.Call(ctx, caller.Request{Class: "route-plan", Body: body})
			mu.Lock()
			defer mu.Unlock()
			workers = append(workers, answeringAgents(a)...)
			if p := answerProblem(a, body, err); p != "" {
				wrong = p
				return
			}
			own++
		})
		if err := clock.Pause(ctx, routePlanInterval); err != nil {
			return trace.Wrap(err)
		}
	}
	wg.Wait()
	slices.Sort(workers)
	o := Outcome{Name: "stream of route plans", Want: want, Where: slices.Compact(workers), Took: shop.Duration(time.Since(start))}
	o.Got = fmt.Sprintf("%d own answers", own)
	if wrong != "" {
		o.Got += ", and " + wrong
	}
	t.add(o)
	return nil
}

// order places the same order three times with one idempotency key.
func (t *trial) order(ctx context.Context) error {
	start := time.Now()
	o := Outcome{Name: "order that is not idempotent, sent 3 times", Want: "ran once, same answer"}
	var answers []string
	before := t.backendRunCount()
	for i := range 3 {
		c, err := t.Caller(i%len(t.RunningEntries), "hari-quotes")
		if err != nil {
			return trace.Wrap(err)
		}
		a, err := c.Call(ctx, caller.Request{Class: "place-order", IdempotencyKey: "box-of-chalk", Body: []byte("one box")})
		if err != nil {
			o.Got = err.Error()
			break
		}
		o.Where = answeringAgents(a)
		answers = append(answers, string(a.Body))
	}
	runs := t.backendRunCount() - before
	if o.Got == "" {
		slices.Sort(answers)
		answers = slices.Compact(answers)
		o.Got = fmt.Sprintf("ran %d times, %d answers", runs, len(answers))
		if runs == 1 && len(answers) == 1 {
			o.Got = o.Want
		}
	}
	o.Took = shop.Duration(time.Since(start))
	t.add(o)
	return nil
}

// backendRunCount returns how many requests the backend servers have run.
func (t *trial) backendRunCount() int {
	n := 0
	for _, a := range t.Agents {
		for _, r := range a.Backend.AllRuns() {
			n += r.Count
		}
	}
	return n
}

// runJob submits a job and waits until it has ended.
func (t *trial) runJob(ctx context.Context, team string, s caller.Submission) (caller.Status, error) {
	c, err := t.Caller(0, team)
	if err != nil {
		return caller.Status{}, err
	}
	id, err := c.Submit(ctx, s)
	if err != nil {
		return caller.Status{}, err
	}
	return c.Wait(ctx, id)
}

func (t *trial) mockup(ctx context.Context) error {
	start := time.Now()
	status, err := t.runJob(ctx, "hari-quotes", caller.Submission{Class: "mockup"})
	o := Outcome{
		Name: "gang mockup on adjacent accelerators", Want: "done, whole, in one rack",
		Where: status.Workers, Took: shop.Duration(time.Since(start)),
	}
	switch {
	case err != nil:
		o.Got = err.Error()
	case status.State != shop.Done:
		o.Got = string(status.State) + ": " + status.Reason
	default:
		o.Got = t.checkGang(status)
	}
	t.add(o)
	return nil
}

// checkGang checks from the workers' records that the tasks of a job ran in one rack.
func (t *trial) checkGang(s caller.Status) string {
	var racks []string
	tasks := 0
	for i, a := range t.Agents {
		spans := a.Worker.Spans().ForJob(s.Team + "/" + s.ID)
		tasks += len(spans)
		if len(spans) > 0 {
			racks = append(racks, t.place(i).Rack)
		}
	}
	if racks = slices.Compact(racks); len(racks) != 1 {
		return fmt.Sprintf("done in racks %v", racks)
	}
	if tasks == 0 {
		return "done, but nothing ran"
	}
	return "done, whole, in one rack"
}

func (t *trial) impossibleJob(ctx context.Context) error {
	start := time.Now()
	_, err := t.runJob(ctx, "render-floor", caller.Submission{
		Class: "large-render",
		Shape: &shop.Shape{Tasks: 1, Accelerators: 64, Adjacency: shop.SameWorker},
	})
	o := Outcome{Name: "job that can never run", Want: "refused, not run", Took: shop.Duration(time.Since(start))}
	o.Got = "accepted"
	if errors.Is(err, shop.ErrNotRun) {
		o.Got = o.Want
	} else if err != nil {
		o.Got = err.Error()
	}
	t.add(o)
	return nil
}

func (t *trial) cancellation(ctx context.Context) error {
	start := time.Now()
	c, err := t.Caller(0, "fitting-room")
	if err != nil {
		return trace.Wrap(err)
	}
	o := Outcome{Name: "cancellation", Want: "cancelled"}
	id, err := c.Submit(ctx, caller.Submission{Class: "cutting-plan", RunTime: time.Minute})
	if err == nil {
		_, err = c.Cancel(ctx, id)
	}
	var status caller.Status
	if err == nil {
		status, err = c.Wait(ctx, id)
	}
	o.Got = string(status.State)
	if err != nil {
		o.Got = err.Error()
	}
	o.Where, o.Took = status.Workers, shop.Duration(time.Since(start))
	t.add(o)
	return nil
}

// render fills all accelerators with jobs of a borrower, then submits a job within
// another team's guarantee, which must preempt some of them.
func (t *trial) render(ctx context.Context) error {
	borrower, err := t.Caller(0, "fitting-room")
	if err != nil {
		return trace.Wrap(err)
	}
	var plans []string
	for range t.Workers {
		id, err := borrower.Submit(ctx, caller.Submission{Class: "cutting-plan"})
		if err != nil {
			return trace.Wrap(err)
		}
		plans = append(plans, id)
	}
	for _, id := range plans {
		if err := t.awaitState(ctx, borrower, id, shop.Running); err != nil {
			return trace.Wrap(err)
		}
	}
	start := time.Now()
	status, err := t.runJob(ctx, "render-floor", caller.Submission{Class: "large-render"})
	o := Outcome{
		Name: "large render that pushes borrowers out", Want: "done, started within 1.9s",
		Where: status.Workers, Took: shop.Duration(time.Since(start)),
	}
	started := status.Started.Sub(start)
	switch {
	case err != nil:
		o.Got = err.Error()
	case status.State != shop.Done:
		o.Got = string(status.State) + ": " + status.Reason
	case started > maxRenderStartDelay:
		o.Got = fmt.Sprintf("done, started after %s", started.Round(time.Millisecond))
	default:
		o.Got = o.Want
	}
	t.add(o)
	return t.preemptedJobs(ctx, borrower, plans)
}

// preemptedJobs waits for the borrower's jobs and counts those that were preempted.
func (t *trial) preemptedJobs(ctx context.Context, c *caller.Client, plans []string) error {
	start := time.Now()
	done, rerun := 0, 0
	for _, id := range plans {
		status, err := c.Wait(ctx, id)
		if err != nil {
			return trace.Wrap(err)
		}
		if status.State == shop.Done {
			done++
		}
		if status.Attempt > 1 {
			rerun++
		}
	}
	want := fmt.Sprintf("%d done, 2 of them after giving way", len(plans))
	t.add(Outcome{
		Name: "cutting plans that gave way", Want: want,
		Got:  fmt.Sprintf("%d done, %d of them after giving way", done, rerun),
		Took: shop.Duration(time.Since(start)),
	})
	return nil
}

func (t *trial) awaitState(ctx context.Context, c *caller.Client, id string, state shop.JobState) error {
	for {
		status, err := c.Status(ctx, id)
		if err != nil {
			return trace.Wrap(err)
		}
		if status.State == state {
			return nil
		}
		if err := clock.Pause(ctx, pollInterval); err != nil {
			return fmt.Errorf("job %s is %s, not %s: %w", id, status.State, state, err)
		}
	}
}

// drainedAgent drains a worker, and checks that requests sent afterwards succeed without
// it.
func (t *trial) drainedAgent(ctx context.Context) error {
	start := time.Now()
	agent := t.Agents[0]
	operator, err := t.Operator(0, "try")
	if err != nil {
		return trace.Wrap(err)
	}
	if err := operator.Drain(ctx, agent.Settings.Name); err != nil {
		return trace.Wrap(err)
	}
	if err := clock.Pause(ctx, time.Second); err != nil {
		return trace.Wrap(err)
	}
	before := len(agent.Backend.AllRuns())
	c, err := t.Caller(0, "van-routes")
	if err != nil {
		return trace.Wrap(err)
	}
	o := Outcome{Name: "agent that leaves", Want: "left, no new work, no request cut", Where: []string{agent.Settings.Name}}
	for i := range routePlanCount {
		body := []byte(fmt.Sprintf("route plan after %d.", i))
		a, err := c.Call(ctx, caller.Request{Class: "route-plan", Body: body})
		if p := answerProblem(a, body, err); p != "" {
			o.Got = p
		}
	}
	select {
	case <-agent.Done():
	case <-ctx.Done():
		o.Got = "did not leave"
	}
	if n := len(agent.Backend.AllRuns()) - before; n > 0 {
		o.Got = fmt.Sprintf("got %d requests after leaving", n)
	}
	if o.Got == "" {
		o.Got = o.Want
	}
	o.Took = shop.Duration(time.Since(start))
	t.add(o)
	return nil
}
