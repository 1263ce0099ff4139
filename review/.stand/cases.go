package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// manyEnds kills the planning entry just before some hundreds of subtasks end on one executor. An
// executor lists 500 ends at a time.
func manyEnds(d *deployment, trouble bool) ([]string, error) {
	const (
		count = 700
		work  = 5 * time.Second
		// killAfter is the time from the first start to the kill.
		killAfter = 4750 * time.Millisecond
		restart   = time.Second
	)
	id, accepted := d.submit("batch", []step{{count: count, label: "b", demand: demand{cpu: 100, memory: 64, work: work}}})
	if !accepted {
		return nil, fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	var first time.Time
	for deadline := time.Now().Add(20 * time.Second); d.record.startedTasks(id) < count; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("%w: only %d of %d subtasks have started", errSetup, d.record.startedTasks(id), count)
		}
	}
	run, _ := d.record.lastRun(id + ".0.0.0")
	first = run.from
	d.record.add("all %d subtasks have started within %v", count, time.Since(first))
	if trouble {
		time.Sleep(time.Until(first.Add(killAfter)))
		p, err := d.planner()
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errSetup, err)
		}
		d.record.add("process %s is killed", p.name)
		p.kill()
		time.Sleep(restart)
		if err := d.start(p); err != nil {
			return nil, err
		}
	}
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if d.state("batch", id) == "completed" {
			break
		}
	}
	time.Sleep(time.Second) // The last ends are taken note of.
	return d.record.twice(), nil
}

