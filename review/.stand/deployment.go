package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A small deployment: the one of the sheet with 3 entries and 11 workers in 3 zones.
const (
	entryCount  = 3
	workerCount = 11
)

// Ports of each machine.
const (
	frontPort    = 8521
	readyPort    = 8523
	controlPort  = 8526
	executorPort = 8529
	firstPort    = 7000
	lastPort     = 7015
)

const (
	program      = "target/sniperill"
	template     = "deploy/settings.json"
	startTimeout = 20 * time.Second
	callTimeout  = 3 * time.Second // The clients' time budget.
	key          = "key-a"
)

// placeholder matches the placeholders of the settings template.
var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// bounds are those of the small deployment.
var bounds = map[string]any{
	"bounds.max_hold_ms": 10000, "bounds.stop_timeout_ms": 200, "bounds.remote_factor": 3,
	"bounds.checkpoint_interval_s": 1, "bounds.status_s": 120, "bounds.grace_period_s": 6,
}

// process is a process of the system.
type process struct {
	name, role, ip string
	settings       string
	log            string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// deployment consists of processes of the system, and stand-ins for the platform, the executors and
// the clients.
type deployment struct {
	record    *record
	folder    string
	prefix    string // Of the machines' addresses.
	store     *store
	entries   []*process
	agents    []*process
	executors []*executor
	stop      chan struct{}
	client    *http.Client

	mu   sync.Mutex
	jobs map[string][]step
}

// step is one step of a job, with the work that its subtasks really are.
type step struct {
	count  int
	label  string
	demand demand
	lasts  bool
	gang   bool
	after  []int // Numbers of the steps that it depends on.
}

// loopback returns the first three numbers of loopback addresses that are free.
func loopback() (string, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(255))
		l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, firstPort))
		if err == nil {
			return prefix, l.Close()
		}
	}
	return "", errors.New("no loopback addresses are free")
}

