package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in kuusela-aprons.
const (
	maxHold     = 10 * time.Second
	stopTimeout = 400 * time.Millisecond
	gangTimeout = 3 * time.Second
	visible     = 3 * time.Second
	contact     = 3 * time.Second
)

// Ports on all machines.
const (
	callersPort  = 8521
	readyPort    = 8523
	controlPort  = 8526
	internalPort = 7000
	appPort      = 8066
	linkPort     = 8067
	storePort    = 8524
)

// world is a small deployment: a store, entries, and executors with their agents.
type world struct {
	prefix   string
	dir      string
	began    time.Time
	store    *logStore
	entries  []*process
	agents   []*process
	workers  []*executor
	links    []*link
	mu       sync.Mutex
	out      *os.File
	jobs     map[string][]step
	live     map[string]map[*run]*executor // Running runs by subtask.
	history  []happening
	acked    map[string]bool // Ends that were taken note of, as TASK/RUN/HOW.
	planner  string          // The entry that last wrote the record of the planner.
	failures []string
}

// happening is a start or an end of a run.
type happening struct {
	at     time.Duration
	worker string
	task   string
	run    int
	how    string // Empty for a start.
}

// process is one of the project's programs.
type process struct {
	name, ip string
	cmd      *exec.Cmd
	settings string
	role     string
	w        *world
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(format, args...)
}

// write is note for a caller that holds the lock.
func (w *world) write(format string, args ...any) {
	fmt.Fprintf(w.out, "%7.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// newestPlanner returns the entry that last wrote the record of the planner.
func (w *world) newestPlanner() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.planner
}

func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := fmt.Sprintf(format, args...)
	w.failures = append(w.failures, s)
	w.write("BROKEN: %s", s)
}

func (w *world) stepOf(task string) *step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	n, _ := strconv.Atoi(parts[2])
	w.mu.Lock()
	defer w.mu.Unlock()
	steps := w.jobs[parts[0]]
	if n >= len(steps) {
		return nil
	}
	return &steps[n]
}

func (w *world) runStarted(e *executor, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.live[r.task] == nil {
		w.live[r.task] = make(map[*run]*executor)
	}
	w.live[r.task][r] = e
	w.history = append(w.history, happening{time.Since(w.began), e.name, r.task, r.number, ""})
	w.write("%s starts run %d of %s", e.name, r.number, r.task)
}

func (w *world) runOver(e *executor, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.live[r.task], r)
	w.history = append(w.history, happening{time.Since(w.began), e.name, r.task, r.number, how})
	w.write("%s: run %d of %s ends: %s", e.name, r.number, r.task, how)
}

func (w *world) acknowledged(e *executor, row endRow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acked[fmt.Sprintf("%s/%d/%s", row.task, row.run, row.how)] = true
	w.write("%s: the end %s of run %d of %s is taken note of", e.name, row.how, row.run, row.task)
}

// complete reports whether all members of a gang's run are there.
func (w *world) complete(r *run) bool {
	parts := strings.Split(r.task, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range r.step.Count {
		found := false
		for other := range w.live[strings.Join(parts[:3], ".")+"."+strconv.Itoa(i)] {
			found = found || other.number == r.number
		}
		if !found {
			return false
		}
	}
	return true
}

// starts returns the starts of a subtask so far.
func (w *world) starts(task string) []happening {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []happening
	for _, h := range w.history {
		if h.task == task && h.how == "" {
			out = append(out, h)
		}
	}
	return out
}

// ends returns the ends of runs of a subtask so far.
func (w *world) ends(task string) []happening {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []happening
	for _, h := range w.history {
		if h.task == task && h.how != "" {
			out = append(out, h)
		}
	}
	return out
}

func (w *world) runningOn(task string) (names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, e := range w.live[task] {
		names = append(names, fmt.Sprintf("%s (run %d)", e.name, r.number))
	}
	return names
}

func newWorld(out *os.File) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, out: out, began: time.Now(), store: newStore(), jobs: make(map[string][]step),
		live: make(map[string]map[*run]*executor), acked: make(map[string]bool),
	}
	for range 100 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.Intn(250), rand.Intn(250))
		l, err := net.Listen("tcp", w.prefix+"1:"+strconv.Itoa(storePort))
		if err != nil {
			continue
		}
		w.store.seen = func(key string, value []byte) {
			var p struct {
				Name     string `json:"name"`
				Resigned bool   `json:"resigned"`
			}
			if key == "planner" && json.Unmarshal(value, &p) == nil && !p.Resigned {
				w.mu.Lock()
				w.planner = p.Name
				w.write("%s writes the record of the planner to the store", p.Name)
				w.mu.Unlock()
			}
		}
		go func() { _ = http.Serve(l, w.store) }()
		return w, nil
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// configure writes a configuration as the operator does.
func (w *world) configure(c map[string]any) {
	data, _ := json.Marshal(c)
	w.store.put("keyed.op", "config", data)
	w.note("operator: op/config %s", data)
}

