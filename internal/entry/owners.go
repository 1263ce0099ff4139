package entry

import (
	"context"
	"time"

	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/roster"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// changeOwnersTimeout bounds a call that changes accelerators' owners at an agent.
const changeOwnersTimeout = 2 * time.Second

// pushOwners tells the agents of the region which team owns which accelerator,
// by compare-and-set on the version that each agent reported. An agent whose version has
// changed in the meantime refuses, and the next plan sees its newer state.
func (p *planner) pushOwners(ctx context.Context, members roster.MemberList, inv *inventory) {
	if !inv.stable {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		if m.Health != roster.Alive || m.State.Place.GetRegion() != p.Place.Region || p.pushingOwners[m.State.Name] {
			continue
		}
		changes := ownerChanges(m.State, inv)
		if len(changes) == 0 {
			continue
		}
		p.pushingOwners[m.State.Name] = true
		go p.pushOwnersTo(ctx, m.State, changes)
	}
}

func (p *planner) pushOwnersTo(ctx context.Context, s *sniperillv1.AgentState, changes []*sniperillv1.AcceleratorOwner) {
	ctx, cancel := context.WithTimeout(ctx, changeOwnersTimeout)
	defer cancel()
	_, err := peer.Call(ctx, p.Peers.Agent(s.Address).Own, &sniperillv1.OwnRequest{Owners: changes})
	if err != nil {
		p.Logger.Debug().Err(err).Str("agent", s.Name).Msg("Changing accelerators' owners failed.")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pushingOwners, s.Name)
}

func ownerChanges(s *sniperillv1.AgentState, inv *inventory) []*sniperillv1.AcceleratorOwner {
	var out []*sniperillv1.AcceleratorOwner
	for _, o := range s.Owners {
		want := inv.packing.OwnerOf(s.Name, int(o.Accelerator))
		if want == o.Team {
			continue
		}
		out = append(out, &sniperillv1.AcceleratorOwner{
			Accelerator: o.Accelerator, Team: want, Base: o.Version, Version: o.Version + 1,
		})
	}
	return out
}

// reportedOwned returns what teams own according to the agents. Agents don't report owned
// cores and memory, so each team is assumed to own all of the worker's.
func reportedOwned(members roster.MemberList) shop.OwnedList {
	var out shop.OwnedList
	for _, m := range members {
		masks := make(map[string]shop.Mask)
		for _, o := range m.State.Owners {
			if o.Team != "" {
				masks[o.Team] |= 1 << o.Accelerator
			}
		}
		for team, mask := range masks {
			out = append(out, shop.Owned{
				Worker: m.State.Name, Team: team, Accelerators: mask,
				Cores: int(m.State.Cores), Memory: shop.Bytes(m.State.MemoryBytes),
			})
		}
	}
	return out
}
