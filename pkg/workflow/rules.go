package workflow

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Queue takes jobs of one kind for a service.
type Queue struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`  // Of the path, with a slash at its end.
	Service string `json:"service"` // Workers of this service run the jobs.
	// Public queues need no key.
	Public bool `json:"public,omitempty"`
	// Priority is 0 for work that may preempt others, higher for work that waits.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"max-attempts"`
	// Stretch and Target give the objective: Stretch times the work's own duration, plus Target.
	Stretch float64       `json:"stretch"`
	Target  time.Duration `json:"target"`
	Timeout time.Duration `json:"timeout"`
	// ExternallyPlaced says that a service outside chooses the workers for each step.
	ExternallyPlaced bool `json:"advised,omitempty"`
}

// CanServe fails with shop.ErrNeverFits when the queue asks for what is not supported.
func (q *Queue) CanServe() error {
	if q.ExternallyPlaced {
		return fmt.Errorf("queue %q has its workers chosen by an advice service, which is not supported: %w", q.Name, shop.ErrNeverFits)
	}
	return nil
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity says that its workers refuse what doesn't fit.
	EnforcesCapacity bool
}

// Team submits jobs with its keys.
type Team struct {
	Name string
	Keys []string
	// Guaranteed is the accelerators that are the team's at all times, for jobs of priority 0.
	Guaranteed int
}

// Rules is one version of the configuration. It is not changed once made.
type Rules struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
}

// Match returns the queue with the longest prefix of path on host.
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

// Queue returns the queue of that name.
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
