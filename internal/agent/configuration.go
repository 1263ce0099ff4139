package agent

import (
	"encoding/json"
	"sync"

	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// configuration is the newest configuration that the agent knows. It is never
// replaced by an older version.
type configuration struct {
	mu   sync.Mutex
	data []byte
	shop.Config
}

// newest returns the configuration as published by the entries, and its version.
func (c *configuration) newest() ([]byte, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.data, c.Version
}

// applyConfig applies a configuration if it is newer than the current one.
func (a *Agent) applyConfig(data []byte) {
	if len(data) == 0 {
		return
	}
	var c shop.Config
	if err := json.Unmarshal(data, &c); err != nil {
		a.Log.Error().Err(err).Msg("Decoding the configuration failed.")
		return
	}
	a.config.mu.Lock()
	defer a.config.mu.Unlock()
	if c.Version <= a.config.Version {
		return
	}
	a.config.data = data
	a.config.Config = c
	a.applyBackend(c)
	evacuated := c.Evacuates(a.Place)
	a.allocator.SetEvacuated(evacuated)
	a.table.SetEvacuated(evacuated)
	a.Log.Info().Uint64("version", c.Version).Bool("evacuated", evacuated).Msg("Configuration applied.")
}

// applyBackend applies the configured limits of the backend server. It keeps the same
// backend.Server, also while none is configured, so that requests in progress count
// towards the new limits.
func (a *Agent) applyBackend(c shop.Config) {
	want := a.backendConfig(c)
	if a.BackendURL == "" || want.Slots == 0 {
		a.activeBackend.Store(nil)
		a.report.setConfig(c.Version, nil)
		return
	}
	if a.backend == nil {
		a.backend = &backend.Server{
			URL: a.BackendURL, Slots: want.Slots, Connections: want.Connections, Dial: a.DialBackend,
		}
	}
	a.backend.SetLimits(want.Slots, want.Connections)
	next := &activeBackend{Server: a.backend, classes: want.Classes}
	a.activeBackend.Store(next)
	a.report.setConfig(c.Version, next.slots())
}

// backendConfig returns the configured backend server of this worker. One configured
// under the worker's name takes precedence over one under the wildcard "*".
func (a *Agent) backendConfig(c shop.Config) shop.BackendServer {
	var found shop.BackendServer
	for _, b := range c.BackendServers {
		if b.Name == a.Name() {
			return b
		}
		if b.Name == "*" {
			found = b
		}
	}
	return found
}

func (b *activeBackend) slots() []*sniperillv1.BackendSlots {
	slots, connections := b.Limits()
	var out []*sniperillv1.BackendSlots
	for _, class := range b.classes {
		out = append(out, &sniperillv1.BackendSlots{
			Class: class, Slots: uint32(slots), Connections: uint32(connections),
		})
	}
	return out
}
