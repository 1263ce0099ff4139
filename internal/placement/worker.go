package placement

import (
	"sniperill.example/sniperill/pkg/shop"
)

// Flags say what keeps work away from a worker. The zero value is a worker
// that takes any work.
type Flags uint8

// Flags of a worker.
const (
	// Down says that the worker does not answer.
	Down Flags = 1 << iota
	// Leaving says that the worker takes no new work.
	Leaving
	// Quarantined says that the worker fails what it starts.
	Quarantined
	// Probe lets one small job start on a quarantined worker.
	Probe
)

// Worker is one worker as its agent last reported it.
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

// WorkerList is the workers that a fleet is made of.
type WorkerList []Worker

// Part is the share of a gang that runs on one worker.
type Part struct {
	Worker       string    `json:"worker"`
	Tasks        int       `json:"tasks"`
	Accelerators shop.Mask `json:"accelerators"`
}

// PartList is where all tasks of a gang run, sorted by place.
type PartList []Part

// Tasks counts the tasks of all parts.
func (l PartList) Tasks() int {
	n := 0
	for _, p := range l {
		n += p.Tasks
	}
	return n
}

// Overlaps says whether two lists share an accelerator.
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
