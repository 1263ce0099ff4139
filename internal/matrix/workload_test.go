package matrix

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Times and counts of the workload.
const (
	requestInterval = 250 * time.Millisecond
	requestCount    = 56
	// maxCallTime is the maximum time of one call: its deadline of 5 s, and 2 s to
	// determine whether the request ran.
	maxCallTime = 5*time.Second + 2*time.Second
	// retryTimeout is how long a caller retries a request.
	retryTimeout = 90 * time.Second
	retryDelay   = 300 * time.Millisecond
)

// result is the outcome of a request as its caller was told.
type result struct {
	kind string   // "quote", "order", "keyed" or "burst".
	ids  []string // Of all tries, with the team.
	// outcome is empty when the caller was never told.
	outcome shop.Outcome
}

// jobResult is the status of a job as its caller was told.
type jobResult struct {
	submission  entry.Submission
	accepted    bool
	cancelledAt time.Time // Zero unless cancelled before its end.
	status      entry.Status
	learnedAt   time.Time // When the caller was told the final status.
}

// workload runs the callers, and records the results that they get.
type workload struct {
	d *deployment

	mu        sync.Mutex
	results   []result
	jobs      []*jobResult
	openCalls []context.CancelFunc // Of all calls so far.
	group     sync.WaitGroup
}

// spawn runs f in a goroutine that group waits for.
func (w *workload) spawn(f func()) { w.group.Go(f) }

func (w *workload) addResult(r result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, r)
}

// call sends one call to an entry, preferably entry i, and checks its time and its answer.
// If the entry dies during the call, the caller's connection breaks: lost is true, and the
// answer is dropped.
func (w *workload) call(i int, c entry.Call) (a *sniperillv1.Answer, lost bool, err error) {
	n, e, entryCtx := w.d.readyEntry(i)
	if n == nil {
		return nil, false, fmt.Errorf("no entry answers: %w", shop.ErrNotRun)
	}
	ctx, cancel := context.WithCancel(entryCtx)
	defer cancel()
	w.mu.Lock()
	w.openCalls = append(w.openCalls, cancel)
	w.mu.Unlock()
	started := time.Now()
	a, err = e.Call(ctx, c)
	if entryCtx.Err() != nil {
		return nil, true, entryCtx.Err()
	}
	if took := time.Since(started); took > maxCallTime {
		w.d.errorf("call %s at %s took %s", c.ID, n.name, took)
	}
	if err == nil {
		w.checkAnswer(c, a)
	}
	return a, false, err
}

// checkAnswer checks that an answer belongs to the call.
func (w *workload) checkAnswer(c entry.Call, a *sniperillv1.Answer) {
	if a.Id != c.ID && c.IdempotencyKey == "" || !strings.HasSuffix(string(a.Body), " "+string(c.Body)) {
		w.d.errorf("call %s got the answer of another call: id %s, %q", c.ID, a.Id, a.Body)
	}
}

// sendQuote sends an idempotent request, retrying until it is done.
func (w *workload) sendQuote(i int) {
	id := fmt.Sprintf("quote-%d", i)
	end := time.Now().Add(retryTimeout)
	for try := 0; time.Now().Before(end); try++ {
		a, _, err := w.call(i+try, entry.Call{ID: id, Team: "alpha", Class: "quote", Body: []byte("body-" + id)})
		if err == nil {
			w.acknowledge(i+try, id, a.Agent)
			w.addResult(result{"quote", []string{"alpha/" + id}, shop.OutcomeDone})
			return
		}
		time.Sleep(retryDelay)
	}
	w.d.errorf("idempotent request %s was not done within the retry timeout", id)
}

// acknowledge acknowledges the receipt of an answer. Errors are ignored.
func (w *workload) acknowledge(i int, id, agent string) {
	_, e, entryCtx := w.d.readyEntry(i)
	if e != nil {
		_ = e.Acknowledge(entryCtx, "alpha", id, agent)
	}
}

// sendOrder sends a request that must run at most once, without retrying. If the entry
// dies, the caller fetches the outcome from another one.
func (w *workload) sendOrder(i int) {
	id := fmt.Sprintf("order-%d", i)
	a, lost, err := w.call(i/2, entry.Call{ID: id, Team: "alpha", Class: "order", Body: []byte("body-" + id)})
	if lost {
		w.addResult(result{"order", []string{"alpha/" + id}, w.fetchOutcome(i/2+1, id)})
		return
	}
	w.addResult(result{"order", []string{"alpha/" + id}, outcomeOf(a, err)})
}

// outcomeOf returns the outcome that a call reports by its error, or else by its answer.
func outcomeOf(a *sniperillv1.Answer, err error) shop.Outcome {
	switch {
	case err == nil:
		return shop.OutcomeDone
	case errors.Is(err, shop.ErrMayHaveRun):
		return shop.OutcomeMayHaveRun
	case errors.Is(err, shop.ErrNotRun):
		return shop.OutcomeNotRun
	default:
		return shop.Outcome(a.GetOutcome())
	}
}

// fetchOutcome fetches the outcome of an earlier request, and returns "" when that fails for
// 20 s.
func (w *workload) fetchOutcome(i int, id string) shop.Outcome {
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		_, e, entryCtx := w.d.readyEntry(i)
		if e != nil {
			ctx, cancel := context.WithTimeout(entryCtx, 3*time.Second)
			a, err := e.FetchAnswer(ctx, "alpha", id, 2*time.Second)
			cancel()
			if o := outcomeOf(a, err); entryCtx.Err() == nil && o != "" {
				return o
			}
		}
		time.Sleep(retryDelay)
	}
	return ""
}

// sendKeyed sends a request that must run at most once with an idempotency key, under which
// it may be retried. It is retried while it is lost or reported not run.
func (w *workload) sendKeyed(i int) {
	key := fmt.Sprintf("key-%d", i)
	r := result{kind: "keyed"}
	end := time.Now().Add(retryTimeout)
	for try := 0; time.Now().Before(end); try++ {
		id := fmt.Sprintf("%s-%d", key, try)
		r.ids = append(r.ids, "alpha/"+id)
		a, lost, err := w.call(i+try, entry.Call{
			ID: id, Team: "alpha", Class: "order", Body: []byte("body-" + key), IdempotencyKey: key,
		})
		if lost {
			time.Sleep(retryDelay)
			continue
		}
		r.outcome = outcomeOf(a, err)
		if r.outcome != shop.OutcomeNotRun {
			break
		}
		time.Sleep(retryDelay)
	}
	w.addResult(r)
}

// sendBurst sends one request of a burst, without retrying.
func (w *workload) sendBurst(i int) {
	id := fmt.Sprintf("burst-%d", i)
	a, lost, err := w.call(i, entry.Call{ID: id, Team: "beta", Class: "quote", Body: []byte("body-" + id)})
	r := result{"burst", []string{"beta/" + id}, ""}
	if !lost {
		r.outcome = outcomeOf(a, err)
	}
	w.addResult(r)
}

// cancelSome cancels every second call of those sent so far, and the gang job.
func (w *workload) cancelSome() {
	w.mu.Lock()
	open := w.openCalls
	var gangJob *jobResult
	for _, j := range w.jobs {
		if j.submission.Class == "gang" {
			gangJob = j
		}
	}
	w.mu.Unlock()
	for i, cancel := range open {
		if i%2 == 0 {
			cancel()
		}
	}
	if gangJob != nil {
		w.cancelJob(gangJob)
	}
}
