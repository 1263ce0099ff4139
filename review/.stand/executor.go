package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and delays of an executor, those of a small deployment.
const (
	maxHold           = 10 * time.Second
	stopTime          = 50 * time.Millisecond // Stops take at most 200 ms.
	maxHoldWait       = 2 * time.Second
	endsPerReply      = 500
	heartbeatInterval = 1500 * time.Millisecond
	failTime          = 100 * time.Millisecond // After which a run fails on a faulty executor.
	clockTick         = 5 * time.Millisecond

	checkpointInterval = time.Second
	restoreTime        = 100 * time.Millisecond
)

// demand is what a subtask needs.
type demand struct {
	cpu, memory, gpus int
	work              time.Duration
	saves             bool          // It checkpoints its progress.
	failsAfter        time.Duration // Each run fails so long after its start; zero if it doesn't.
}

// executor stands in for one lifetime of a worker. It runs subtasks for as long as its lease lasts.
type executor struct {
	id, service, zone string
	labels            []string
	capacity          demand
	agent             string // Where it reports.
	demands           func(task string) (demand, bool)
	record            *record
	born              time.Time

	mu       sync.Mutex
	fence    int64
	deadline time.Duration // On the executor's clock.
	running  map[string]*run
	barred   map[string]int64 // The highest run that ended or was stopped, by subtask.
	ends     []end
	endCount int64
	lapsed   bool  // The lease has lapsed and was not extended since.
	lapses   int64 // How often it has lapsed.
	changed  chan struct{}
	failing  bool
	mute     bool
}

type run struct {
	number   int64
	started  time.Duration // When it would have started had it done all its work in this run.
	demand   demand
	failAt   time.Duration // When it fails; zero if it doesn't.
	stopAt   time.Duration // When it will have been stopped; zero if no stop was ordered.
	restored time.Duration // The work of the checkpoint that it started from.
}

// worked returns how much of its work a run has done.
func (r *run) worked(now time.Duration) time.Duration {
	return min(r.demand.work, max(r.restored, now-r.started))
}

// checkpointPrefix is what checkpoints begin with. The milliseconds of work follow in hexadecimal digits.
const checkpointPrefix = "save"

// checkpoint returns a run's newest checkpoint, which is empty if there is none.
func (r *run) checkpoint(now time.Duration) string {
	saved := r.worked(now).Truncate(checkpointInterval)
	if r.stopAt != 0 && now >= r.stopAt {
		saved = r.worked(now)
	}
	if saved = max(saved, r.restored); !r.demand.saves || saved == 0 {
		return ""
	}
	return fmt.Sprintf("%s%016x", checkpointPrefix, saved.Milliseconds())
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
	lapses int64 // Of the executor's lease when the run ended.
}

func newExecutor(id string) *executor {
	return &executor{
		id: id, born: time.Now(), running: make(map[string]*run), barred: make(map[string]int64),
		changed: make(chan struct{}),
	}
}

// clock returns the time on the executor's steady clock.
func (e *executor) clock() time.Duration { return time.Second + time.Since(e.born) }

// setFailing makes all runs that start from now on fail, or not.
func (e *executor) setFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
	e.record.add("executor %s: runs that start fail: %v", e.id, failing)
}

// setMute makes the executor leave all calls unanswered and undone while it runs on, or answer again.
func (e *executor) setMute(mute bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mute = mute
	e.record.add("executor %s: answers no calls: %v", e.id, mute)
}

// idle reports whether nothing runs.
func (e *executor) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return len(e.running) == 0
}

// advance ends the runs whose time has come. The caller holds mu.
func (e *executor) advance() {
	now := e.clock()
	if now >= e.deadline && !e.lapsed {
		e.lapsed = true
		e.lapses++
	}
	var over []string
	for task, r := range e.running {
		if now >= e.deadline || r.stopAt != 0 && now >= r.stopAt || r.failAt == 0 && now >= r.started+r.demand.work || r.failAt != 0 && now >= r.failAt {
			over = append(over, task)
		}
	}
	slices.Sort(over)
	for _, task := range over {
		r := e.running[task]
		how := "done"
		switch {
		case now >= e.deadline:
			how = "lapsed"
		case r.stopAt != 0 && now >= r.stopAt:
			how = "stopped"
		case r.failAt != 0 && now >= r.failAt:
			how = "failed"
		}
		delete(e.running, task)
		e.barred[task] = max(e.barred[task], r.number)
		e.endCount++
		e.ends = append(e.ends, end{e.endCount, task, r.number, how, r.checkpoint(now), e.lapses})
		e.record.ended(e, task, r.number, how, e.endCount)
	}
	if len(over) > 0 {
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// serve answers the agent's calls and reports to it until stop is closed.
func (e *executor) serve(address string, stop <-chan struct{}) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }() // Ends when it is closed.
	go func() {
		tick := time.NewTicker(clockTick)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				e.mu.Lock()
				e.advance()
				e.mu.Unlock()
			case <-stop:
				_ = server.Close()
				return
			}
		}
	}()
	go e.beat(address, stop)
	return nil
}

