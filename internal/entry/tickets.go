package entry

import (
	"sync"

	"sniperill.example/sniperill/internal/admission"
)

// tickets holds the admission tickets of queued jobs, by job ID.
type tickets struct {
	mu   sync.Mutex
	held map[string]*admission.Ticket
}

func (t *tickets) keep(job string, ticket *admission.Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held == nil {
		t.held = make(map[string]*admission.Ticket)
	}
	t.held[job] = ticket
}

// sweep releases the tickets of jobs that are no longer queued.
func (t *tickets) sweep(isQueued func(job string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for job, ticket := range t.held {
		if !isQueued(job) {
			ticket.Release()
			delete(t.held, job)
		}
	}
}
