package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const host = "shop.example"

// deployment starts entries and workers of 8 accelerators, and waits until they are ready.
func (w *world) deployment(entries, workers int, config map[string]any, labels func(i int) []string) error {
	w.configure(config)
	if err := w.addEntries(entries); err != nil {
		return err
	}
	for i := range workers {
		if _, err := w.addWorker("apron-orders", resources{32000, 128000, 8}, labels(i)...); err != nil {
			return err
		}
	}
	return w.ready()
}

func sameLabels(i int) []string { return []string{"a", fmt.Sprintf("r1-%d", 1+i/3)} }

// until waits for a condition, and reports whether it came true in time.
func until(timeout time.Duration, f func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// gangCase: the two workers on which a gang first starts fail all that they start for 6 s, so the gang's first run fails.
// The planner's process is killed once it has stored the first member's end. The queue allows two attempts.
func gangCase(w *world, trouble bool) error {
	const path, grey = "/render/", 6 * time.Second
	if err := w.deployment(3, 20, configuration(route("render", path, 1, 2)), sameLabels); err != nil {
		return err
	}
	id := newID()
	members := []string{taskName(id, 0, 0), taskName(id, 0, 1)}
	if trouble {
		for _, e := range w.workers {
			e.stopMS = int(stopTimeout.Milliseconds()) - 20
			e.fails = func(task string, _ int) time.Duration {
				for i, member := range members {
					begun := w.starts(member)
					if len(begun) > 0 && begun[0].worker == e.name && time.Since(w.began)-begun[0].at < grey {
						return time.Duration(300+300*i) * time.Millisecond
					}
				}
				return 0
			}
		}
		var once sync.Once
		planner := w.store.seen
		w.store.seen = func(key string, value []byte) {
			planner(key, value)
			if key != "p/"+id || !strings.Contains(string(value), `"f":1`) {
				return
			}
			once.Do(func() {
				w.note("the planner stores %s", value)
				for _, p := range w.entries {
					if p.name == w.newestPlanner() {
						p.kill()
					}
				}
			})
		}
	}
	if !w.submit(host, path, id, "key-buyers", step{Count: 2, CPU: 8000, MemMB: 16000, GPUs: 8, EstimatedMS: 2000, Gang: true, workMS: 2000}) {
		return fmt.Errorf("the job was not accepted")
	}
	var state string
	until(40*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		_, state = w.state(host, path, id, "key-buyers")
		return state == "failed" || state == "completed"
	})
	failedRuns := make(map[int]bool)
	for _, end := range append(w.ends(members[0]), w.ends(members[1])...) {
		if end.how == "failed" {
			failedRuns[end.run] = true
		}
	}
	w.note("the job is shown as %q; runs of the gang that failed: %d; attempts allowed: 2", state, len(failedRuns))
	switch {
	case state == "failed" && len(failedRuns) < 2:
		w.broken("LOST: the job is shown as failed after %d failed run of its gang, though 2 are allowed", len(failedRuns))
	case state != "completed":
		return fmt.Errorf("the job is %q after 40 s", state)
	}
	return nil
}

