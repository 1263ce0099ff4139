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

// scenario holds the drawn parameters of one run of the property test.
type scenario struct {
	seed        uint64
	lossPercent int
	restarts    int
	entryDeaths int
	calls       int
}

// node is an agent that can be restarted, with a backend server that keeps running.
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

// cluster is a set of agents and entries on a network that loses, delays and
// repeats messages.
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

// send delivers one message and its answer, or loses either of them. When repeat
// is set, it may deliver the message more than once.
func send[Req, Res any](ctx context.Context, c *cluster, address string, req Req, repeat bool, do func(*request.Table, context.Context, Req) (Res, error)) (Res, error) {
	var none Res
	if c.chance(c.lossPercent) {
		return none, request.ErrNotDelivered
	}
	if c.chance(c.lossPercent) {
		// Lost in transit, or delivered after the sender gave up.
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
	// A connection leads to one process, so a copy of a message never reaches an
	// older incarnation than the message itself.
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
			// Real transports deliver a message at most once. Messages that must not
			// run twice are repeated here, because their guarantee must hold even then.
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

// restartAgents restarts agents; the entries learn of each restart after a delay.
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

// callResult is the result that one caller got.
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
		// The entry dies during the call, and the caller asks the other one.
		dying, kill := context.WithTimeout(ctx, 10*c.delay())
		defer kill()
		_, _ = c.entries[0].Route(dying, c.request(got))
		got.answer, got.err = c.entries[1].Fetch(ctx, "team", got.id, time.Second)
		return got
	}
	got.answer, got.err = c.entries[i%entries].Route(ctx, c.request(got))
	return got
}

func (c *cluster) request(r callResult) request.Call {
	return request.Call{ID: r.id, Team: "team", Class: "work", Body: []byte("body"), Idempotent: r.idempotent}
}

func (c *cluster) runs(id string) int {
	n := 0
	for _, node := range c.nodes {
		n += node.backend.RunCount("team/" + id)
	}
	return n
}

// check compares the result that a caller got with the runs on the backend servers.
func (c *cluster) check(got callResult) error {
	runs := c.runs(got.id)
	want := "team/" + got.id + " work body"
	switch {
	case !got.idempotent && runs > 1:
		return fmt.Errorf("%s ran %d times", got.id, runs)
	case got.err == nil && (runs == 0 || string(got.answer.GetBody()) != want || got.answer.GetId() != got.id):
		return fmt.Errorf("%s ran %d times and got %v", got.id, runs, got.answer)
	case errors.Is(got.err, shop.ErrNotRun) && runs > 0:
		return fmt.Errorf("%s ran %d times, but the caller got: %w", got.id, runs, got.err)
	case got.err == nil, errors.Is(got.err, shop.ErrNotRun), errors.Is(got.err, shop.ErrMayHaveRun):
		return nil
	case errors.Is(got.err, shop.ErrNotFound), errors.Is(got.err, shop.ErrUnavailable):
		return nil
	default:
		return fmt.Errorf("%s: untyped error: %w", got.id, got.err)
	}
}

// outcomeCounts counts outcomes, to detect a property test that does not reach all
// of them. A call is lost if its entry died and the answer could not be fetched from
// another one.
type outcomeCounts struct{ done, notRun, mayHaveRun, lost int }

func (o *outcomeCounts) add(err error) {
	switch {
	case err == nil:
		o.done++
	case errors.Is(err, shop.ErrNotRun):
		o.notRun++
	case errors.Is(err, shop.ErrMayHaveRun):
		o.mayHaveRun++
	default:
		o.lost++
	}
}

func (c *cluster) run(counts *outcomeCounts) error {
	var group sync.WaitGroup
	group.Go(c.restartAgents)
	results := make([]callResult, c.calls)
	for i := range c.calls {
		group.Go(func() { results[i] = c.call(i) })
	}
	group.Wait()
	// Wait until late and repeated messages have been delivered.
	time.Sleep(5 * time.Minute)
	var errs []error
	for _, got := range results {
		counts.add(got.err)
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

// rapidSeed fixes the seed, so that every run tests the same cases.
func rapidSeed(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
}

// TestMatchingAnswerOrTypedError checks that each caller gets the answer to its own
// request or an error that agrees with what ran, while messages are lost and
// repeated, agents restart and entries die.
func TestMatchingAnswerOrTypedError(t *testing.T) {
	rapidSeed(t)
	var counts outcomeCounts
	rapid.Check(t, func(r *rapid.T) {
		p := scenario{
			seed:        rapid.Uint64().Draw(r, "seed"),
			lossPercent: rapid.IntRange(0, 12).Draw(r, "loss"),
			restarts:    rapid.IntRange(0, 4).Draw(r, "restarts"),
			entryDeaths: rapid.IntRange(0, 8).Draw(r, "deaths"),
			calls:       rapid.IntRange(1, 60).Draw(r, "calls"),
		}
		var err error
		synctest.Test(t, func(*testing.T) { err = newCluster(p).run(&counts) })
		if err != nil {
			r.Fatal(err)
		}
	})
	t.Logf("%+v", counts)
	if counts.done == 0 || counts.notRun == 0 || counts.mayHaveRun == 0 || counts.lost == 0 {
		t.Errorf("some outcome never occurred: %+v", counts)
	}
}
