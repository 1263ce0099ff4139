package intake

import "github.com/VictoriaMetrics/metrics"

const (
	// jobShare is the divisor of an entry's memory for the jobs that all entries keep.
	jobShare = 4
	// teamShare is the divisor of the room for jobs that one team may use, so that others have some left.
	teamShare = 2
)

var refusedFull = metrics.NewCounter("sniperill_intake_full_total")

// Full reports whether there is no room for another job of a team. All entries keep all jobs, so that the
// one with the least memory decides; entries whose memory isn't known don't count.
func (s *Service) Full(team string) bool {
	memoryMB := s.MemoryMB
	for _, e := range s.ClusterState.Entries() {
		if e.MemoryMB > 0 && (memoryMB == 0 || e.MemoryMB < memoryMB) {
			memoryMB = e.MemoryMB
		}
	}
	ofTeam, all := s.ClusterState.JobBytes(team)
	full := full(int64(memoryMB)<<20/jobShare, ofTeam, all)
	if full {
		refusedFull.Inc()
	}
	return full
}

// full decides whether jobs have used up their room, in bytes, which is zero if it is not known. Load pattern: one
// team's clients hand in jobs of the largest size without end.
func full(room, ofTeam, all int64) bool {
	return room > 0 && (all >= room || ofTeam >= room/teamShare)
}
