package guarantee

import (
	"fmt"
	"slices"
	"strings"

	"sniperill.example/sniperill/pkg/shop"
)

// Cause is the reason why a guarantee is not fully packed.
type Cause string

// Causes of a shortfall.
const (
	// TooLarge means that the shape does not fit even on empty hardware.
	TooLarge Cause = "too-large"
	// Crowded means that the shape does not fit beside the other guarantees.
	Crowded Cause = "crowded"
	// WorkersDown means that the shape would fit if the workers that are down were up.
	WorkersDown Cause = "workers-down"
)

// Shortfall is a guarantee with copies that are not packed.
type Shortfall struct {
	Team      string     `json:"team"`
	Guarantee int        `json:"guarantee"` // Index in the guarantees of the team.
	Shape     shop.Shape `json:"shape"`
	Count     int        `json:"count"`
	Packed    int        `json:"packed"` // Number of copies that are packed.
	Cause     Cause      `json:"cause"`
	Down      []string   `json:"down,omitempty"` // Workers that are down, if they are the cause.
	// Largest is the shape reduced as little as needed for one more copy to be packed:
	// to fewer tasks, or else to one task with fewer accelerators. It has no tasks if
	// no such shape can be packed.
	Largest shop.Shape `json:"largest"`
}

// Field returns the path of the guarantee in the configuration.
func (s Shortfall) Field() string { return fmt.Sprintf("teams.%s.guarantees[%d]", s.Team, s.Guarantee) }

// String tells how many copies are packed, the cause, and what would still fit.
func (s Shortfall) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "only %d of %d can be packed", s.Packed, s.Count)
	switch s.Cause {
	case TooLarge:
		b.WriteString(": the shape is too large for the hardware")
	case Crowded:
		b.WriteString(" beside the other guarantees")
	case WorkersDown:
		fmt.Fprintf(&b, " while these workers are down: %s", strings.Join(s.Down, ", "))
	}
	if s.Largest.Tasks > 0 {
		fmt.Fprintf(&b, "; the largest shape that still packs is %s", s.Largest)
	} else {
		b.WriteString("; no smaller shape of its kind packs either")
	}
	return b.String()
}

// ShortfallList is the guarantees that are not fully packed, sorted by team.
type ShortfallList []Shortfall

// shortfalls returns the guarantees with unplaced cells.
func (b *packingBuilder) shortfalls(workers shop.WorkerList, down func(string) bool) ShortfallList {
	var out ShortfallList
	for _, c := range b.cells {
		n := len(out)
		if n == 0 || out[n-1].Team != c.ID.Team || out[n-1].Guarantee != c.ID.Guarantee {
			out = append(out, Shortfall{Team: c.ID.Team, Guarantee: c.ID.Guarantee, Shape: c.Shape})
			n++
		}
		out[n-1].Count++
		if len(c.Parts) > 0 {
			out[n-1].Packed++
		}
	}
	out = slices.DeleteFunc(out, func(s Shortfall) bool { return s.Packed == s.Count })
	if len(out) == 0 {
		return nil
	}
	b.explain(out, workers, down)
	return out
}

// explain sets the cause of each shortfall and what would still fit.
func (b *packingBuilder) explain(list ShortfallList, workers shop.WorkerList, down func(string) bool) {
	empty := newHardware(workers, nil)
	allUp := empty.clone()
	for _, c := range b.cells {
		allUp.allocate(c.Parts)
	}
	var downWorkers []string
	for _, w := range empty.workers {
		if down != nil && down(w.Place.Worker) {
			downWorkers = append(downWorkers, w.Place.Worker)
		}
	}
	for i := range list {
		s := &list[i]
		s.Largest = b.hardware.largestFitting(s.Shape)
		switch {
		case !empty.canPlace(s.Shape):
			s.Cause = TooLarge
		case allUp.canPlace(s.Shape):
			s.Cause, s.Down = WorkersDown, downWorkers
		default:
			s.Cause = Crowded
		}
	}
}

// largestFitting returns the shape reduced until it fits: to fewer tasks first, then
// to fewer accelerators for one task. It returns the zero shape if none fits.
func (h *hardware) largestFitting(s shop.Shape) shop.Shape {
	for s.Tasks > 1 {
		s.Tasks--
		if h.canPlace(s) {
			return s
		}
	}
	for s.Accelerators > 1 {
		s.Accelerators--
		if h.canPlace(s) {
			return s
		}
	}
	return shop.Shape{}
}

// canPlace reports whether a shape fits in the free resources.
func (h *hardware) canPlace(s shop.Shape) bool {
	for l := workerLevel; l <= levelOf(s); l++ {
		if _, ok := h.bestGroup(s, l); ok {
			return true
		}
	}
	return false
}

// Check returns a shop.ProblemList with each guarantee of the configuration that
// cannot be packed on the workers, or nil if there is none.
func Check(config shop.Config, workers shop.WorkerList) error {
	var l shop.ProblemList
	for _, s := range Pack(config.Teams, workers, nil, Packing{}).shortfalls {
		l.Add(s.Field(), s.Shape.String(), s.String())
	}
	return l.Err()
}
