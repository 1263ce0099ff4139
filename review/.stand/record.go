package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record notes what was sent, answered and run, and writes it to a file.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	begin   time.Time
	runs    []*seenRun
	byRun   map[runName]*seenRun
	unasked []string
}

type runName struct {
	executor, task string
	run            int64
}

// seenRun is a run as its executor saw it.
type seenRun struct {
	runName
	from, to time.Time // to is zero while it runs.
	how      string
	notedAt  time.Time // When the system took note of its end; zero if it didn't, or if the lease had lapsed.
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), begin: time.Now(), byRun: make(map[runName]*seenRun)}, nil
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line is add for a caller that holds mu.
func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) started(e *executor, task string, run int64, asked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("executor %s: start of %s run %d", e.id, task, run)
	if !asked {
		r.unasked = append(r.unasked, task)
	}
	s := &seenRun{runName: runName{e.id, task, run}, from: time.Now()}
	r.runs = append(r.runs, s)
	r.byRun[s.runName] = s
}

func (r *record) ended(e *executor, task string, run int64, how string, number int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("executor %s: end %d of %s run %d: %s", e.id, number, task, run, how)
	if s := r.byRun[runName{e.id, task, run}]; s != nil {
		s.to, s.how = time.Now(), how
	}
}

func (r *record) noted(e *executor, n end, inTime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("executor %s: end %d of %s run %d is taken note of, before the lease lapsed: %v", e.id, n.number, n.task, n.run, inTime)
	if s := r.byRun[runName{e.id, n.task, n.run}]; s != nil && inTime {
		s.notedAt = time.Now()
	}
}

// startedTasks counts the subtasks of a job that have been started.
func (r *record) startedTasks(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	tasks := make(map[string]bool)
	for _, s := range r.runs {
		if id, _, err := taskOf(s.task); err == nil && id == job {
			tasks[s.task] = true
		}
	}
	return len(tasks)
}

// waits reports whether a job has nothing running although not all of its subtasks have ended done.
func (r *record) waits(job string, subtasks int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	done := make(map[string]bool)
	for _, s := range r.runs {
		if id, _, err := taskOf(s.task); err != nil || id != job {
			continue
		}
		if s.to.IsZero() {
			return false
		}
		if s.how == "done" {
			done[s.task] = true
		}
	}
	return len(done) < subtasks
}

// lastRun returns the run of a subtask that started last.
func (r *record) lastRun(task string) (seenRun, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range slices.Backward(r.runs) {
		if s.task == task {
			return *s, true
		}
	}
	return seenRun{}, false
}

// twice returns the breaks of the rule TWICE: runs of one subtask at the same time, and starts after a
// run that has ended done and whose end the system has taken note of, then or later.
func (r *record) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	byTask := make(map[string][]*seenRun)
	for _, s := range r.runs {
		byTask[s.task] = append(byTask[s.task], s)
	}
	var out []string
	for task, runs := range byTask {
		for i, later := range runs {
			for _, s := range runs[:i] {
				switch {
				case s.to.IsZero() || s.to.After(later.from):
					out = append(out, fmt.Sprintf("TWICE: %s: run %d on %s started while run %d was running on %s",
						task, later.run, later.executor, s.run, s.executor))
				case s.how == "done" && !s.notedAt.IsZero():
					out = append(out, fmt.Sprintf("TWICE: %s: run %d on %s started %.3f s after run %d on %s had ended done, which was taken note of",
						task, later.run, later.executor, later.from.Sub(s.to).Seconds(), s.run, s.executor))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}
