// Stand plays one case of the review: it starts the system's programs as separate processes, and
// stand-ins for the platform, the executors and the clients. It exits with status 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held = iota
	broken
	failed
)

// finishTime is finish_s: how long after the end of the traffic jobs are asked for.
const finishTime = 14 * time.Second

// timeLimit bounds a case; with the start and the end of the processes it takes at most 120 s.
const timeLimit = 90 * time.Second

// errSetup is returned if a case couldn't run.
var errSetup = errors.New("the case couldn't run")

// cases are the cases by name. Each returns the breaks of its rule.
var cases = map[string]func(d *deployment, trouble bool) ([]string, error){
	"cancel": cancelOfOpenWrite,
	"ends":   manyEnds,
	"large":  largeFailingJob,
	"gangs":  largeGangs,
	"pause":  repeatedFailures,
	"retry":  retryOnSoleExecutor,
	"silent": silentExecutor,
}

// kinds returns the kinds of the workers: one is of kind "b", the others are of kind "a".
func kinds() []string {
	out := make([]string, workerCount)
	for i := range out {
		out[i] = "a"
	}
	out[workerCount-1] = "b"
	return out
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status. It writes record.txt to the folder.
func play(name, folder string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", name)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = r.close() }() // The record of a case that has failed is not judged.
	logs, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(logs)
	} else {
		fmt.Println("logs in", logs)
	}
	r.add("case %s, trouble: %v", name, trouble)
	d, err := newDeployment(r, logs, kinds())
	if d != nil {
		defer d.end()
	}
	if err == nil {
		var breaks []string
		if breaks, err = await(func() ([]string, error) { return f(d, trouble) }); err == nil {
			return report(r, breaks)
		}
	}
	r.add("the case couldn't run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return failed
}

// await returns the outcome of a case, or an error if it takes too long or the process is told to stop.
func await(f func() ([]string, error)) (breaks []string, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		defer close(done)
		breaks, err = f()
	}()
	select {
	case <-done:
		return breaks, err
	case s := <-signals:
		return nil, fmt.Errorf("%w: got %v", errSetup, s)
	case <-time.After(timeLimit):
		return nil, fmt.Errorf("%w: it took over %v", errSetup, timeLimit)
	}
}

// report records the outcome and returns the exit status.
func report(r *record, breaks []string) int {
	for _, b := range breaks {
		r.add("BROKEN %s", b)
	}
	const shown = 3
	for _, b := range breaks[:min(shown, len(breaks))] {
		fmt.Println(b)
	}
	if len(breaks) > 0 {
		r.add("the rule was broken %d times", len(breaks))
		return broken
	}
	r.add("the rule held")
	return held
}
