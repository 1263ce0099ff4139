package workflow

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Queue accepts jobs of one kind for a service.
type Queue struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`  // Prefix of the URL path; it ends in a slash.
	Service string `json:"service"` // The service whose workers run the jobs.
	// Public queues accept jobs without a key.
	Public bool `json:"public,omitempty"`
	// Priority is 0 for work that may preempt other work, and higher for work that waits
	// instead.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"max-attempts"`
	// Stretch and Target give the objective for the duration of a job, from when it is
	// due: Stretch times the duration of its critical path, plus Target.
	Stretch float64       `json:"stretch"`
	Target  time.Duration `json:"target"`
	Timeout time.Duration `json:"timeout"`
	// ExternallyPlaced says that an external advice service chooses the workers of each
	// step.
	ExternallyPlaced bool `json:"advised,omitempty"`
}

// CanServe fails with shop.ErrNeverFits when the queue requires an unsupported feature.
func (q *Queue) CanServe() error {
	if q.ExternallyPlaced {
		return fmt.Errorf("queue %q has its workers chosen by an advice service, which is not supported: %w", q.Name, shop.ErrNeverFits)
	}
	return nil
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity says that the workers reject tasks that exceed their capacity.
	EnforcesCapacity bool
}

// Team is a team that submits jobs. Keys authenticate its requests.
type Team struct {
	Name string
	Keys []string
	// Guaranteed is the number of accelerators guaranteed to the team at all times, for
	// jobs of priority 0.
	Guaranteed int
}

// Rules is one version of the configuration. It is immutable.
type Rules struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	// MaxBody is the maximum size of a request's body, in bytes.
	MaxBody int64
}

// Match returns the queue of the host with the longest prefix of the path.
func (r *Rules) Match(host, path string) (Queue, bool) {
	best := -1
	for i := range r.Queues {
		q := &r.Queues[i]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best < 0 || len(q.Prefix) > len(r.Queues[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return r.Queues[best], true
}

// Queue returns the queue with a name.
func (r *Rules) Queue(name string) (Queue, bool) {
	i := slices.IndexFunc(r.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return Queue{}, false
	}
	return r.Queues[i], true
}

// Authenticate returns the team that holds the key.
func (r *Rules) Authenticate(key string) (Team, bool) {
	if key == "" {
		return Team{}, false
	}
	for _, t := range r.Teams {
		if slices.Contains(t.Keys, key) {
			return t, true
		}
	}
	return Team{}, false
}
