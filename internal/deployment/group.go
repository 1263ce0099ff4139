package deployment

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/internal/peer"
)

// group is the parts of a process, of which none may end by itself.
type group struct {
	wg     sync.WaitGroup
	mu     sync.Mutex
	errs   []error
	failed chan struct{}
	once   sync.Once
}

func newGroup() *group { return &group{failed: make(chan struct{})} }

// start runs a part. When it fails, until returns.
func (g *group) start(part func() error) {
	g.wg.Go(func() {
		err := part()
		if err == nil || errors.Is(err, context.Canceled) {
			return
		}
		g.mu.Lock()
		g.errs = append(g.errs, err)
		g.mu.Unlock()
		g.once.Do(func() { close(g.failed) })
	})
}

// awaitFailure returns when the context ends or a part fails.
func (g *group) awaitFailure(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.failed:
		return g.err()
	}
}

// wait returns once every part has ended.
func (g *group) wait() error {
	g.wg.Wait()
	return g.err()
}

func (g *group) err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return errors.Join(g.errs...)
}

func newClients(pool *peer.Pool, traced connect.Option) *peer.Clients {
	return &peer.Clients{HTTP: pool.Client(), Scheme: "https", Options: []connect.ClientOption{traced}}
}

// maxPlainConns bounds the connections to the platform or to the worker.
const maxPlainConns = 16

// newPlainClient returns a client for the platform's services.
func newPlainClient() *http.Client {
	t := &http.Transport{MaxConnsPerHost: maxPlainConns, Protocols: new(http.Protocols)}
	t.Protocols.SetHTTP1(true)
	return &http.Client{Transport: t}
}
