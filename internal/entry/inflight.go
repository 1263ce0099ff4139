package entry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// inFlightRequests tracks the callers' requests in progress.
type inFlightRequests struct {
	mu     sync.Mutex
	nextID uint64
	active map[uint64]string
	idle   chan struct{}
}

// begin adds a request and returns the function that removes it.
func (r *inFlightRequests) begin(name string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active == nil {
		r.active = make(map[uint64]string)
	}
	r.nextID++
	id := r.nextID
	r.active[id] = name
	return func() { r.end(id) }
}

func (r *inFlightRequests) end(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, id)
	if len(r.active) == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// wait returns once no request is in progress. If the context ends first, the error
// names the unfinished requests.
func (r *inFlightRequests) wait(ctx context.Context) error {
	r.mu.Lock()
	if len(r.active) == 0 {
		r.mu.Unlock()
		return nil
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("unfinished requests: %s: %w", strings.Join(r.names(), ", "), ctx.Err())
	}
}

func (r *inFlightRequests) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, name := range r.active {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
