package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/backend"
)

// BackendFault is a fault in handling one request.
type BackendFault string

// Faults of a backend server.
const (
	NoFault BackendFault = ""
	// FaultRefuse answers 503 without running the request.
	FaultRefuse BackendFault = "refuse"
	// FaultHang runs the request and never answers.
	FaultHang BackendFault = "hang"
	// FaultShort runs the request and sends only the first half of the answer.
	FaultShort BackendFault = "short"
	// FaultCrossed runs the request and answers with another request's id.
	FaultCrossed BackendFault = "crossed"
	// FaultLate runs the request and answers after a delay of LateBy.
	FaultLate BackendFault = "late"
	// FaultTwice runs the request and sends the complete answer twice.
	FaultTwice BackendFault = "twice"
	// FaultFail runs the request and answers 500.
	FaultFail BackendFault = "fail"
)

// DefaultLateBy is the delay of a late answer if LateBy is zero.
const DefaultLateBy = time.Minute

// BackendRun is the number of times that a request actually ran.
type BackendRun struct {
	ID    string
	Count int
}

// Backend stands in for a desk's backend server. It is an http.Handler that records the requests
// that it actually ran. Set the exported fields before it serves.
type Backend struct {
	Slots int
	// ServiceTime returns how long a request runs.
	ServiceTime func(class string) time.Duration
	// Fault returns the fault for a request.
	Fault func(id string) BackendFault
	// Respond returns the body of the answer.
	Respond func(id, class string, body []byte) []byte
	LateBy  time.Duration

	mu            sync.Mutex
	runs          map[string]int
	current       int
	maxConcurrent int
	excess        int
}

// RunCount returns how often the request with that id ran.
func (b *Backend) RunCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// AllRuns lists the requests that ran, in no particular order.
func (b *Backend) AllRuns() []BackendRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]BackendRun, 0, len(b.runs))
	for id, n := range b.runs {
		out = append(out, BackendRun{ID: id, Count: n})
	}
	return out
}

// MaxConcurrent returns the highest number of requests that ran at the same time.
func (b *Backend) MaxConcurrent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxConcurrent
}

// Excess returns the number of requests that arrived while all slots were in use.
func (b *Backend) Excess() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.excess
}

func (b *Backend) begin(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == nil {
		b.runs = make(map[string]int)
	}
	b.runs[id]++
	b.current++
	b.maxConcurrent = max(b.maxConcurrent, b.current)
	if b.Slots > 0 && b.current > b.Slots {
		b.excess++
	}
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current--
}

// ServeHTTP runs a request or answers a health check.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == backend.HealthPath {
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get(backend.HeaderRequestID)
	fault := NoFault
	if b.Fault != nil {
		fault = b.Fault(id)
	}
	w.Header().Set(backend.HeaderRequestID, id)
	w.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
	// Read the body even before a refusal: a client that is still sending would otherwise see a
	// broken connection.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if fault == FaultRefuse {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	b.begin(id)
	defer b.end()
	class := r.URL.Path[len(backend.RequestPath):]
	if b.ServiceTime != nil {
		time.Sleep(b.ServiceTime(class))
	}
	b.answer(w, r, fault, b.respond(id, class, body))
}

func (b *Backend) respond(id, class string, body []byte) []byte {
	if b.Respond != nil {
		return b.Respond(id, class, body)
	}
	return fmt.Appendf(nil, "%s %s %s", id, class, body)
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, fault BackendFault, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch fault {
	case FaultHang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultLate:
		time.Sleep(b.lateBy())
	case FaultShort:
		body = body[:len(body)/2]
	case FaultCrossed:
		w.Header().Set(backend.HeaderRequestID, "another")
	case FaultTwice:
		answerTwice(w, body)
		return
	case FaultFail:
		w.WriteHeader(http.StatusInternalServerError)
	}
	// A client that has disconnected needs no answer.
	_, _ = w.Write(body)
}

func answerTwice(w http.ResponseWriter, body []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	header := w.Header().Clone()
	for range 2 {
		res := http.Response{
			StatusCode:    http.StatusOK,
			ProtoMajor:    1,
			ProtoMinor:    1,
			Header:        header,
			ContentLength: int64(len(body)),
			Body:          io.NopCloser(bytes.NewReader(body)),
		}
		// A client that has disconnected needs no answer.
		_ = res.Write(buffered)
	}
	_ = buffered.Flush()
}

func (b *Backend) lateBy() time.Duration {
	if b.LateBy == 0 {
		return DefaultLateBy
	}
	return b.LateBy
}
