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

// Times of the work.
const (
	requestInterval = 250 * time.Millisecond
	requestCount    = 56
	// maxCallTime is how long one call may take: its deadline, and the grace for
	// finding out what became of it.
	maxCallTime = 5*time.Second + 2*time.Second
	// retryTimeout is how long a caller goes on trying.
	retryTimeout = 90 * time.Second
	retryDelay   = 300 * time.Millisecond
)

// result is what a caller truly got.
type result struct {
	kind string // Of "quote", "order", "keyed" or "burst".
	ids  []string
	// outcome is empty when the caller never learned it.
	outcome shop.Outcome
}

// jobResult is what the caller of a job truly got.
type jobResult struct {
	submission  entry.Submission
	accepted    bool
	cancelledAt time.Time
	status      entry.Status
	learnedAt   time.Time
}

// workload is callers at work.
type workload struct {
	d *deployment

	mu        sync.Mutex
	results   []result
	jobs      []*jobResult
	openCalls []context.CancelFunc
	group     sync.WaitGroup
}

// spawn runs a part of the work, which finish waits for.
func (w *workload) spawn(f func()) { w.group.Go(f) }

func (w *workload) addResult(r result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, r)
}

// call sends one call to an entry. The answer counts only while the entry
// lives: else the caller's connection broke, and lost is true.
func (w *workload) call(i int, c entry.Call) (a *sniperillv1.Answer, lost bool, err error) {
	n, e, life := w.d.readyEntry(i)
	if n == nil {
		return nil, false, fmt.Errorf("no entry answers: %w", shop.ErrNotRun)
	}
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	w.mu.Lock()
	w.openCalls = append(w.openCalls, cancel)
	w.mu.Unlock()
	began := time.Now()
	a, err = e.Call(ctx, c)
	if life.Err() != nil {
		return nil, true, life.Err()
	}
	if took := time.Since(began); took > maxCallTime {
		w.d.errorf("call %s at %s took %s", c.ID, n.name, took)
	}
	if err == nil {
		w.checkAnswer(c, a)
	}
	return a, false, err
}

// checkAnswer says whether an answer is the caller's own.
func (w *workload) checkAnswer(c entry.Call, a *sniperillv1.Answer) {
	if a.Id != c.ID && c.IdempotencyKey == "" || !strings.HasSuffix(string(a.Body), " "+string(c.Body)) {
		w.d.errorf("call %s got the answer of another: id %s, %q", c.ID, a.Id, a.Body)
	}
}

// sendQuote asks for idempotent work, again and again until it is done.
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
	w.d.errorf("idempotent request %s did not end done", id)
}

func (w *workload) acknowledge(i int, id, agent string) {
	_, e, life := w.d.readyEntry(i)
	if e != nil {
		_ = e.Acknowledge(life, "alpha", id, agent)
	}
}

// sendOrder asks for work that must not run twice, once. When the entry dies, the
// caller asks the other one what became of it.
func (w *workload) sendOrder(i int) {
	id := fmt.Sprintf("order-%d", i)
	a, lost, err := w.call(i/2, entry.Call{ID: id, Team: "alpha", Class: "order", Body: []byte("body-" + id)})
	if lost {
		w.addResult(result{"order", []string{"alpha/" + id}, w.fetchOutcome(i/2+1, id)})
		return
	}
	w.addResult(result{"order", []string{"alpha/" + id}, outcomeOf(a, err)})
}

// outcomeOf returns what the caller was told; an answer and its error must agree.
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

func (w *workload) fetchOutcome(i int, id string) shop.Outcome {
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		_, e, life := w.d.readyEntry(i)
		if e != nil {
			ctx, cancel := context.WithTimeout(life, 3*time.Second)
			a, err := e.FetchAnswer(ctx, "alpha", id, 2*time.Second)
			cancel()
			if o := outcomeOf(a, err); life.Err() == nil && o != "" {
				return o
			}
		}
		time.Sleep(retryDelay)
	}
	return ""
}

// sendKeyed asks for work under an idempotency key, which a caller may repeat.
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

// sendBurst is one call of many at once, without another try.
func (w *workload) sendBurst(i int) {
	id := fmt.Sprintf("burst-%d", i)
	a, lost, err := w.call(i, entry.Call{ID: id, Team: "beta", Class: "quote", Body: []byte("body-" + id)})
	r := result{"burst", []string{"beta/" + id}, ""}
	if !lost {
		r.outcome = outcomeOf(a, err)
	}
	w.addResult(r)
}

// cancelSome ends the contexts of the calls in progress and cancels a job.
func (w *workload) cancelSome() {
	w.mu.Lock()
	open := w.openCalls
	var first *jobResult
	for _, j := range w.jobs {
		if j.submission.Class == "gang" {
			first = j
		}
	}
	w.mu.Unlock()
	for i, cancel := range open {
		if i%2 == 0 {
			cancel()
		}
	}
	if first != nil {
		w.cancelJob(first)
	}
}
