package shop

import "cmp"

// Place is the location of a worker or another machine.
type Place struct {
	Region string `json:"region"`
	Zone   string `json:"zone"`
	Rack   string `json:"rack"`
	Worker string `json:"worker"`
}

// InZone reports whether the place is in a zone, given as ZONE or REGION/ZONE.
func (p Place) InZone(zone string) bool { return zone == p.Zone || zone == p.Region+"/"+p.Zone }

// Compare orders places by region, zone, rack and worker.
func (p Place) Compare(q Place) int {
	return cmp.Or(
		cmp.Compare(p.Region, q.Region),
		cmp.Compare(p.Zone, q.Zone),
		cmp.Compare(p.Rack, q.Rack),
		cmp.Compare(p.Worker, q.Worker),
	)
}

// Near reports whether two places are close enough for an adjacency.
func (p Place) Near(q Place, a Adjacency) bool {
	switch a {
	case SameWorker:
		return p == q
	case SameRack:
		return p.Region == q.Region && p.Zone == q.Zone && p.Rack == q.Rack
	case SameZone:
		return p.Region == q.Region && p.Zone == q.Zone
	case SameRegion:
		return p.Region == q.Region
	default:
		return true
	}
}

// Worker is a machine of the platform that runs tasks.
type Worker struct {
	Place        Place `json:"place"`
	Accelerators int   `json:"accelerators"`
	Cores        int   `json:"cores"`
	Memory       Bytes `json:"memory"`
}

// WorkerList is a list of workers.
type WorkerList []Worker

// Accelerators returns the number of accelerators of all workers together.
func (l WorkerList) Accelerators() int {
	n := 0
	for _, w := range l {
		n += w.Accelerators
	}
	return n
}