// retryOnSoleExecutor makes the only executor that has a label fail a job's first run. The job has
// attempts left, and the executor is sound again.
func retryOnSoleExecutor(d *deployment, trouble bool) ([]string, error) {
	const work = 2 * time.Second
	sole := d.executors[workerCount-1]
	if trouble {
		sole.setFailing(true)
	}
	id, accepted := d.submit("batch", []step{{count: 1, label: "b", demand: demand{cpu: 11000, memory: 23000, gpus: 1, work: work}}})
	if !accepted {
		return nil, fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	time.Sleep(time.Second)
	if trouble {
		sole.setFailing(false)
	}
	return d.neverRuns("batch", id, sole)
}

// silentExecutor makes the store silent, and towards the end of that time one executor. Both answer again.
// Then a job comes that only this executor can run.
func silentExecutor(d *deployment, trouble bool) ([]string, error) {
	const (
		storeSilence    = 5300 * time.Millisecond
		executorSilence = 6500 * time.Millisecond
		executorDelay   = 4 * time.Second // From the start of the store's silence.
		settleTime      = 8 * time.Second // From the end of the executor's silence.
	)
	sole := d.executors[workerCount-1]
	start := time.Now()
	for _, change := range []struct {
		at    time.Duration
		apply func()
	}{
		{0, func() { d.setStoreSilent(true) }},
		{executorDelay, func() { sole.setMute(true) }},
		{storeSilence, func() { d.setStoreSilent(false) }},
		{executorDelay + executorSilence, func() { sole.setMute(false) }},
	} {
		time.Sleep(time.Until(start.Add(change.at)))
		if trouble {
			change.apply()
		}
	}
	time.Sleep(settleTime)
	id, accepted := d.submit("batch", []step{{count: 1, label: "b", demand: demand{cpu: 11000, memory: 23000, gpus: 1, work: 2 * time.Second}}})
	if !accepted {
		return nil, fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	return d.neverRuns("batch", id, sole)
}

// repeatedFailures makes the only executor that has a label fail all that it starts for about a second. A
// few jobs with a single attempt fail there at the same time. Then a further job comes, and the executor is
// sound.
func repeatedFailures(d *deployment, trouble bool) ([]string, error) {
	const (
		failing = time.Second
		jobs    = 6
	)
	work := step{count: 1, label: "b", demand: demand{cpu: 11000, memory: 23000, gpus: 1, work: 500 * time.Millisecond}}
	sole := d.executors[workerCount-1]
	sole.setFailing(trouble)
	for range jobs {
		if _, accepted := d.submit("once", []step{work}); !accepted {
			return nil, fmt.Errorf("%w: a job was not accepted", errSetup)
		}
	}
	time.Sleep(failing)
	sole.setFailing(false)
	id, accepted := d.submit("batch", []step{work})
	if !accepted {
		return nil, fmt.Errorf("%w: the last job was not accepted", errSetup)
	}
	return d.neverRuns("batch", id, sole)
}

// neverRuns is waitLong for a job of one subtask that only the given executor can run.
func (d *deployment) neverRuns(queue, id string, e *executor) ([]string, error) {
	return d.waitLong(queue, []string{id}, func(string) bool { return e.idle() },
		"executor "+e.id+" is idle and has room for it twice over")
}

// waitLong waits until finishTime after the end of the traffic, and returns a break of the rule LOST for
// each job that then has had nothing running for over 3 s. waits reports whether a job has nothing running
// although a subtask's turn has come and there is room for it.
func (d *deployment) waitLong(queue string, ids []string, waits func(id string) bool, room string) ([]string, error) {
	const (
		idleTime = 3 * time.Second
		poll     = 500 * time.Millisecond
	)
	end := time.Now()
	d.record.add("the traffic ends")
	since := make(map[string]time.Time)
	states := make(map[string]string)
	for time.Since(end) < finishTime+idleTime+time.Second {
		open := false
		for _, id := range ids {
			if states[id] == "completed" || states[id] == "failed" {
				continue
			}
			open = true
			states[id] = d.state(queue, id)
			if !waits(id) {
				delete(since, id)
			} else if _, ok := since[id]; !ok {
				since[id] = time.Now()
			}
		}
		if !open {
			return nil, nil
		}
		time.Sleep(poll)
	}
	var breaks []string
	for _, id := range ids {
		from, ok := since[id]
		if !ok || time.Since(from) <= idleTime || states[id] == "completed" || states[id] == "failed" {
			continue
		}
		breaks = append(breaks, fmt.Sprintf("LOST: job %s is shown as %q; nothing of it has run for %.1f s, though %s",
			id, states[id], time.Since(from).Seconds(), room))
	}
	return breaks, nil
}

// largeFailingJob submits a job of 4,000 subtasks, each of whose runs fails. It is one of twenty jobs. Then
// jobs come that have nothing to do with it: three subtasks, one after the other.
func largeFailingJob(d *deployment, trouble bool) ([]string, error) {
	const (
		count       = 2000
		repetitions = 2
		smallJobs   = 19
		failsAfter  = 30 * time.Second
		wait        = 33 * time.Second // From the acceptance of the large job until the next ones are submitted.
		laterJobs   = 6
		interval    = 500 * time.Millisecond // Between two of them.
	)
	small := step{count: 1, demand: demand{cpu: 11000, memory: 23000, gpus: 1, work: 4 * time.Second}}
	large := step{count: count, demand: demand{cpu: 100, memory: 64, work: time.Minute, saves: true}}
	if trouble {
		large.demand.failsAfter = failsAfter
	}
	for range smallJobs {
		if _, accepted := d.submit("batch", []step{small}); !accepted {
			return nil, fmt.Errorf("%w: a small job was not accepted", errSetup)
		}
	}
	if _, accepted := d.submitRepeated("batch", []step{large}, repetitions); !accepted {
		return nil, fmt.Errorf("%w: the large job was not accepted", errSetup)
	}
	time.Sleep(wait)
	chain := []step{small, small, small}
	chain[1].after, chain[2].after = []int{0}, []int{1}
	var ids []string
	for range laterJobs {
		id, accepted := d.submit("urgent", chain)
		if !accepted {
			return nil, fmt.Errorf("%w: a later job was not accepted", errSetup)
		}
		ids = append(ids, id)
		time.Sleep(interval)
	}
	// The large job takes 400 of the 1,408 cores and no GPU, the later ones at most 66 cores and 6 of 88 GPUs.
	return d.waitLong("urgent", ids, func(id string) bool { return d.record.waits(id, len(chain)) },
		"over half of all capacity is free")
}

// cancelOfOpenWrite submits jobs while the store turns silent. Callers whose submission ends without a
// decision cancel their job, until that is acknowledged. What has been cancelled must not run on.
func cancelOfOpenWrite(d *deployment, trouble bool) ([]string, error) {
	const (
		storeSilence = 5300 * time.Millisecond
		jobs         = 60
		interval     = 10 * time.Millisecond // Between two submissions.
		silentAfter  = 300 * time.Millisecond
		cancelTime   = 3 * time.Second // cancel_ms.
		stopBound    = 200 * time.Millisecond
		retryDelay   = 100 * time.Millisecond
		patience     = 15 * time.Second
	)
	work := step{count: 1, demand: demand{cpu: 1000, memory: 1000, work: 11 * time.Second}}
	if trouble {
		defer time.AfterFunc(silentAfter, func() { d.setStoreSilent(true) }).Stop()
		defer time.AfterFunc(silentAfter+storeSilence, func() { d.setStoreSilent(false) }).Stop()
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	cancelled := make(map[string]time.Time) // When the cancel was acknowledged, by job.
	for i := range jobs {
		group.Go(func() {
			id := newID()
			d.mu.Lock()
			d.jobs[id] = []step{work}
			d.mu.Unlock()
			body := d.jobBody(id, []step{work}, 0)
			if status, _ := d.call(d.entries[i%entryCount], http.MethodPost, "/batch/"+id, body); status == http.StatusOK && trouble || status == http.StatusServiceUnavailable {
				return // Its outcome is known.
			}
			for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(retryDelay) {
				status, _ := d.call(d.entries[(i+1)%entryCount], http.MethodDelete, "/batch/"+id, nil)
				if status == http.StatusOK || status == http.StatusGone {
					mu.Lock()
					cancelled[id] = time.Now()
					mu.Unlock()
					return
				}
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	if len(cancelled) == 0 {
		return nil, fmt.Errorf("%w: no submission was left open", errSetup)
	}
	time.Sleep(work.demand.work + 2*time.Second)
	var breaks []string
	for id, at := range cancelled {
		run, ok := d.record.lastRun(id + ".0.0.0")
		late := at.Add(cancelTime + stopBound)
		switch {
		case ok && run.from.After(at.Add(cancelTime)):
			breaks = append(breaks, fmt.Sprintf("UNASKED: %s started %v after its cancel was acknowledged", run.task, run.from.Sub(at)))
		case ok && (run.to.IsZero() || run.to.After(late)):
			breaks = append(breaks, fmt.Sprintf("UNASKED: %s ran on until %v after its cancel was acknowledged", run.task, run.to.Sub(at)))
		}
	}
	slices.Sort(breaks)
	return breaks, nil
}

// largeGangs submits two large gangs at once, while three long subtasks fill three of the executors. The
// gangs have to wait for them. Then small jobs come, for which there is room.
func largeGangs(d *deployment, trouble bool) ([]string, error) {
	const (
		longTasks = 3
		wait      = 12 * time.Second // From the gangs to the small jobs.
		smallJobs = 4
	)
	long := step{count: longTasks, demand: demand{cpu: 52000, memory: 140000, gpus: 8, work: 40 * time.Second}}
	large := step{demand: demand{cpu: 52000, memory: 140000, gpus: 8, work: 11 * time.Second}, gang: true}
	small := step{count: 1, demand: demand{cpu: 11000, memory: 23000, gpus: 1, work: 6 * time.Second}}
	if _, accepted := d.submit("large", []step{long}); !accepted {
		return nil, fmt.Errorf("%w: the long job was not accepted", errSetup)
	}
	time.Sleep(time.Second)
	if trouble {
		for _, width := range []int{9, 2} {
			large.count = width
			if _, accepted := d.submit("large", []step{large}); !accepted {
				return nil, fmt.Errorf("%w: a gang was not accepted", errSetup)
			}
		}
	}
	time.Sleep(wait)
	var ids []string
	for range smallJobs {
		id, accepted := d.submit("batch", []step{small})
		if !accepted {
			return nil, fmt.Errorf("%w: a small job was not accepted", errSetup)
		}
		ids = append(ids, id)
	}
	return d.waitLong("batch", ids, func(id string) bool { return d.record.waits(id, 1) }, "8 of 11 executors are idle")
}