// idsCase: two tenants choose the same id for their jobs, in different queues.
func idsCase(w *world, trouble bool) error {
	const render, fit = "/render/", "/fit/"
	if err := w.deployment(2, 2, configuration(route("render", render, 1, 3), route("fit", fit, 0, 4)), sameLabels); err != nil {
		return err
	}
	s := step{Count: 1, CPU: 1000, MemMB: 1000, GPUs: 1, EstimatedMS: 1000, workMS: 1000}
	id := "0000000000000001"
	other := "0000000000000002"
	if trouble {
		other = id
	}
	if !w.submit(host, render, id, "key-buyers", s) {
		return fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(time.Second)
	if !w.submit(host, fit, other, "key-floor", s) {
		w.note("the second job is refused, which is allowed")
		return nil
	}
	time.Sleep(visible + time.Second)
	for _, p := range w.entries {
		if status, _ := w.call(p, "GET", host, fit+other, "key-floor", nil); status == 410 {
			w.broken("LOST: a GET for the second tenant's job, which was accepted %v before, is answered 410", visible+time.Second)
			return nil
		}
	}
	if n := len(w.starts(taskName(other, 0, 0))); n == 0 {
		return fmt.Errorf("nothing ran")
	}
	return nil
}

// lateCase: a worker leaves the starts of a run unanswered; they arrive 11 s later. Meanwhile the run is given up and the
// next one starts on another worker; then the first worker crashes and starts again under its id.
func lateCase(w *world, trouble bool) error {
	const path, late = "/plan/", 11 * time.Second
	if err := w.deployment(3, 7, configuration(route("plan", path, 2, 4)), sameLabels); err != nil {
		return err
	}
	s := step{Count: 1, CPU: 2000, MemMB: 8000, GPUs: 2, EstimatedMS: 12000, workMS: 12000}
	id, other := newID(), newID()
	task, otherTask := taskName(id, 0, 0), taskName(other, 0, 0)
	var mu sync.Mutex
	var hit *executor
	if trouble {
		for _, l := range w.links {
			l.delay = func(t string, number int) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case number != 1:
					return 0
				case t == task:
					hit = l.to
					return late
				case t == otherTask && l.to == hit:
					return 3 * time.Second
				}
				return 0
			}
		}
	}
	if !w.submit(host, path, id, "key-buyers", s) {
		return fmt.Errorf("the job was not accepted")
	}
	submitted := time.Now()
	if !trouble {
		if !until(20*time.Second, func() bool { return len(w.ends(task)) > 0 }) {
			return fmt.Errorf("the job's run doesn't end")
		}
		return w.checkTwice(task)
	}
	time.Sleep(4800 * time.Millisecond)
	w.submit(host, path, other, "key-buyers", s)
	if !until(9*time.Second, func() bool { return len(w.starts(task)) > 0 }) {
		return fmt.Errorf("the second run didn't start")
	}
	second := w.starts(task)[0]
	mu.Lock()
	x := hit
	mu.Unlock()
	if second.worker == x.name {
		return fmt.Errorf("the second run started on the same worker")
	}
	time.Sleep(700 * time.Millisecond)
	x.crash()
	time.Sleep(1500 * time.Millisecond)
	if err := x.start(); err != nil {
		return err
	}
	if time.Since(submitted) > late {
		return fmt.Errorf("the worker started again too late")
	}
	time.Sleep(time.Until(submitted.Add(late + 12*time.Second)))
	return w.checkTwice(task)
}

// checkTwice checks that no two runs of a subtask were there at the same time.
func (w *world) checkTwice(task string) error {
	running := make(map[string]bool)
	w.mu.Lock()
	history := append([]happening{}, w.history...)
	w.mu.Unlock()
	for _, h := range history {
		if h.task != task {
			continue
		}
		name := fmt.Sprintf("run %d on %s", h.run, h.worker)
		if h.how != "" {
			delete(running, name)
			continue
		}
		running[name] = true
		if len(running) > 1 {
			var names []string
			for n := range running {
				names = append(names, n)
			}
			sort.Strings(names)
			w.broken("TWICE: at %.3f s two runs of %s at the same time: %s", h.at.Seconds(), task, strings.Join(names, ", "))
			return nil
		}
	}
	return nil
}

// lastingCase: the subtasks of two long-running jobs fail some seconds after each of their first starts, as they may at
// any time, and then no more. A third long-running job fills the third worker.
func lastingCase(w *world, trouble bool) error {
	const path, failingRuns = "/serve/", 4
	if err := w.deployment(3, 3, configuration(route("serve", path, 0, 4)), sameLabels); err != nil {
		return err
	}
	full, a, b := newID(), newID(), newID()
	tasks := []string{taskName(a, 0, 0), taskName(b, 0, 0)}
	if trouble {
		for _, e := range w.workers {
			e.fails = func(task string, number int) time.Duration {
				switch {
				case number > failingRuns:
					return 0
				case task == tasks[0]:
					return 2000 * time.Millisecond
				case task == tasks[1]:
					return 2300 * time.Millisecond
				}
				return 0
			}
		}
	}
	lasting := func(gpus int) step {
		return step{Count: 1, CPU: 1000 * gpus, MemMB: 8000, GPUs: gpus, LongRunning: true, Label: ""}
	}
	if !w.submit(host, path, full, "key-buyers", lasting(8)) || !until(5*time.Second, func() bool { return len(w.starts(taskName(full, 0, 0))) > 0 }) {
		return fmt.Errorf("the first job doesn't run")
	}
	for _, id := range []string{a, b} {
		if !w.submit(host, path, id, "key-floor", lasting(4)) {
			return fmt.Errorf("a job was not accepted")
		}
	}
	const after, span = 6 * time.Second, 3 * time.Second // From 6 s after its last run, for 3 s.
	for end := time.Now().Add(70 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		settled := true
		for _, task := range tasks {
			if len(w.runningOn(task)) > 0 {
				starts := w.starts(task)
				settled = settled && time.Since(w.began)-starts[len(starts)-1].at > 10*time.Second
				continue
			}
			settled = false
			ends := w.ends(task)
			if len(ends) == 0 {
				continue
			}
			idle := time.Since(w.began) - ends[len(ends)-1].at
			if free := w.freeAccelerators(); idle >= after+span && free >= 8 {
				w.broken("LOST: for %.1f s after its last run nothing runs of %s, which lasts and needs 4 accelerators; %d are idle on workers without any disruption",
					idle.Seconds(), task, free)
				return nil
			}
		}
		if settled {
			return nil
		}
	}
	return fmt.Errorf("the subtasks don't settle")
}

