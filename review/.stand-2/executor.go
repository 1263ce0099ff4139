package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resources are those of an executor or a subtask.
type resources struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPUs  int `json:"gpus"`
}

// step is a step of a job, as its client submits it.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	MemMB       int    `json:"mem_mb,omitempty"`
	GPUs        int    `json:"gpus,omitempty"`
	EstimatedMS int    `json:"estimated_ms,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Label       string `json:"requirements,omitempty"`
	DataRack    string `json:"data_rack,omitempty"`
	SameRack    bool   `json:"same_rack,omitempty"`
	workMS      int
}

// executor is one executor on a side machine. It keeps its id when it starts again.
type executor struct {
	w         *world
	name, id  string
	ip        string
	port      int
	control   string // The address of its agent.
	service   string
	labels    []string
	capacity  resources
	stopMS    int // How long a stop takes.
	mu        sync.Mutex
	alive     bool
	lives     int
	born      int64
	startedAt time.Time
	sequence  int64
	fence     int64
	deadline  int64 // Of the lease, on its clock.
	running   map[string]*run
	barred    map[string]int // The highest run that was stopped or has ended, by subtask.
	ended     []endRow
	lastEnd   int64
	changed   chan struct{}
	server    *http.Server
	stopBeats context.CancelFunc
	// refuse, if it returns a status above zero, is what a start is refused with.
	refuse func(task string) int
	// fails returns how long after its start a run fails; zero if it doesn't.
	fails func(task string, run int) time.Duration
	// onStop is called when a stop of a running run arrives.
	onStop func(task string, run int)
}

type run struct {
	task     string
	number   int
	step     *step
	started  time.Time
	worked   time.Duration
	stopping bool
	over     bool
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
}

func (e *executor) clockMS() int64 { return 400_000 + time.Since(e.startedAt).Milliseconds() }

// start begins a lifetime.
func (e *executor) start() error {
	l, err := net.Listen("tcp", e.address())
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lives++
	e.alive, e.born, e.startedAt = true, time.Now().UnixMilli(), time.Now()
	e.sequence, e.fence, e.deadline, e.lastEnd = 0, 0, 0, 0
	e.running, e.barred, e.ended = make(map[string]*run), make(map[string]int), nil
	e.changed = make(chan struct{})
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.stopBeats = cancel
	go e.beat(ctx)
	go e.work(ctx)
	e.w.note("executor %s starts, life %d, id %s", e.name, e.lives, e.id)
	return nil
}

// crash ends a lifetime at once.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return
	}
	e.alive = false
	e.stopBeats()
	for _, r := range e.running {
		e.w.runOver(e, r, "lost")
	}
	e.running = nil
	_ = e.server.Close()
	e.w.note("executor %s crashes", e.name)
}

func (e *executor) address() string { return net.JoinHostPort(e.ip, strconv.Itoa(e.port)) }

// beat sends the heartbeats of a lifetime.
func (e *executor) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		e.mu.Lock()
		e.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address(), "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": e.capacity, "labels": e.labels, "clock_ms": e.clockMS(), "sequence": e.sequence,
			"born": e.born, "machine": "m-" + e.name,
		})
		e.mu.Unlock()
		pause := 1500 * time.Millisecond
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.control+"/-/Executors.Heartbeat/"+e.id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			pause = 300 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// work lets the runs of a lifetime go on, end and lapse.
func (e *executor) work(ctx context.Context) {
	const tick = 5 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(tick)
		now := time.Now()
		passed := now.Sub(last)
		last = now
		e.mu.Lock()
		if !e.alive {
			e.mu.Unlock()
			return
		}
		for _, r := range e.runs() {
			switch after := e.failsAfter(r); {
			case e.clockMS() > e.deadline:
				e.end(r, "lapsed")
			case after > 0 && now.Sub(r.started) >= after:
				e.end(r, "failed")
			case r.stopping:
			case r.step.Gang && !e.w.complete(r):
				if now.Sub(r.started) > gangTimeout {
					e.end(r, "alone")
				}
			default:
				r.worked += passed
				if !r.step.LongRunning && r.worked >= time.Duration(r.step.workMS)*time.Millisecond {
					e.end(r, "done")
				}
			}
		}
		e.mu.Unlock()
	}
}

func (e *executor) failsAfter(r *run) time.Duration {
	if e.fails == nil {
		return 0
	}
	return e.fails(r.task, r.number)
}

// runs returns the runs in a fixed order. The caller holds the lock.
func (e *executor) runs() []*run {
	var out []*run
	for _, r := range e.running {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].task < out[j].task })
	return out
}

// end ends a run. The caller holds the lock.
func (e *executor) end(r *run, how string) {
	if r.over {
		return
	}
	r.over = true
	delete(e.running, r.task)
	e.barred[r.task] = max(e.barred[r.task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, endRow{e.lastEnd, r.task, r.number, how})
	e.w.runOver(e, r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// extend extends the lease. The caller holds the lock.
func (e *executor) extend(deadline int64) {
	e.deadline = max(e.deadline, min(deadline, e.clockMS()+maxHold.Milliseconds()))
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	var m struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Deadline int64  `json:"deadline_ms"`
		Fence    int64  `json:"fencing_token"`
		LastSeen int64  `json:"last_seen"`
		Wait     int64  `json:"wait_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != e.id {
		writeJSON(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": e.clockMS()})
		return
	}
	conflict := func(reason string) {
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": e.clockMS(), "born": e.born, "reason": reason})
	}
	if m.Fence < e.fence {
		conflict("fence")
		return
	}
	e.fence = m.Fence
	switch r.URL.Path {
	case "/-/hold":
		e.hold(w, r, m.LastSeen, m.Deadline, m.Wait)
		return
	case "/-/run-start":
		if e.refuse != nil {
			if status := e.refuse(m.Task); status > 0 {
				e.w.note("start of %s run %d at %s refused with %d", m.Task, m.Run, e.name, status)
				writeJSON(w, status, map[string]any{})
				return
			}
		}
		if reason := e.startRun(m.Task, m.Run, m.Deadline); reason != "" {
			e.w.note("start of %s run %d at %s: 409 %s", m.Task, m.Run, e.name, reason)
			conflict(reason)
			return
		}
	case "/-/run-stop":
		e.stopRun(m.Task, m.Run)
	default:
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clockMS(), "born": e.born})
}

