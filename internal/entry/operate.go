package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/guarantee"
	"sniperill.example/sniperill/internal/inspection"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/roster"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// ConflictError says that another change was accepted first, and whose.
type ConflictError = platform.ConflictError

// Apply checks a configuration and publishes it, provided that the current version is
// still base. A dry run only checks it. Evacuated zones stay so.
func (e *Entry) Apply(ctx context.Context, c shop.Config, base uint64, author string, dryRun bool) (uint64, error) {
	e.init()
	if current := e.Config(); current != nil && current.Version == base {
		c.EvacuatedZones = current.EvacuatedZones // A folder doesn't have them.
	}
	return e.publish(ctx, c, base, author, dryRun)
}

// publish checks a configuration and publishes it, unless it is a dry run.
func (e *Entry) publish(ctx context.Context, c shop.Config, base uint64, author string, dryRun bool) (uint64, error) {
	c = c.WithDefaults()
	if err := c.Validate().Err(); err != nil {
		return 0, fmt.Errorf("entry.Apply: %w", err)
	}
	if err := e.planner.checkGuarantees(ctx, c); err != nil {
		return 0, fmt.Errorf("entry.Apply: %w", err)
	}
	if dryRun {
		return base, nil
	}
	version, err := e.streams.configs.Publish(ctx, c, base, author)
	if err != nil {
		return 0, fmt.Errorf("entry.Apply: %w", err)
	}
	e.Logger.Info().Uint64("version", version).Str("author", author).Msg("Configuration accepted.")
	if findings := inspection.Config(c, e.planner.knownWorkers()); len(findings) > 0 {
		e.Logger.Warn().Uint64("version", version).Int("findings", len(findings)).Stringer("first", findings[0]).
			Msg("The configuration has entries that \"sniperill diff\" objects to.")
	}
	return version, nil
}

// checkGuarantees returns an error if the known workers can't back all guarantees at the
// same time. It waits for workers that are still joining, at most inventoryTimeout.
func (p *planner) checkGuarantees(ctx context.Context, c shop.Config) error {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	var err error
	p.endedJobs.wait(ctx, func() bool {
		workers := p.knownWorkers()
		err = guarantee.Check(c, workers)
		return err == nil || p.rosterStable(len(workers))
	})
	return err
}

func (p *planner) knownWorkers() shop.WorkerList {
	var workers shop.WorkerList
	for _, m := range p.roster.View().Agents {
		workers = append(workers, workerOf(m))
	}
	return workers
}

// rosterStable reports whether no new agent has appeared for rosterStableDelay.
func (p *planner) rosterStable(members int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return members > 0 && p.Now().Sub(p.lastJoined) > rosterStableDelay
}

// Change sets or removes one object of the configuration.
type Change struct {
	// Kind is "team", "class", "backend-server", "policy" or "evacuation", whose name is the zone.
	Kind string
	Name string
	// Object is the new value as JSON; empty removes the object.
	Object []byte
	Base   uint64
	Author string
}

// Change publishes a change of one object, provided that the current version is still its
// base.
func (e *Entry) Change(ctx context.Context, c Change) (uint64, error) {
	e.init()
	current := shop.Config{}
	if config := e.Config(); config != nil {
		current = *config
	}
	if current.Version != c.Base {
		return 0, fmt.Errorf("entry.Change: %w", &ConflictError{Version: current.Version, Author: e.configAuthor()})
	}
	next, err := c.apply(current)
	if err != nil {
		return 0, fmt.Errorf("entry.Change: %w", err)
	}
	return e.publish(ctx, next, c.Base, c.Author, false)
}

func (e *Entry) configAuthor() string {
	if a := e.streams.configs.Current(); a != nil {
		return a.Author
	}
	return ""
}

// apply returns the configuration with the object set or removed.
func (c Change) apply(config shop.Config) (shop.Config, error) {
	var err error
	switch c.Kind {
	case "team":
		config.Teams, err = withObjectChange(config.Teams, c, func(t shop.Team) string { return t.Name })
	case "class":
		config.Classes, err = withObjectChange(config.Classes, c, func(k shop.Class) string { return k.Name })
	case "backend-server":
		config.BackendServers, err = withObjectChange(config.BackendServers, c, func(b shop.BackendServer) string { return b.Name })
	case "policy":
		err = decodeObject(c, &config.Policy)
	case "evacuation":
		config.EvacuatedZones, err = withEvacuation(config.EvacuatedZones, c)
	default:
		var l shop.ProblemList
		l.Add("kind", c.Kind, "must be team, class, backend-server, policy or evacuation")
		err = l
	}
	return config, err
}

// withEvacuation returns the evacuated zones with one added, or taken back.
func withEvacuation(zones []string, c Change) ([]string, error) {
	i := slices.Index(zones, c.Name)
	switch {
	case len(c.Object) > 0:
		return append(slices.Clone(zones), c.Name), decodeObject(c, &struct{}{})
	case i < 0:
		return nil, fmt.Errorf("evacuation of %q: %w", c.Name, shop.ErrNotFound)
	}
	return slices.Delete(slices.Clone(zones), i, i+1), nil
}

func withObjectChange[T any](list []T, c Change, name func(T) string) ([]T, error) {
	i := slices.IndexFunc(list, func(v T) bool { return name(v) == c.Name })
	list = slices.Clone(list)
	if len(c.Object) == 0 {
		if i < 0 {
			return nil, fmt.Errorf("%s %q: %w", c.Kind, c.Name, shop.ErrNotFound)
		}
		return slices.Delete(list, i, i+1), nil
	}
	var v T
	if err := decodeObject(c, &v); err != nil {
		return nil, err
	}
	if name(v) != c.Name {
		var l shop.ProblemList
		l.Add(c.Kind+".name", name(v), "is not the "+c.Name+" that the request names")
		return nil, l
	}
	if i < 0 {
		return append(list, v), nil
	}
	list[i] = v
	return list, nil
}