// freeAccelerators counts the accelerators of workers that have room for a task of four.
func (w *world) freeAccelerators() int {
	n := 0
	for _, e := range w.workers {
		e.mu.Lock()
		free := e.capacity.GPUs
		for _, r := range e.running {
			free -= r.step.GPUs
		}
		e.mu.Unlock()
		if free >= 4 {
			n += free
		}
	}
	return n
}

// pendingCase: one of ten workers refuses all starts as unhealthy for 6.5 s. Only it has the label that the jobs need.
func pendingCase(w *world, trouble bool) error {
	const path, jobs, workers = "/plan/", 6, 10
	err := w.deployment(2, workers, configuration(route("plan", path, 0, 4)), func(i int) []string {
		if i == workers-1 {
			return []string{"b", "r1-4"}
		}
		return sameLabels(i)
	})
	if err != nil {
		return err
	}
	special := w.workers[workers-1]
	begin := time.Now()
	if trouble {
		special.refuse = func(string) int {
			if time.Since(begin) < 6500*time.Millisecond {
				return 503
			}
			return 0
		}
	}
	work := 1000
	if !trouble {
		work = 9000 // So that half of the jobs wait for room.
	}
	gpus := 1
	if !trouble {
		gpus = 8
	}
	var tasks []string
	for range jobs {
		id := newID()
		tasks = append(tasks, taskName(id, 0, 0))
		if !w.submit(host, path, id, "key-buyers", step{Count: 1, CPU: 1000, MemMB: 1000, GPUs: gpus, EstimatedMS: work, Label: "b", workMS: work}) {
			return fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(visible + 2*time.Second + 300*time.Millisecond)
	for range 3 {
		for _, p := range w.entries {
			notBegun := 0
			for _, task := range tasks {
				if len(w.starts(task)) == 0 {
					notBegun++
				}
			}
			status, out := w.call(p, "GET", host, path, "key-buyers", nil)
			pending, _ := out["pending"].(float64)
			w.note("jobs that were accepted over 5 s ago and haven't begun: %d", notBegun)
			if status == 200 && 2*int(pending) < notBegun {
				w.broken("MIXED: %s gives %d jobs as pending; %d were accepted over %v ago and haven't begun", p.name, int(pending), notBegun, visible+2*time.Second)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !until(70*time.Second, func() bool {
		for _, task := range tasks {
			if len(w.ends(task)) == 0 {
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("the jobs don't end")
	}
	return nil
}

// rackCase: a job that lasts fills one of the three workers of each of four racks. A gang that is faster on one rack
// needs three whole workers; eight are idle.
func rackCase(w *world, trouble bool) error {
	const path, racks, perRack, finish, span = "/plan/", 4, 3, 14 * time.Second, 3 * time.Second
	rack := func(i int) string { return fmt.Sprintf("r1-%d", 1+i/perRack) }
	err := w.deployment(3, racks*perRack, configuration(route("plan", path, 1, 4)), func(i int) []string { return []string{"a", rack(i)} })
	if err != nil {
		return err
	}
	if trouble {
		for i := range racks {
			id := newID()
			if !w.submit(host, path, id, "key-floor", step{Count: 1, CPU: 8000, MemMB: 8000, GPUs: 8, LongRunning: true, DataRack: rack(i * perRack)}) ||
				!until(5*time.Second, func() bool { return len(w.starts(taskName(id, 0, 0))) > 0 }) {
				return fmt.Errorf("a job that lasts doesn't run")
			}
		}
	}
	id := newID()
	if !w.submit(host, path, id, "key-buyers", step{Count: 3, CPU: 8000, MemMB: 8000, GPUs: 8, EstimatedMS: 2000, Gang: true, SameRack: true, workMS: 2000}) {
		return fmt.Errorf("the job was not accepted")
	}
	end := time.Now() // Of the traffic.
	begun := func() bool { return len(w.starts(taskName(id, 0, 0))) > 0 }
	until(finish, begun)
	w.state(host, path, id, "key-buyers")
	if until(time.Until(end.Add(finish+span)), begun) || begun() {
		return nil
	}
	w.state(host, path, id, "key-buyers")
	idle := w.freeAccelerators()
	w.broken("LOST: from %v to %v after the end of the traffic the job has nothing running; it needs 3 whole workers with 24 accelerators, "+
		"%d workers with %d are idle, and %d of %d accelerators are in use", finish, finish+span, idle/8, idle, 8*racks, 8*racks*perRack)
	if !until(60*time.Second, begun) {
		w.note("the job has not begun 77 s after the end of the traffic either")
	}
	w.state(host, path, id, "key-buyers")
	return nil
}

// reclaimCase: subtasks that last, of a tenant without a guarantee and of a lower priority, take all accelerators. Then a
// tenant hands in a job of priority 0 within its guarantee.
func reclaimCase(w *world, trouble bool) error {
	filling := step{Count: 3, CPU: 8000, MemMB: 8000, GPUs: 8, LongRunning: trouble, workMS: 60_000}
	if !trouble {
		filling.EstimatedMS = 60_000
	}
	return w.reclaim(1, filling)
}

// coresCase: subtasks that need cores only, of a tenant without a guarantee and of priority 0, take all cores for a minute.
// Then a tenant hands in a job of priority 0 within its guarantee.
func coresCase(w *world, trouble bool) error {
	filling := step{Count: 3, CPU: 32000, MemMB: 8000, EstimatedMS: 60_000, workMS: 60_000}
	if !trouble {
		filling.GPUs = 1
	}
	return w.reclaim(0, filling)
}

// reclaim fills all workers with a tenant's job of one step, and then hands in another tenant's job within its guarantee.
func (w *world) reclaim(priority int, filling step) error {
	const serve, fit, workers, reclaim = "/serve/", "/fit/", 3, 2900 * time.Millisecond
	config := configuration(route("serve", serve, priority, 4), route("fit", fit, 0, 4))
	config["tenants"] = []any{
		map[string]any{"name": "buyers", "api_keys": []string{"key-buyers"}, "guaranteed": map[string]any{"gpus": 8}},
		map[string]any{"name": "floor", "api_keys": []string{"key-floor"}, "guaranteed": map[string]any{"gpus": 0}},
	}
	if err := w.deployment(3, workers, config, sameLabels); err != nil {
		return err
	}
	other := newID()
	if !w.submit(host, serve, other, "key-floor", filling) || !until(15*time.Second, func() bool {
		n := 0
		for i := range workers {
			n += len(w.starts(taskName(other, 0, i)))
		}
		return n >= workers
	}) {
		return fmt.Errorf("the first job doesn't take all workers")
	}
	time.Sleep(contact)
	id := newID()
	if !w.submit(host, fit, id, "key-buyers", step{Count: 1, CPU: 2000, MemMB: 8000, GPUs: 8, EstimatedMS: 2000, workMS: 2000}) {
		return fmt.Errorf("the job was not accepted")
	}
	accepted := time.Now()
	begun := func() bool { return len(w.starts(taskName(id, 0, 0))) > 0 }
	if until(reclaim, begun) {
		w.note("it began after %v", time.Since(accepted).Round(10*time.Millisecond))
		return nil
	}
	w.broken("RECLAIM: %v after its acknowledgement a job of priority 0 hasn't begun; it needs 8 accelerators, its tenant has handed in nothing else, and 8 are guaranteed to the tenant", reclaim)
	if !until(60*time.Second, begun) {
		w.note("it has not begun 60 s later either")
	}
	w.state(host, fit, id, "key-buyers")
	return nil
}

// againCase: the first start of a run gets no answer and arrives 6 s later. The agent's repeat is answered, the run ends
// done, and its end is taken note of. Then the worker crashes and starts again under its id.
func againCase(w *world, trouble bool) error {
	const path, late = "/plan/", 6 * time.Second
	if err := w.deployment(3, 7, configuration(route("plan", path, 2, 4)), sameLabels); err != nil {
		return err
	}
	id := newID()
	task := taskName(id, 0, 0)
	if trouble {
		var once sync.Once
		for _, l := range w.links {
			l.delay = func(t string, _ int) (d time.Duration) {
				if t == task {
					once.Do(func() { d = late })
				}
				return d
			}
		}
	}
	// Another job, so that one order of over twenty is late.
	if !w.submit(host, path, newID(), "key-floor", step{Count: 20, CPU: 100, MemMB: 100, EstimatedMS: 300, workMS: 300}) {
		return fmt.Errorf("the other job was not accepted")
	}
	submitted := time.Now()
	if !w.submit(host, path, id, "key-buyers", step{Count: 1, CPU: 2000, MemMB: 8000, GPUs: 2, EstimatedMS: 1500, workMS: 1500}) {
		return fmt.Errorf("the job was not accepted")
	}
	noted := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.acked[task+"/1/done"]
	}
	if !until(4*time.Second, noted) {
		return fmt.Errorf("the end of the run was not taken note of in time")
	}
	if !trouble {
		return nil
	}
	for _, e := range w.workers {
		if e.name == w.starts(task)[0].worker {
			e.crash()
			time.Sleep(1500 * time.Millisecond)
			if err := e.start(); err != nil {
				return err
			}
		}
	}
	w.state(host, path, id, "key-buyers")
	time.Sleep(time.Until(submitted.Add(late + 3*time.Second)))
	if starts := w.starts(task); len(starts) > 1 {
		w.broken("TWICE: at %.3f s run %d of %s starts again on %s, though it had ended done and that had been taken note of",
			starts[1].at.Seconds(), starts[1].run, task, starts[1].worker)
	}
	return nil
}

// vanishCase: a look that acknowledges five ends gets no answer and arrives 5.8 s later. The worker crashes meanwhile and
// starts again under its id. A run ends there while two more looks get no answer, so that the late one drops its end.
func vanishCase(w *world, trouble bool) error {
	const path, late, finish, span = "/plan/", 5800 * time.Millisecond, 14 * time.Second, 3 * time.Second
	err := w.deployment(3, 7, configuration(route("plan", path, 1, 4)), func(i int) []string {
		if i == 0 {
			return []string{"b", "r1-1"}
		}
		return sameLabels(i)
	})
	if err != nil {
		return err
	}
	first, second := newID(), newID()
	if !w.submit(host, path, first, "key-buyers", step{Count: 5, CPU: 1000, MemMB: 1000, GPUs: 1, EstimatedMS: 300, Label: "b", workMS: 300}) {
		return fmt.Errorf("the first job was not accepted")
	}
	if !until(10*time.Second, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.acked) == 5
	}) {
		return fmt.Errorf("the ends of the first job were not taken note of")
	}
	e, l := w.workers[0], w.links[0]
	var mu sync.Mutex
	var held time.Time
	l.delayHold = func(lastSeen int64) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		switch since := time.Since(held); {
		case !trouble:
		case held.IsZero() && lastSeen == 5:
			held = time.Now()
			return late
		case !held.IsZero() && since > 4*time.Second && since < late+100*time.Millisecond:
			return 2500 * time.Millisecond
		}
		return 0
	}
	if trouble {
		if !until(5*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return !held.IsZero() }) {
			return fmt.Errorf("there was no look")
		}
		e.crash()
		time.Sleep(1500 * time.Millisecond)
		if err := e.start(); err != nil {
			return err
		}
	}
	if !w.submit(host, path, second, "key-buyers", step{Count: 1, CPU: 1000, MemMB: 1000, GPUs: 1, EstimatedMS: 3000, Label: "b", workMS: 3000}) {
		return fmt.Errorf("the second job was not accepted")
	}
	end := time.Now() // Of the traffic.
	task := taskName(second, 0, 0)
	time.Sleep(time.Until(end.Add(finish)))
	for time.Now().Before(end.Add(finish + span)) {
		if len(w.runningOn(task)) > 0 {
			return fmt.Errorf("it runs")
		}
		if _, state := w.state(host, path, second, "key-buyers"); state == "completed" {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.broken("LOST: from %v to %v after the end of the traffic the job has nothing running and isn't done; its worker is idle", finish, finish+span)
	time.Sleep(40 * time.Second)
	w.state(host, path, second, "key-buyers")
	return nil
}
