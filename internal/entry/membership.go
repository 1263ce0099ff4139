package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/internal/roster"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Times of the exchanges between entries.
const (
	exchangeTimeout = 2 * time.Second
	// isolatedExchangeInterval is the time between exchanges while an entry knows no other.
	isolatedExchangeInterval = 500 * time.Millisecond
	// seedContactRounds is the average number of rounds after which a seed is contacted, too,
	// so that entries find each other again after both sides have forgotten the other.
	seedContactRounds = 8
	// pushDelay is the wait before a push, so that changes of agents that come close together
	// are sent as one.
	pushDelay = 30 * time.Millisecond
)

// membership propagates changes in the roster to the router, the planner, the agents and
// the other entries.
type membership struct {
	lastView atomic.Pointer[roster.View]
	routerMu sync.Mutex // Held while the router gets what is newest.

	mu sync.Mutex
	// agentUpdate is closed when there is something new to tell the agents.
	agentUpdate chan struct{}
	// dirty holds the agents whose changes are not pushed yet: true for the whole state,
	// false for the configuration version only.
	dirty          map[string]bool
	pushSignal     chan struct{}
	exchangeSignal chan struct{}
}

func (e *Entry) setUpMembership() {
	e.membership.agentUpdate = make(chan struct{})
	e.membership.pushSignal = make(chan struct{}, 1)
	e.membership.exchangeSignal = make(chan struct{}, 1)
	e.membership.dirty = make(map[string]bool)
	e.roster = &roster.Roster{
		Self: &sniperillv1.EntryPeer{
			Name: e.Name, Address: e.Address, Region: e.Place.Region, Zone: e.Place.Zone, Incarnation: e.Incarnation,
		},
		Now:           e.Now,
		Probe:         e.probe,
		NotifyEntries: func() { signal(e.membership.exchangeSignal) },
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// probe pings an agent, on a new connection if the current one does not respond.
func (e *Entry) probe(ctx context.Context, a *sniperillv1.AgentState) error {
	_, err := peer.Call(ctx, e.ControlPeers.Agent(a.Address).Ping, &sniperillv1.PingRequest{})
	if err != nil {
		return fmt.Errorf("entry.probe: %s: %w", a.Name, err)
	}
	return nil
}

func (e *Entry) runMembership(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error {
		e.tickLoop(ctx)
		return nil
	})
	g.Go(func() error {
		e.exchangeLoop(ctx)
		return nil
	})
	g.Go(func() error {
		e.pushLoop(ctx)
		return nil
	})
}

// tickLoop makes the roster check regularly which agents and entries are silent.
func (e *Entry) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(roster.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.roster.Tick(ctx)
			e.viewChanged()
		}
	}
}

// viewChanged passes a new view on to the router and the planner.
func (e *Entry) viewChanged() {
	view := e.roster.View()
	before := e.membership.lastView.Swap(view)
	if before == view {
		return
	}
	if before == nil || before.EntriesVersion != view.EntriesVersion {
		if config := e.Config(); config != nil {
			e.updateAdmission(config)
		}
		e.notifyAgents()
	}
	e.updateRouter()
	e.planner.wake()
}

// updateRouter passes the agents on to the router.
func (e *Entry) updateRouter() {
	e.membership.routerMu.Lock()
	defer e.membership.routerMu.Unlock()
	view, config := e.roster.View(), e.Config()
	agents := make(request.AgentList, 0, len(view.Agents))
	for _, m := range view.Agents {
		a := routerAgent(m)
		a.Leaving = a.Leaving || config != nil && config.Evacuates(workerOf(m).Place)
		agents = append(agents, a)
	}
	e.router.Update(agents)
}

func routerAgent(m *roster.Member) request.Agent {
	a := request.Agent{
		Name: m.State.Name, Address: m.State.Address, Zone: m.State.Place.GetZone(),
		Incarnation: m.State.Incarnation, Leaving: m.Leaving(), Suspect: m.Health != roster.Alive,
	}
	for _, b := range m.State.Backends {
		a.Classes = append(a.Classes, request.ClassSlots{Class: b.Class, Slots: int(b.Slots), Used: int(b.Used)})
	}
	return a
}

