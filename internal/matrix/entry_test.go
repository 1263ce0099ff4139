package matrix

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// entryNode is an entry VM, whose entry may be killed and started again.
type entryNode struct {
	node

	entry *entry.Entry
}

func (d *deployment) newEntry(i int, place shop.Place) *entryNode {
	return &entryNode{node: node{d: d, name: fmt.Sprintf("entry-%d", i+1), place: place}}
}

// start starts a new incarnation of the entry.
func (n *entryNode) start() {
	p := n.startProcess()
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, fmt.Sprintf("entry-%d", i+1))
	}
	e := &entry.Entry{
		Name: n.name, Place: n.place, Address: n.name, Incarnation: n.incarnation, Seeds: seeds,
		Log:       sniperillv1connect.NewLogServiceClient(p.platformClient(), "http://"+logHost),
		Retention: 7 * 24 * time.Hour,
		Peers:     p.peerClients(), ControlPeers: p.peerClients(),
		Now: p.now, Logger: zerolog.Nop(),
	}
	if verbose {
		e.Logger = zerolog.New(virtualTimeWriter{n.d}).With().Str("at", n.name).Logger()
	}
	p.serve(e.Handler())
	n.mu.Lock()
	n.entry = e
	n.mu.Unlock()
	go func() { _ = e.Run(p.ctx) }()
}

// current returns the running entry and a context that is cancelled when it dies, and false
// when none is running.
func (n *entryNode) current() (*entry.Entry, context.Context, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil, nil, false
	}
	return n.entry, n.process.ctx, true
}
