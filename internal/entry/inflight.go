package entry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// inFlightRequests is the requests of callers in progress.
type inFlightRequests struct {
	mu     sync.Mutex
	nextID uint64
	active map[uint64]string
	idle   chan struct{}
}

// begin notes a request; the returned function notes its end.
func (c *inFlightRequests) begin(name string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active = make(map[uint64]string)
	}
	c.nextID++
	n := c.nextID
	c.active[n] = name
	return func() { c.end(n) }
}

func (c *inFlightRequests) end(n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, n)
	if len(c.active) == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// wait returns once no request is in progress. When the context ends first, the
// error names the ones that are.
func (c *inFlightRequests) wait(ctx context.Context) error {
	c.mu.Lock()
	if len(c.active) == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("unfinished requests: %s: %w", strings.Join(c.names(), ", "), ctx.Err())
	}
}

func (c *inFlightRequests) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, name := range c.active {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
