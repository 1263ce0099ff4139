// Command stand-2 plays one case of the review with the project's programs as separate processes, on loopback
// addresses. Run it in the repository's root: stand-2 CASE RECORD. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseFunc plays a case, with its disruption or without.
type caseFunc func(w *world, trouble bool) error

var cases = map[string]caseFunc{
	"gang": gangCase, "ids": idsCase, "late": lateCase, "again": againCase, "vanish": vanishCase, "lasting": lastingCase, "pending": pendingCase, "rack": rackCase, "reclaim": reclaimCase, "cores": coresCase,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	w, err := newWorld(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	done := make(chan int, 1)
	go func() {
		trouble := os.Getenv("TROUBLE") != "0"
		w.note("case %s, with the disruption: %v", os.Args[1], trouble)
		err := cases[os.Args[1]](w, trouble)
		switch {
		case len(w.failures) > 0:
			fmt.Println("broken:", w.failures[0])
			done <- 1
		case err != nil:
			w.note("could not run: %v", err)
			fmt.Fprintln(os.Stderr, "could not run:", err)
			done <- 2
		default:
			w.note("the rule held")
			fmt.Println("the rule held")
			done <- 0
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-done:
		return code
	case <-stop:
		return 2
	case <-time.After(115 * time.Second):
		fmt.Fprintln(os.Stderr, "could not run: it took too long")
		return 2
	}
}
