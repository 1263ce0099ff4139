package main

import (
	"fmt"
	"time"
)

// manyEnds kills the planning entry just before some hundreds of subtasks end on one executor. An
// executor lists 500 ends at a time.
func manyEnds(d *deployment, trouble bool) ([]string, error) {
	const (
		count = 700
		work  = 5 * time.Second
		// killAfter is the time from the first start to the kill.
		killAfter = 4500 * time.Millisecond
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

// neverRuns waits until finishTime after the end of the traffic, and returns a break of the rule LOST if
// the job has then had nothing running for over 3 s although its only subtask's turn has come and the
// executor is idle.
func (d *deployment) neverRuns(queue, id string, e *executor) ([]string, error) {
	const (
		idleTime = 3 * time.Second
		poll     = 500 * time.Millisecond
	)
	end := time.Now()
	d.record.add("the traffic ends")
	var idleSince time.Time
	state := ""
	for time.Since(end) < finishTime+idleTime+time.Second {
		if state = d.state(queue, id); state == "completed" || state == "failed" {
			return nil, nil
		}
		if !e.idle() {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = time.Now()
		}
		time.Sleep(poll)
	}
	if idleSince.IsZero() || time.Since(idleSince) <= idleTime {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: job %s is shown as %q; nothing of it has run for %.1f s, though executor %s is idle and has room for it twice over",
		id, state, time.Since(idleSince).Seconds(), e.id)}, nil
}
