package request_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// scenario is what one run of the property is drawn from.
type scenario struct {
	seed        uint64
	lossPercent int // Of 100 messages.
	restarts    int
	entryDeaths int
	calls       int
}

// node is an agent that can be restarted, with a backend server that stays.
type node struct {
	name        string
	incarnation uint64
	backend     *standin.Backend
	server      *backend.Server
	table       atomic.Pointer[request.Table]
}

func (n *node) restart() {
	n.incarnation++
	n.table.Store(&request.Table{Agent: n.name, Incarnation: n.incarnation, Send: n.server.Send})
}

// cluster is agents and entries over a network that loses, delays and repeats.
type cluster struct {
	scenario
	mu      sync.Mutex
	random  *rand.Rand
	nodes   []*node
	entries []*request.Router
	stop    []func() error
}

func (c *cluster) chance(percent int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(100) < percent
}

func (c *cluster) delay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.ExpFloat64() * float64(20*time.Millisecond))
}

func (c *cluster) find(address string) *node {
	for _, n := range c.nodes {
		if n.name == address {
			return n
		}
	}
	return nil
}

var errLost = errors.New("connection lost")

// send carries one message and its answer, or loses either.
func send[Req, Res any](ctx context.Context, c *cluster, address string, req Req, repeat bool, do func(*request.Table, context.Context, Req) (Res, error)) (Res, error) {
	var none Res
	if c.chance(c.lossPercent) {
		return none, request.ErrNotDelivered
	}
	if c.chance(c.lossPercent) {
		// Lost on its way, or late after the sender gave up.
		if c.chance(50) {
			later := context.WithoutCancel(ctx)
			go func() {
				time.Sleep(50 * c.delay())
				_, _ = do(c.find(address).table.Load(), later, req)
			}()
		}
		return none, errLost
	}
	time.Sleep(c.delay())
	// A connection ends at one process, so a copy never overtakes its original
	// into an older incarnation.
	table := c.find(address).table.Load()
	if repeat && c.chance(c.lossPercent) {
		later := context.WithoutCancel(ctx)
		go func() { _, _ = do(table, later, req) }()
		go func() {
			time.Sleep(50 * c.delay())
			_, _ = do(c.find(address).table.Load(), later, req)
		}()
	}
	res, err := do(table, ctx, req)
	time.Sleep(c.delay())
	if c.chance(c.lossPercent) {
		return none, errLost
	}
	if c.chance(c.lossPercent) {
		<-ctx.Done()
		return none, ctx.Err()
	}
	return res, err
}

func (c *cluster) transport() request.Transport {
	return request.Transport{
		Serve: func(ctx context.Context, address string, req *sniperillv1.ServeRequest) (*sniperillv1.ServeResponse, error) {
			// Transports deliver a frame at most once. A repeated frame is tried
			// where the promise must hold even so.
			res, err := send(ctx, c, address, req, !req.GetIdempotent(), (*request.Table).Serve)
			if err == nil && c.chance(c.lossPercent) {
				res.Answer = request.NewAnswer("another", req.GetAttempt(), 200, "", nil)
			} else if err == nil && c.chance(c.lossPercent) && len(res.GetAnswer().GetBody()) > 0 {
				res.Answer.Body = res.Answer.Body[1:]
			}
			return res, err
		},
		Seal: func(ctx context.Context, address string, req *sniperillv1.SealRequest) (*sniperillv1.SealResponse, error) {
			return send(ctx, c, address, req, true, (*request.Table).Seal)
		},
		FetchAnswer: func(ctx context.Context, address string, req *sniperillv1.FetchAnswerRequest) (*sniperillv1.FetchAnswerResponse, error) {
			return send(ctx, c, address, req, true, (*request.Table).FetchAnswer)
		},
		Ping: func(ctx context.Context, address string, req *sniperillv1.PingRequest) (*sniperillv1.PingResponse, error) {
			return send(ctx, c, address, req, true, func(t *request.Table, _ context.Context, _ *sniperillv1.PingRequest) (*sniperillv1.PingResponse, error) {
				return &sniperillv1.PingResponse{Name: t.Agent, Incarnation: t.Incarnation}, nil
			})
		},
	}
}

const agents, entries, slots = 4, 2, 4

func newCluster(p scenario) *cluster {
	c := &cluster{scenario: p, random: rand.New(rand.NewPCG(p.seed, 1))}
	for i := range agents {
		n := &node{name: fmt.Sprint("agent-", i)}
		n.backend = &standin.Backend{Slots: slots, ServiceTime: func(string) time.Duration { return 10 * c.delay() }}
		n.backend.Fault = func(string) standin.BackendFault {
			if c.chance(c.lossPercent) {
				return standin.FaultCrossed
			}
			return standin.NoFault
		}
		l := standin.NewListener()
		server := &http.Server{Handler: n.backend}
		go func() { _ = server.Serve(l) }()
		c.stop = append(c.stop, server.Close)
		n.server = &backend.Server{URL: "http://backend", Slots: slots, Dial: l.Dial}
		n.restart()
		c.nodes = append(c.nodes, n)
	}
	for range entries {
		r := &request.Router{Transport: c.transport(), Zone: "zone-0"}
		c.entries = append(c.entries, r)
		c.update(r)
	}
	return c
}

