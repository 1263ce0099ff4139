package host

import (
	"github.com/VictoriaMetrics/metrics"

	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

// evacuatedStarts counts the starts that were refused as the worker's zone is evacuated.
var evacuatedStarts = metrics.NewCounter("sniperill_agent_evacuated_starts_total")

// evacuation is the newest that planners have told of the evacuation of the worker's zone. A restarted agent knows
// nothing until the first call, which may be an order.
type evacuation struct {
	position  int64 // The operators' records are known up to there.
	evacuated bool
}

// applyEvacuation applies what a planner tells of the worker's zone, unless a call has told newer records: calls pass
// each other, and a planner that takes over may know less than the one before. The caller holds the lock.
func (a *Agent) applyEvacuation(m *pb.Evacuation) {
	if m == nil || m.GetPosition() < a.evacuation.position {
		return
	}
	if m.GetEvacuated() != a.evacuation.evacuated {
		a.Log.Info().Bool("evacuated", m.GetEvacuated()).Int64("position", m.GetPosition()).
			Int("running", len(a.running)).Msg("The evacuation of the worker's zone has changed.")
	}
	a.evacuation = evacuation{m.GetPosition(), m.GetEvacuated()}
}
