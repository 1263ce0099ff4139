package deployment

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/internal/peer"
)

// group runs the components of a process, and reports when one of them fails.
type group struct {
	wg     sync.WaitGroup
	mu     sync.Mutex
	errs   []error
	failed chan struct{}
	once   sync.Once
}

func newGroup() *group { return &group{failed: make(chan struct{})} }

// start runs a component in a goroutine. An error that it returns makes awaitFailure
// return, except for context.Canceled, which counts as a normal end.
func (g *group) start(component func() error) {
	g.wg.Go(func() {
		err := component()
		if err == nil || errors.Is(err, context.Canceled) {
			return
		}
		g.mu.Lock()
		g.errs = append(g.errs, err)
		g.mu.Unlock()
		g.once.Do(func() { close(g.failed) })
	})
}

// awaitFailure returns nil when ctx is done, or the errors once a component has failed.
func (g *group) awaitFailure(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.failed:
		return g.err()
	}
}

// wait returns the errors of all components once all have ended.
func (g *group) wait() error {
	g.wg.Wait()
	return g.err()
}

func (g *group) err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return errors.Join(g.errs...)
}

func newClients(pool *peer.Pool, tracing connect.Option) *peer.Clients {
	return &peer.Clients{HTTP: pool.Client(), Scheme: "https", Options: []connect.ClientOption{tracing}}
}

// maxPlainConns limits the connections to a service of the platform.
const maxPlainConns = 16

// newPlainClient returns an HTTP/1.1 client for the platform's services, such as its log
// and its workers.
func newPlainClient() *http.Client {
	t := &http.Transport{MaxConnsPerHost: maxPlainConns, Protocols: new(http.Protocols)}
	t.Protocols.SetHTTP1(true)
	return &http.Client{Transport: t}
}
