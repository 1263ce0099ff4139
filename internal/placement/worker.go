package placement

import (
	"sniperill.example/sniperill/pkg/shop"
)

// Flags restrict the work that a worker takes. A worker without flags takes any work.
type Flags uint8

// Flags of a worker.
const (
	// Down means that the worker does not answer.
	Down Flags = 1 << iota
	// Leaving means that the worker takes no new work.
	Leaving
	// Quarantined means that work started on the worker fails.
	Quarantined
	// Probe lets one single-task job start on a quarantined worker. Request.Probe tells
	// which jobs may.
	Probe
)

// Worker is a worker with its free resources, as last reported by its agent.
type Worker struct {
	shop.Worker
	Free       shop.Mask
	FreeCores  int
	FreeMemory shop.Bytes
	Flags      Flags
}

// IdleWorker returns a worker on which nothing runs.
func IdleWorker(w shop.Worker) Worker {
	return Worker{
		Worker:     w,
		Free:       shop.MaskOf(w.Accelerators),
		FreeCores:  w.Cores,
		FreeMemory: w.Memory,
	}
}

// WorkerList is a list of workers.
type WorkerList []Worker

// Part is the share of a gang that runs on one worker.
type Part struct {
	Worker       string    `json:"worker"`
	Tasks        int       `json:"tasks"`
	Accelerators shop.Mask `json:"accelerators"`
}

// PartList is all parts of a gang, sorted by place.
type PartList []Part

// Tasks counts the tasks of all parts.
func (l PartList) Tasks() int {
	n := 0
	for _, p := range l {
		n += p.Tasks
	}
	return n
}

// Overlaps reports whether two lists share an accelerator.
func (l PartList) Overlaps(other PartList) bool {
	for _, p := range l {
		for _, q := range other {
			if p.Worker == q.Worker && p.Accelerators&q.Accelerators != 0 {
				return true
			}
		}
	}
	return false
}
