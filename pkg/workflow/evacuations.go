package workflow

import "slices"

// Evacuations is which availability zones operators evacuate: no task is started there. It is immutable; the zero
// value is that no zone is evacuated.
type Evacuations struct {
	zones    []string // Sorted.
	position int64
}

// Position is up to which of the operators' records the evacuations are known. Of two, that with the higher position
// is newer.
func (e Evacuations) Position() int64 { return e.position }

// Zones returns the evacuated zones, sorted.
func (e Evacuations) Zones() []string { return slices.Clone(e.zones) }

// Any reports whether a zone is evacuated.
func (e Evacuations) Any() bool { return len(e.zones) > 0 }

// Evacuated reports whether a zone is evacuated.
func (e Evacuations) Evacuated(zone string) bool {
	_, found := slices.BinarySearch(e.zones, zone)
	return found
}

// WithZone returns e with a zone evacuated.
func (e Evacuations) WithZone(zone string) Evacuations {
	if i, found := slices.BinarySearch(e.zones, zone); !found {
		e.zones = slices.Insert(slices.Clone(e.zones), i, zone)
	}
	return e
}

// WithoutZone returns e with a zone taken back.
func (e Evacuations) WithoutZone(zone string) Evacuations {
	if i, found := slices.BinarySearch(e.zones, zone); found {
		e.zones = slices.Delete(slices.Clone(e.zones), i, i+1)
	}
	return e
}

// WithPosition returns e as known up to a position.
func (e Evacuations) WithPosition(position int64) Evacuations {
	e.position = position
	return e
}