// program starts one of the project's programs with settings of the deploy file's template.
func (w *world) program(role, name, ip string, listen map[string]any, worker any, share float64, memoryMB int) (*process, error) {
	settings := map[string]any{
		"name": name, "zone": "zone-a", "ip": ip, "cpu-share": share, "memory-mb": memoryMB, "descriptors": 4100,
		"listen": listen, "ports": []int{internalPort, internalPort + 15}, "worker": worker,
		"store": w.prefix + "1:" + strconv.Itoa(storePort),
		"bounds": map[string]any{
			"lease-ms": maxHold.Milliseconds(), "stop-timeout-ms": stopTimeout.Milliseconds(), "remote-factor": 3,
			"checkpoint-interval-s": 2, "status-s": 120, "grace-s": 6,
		},
	}
	data, _ := json.MarshalIndent(settings, "", "  ")
	p := &process{name: name, ip: ip, role: role, settings: filepath.Join(w.dir, name+".json"), w: w}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	return p, p.run()
}

func (p *process) run() error {
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command("target/sniperill", "platform", p.role)
	p.cmd.Env = append(os.Environ(), "SNIPERILL_NODE_FILE="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// kill kills the process with SIGKILL.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.w.note("SIGKILL to %s", p.name)
}

func (w *world) addEntries(n int) error {
	for i := range n {
		ip := w.prefix + strconv.Itoa(11+i)
		p, err := w.program("entry", fmt.Sprintf("front-%d", i+1), ip, map[string]any{
			"callers": net.JoinHostPort(ip, strconv.Itoa(callersPort)), "ready": net.JoinHostPort(ip, strconv.Itoa(readyPort)), "worker": "",
		}, "", 0.4, 284)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, p)
	}
	return nil
}

// addWorker adds an executor and the agent beside it.
func (w *world) addWorker(service string, capacity resources, labels ...string) (*executor, error) {
	n := len(w.workers) + 1
	ip := w.prefix + strconv.Itoa(100+n)
	e := &executor{
		w: w, name: fmt.Sprintf("side-%d", n), id: fmt.Sprintf("i-%08x", rand.Uint32()), ip: ip, port: appPort,
		control: net.JoinHostPort(ip, strconv.Itoa(controlPort)), service: service, labels: labels, capacity: capacity, stopMS: 100,
	}
	l := &link{w: w, to: e}
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(linkPort)))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, l) }()
	p, err := w.program("agent", e.name, ip, map[string]any{"callers": "", "ready": "", "worker": e.control}, listener.Addr().String(), 0.24, 152)
	if err != nil {
		return nil, err
	}
	w.workers, w.links, w.agents = append(w.workers, e), append(w.links, l), append(w.agents, p)
	return e, e.start()
}

// close ends all processes.
func (w *world) close() {
	for _, p := range append(w.entries, w.agents...) {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", w.dir)
	}
}

// ready waits until all entries are ready and all workers are known.
func (w *world) ready() error {
	client := &http.Client{Timeout: time.Second}
	for _, p := range w.entries {
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get("http://" + net.JoinHostPort(p.ip, strconv.Itoa(readyPort)) + "/-/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s doesn't get ready", p.name)
			}
		}
	}
	time.Sleep(4 * time.Second) // Traffic starts 10 s after the machines on the users' sites.
	return nil
}

// call makes a client's call at an entry.
func (w *world) call(entry *process, method, host, path, key string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, _ := http.NewRequest(method, "http://"+net.JoinHostPort(entry.ip, strconv.Itoa(callersPort))+path, bytes.NewReader(data))
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Remaining-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		w.note("client: %s %s at %s: no answer: %v", method, path, entry.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	w.note("client: %s %s at %s: %d %s", method, path, entry.name, resp.StatusCode, bytes.TrimSpace(text))
	var out map[string]any
	_ = json.Unmarshal(text, &out)
	return resp.StatusCode, out
}

// submit hands a job in, and retries as clients do.
func (w *world) submit(host, path, id, key string, steps ...step) bool {
	w.mu.Lock()
	if w.jobs[id] == nil {
		w.jobs[id] = steps
	}
	w.mu.Unlock()
	for try := range 5 {
		status, _ := w.call(w.entries[try%len(w.entries)], http.MethodPost, host, path+id, key, map[string]any{"task_spec": "text " + id, "steps": steps})
		if status == http.StatusOK {
			return true
		}
		if status != 0 && status != 503 && status != 504 && status != 502 {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state, at any entry that answers.
func (w *world) state(host, path, id, key string) (int, string) {
	for _, p := range w.entries {
		if p.cmd.ProcessState != nil {
			continue
		}
		if status, out := w.call(p, http.MethodGet, host, path+id, key, nil); status == http.StatusOK || status == http.StatusGone {
			s, _ := out["state"].(string)
			return status, s
		}
	}
	return 0, ""
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func route(name, path string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "shop.example", "path_prefix": path, "service": "apron-orders", "priority": priority,
		"max_attempts": attempts, "stretch": 3, "target_duration_ms": 1000, "timeout_ms": 3000,
	}
}

func configuration(routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": 10, "routes": routes,
		"services": []any{map[string]any{"name": "apron-orders", "enforces_capacity": true}},
		"tenants": []any{
			map[string]any{"name": "buyers", "api_keys": []string{"key-buyers"}, "guaranteed": map[string]any{"gpus": 0}},
			map[string]any{"name": "floor", "api_keys": []string{"key-floor"}, "guaranteed": map[string]any{"gpus": 0}},
		},
		"limits": map[string]any{"max_body_bytes": 262144},
	}
}
