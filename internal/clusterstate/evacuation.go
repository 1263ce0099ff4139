package clusterstate

import (
	"strings"
	"sync/atomic"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/workflow"
)

// Evacuations follows which zones operators evacuate. Each zone has a record, whose value doesn't matter; it is taken
// back by a record without one. Set the exported fields before use.
type Evacuations struct {
	// Prefix precedes the zone in the keys of the records.
	Prefix string
	Log    zerolog.Logger

	next    workflow.Evacuations // As of the records applied so far.
	current atomic.Pointer[workflow.Evacuations]
}

// Current returns the evacuations as of the newest page of records that was applied.
func (e *Evacuations) Current() workflow.Evacuations {
	if c := e.current.Load(); c != nil {
		return *c
	}
	return workflow.Evacuations{}
}

// Apply applies a record, and reports whether it is of a zone.
func (e *Evacuations) Apply(r journal.Record) bool {
	zone, ok := strings.CutPrefix(r.Key, e.Prefix)
	switch {
	case !ok:
		return false
	case zone == "":
		e.Log.Warn().Int64("offset", r.Offset).Msg("Ignored an evacuation that names no zone.")
	case len(r.Value) == 0:
		e.next = e.next.WithoutZone(zone)
	default:
		e.next = e.next.WithZone(zone)
	}
	return true
}

// PageApplied puts in force what was applied, once a page of records is through: in the middle of one, a zone's newest
// record may be missing.
func (e *Evacuations) PageApplied(p journal.AppliedPage) {
	for _, key := range p.Dropped {
		if zone, ok := strings.CutPrefix(key, e.Prefix); ok {
			e.next = e.next.WithoutZone(zone)
		}
	}
	e.next = e.next.WithPosition(p.Next)
	current := e.next
	e.current.Store(&current)
}