func decodeObject(c Change, into any) error {
	if err := shop.DecodeStrict(c.Object, into); err != nil {
		var l shop.ProblemList
		l.Add(c.Kind, c.Name, err.Error())
		return l
	}
	return nil
}

// AcceptedConfig returns the active configuration, and how old this entry's knowledge of
// it may be.
func (e *Entry) AcceptedConfig() (platform.AcceptedConfig, time.Duration, error) {
	e.init()
	a := e.streams.configs.Current()
	if a == nil {
		return platform.AcceptedConfig{}, 0, fmt.Errorf("entry.Accepted: no configuration yet: %w", shop.ErrNotFound)
	}
	stale, _ := e.streams.followers[0].Staleness()
	return *a, stale, nil
}

// Teams returns what each team owns, uses, borrows and has queued.
func (e *Entry) Teams() []*sniperillv1.TeamStatus {
	e.init()
	config, inv := e.Config(), e.planner.inventory.Load()
	if config == nil {
		return nil
	}
	var out []*sniperillv1.TeamStatus
	for _, t := range config.Teams {
		s := &sniperillv1.TeamStatus{Name: t.Name}
		if inv != nil {
			s.OwnedAccelerators = uint32(inv.packing.Owned().Accelerators(t.Name))
		}
		for _, j := range e.Jobs(t.Name) {
			if j.State == shop.Queued {
				s.Queued++
			}
		}
		out = append(out, s)
	}
	for _, r := range e.planner.runs.all() {
		i := slices.IndexFunc(out, func(s *sniperillv1.TeamStatus) bool { return s.Name == r.Team })
		if i < 0 || gang.TaskState(r.state()).Final() {
			continue
		}
		countRun(out[i], r, inv)
	}
	return out
}

func countRun(s *sniperillv1.TeamStatus, r run, inv *inventory) {
	s.Running++
	for _, m := range r.members {
		mask := shop.Mask(m.Accelerators)
		s.UsedAccelerators += uint32(mask.Len())
		if inv == nil {
			continue
		}
		for i := range mask.All {
			if owner := inv.packing.OwnerOf(m.agent.Name, i); owner != "" && owner != r.Team {
				s.BorrowedAccelerators++
			}
		}
	}
}

// Guarantees returns the accelerators that back each guarantee, or why there are none.
func (e *Entry) Guarantees() []*sniperillv1.GuaranteeStatus {
	e.init()
	inv := e.planner.inventory.Load()
	if inv == nil {
		return nil
	}
	var out []*sniperillv1.GuaranteeStatus
	for _, c := range inv.packing.Cells() {
		s := &sniperillv1.GuaranteeStatus{Team: c.ID.Team, Shape: c.Shape.String(), Whole: true}
		for _, part := range c.Parts {
			for i := range part.Accelerators.All {
				s.Accelerators = append(s.Accelerators, fmt.Sprintf("%s/%d", part.Worker, i))
			}
		}
		out = append(out, s)
	}
	for _, f := range inv.packing.Shortfalls() {
		out = append(out, &sniperillv1.GuaranteeStatus{Team: f.Team, Shape: f.Shape.String(), Cause: f.String()})
	}
	return out
}

// Workers returns every worker that this entry knows.
func (e *Entry) Workers() []*sniperillv1.WorkerStatus {
	e.init()
	var out []*sniperillv1.WorkerStatus
	config := e.Config()
	for _, m := range e.roster.View().Agents {
		health := string(m.Health)
		switch {
		case m.Health != roster.Alive:
		case m.Leaving():
			health = "leaving"
		case config != nil && config.Evacuates(workerOf(m).Place):
			health = "evacuated"
		case e.planner.isQuarantined(m.Name()):
			health = "quarantined"
		}
		out = append(out, &sniperillv1.WorkerStatus{State: m.State, Health: health})
	}
	return out
}

// Jobs returns the jobs of a team, or of all teams if team is empty, in the order of their
// submission: the live ones and the ended ones that this entry remembers.
func (e *Entry) Jobs(team string) []Status {
	e.init()
	var out []Status
	for _, l := range e.streams.jobs.Live() {
		if team != "" && l.Team != team {
			continue
		}
		if s, err := e.status(l.ID); err == nil {
			out = append(out, s)
		}
	}
	out = append(out, e.endedJobs.list(team)...)
	slices.SortStableFunc(out, func(a, b Status) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return slices.CompactFunc(out, func(a, b Status) bool { return a.ID == b.ID })
}

// Drain asks a worker's agent to take no new work and to leave.
func (e *Entry) Drain(ctx context.Context, worker string) error {
	e.init()
	return e.askToLeave(ctx, worker)
}

// configData returns the newest configuration as JSON, and its version. It caches the
// encoding.
func (e *Entry) configData() ([]byte, uint64) {
	a := e.streams.configs.Current()
	if a == nil {
		return nil, 0
	}
	if d := e.encoded.Load(); d != nil && d.version == a.Version {
		return d.data, d.version
	}
	data, err := json.Marshal(a)
	if err != nil {
		e.Logger.Error().Err(err).Msg("Can't encode the configuration.")
		return nil, 0
	}
	e.encoded.Store(&encodedConfig{data, a.Version})
	return data, a.Version
}

type encodedConfig struct {
	data    []byte
	version uint64
}
