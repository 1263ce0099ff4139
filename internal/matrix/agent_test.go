package matrix

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/agent"
	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// serviceTime is how long a backend server takes for a request.
const serviceTime = 300 * time.Millisecond

// agentNode is a worker with its agent and its backend server. The stand-ins of the worker
// and the backend server outlive the agent's process.
type agentNode struct {
	node

	agent   *agent.Agent
	worker  *standin.Worker
	backend backendHost
}

func (d *deployment) newAgent(i int, place shop.Place) *agentNode {
	place.Worker = fmt.Sprintf("worker-%d", i+1)
	n := &agentNode{node: node{d: d, name: place.Worker, place: place}, worker: &standin.Worker{Name: place.Worker}}
	d.serve(n.name+".platform", n.worker.Handler())
	n.backend.replace()
	d.serve(n.name+".backend", &n.backend)
	return n
}

// start starts a new incarnation of the agent.
func (n *agentNode) start() {
	p := n.startProcess()
	backendTransport := p.transport(false)
	a := &agent.Agent{
		Worker:  shop.Worker{Place: n.place, Accelerators: accelerators, Cores: 32, Memory: 64 * shop.GiB},
		Address: n.name, Incarnation: n.incarnation,
		Peers:        p.peerClients(),
		WorkerClient: sniperillv1connect.NewWorkerServiceClient(p.platformClient(), "http://"+n.name+".platform"),
		BackendURL:   "http://" + n.name + ".backend",
		DialBackend:  backendTransport.DialContext,
		Now:          p.now, Log: zerolog.Nop(),
	}
	for i := range entryCount {
		a.AnnounceAddresses = append(a.AnnounceAddresses, fmt.Sprintf("entry-%d", i+1))
	}
	if verbose {
		a.Log = zerolog.New(virtualTimeWriter{n.d}).With().Str("at", n.name).Logger()
	}
	p.serve(a.Handler())
	n.mu.Lock()
	n.agent = a
	n.mu.Unlock()
	go func() { _ = a.Run(p.ctx) }()
}

// backendHost holds the successive incarnations of a worker's backend server. Each starts
// with no requests in progress; the last one serves.
type backendHost struct {
	mu           sync.Mutex
	incarnations []*standin.Backend
	arrivals     []arrival
}

// arrival is a request received by a backend server, other than a health check.
type arrival struct {
	id string
	at time.Time
}

// replace starts a new incarnation of the backend server.
func (h *backendHost) replace() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnations = append(h.incarnations, &standin.Backend{
		Slots: slots, ServiceTime: func(string) time.Duration { return serviceTime },
	})
}

// ServeHTTP implements http.Handler.
func (h *backendHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	b := h.incarnations[len(h.incarnations)-1]
	if r.URL.Path != backend.HealthPath {
		h.arrivals = append(h.arrivals, arrival{r.Header.Get(backend.HeaderRequestID), time.Now()})
	}
	h.mu.Unlock()
	b.ServeHTTP(w, r)
}

// runCount returns how often a request was run, by all incarnations together.
func (h *backendHost) runCount(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, b := range h.incarnations {
		n += b.RunCount(id)
	}
	return n
}

// excess returns the number of requests that arrived while all slots were in use.
func (h *backendHost) excess() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, b := range h.incarnations {
		n += b.Excess()
	}
	return n
}

// arrivalsAfter returns the requests that arrived after a time.
func (h *backendHost) arrivalsAfter(t time.Time) []arrival {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []arrival
	for _, a := range h.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}