// beat reports to the agent at an interval, and sooner until the first report is acknowledged.
func (e *executor) beat(address string, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	acked := false
	for sequence := 1; ; sequence++ {
		body, err := json.Marshal(map[string]any{
			"service": e.service, "address": address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "labels": e.labels, "clock_ms": e.clock().Milliseconds(), "sequence": sequence, "born": e.born.UnixMilli(),
			"capacity": map[string]int{"cpu": e.capacity.cpu, "mem_mb": e.capacity.memory, "gpus": e.capacity.gpus},
		})
		if err != nil {
			panic(err) // Numbers and strings can always be encoded.
		}
		resp, err := client.Post("http://"+e.agent+"/-/Executors.Heartbeat/"+e.id, "application/json", bytes.NewReader(body))
		if err == nil {
			acked = acked || resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		pause := heartbeatInterval
		if !acked {
			pause = 100 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-stop:
			return
		}
	}
}

// order is the body of a call of the agent.
type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"task_spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`

	Checkpoint string `json:"checkpoint"`
}

// ServeHTTP answers a call of the agent.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	mute := e.mute
	e.mu.Unlock()
	if mute { // Nothing is done, also later.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.Unmarshal(data, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/-/run-start":
		e.start(w, o)
	case "/-/run-stop":
		e.stop(w, o)
	case "/-/hold":
		e.hold(w, r, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// checkFence takes over a higher fencing token and refuses a lower one. The caller holds mu.
func (e *executor) checkFence(w http.ResponseWriter, o order) bool {
	e.advance()
	if o.Fence < e.fence {
		e.answer(w, http.StatusConflict, "fence", nil)
		return false
	}
	e.fence = o.Fence
	return true
}

// answer sends a response. The caller holds mu.
func (e *executor) answer(w http.ResponseWriter, status int, reason string, lists map[string]any) {
	body := map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	for k, v := range lists {
		body[k] = v
	}
	reply(w, status, body)
}

// extend lengthens the lease, at most to the longest one. The caller holds mu.
func (e *executor) extend(o order) {
	d := min(time.Duration(o.Deadline)*time.Millisecond, e.clock()+maxHold)
	if d > e.clock() {
		e.deadline, e.lapsed = max(e.deadline, d), false
	}
}

// room reports whether a subtask fits. The caller holds mu.
func (e *executor) room(d demand) bool {
	free := e.capacity
	for _, r := range e.running {
		free.cpu, free.memory, free.gpus = free.cpu-r.demand.cpu, free.memory-r.demand.memory, free.gpus-r.demand.gpus
	}
	return free.cpu >= d.cpu && free.memory >= d.memory && free.gpus >= d.gpus
}

func (e *executor) start(w http.ResponseWriter, o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(w, o) {
		return
	}
	d, known := e.demands(o.Task)
	if r, ok := e.running[o.Task]; ok && r.number == o.Run {
		e.answer(w, http.StatusOK, "", nil)
		return
	}
	switch {
	case o.Run <= e.barred[o.Task]:
		e.extend(o)
		e.answer(w, http.StatusConflict, "old", nil)
		return
	case time.Duration(o.Deadline)*time.Millisecond <= e.clock():
		e.answer(w, http.StatusConflict, "late", nil)
		return
	case !e.room(d):
		e.extend(o)
		e.answer(w, http.StatusConflict, "room", nil)
		return
	}
	e.extend(o)
	e.running[o.Task] = e.newRun(o, d)
	e.record.started(e, o.Task, o.Run, known)
	e.answer(w, http.StatusOK, "", nil)
}

// newRun returns the run that an order starts. The caller holds mu.
func (e *executor) newRun(o order, d demand) *run {
	now := e.clock()
	r := &run{number: o.Run, started: now, demand: d}
	if ms, err := strconv.ParseInt(strings.TrimPrefix(o.Checkpoint, checkpointPrefix), 16, 64); err == nil && d.saves {
		r.restored = time.Duration(ms) * time.Millisecond
		r.started = now + restoreTime - r.restored
	}
	switch {
	case e.failing:
		r.failAt = now + failTime
	case d.failsAfter > 0:
		r.failAt = now + d.failsAfter
	}
	return r
}

func (e *executor) stop(w http.ResponseWriter, o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(w, o) {
		return
	}
	e.barred[o.Task] = max(e.barred[o.Task], o.Run)
	if r, ok := e.running[o.Task]; ok && r.number <= o.Run && r.stopAt == 0 {
		r.stopAt = e.clock() + stopTime
	}
	e.answer(w, http.StatusOK, "", nil)
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(w, o) {
		return
	}
	e.extend(o)
	e.ends = slices.DeleteFunc(e.ends, func(n end) bool {
		if n.number > o.LastSeen {
			return false
		}
		e.record.noted(e, n, n.lapses == e.lapses)
		return true
	})
	timer := time.NewTimer(min(maxHoldWait, time.Duration(o.Wait)*time.Millisecond))
	defer timer.Stop()
	for waiting := o.Wait > 0; waiting && len(e.ends) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
		e.advance()
	}
	if e.mute {
		panic(http.ErrAbortHandler) // The call came before the executor went mute.
	}
	running, finished := [][]any{}, [][]any{}
	for task, run := range e.running {
		percent := int(100 * run.worked(e.clock()) / max(1, run.demand.work))
		running = append(running, []any{task, run.number, run.checkpoint(e.clock()), percent, run.demand.cpu})
	}
	slices.SortFunc(running, func(a, b []any) int { return strings.Compare(a[0].(string), b[0].(string)) })
	for _, n := range e.ends[:min(len(e.ends), endsPerReply)] {
		finished = append(finished, []any{n.number, n.task, n.run, n.how, n.saved})
	}
	e.answer(w, http.StatusOK, "", map[string]any{"running": running, "finished": finished})
}

// taskOf splits a subtask's name into its job and step.
func taskOf(name string) (job string, step int, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, fmt.Errorf("subtask %q is not ID.K.STEP.INDEX", name)
	}
	step, err = strconv.Atoi(parts[2])
	return parts[0], step, err
}