// newDeployment starts a deployment, which is to be ended also if there is an error. kinds is the kind of
// each worker.
func newDeployment(r *record, folder string, kinds []string) (*deployment, error) {
	prefix, err := loopback()
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: r, folder: folder, prefix: prefix, store: newStore(), stop: make(chan struct{}), jobs: make(map[string][]step),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: d.store}).Serve(l) }() // Ends with the process.
	d.store.put("keyed.op", "config", []byte(configuration))
	zones := []string{"a", "b", "c"}
	for i := range entryCount {
		p := &process{name: "front-" + zones[i] + "-1", role: "entry", ip: fmt.Sprint(prefix, 1+i)}
		if err := d.writeSettings(p, zones[i], 0.4, l.Addr().String()); err != nil {
			return nil, err
		}
		d.entries = append(d.entries, p)
	}
	for i := range workerCount {
		zone := zones[i%len(zones)]
		p := &process{name: fmt.Sprintf("side-%s-%d", zone, 1+i/len(zones)), role: "agent", ip: fmt.Sprint(prefix, 101+i)}
		if err := d.writeSettings(p, zone, 0.24, l.Addr().String()); err != nil {
			return nil, err
		}
		d.agents = append(d.agents, p)
		e := newExecutor(fmt.Sprintf("i-%08x", rand.Uint32()))
		e.service, e.zone, e.record, e.demands = "work", zone, r, d.demand
		e.labels = []string{kinds[i], fmt.Sprintf("r%d-%d", 1+i%len(zones), 1+i/len(zones)/3)}
		e.capacity = demand{cpu: 128000, memory: 262144, gpus: 8}
		e.agent = fmt.Sprintf("%s:%d", p.ip, controlPort)
		d.executors = append(d.executors, e)
		if err := e.serve(fmt.Sprintf("%s:%d", p.ip, executorPort), d.stop); err != nil {
			return d, err
		}
	}
	for _, p := range d.processes() {
		if err := d.start(p); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

const configuration = `{"version":7,"routes":[
{"name":"r-urgent","host":"desk.example","path_prefix":"/urgent/","kind":"unsafe","timeout_ms":3000,"target_duration_ms":250,"priority":0,"service":"work","max_attempts":2,"stretch":1.5,"public":false},
{"name":"r-large","host":"desk.example","path_prefix":"/large/","kind":"unsafe","timeout_ms":3000,"target_duration_ms":1000,"priority":1,"service":"work","max_attempts":2,"stretch":3.0,"public":false},
{"name":"r-batch","host":"desk.example","path_prefix":"/batch/","kind":"unsafe","timeout_ms":3000,"target_duration_ms":3000,"priority":2,"service":"work","max_attempts":4,"stretch":3.0,"public":false},
{"name":"r-once","host":"desk.example","path_prefix":"/once/","kind":"unsafe","timeout_ms":3000,"target_duration_ms":3000,"priority":2,"service":"work","max_attempts":1,"stretch":3.0,"public":false}],
"services":[{"name":"work","health_path":"/health","enforces_capacity":true}],
"tenants":[{"name":"team-a","api_keys":["key-a"],"guaranteed":{"gpus":8}}],
"limits":{"max_body_bytes":262144}}`

func (d *deployment) processes() []*process {
	return append(append([]*process{}, d.entries...), d.agents...)
}

// demand returns what a subtask needs, and whether a client has submitted it.
func (d *deployment) demand(task string) (demand, bool) {
	job, number, err := taskOf(task)
	d.mu.Lock()
	defer d.mu.Unlock()
	steps := d.jobs[job]
	if err != nil || number >= len(steps) {
		return demand{work: time.Second}, false
	}
	return steps[number].demand, true
}

// writeSettings fills in the template of the settings.
func (d *deployment) writeSettings(p *process, zone string, share float64, storeAddress string) error {
	values := map[string]any{
		"node": p.name, "zone": zone, "ip": p.ip, "limits.cpu_share": share, "internal_ports": []int{firstPort, lastPort}, "platform.address": storeAddress,
	}
	for name, v := range bounds {
		values[name] = v
	}
	if p.role == "entry" {
		values["listen_addresses.front"] = fmt.Sprintf("%s:%d", p.ip, frontPort)
		values["listen_addresses.ready"] = fmt.Sprintf("%s:%d", p.ip, readyPort)
	} else {
		values["listen_addresses.control"] = fmt.Sprintf("%s:%d", p.ip, controlPort)
		values["app"] = fmt.Sprintf("%s:%d", p.ip, executorPort)
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	filled := placeholder.ReplaceAllFunc(text, func(m []byte) []byte {
		parts := placeholder.FindSubmatch(m)
		v, ok := values[string(parts[1])]
		if len(parts[2]) == 0 {
			if !ok {
				return nil
			}
			return fmt.Append(nil, v)
		}
		data, marshalErr := json.Marshal(v)
		err = errors.Join(err, marshalErr)
		return data
	})
	if err != nil {
		return err
	}
	p.settings = filepath.Join(d.folder, p.name+".json")
	p.log = filepath.Join(d.folder, p.name+".log")
	return os.WriteFile(p.settings, filled, 0o600)
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(p *process) error {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(program, "platform", p.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPERILL_NODE_FILE=" + p.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done = c, done
	p.mu.Unlock()
	go func() {
		err := c.Wait()
		d.record.add("process %s has ended: %v", p.name, err)
		close(done)
	}()
	d.record.add("process %s is started", p.name)
	return nil
}

// kill ends a process at once and waits until it has ended.
func (p *process) kill() {
	p.mu.Lock()
	c, done := p.command, p.done
	p.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL) // It may have ended.
	<-done
}

// end ends everything that the deployment has started.
func (d *deployment) end() {
	var group sync.WaitGroup
	for _, p := range d.processes() {
		group.Go(p.kill)
	}
	group.Wait()
	close(d.stop)
}

// awaitReady waits until all entries are ready and all executors have been called.
func (d *deployment) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range d.entries {
			resp, err := d.client.Get(fmt.Sprintf("http://%s:%d/-/readiness", p.ip, readyPort))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		for _, e := range d.executors {
			e.mu.Lock()
			if e.deadline > 0 {
				ready++
			}
			e.mu.Unlock()
		}
		if ready == entryCount+workerCount {
			d.record.add("all processes are ready")
			return nil
		}
	}
	return errors.New("the deployment is not ready in time")
}

// setStoreSilent makes the store silent, or answer again.
func (d *deployment) setStoreSilent(silent bool) {
	d.record.add("store: answers no calls: %v", silent)
	d.store.setSilent(silent)
}

// planner returns the entry that plans, by its record in the store.
func (d *deployment) planner() (*process, error) {
	var holder struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(d.store.newest("keyed.journal", "planner"), &holder); err != nil {
		return nil, err
	}
	for _, p := range d.entries {
		if p.name == holder.Name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no entry is named %q", holder.Name)
}

// newID returns the id of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request to an entry and records the answer. The status is 0 if there is none.
func (d *deployment) call(entry *process, method, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", entry.ip, frontPort, path), bytes.NewReader(body))
	if err != nil {
		panic(err) // The address is well formed.
	}
	req.Host = "desk.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Remaining-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	d.record.add("client: %s %s to %s, %d bytes", method, path, entry.name, len(body))
	resp, err := d.client.Do(req)
	if err != nil {
		d.record.add("client: %s %s: no answer: %v", method, path, err)
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		d.record.add("client: %s %s: no whole answer: %v", method, path, err)
		return 0, ""
	}
	d.record.add("client: %s %s: %d %s", method, path, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// jobBody returns the body of the call that submits a job.
func (d *deployment) jobBody(id string, steps []step, repetitions int) []byte {
	var list []map[string]any
	for _, s := range steps {
		m := map[string]any{"count": s.count, "cpu": s.demand.cpu, "mem_mb": s.demand.memory, "estimated_ms": s.demand.work.Milliseconds()}
		if s.demand.gpus > 0 {
			m["gpus"] = s.demand.gpus
		}
		if s.label != "" {
			m["requirements"] = s.label
		}
		if s.lasts {
			m["long_running"] = true
		}
		if s.gang {
			m["gang"] = true
		}
		if len(s.after) > 0 {
			m["depends_on"] = s.after
		}
		if s.demand.saves {
			m["checkpointing"] = true
		}
		list = append(list, m)
	}
	job := map[string]any{"task_spec": "text of " + id, "steps": list}
	if repetitions > 0 {
		job["repetitions"], job["start_at_ms"], job["interval_ms"] = repetitions, time.Now().UnixMilli(), 1000
	}
	body, err := json.Marshal(job)
	if err != nil {
		panic(err) // Numbers and strings can always be encoded.
	}
	return body
}

// submit hands a job in, at one entry after the other until it is accepted or refused at the last try.
func (d *deployment) submit(queue string, steps []step) (id string, accepted bool) {
	return d.submitRepeated(queue, steps, 0)
}

// submitRepeated is submit for a job whose steps run so many times, at an interval of a second. Zero is for
// a job that isn't scheduled.
func (d *deployment) submitRepeated(queue string, steps []step, repetitions int) (id string, accepted bool) {
	id = newID()
	d.mu.Lock()
	d.jobs[id] = steps
	d.mu.Unlock()
	body := d.jobBody(id, steps, repetitions)
	const tries = 5
	for i := range tries {
		status, _ := d.call(d.entries[i%entryCount], http.MethodPost, "/"+queue+"/"+id, body)
		if status == http.StatusOK {
			return id, true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return id, false
}

// state asks the entries for a job's state until one answers. It is empty if none does, or if the job
// isn't known.
func (d *deployment) state(queue, id string) string {
	for _, p := range d.entries {
		status, data := d.call(p, http.MethodGet, "/"+queue+"/"+id, nil)
		if status != http.StatusOK {
			continue
		}
		var body struct {
			State string `json:"state"`
		}
		if json.Unmarshal([]byte(data), &body) == nil {
			return body.State
		}
	}
	return ""
}