// notifyAgents makes the held heartbeats return, so that the agents get the changes.
func (e *Entry) notifyAgents() {
	e.membership.mu.Lock()
	defer e.membership.mu.Unlock()
	close(e.membership.agentUpdate)
	e.membership.agentUpdate = make(chan struct{})
}

func (e *Entry) nextAgentUpdate() <-chan struct{} {
	e.membership.mu.Lock()
	defer e.membership.mu.Unlock()
	return e.membership.agentUpdate
}

// Heartbeat handles an agent's heartbeat. It holds the response until there is a change
// to tell the agent or its next heartbeat is due.
func (e *Entry) Heartbeat(ctx context.Context, r *sniperillv1.HeartbeatRequest) (*sniperillv1.HeartbeatResponse, error) {
	e.init()
	e.learnConfig(r.Config)
	update := e.nextAgentUpdate()
	before, known := e.roster.View().Agents.Find(r.Agent)
	res, err := e.roster.Heartbeat(r)
	if err != nil {
		return nil, err
	}
	fullState := r.State != nil || r.Leaving
	if fullState || known && before.State.ConfigVersion < r.ConfigVersion {
		e.markDirty(r.Agent, fullState)
	}
	e.viewChanged()
	holdTime := e.roster.HoldTime(r.Agent)
	if e.addConfig(r, res) || res.WantState || len(res.Entries) > 0 || r.Config != nil || r.State != nil {
		return res, nil
	}
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-update:
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	e.addConfig(r, res)
	return res, nil
}

// addConfig adds the configuration to the response if the agent's is older. It reports
// whether the two versions differ, so that one side has to update the other.
func (e *Entry) addConfig(r *sniperillv1.HeartbeatRequest, res *sniperillv1.HeartbeatResponse) bool {
	data, version := e.configData()
	res.ConfigVersion = version
	res.Hold = durationpb.New(e.roster.NextHoldTime(r.Agent))
	if version > r.ConfigVersion {
		res.Config = data
	}
	return version != r.ConfigVersion
}

// markDirty records that the other entries lack the full state of an agent, or only its
// configuration version.
func (e *Entry) markDirty(agent string, fullState bool) {
	e.membership.mu.Lock()
	defer e.membership.mu.Unlock()
	e.membership.dirty[agent] = e.membership.dirty[agent] || fullState
	signal(e.membership.pushSignal)
}

func (e *Entry) takeDirty() (states, versions []string) {
	e.membership.mu.Lock()
	defer e.membership.mu.Unlock()
	for agent, fullState := range e.membership.dirty {
		if fullState {
			states = append(states, agent)
		} else {
			versions = append(versions, agent)
		}
	}
	clear(e.membership.dirty)
	return states, versions
}

// learnConfig adopts a configuration from another entry or an agent if it is newer.
func (e *Entry) learnConfig(data []byte) {
	if len(data) == 0 {
		return
	}
	var a platform.AcceptedConfig
	if err := json.Unmarshal(data, &a); err != nil {
		e.Logger.Error().Err(err).Msg("Can't decode the configuration of a peer.")
		return
	}
	before := e.Config()
	e.streams.configs.Learn(a)
	if before == nil || before.Version < a.Version {
		e.configChanged()
	}
}

// configChanged applies the current configuration to this entry and notifies the agents.
func (e *Entry) configChanged() {
	config := e.Config()
	if config == nil {
		return
	}
	if e.appliedVersion.Swap(config.Version) == config.Version {
		return
	}
	e.updateAdmission(config)
	e.updateRouter()
	e.notifyAgents()
	e.Logger.Info().Uint64("version", config.Version).Strs("evacuated_zones", config.EvacuatedZones).
		Msg("Configuration applied.")
	e.planner.wake()
}

// updateAdmission divides the admission limits among the live entries.
func (e *Entry) updateAdmission(config *shop.Config) {
	e.admission.Update(*config, max(1, len(e.roster.View().Entries.Live())))
}

// Exchange handles another entry's exchange of cluster state.
func (e *Entry) Exchange(_ context.Context, r *sniperillv1.ExchangeRequest) (*sniperillv1.ExchangeResponse, error) {
	e.init()
	e.learnConfig(r.Config)
	res := e.roster.HandleExchange(r)
	data, version := e.configData()
	res.ConfigVersion = version
	if version > r.ConfigVersion {
		res.Config = data
	}
	e.viewChanged()
	return res, nil
}