func (c *cluster) update(r *request.Router) {
	var list request.AgentList
	for i, n := range c.nodes {
		list = append(list, request.Agent{
			Name:        n.name,
			Address:     n.name,
			Zone:        fmt.Sprint("zone-", i%2),
			Incarnation: n.table.Load().Incarnation,
			Classes:     []request.ClassSlots{{Class: "work", Slots: slots}},
		})
	}
	r.Update(list)
}

// restartAgents restarts agents, with entries that learn of it late.
func (c *cluster) restartAgents() {
	for range c.restarts {
		time.Sleep(20 * c.delay())
		c.nodes[c.randomInt(agents)].restart()
		time.Sleep(20 * c.delay())
		for _, r := range c.entries {
			c.update(r)
		}
	}
}

func (c *cluster) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// callResult is what one caller got.
type callResult struct {
	id         string
	idempotent bool
	answer     *sniperillv1.Answer
	err        error
}

func (c *cluster) call(i int) callResult {
	time.Sleep(10 * c.delay())
	got := callResult{id: fmt.Sprint("id-", i), idempotent: i%2 == 0}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if i < c.entryDeaths {
		// The entry dies under its caller, who asks the other one.
		dying, kill := context.WithTimeout(ctx, 10*c.delay())
		defer kill()
		_, _ = c.entries[0].Route(dying, c.request(got))
		got.answer, got.err = c.entries[1].Fetch(ctx, "team", got.id, time.Second)
		return got
	}
	got.answer, got.err = c.entries[i%entries].Route(ctx, c.request(got))
	return got
}

func (c *cluster) request(t callResult) request.Call {
	return request.Call{ID: t.id, Team: "team", Class: "work", Body: []byte("body"), Idempotent: t.idempotent}
}

func (c *cluster) runs(id string) int {
	n := 0
	for _, node := range c.nodes {
		n += node.backend.RunCount("team/" + id)
	}
	return n
}

// check compares what a caller was told with what truly ran.
func (c *cluster) check(got callResult) error {
	runs := c.runs(got.id)
	want := "team/" + got.id + " work body"
	switch {
	case !got.idempotent && runs > 1:
		return fmt.Errorf("%s ran %d times", got.id, runs)
	case got.err == nil && (runs == 0 || string(got.answer.GetBody()) != want || got.answer.GetId() != got.id):
		return fmt.Errorf("%s ran %d times and got %v", got.id, runs, got.answer)
	case errors.Is(got.err, shop.ErrNotRun) && runs > 0:
		return fmt.Errorf("%s ran %d times and was told: %w", got.id, runs, got.err)
	case got.err == nil, errors.Is(got.err, shop.ErrNotRun), errors.Is(got.err, shop.ErrMayHaveRun):
		return nil
	case errors.Is(got.err, shop.ErrNotFound), errors.Is(got.err, shop.ErrUnavailable):
		return nil
	default:
		return fmt.Errorf("%s: untyped error: %w", got.id, got.err)
	}
}

// outcomeCounts counts outcomes, so that a property that tests nothing is seen.
type outcomeCounts struct{ done, notRun, mayHaveRun, lost int }

func (y *outcomeCounts) add(err error) {
	switch {
	case err == nil:
		y.done++
	case errors.Is(err, shop.ErrNotRun):
		y.notRun++
	case errors.Is(err, shop.ErrMayHaveRun):
		y.mayHaveRun++
	default:
		y.lost++
	}
}

func (c *cluster) run(y *outcomeCounts) error {
	var group sync.WaitGroup
	group.Go(c.restartAgents)
	results := make([]callResult, c.calls)
	for i := range c.calls {
		group.Go(func() { results[i] = c.call(i) })
	}
	group.Wait()
	// Late and repeated messages get their chance.
	time.Sleep(5 * time.Minute)
	var errs []error
	for _, got := range results {
		y.add(got.err)
		errs = append(errs, c.check(got))
	}
	for _, n := range c.nodes {
		if n.backend.Excess() > 0 {
			errs = append(errs, fmt.Errorf("%s ran %d requests at once", n.name, n.backend.MaxConcurrent()))
		}
		n.server.Close()
	}
	for _, stop := range c.stop {
		errs = append(errs, stop())
	}
	return errors.Join(errs...)
}

// rapidSeed makes every run of the properties the same.
func rapidSeed(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
}

func TestMatchingAnswerOrTypedError(t *testing.T) {
	rapidSeed(t)
	var y outcomeCounts
	rapid.Check(t, func(r *rapid.T) {
		p := scenario{
			seed:        rapid.Uint64().Draw(r, "seed"),
			lossPercent: rapid.IntRange(0, 12).Draw(r, "loss"),
			restarts:    rapid.IntRange(0, 4).Draw(r, "restarts"),
			entryDeaths: rapid.IntRange(0, 8).Draw(r, "deaths"),
			calls:       rapid.IntRange(1, 60).Draw(r, "calls"),
		}
		var err error
		synctest.Test(t, func(*testing.T) { err = newCluster(p).run(&y) })
		if err != nil {
			r.Fatal(err)
		}
	})
	t.Logf("%+v", y)
	if y.done == 0 || y.notRun == 0 || y.mayHaveRun == 0 || y.lost == 0 {
		t.Errorf("some outcome never came: %+v", y)
	}
}