// startRun starts a run, and returns the reason if it doesn't. The caller holds the lock.
func (e *executor) startRun(task string, number int, deadline int64) string {
	if r, ok := e.running[task]; ok && r.number == number {
		return ""
	}
	st := e.w.stepOf(task)
	switch {
	case st == nil:
		return "room"
	case number <= e.barred[task]:
		e.extend(deadline)
		return "old"
	case deadline <= e.clockMS():
		return "late"
	}
	e.extend(deadline)
	free := e.capacity
	for _, r := range e.running {
		free.CPU, free.MemMB, free.GPUs = free.CPU-r.step.CPU, free.MemMB-r.step.MemMB, free.GPUs-r.step.GPUs
	}
	if st.CPU > free.CPU || st.MemMB > free.MemMB || st.GPUs > free.GPUs {
		return "room"
	}
	r := &run{task: task, number: number, step: st, started: time.Now()}
	e.running[task] = r
	e.w.runStarted(e, r)
	return ""
}

// stopRun stops a run, or bars it. The caller holds the lock.
func (e *executor) stopRun(task string, number int) {
	e.barred[task] = max(e.barred[task], number)
	r, ok := e.running[task]
	if !ok || r.number > number || r.stopping {
		return
	}
	r.stopping = true
	e.w.note("stop of %s run %d arrives at %s", task, r.number, e.name)
	if e.onStop != nil {
		go e.onStop(task, r.number)
	}
	life := e.lives
	time.AfterFunc(time.Duration(e.stopMS)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.alive && e.lives == life {
			e.end(r, "stopped")
		}
	})
}

// hold answers with both lists. The caller holds the lock.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, lastSeen, deadline, wait int64) {
	for len(e.ended) > 0 && e.ended[0].number <= lastSeen {
		e.w.acknowledged(e, e.ended[0])
		e.ended = e.ended[1:]
	}
	if deadline > 0 {
		e.extend(deadline)
	}
	if len(e.ended) == 0 && wait > 0 {
		changed, life := e.changed, e.lives
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
		if !e.alive || e.lives != life {
			panic(http.ErrAbortHandler)
		}
	}
	runningRows, endedRows := [][]any{}, [][]any{}
	for _, r := range e.runs() {
		percent := 100
		if !r.step.LongRunning {
			percent = min(99, int(100*r.worked.Milliseconds())/max(1, r.step.workMS))
		}
		runningRows = append(runningRows, []any{r.task, r.number, "", percent, r.step.CPU})
	}
	for _, row := range e.ended[:min(500, len(e.ended))] {
		endedRows = append(endedRows, []any{row.number, row.task, row.run, row.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clockMS(), "born": e.born, "running": runningRows, "finished": endedRows})
}

// link is the way from an agent to its executor: a proxy that may hold up calls, and delivers them late.
type link struct {
	w  *world
	to *executor
	// delay returns by how much a start is held up; zero if it isn't.
	delay func(task string, run int) time.Duration
	// delayHold is the same for a look that acknowledges the ends up to a number.
	delayHold func(lastSeen int64) time.Duration
}

func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	forward := func(ctx context.Context) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+l.to.address()+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.Header = r.Header.Clone()
		return http.DefaultClient.Do(req)
	}
	if d, what := l.heldUp(r.URL.Path, body); d > 0 {
		l.w.note("%s to %s gets no answer; it arrives %v later", what, l.to.name, d)
		time.AfterFunc(d, func() {
			resp, err := forward(context.Background())
			if err != nil {
				l.w.note("late %s: %v", what, err)
				return
			}
			_ = resp.Body.Close()
			l.w.note("late %s arrived at %s: %d", what, l.to.name, resp.StatusCode)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	resp, err := forward(r.Context())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// heldUp returns by how much a call is held up, and what it is.
func (l *link) heldUp(path string, body []byte) (time.Duration, string) {
	var m struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		LastSeen int64  `json:"last_seen"`
	}
	_ = json.Unmarshal(body, &m)
	switch {
	case strings.HasSuffix(path, "/run-start") && l.delay != nil:
		return l.delay(m.Task, m.Run), fmt.Sprintf("start of %s run %d", m.Task, m.Run)
	case strings.HasSuffix(path, "/hold") && l.delayHold != nil:
		return l.delayHold(m.LastSeen), fmt.Sprintf("look with last_seen %d", m.LastSeen)
	}
	return 0, ""
}

func taskName(id string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", id, step, index) }