func (e *Entry) exchangeLoop(ctx context.Context) {
	for {
		e.exchangeAll(ctx)
		wait := time.NewTimer(e.exchangeDelay())
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		case <-e.membership.exchangeSignal:
			wait.Stop()
		}
	}
}

// exchangeDelay is the randomized time until the next exchange. It is short while this
// entry knows no other one.
func (e *Entry) exchangeDelay() time.Duration {
	interval := e.roster.Interval()
	if len(e.roster.View().Entries.Live()) < 2 && len(e.Seeds) > 0 {
		interval = isolatedExchangeInterval
	}
	return interval*4/5 + rand.N(interval/5)
}

// exchangeAll exchanges state with every known entry, and in some rounds with a seed. All
// of them get the same digests.
func (e *Entry) exchangeAll(ctx context.Context) {
	digests := e.roster.StartExchange()
	_, digests.ConfigVersion = e.configData()
	var group errgroup.Group
	for _, address := range e.exchangePeers() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			if err := e.exchange(ctx, address, digests); err != nil {
				e.Logger.Debug().Err(err).Str("entry", address).Msg("Exchange with an entry failed.")
			}
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
	e.viewChanged()
}

func (e *Entry) exchangePeers() []string {
	var out []string
	for _, p := range e.roster.View().Entries {
		if p.Peer.GetName() != e.Name {
			out = append(out, p.Peer.GetAddress())
		}
	}
	if len(e.Seeds) == 0 || len(out) > 0 && rand.N(seedContactRounds) > 0 {
		return out
	}
	seed := e.Seeds[rand.N(len(e.Seeds))]
	if seed == e.Address || slices.Contains(out, seed) {
		return out
	}
	return append(out, seed)
}

// exchange exchanges state with one entry until neither side needs more from the other.
func (e *Entry) exchange(ctx context.Context, address string, next *sniperillv1.ExchangeRequest) error {
	for next != nil {
		res, err := peer.Call(ctx, e.Peers.Entry(address).Exchange, next)
		if err != nil {
			return fmt.Errorf("entry.exchange: %w", err)
		}
		e.learnConfig(res.Config)
		next = e.roster.HandleExchangeResponse(res)
		if next == nil {
			return nil
		}
		data, version := e.configData()
		next.ConfigVersion = version
		if res.ConfigVersion < version {
			next.Config = data
		}
	}
	return nil
}

// pushLoop sends changes that agents report to other entries without waiting for the next
// exchange.
func (e *Entry) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.membership.pushSignal:
		}
		delay := time.NewTimer(pushDelay)
		select {
		case <-ctx.Done():
			delay.Stop()
			return
		case <-delay.C:
		}
		states, versions := e.takeDirty()
		e.pushChanges(ctx, states, versions)
	}
}

// pushChanges sends agents' states to the entries of the region, and their configuration
// versions to all entries.
func (e *Entry) pushChanges(ctx context.Context, states, versions []string) {
	regional, remote := e.roster.UpdateRequest(states, versions), e.roster.UpdateRequest(nil, versions)
	var group errgroup.Group
	for _, p := range e.roster.View().Entries.Live() {
		update := remote
		if p.GetRegion() == e.Place.Region {
			update = regional
		}
		if p.GetName() == e.Name || len(update.States) == 0 {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			_, err := peer.Call(ctx, e.Peers.Entry(p.GetAddress()).Exchange, update)
			if err != nil {
				e.Logger.Debug().Err(err).Str("entry", p.GetName()).Msg("Pushing changes to an entry failed.")
			}
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
}

// announceLeave tells every entry that this one is leaving.
func (e *Entry) announceLeave(ctx context.Context) {
	e.roster.Leave()
	e.exchangeAll(ctx)
}

// askToLeave asks a worker's agent to take no new work and to leave.
func (e *Entry) askToLeave(ctx context.Context, worker string) error {
	m, ok := e.roster.View().Agents.Find(worker)
	if !ok {
		return fmt.Errorf("entry.Drain: worker %q: %w", worker, shop.ErrNotFound)
	}
	if _, err := peer.Call(ctx, e.ControlPeers.Agent(m.State.Address).Leave, &sniperillv1.LeaveRequest{}); err != nil {
		return fmt.Errorf("entry.Drain: %w", err)
	}
	return nil
}
