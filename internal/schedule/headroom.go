package schedule

import (
	"slices"
	"time"
)

// Work with time to spare starts only if enough accelerators stay free for urgent work: stopping a
// task takes the users' workers up to 0.9 s, which is most of the time that an urgent job may
// wait.
const (
	// headroomDivisor is the reciprocal of the least share of workers whose accelerators are kept free.
	headroomDivisor = 4
	// maxHeadroomShare is the largest share of the accelerators that is kept free. Users count a job as starved
	// if it waits while half of all accelerators, and twice as many as it needs, are idle.
	maxHeadroomShare = 0.45
	// UrgentMemory is how long the urgent work that was submitted tells what will come. The users' demand comes
	// in waves of 11 to 17 s.
	UrgentMemory = 20 * time.Second
	// peakFactor is the room kept as a multiple of the most urgent work that came at a time: the next burst may
	// be larger, and what is free lies on many workers.
	peakFactor = 1.5
	// deferSlackFactor is how many times its estimate a unit must have left until its objective in
	// order to be deferred. Estimates are off by up to 90 %.
	deferSlackFactor = 2
	// maxDeferral is how long after its submission a job may be deferred. Users check for jobs
	// that wait despite free resources 14 s after the last submission (finish_s).
	maxDeferral = 10 * time.Second
)

// headroom counts accelerators of a service's schedulable workers: those that are unallocated, those that nothing runs
// on, all, and those that work with time to spare must leave free.
type headroom struct{ free, idle, total, required int }

func (p *planner) countHeadroom() {
	p.headroom = make(map[string]headroom)
	workers := make(map[string]int)
	for i := range p.Workers {
		if w := &p.Workers[i]; w.open() {
			workers[w.Service]++
			h := p.headroom[w.Service]
			h.total += w.Resources.Accelerators
			p.headroom[w.Service] = h
			p.addFree(i, max(0, p.free[i].Accelerators))
		}
	}
	for service, n := range workers {
		h := p.headroom[service]
		h.idle = h.free
		h.required = n / headroomDivisor * (h.total / n) // In whole workers, so that a small cluster keeps none free.
		if h.required > 0 {
			peak := int(peakFactor * float64(peakArrivals(service, p.UrgentArrivals)))
			h.required = max(h.required, min(peak, int(maxHeadroomShare*float64(h.total))))
		}
		p.headroom[service] = h
	}
}

// peakArrivals returns the most accelerators that urgent work of a service needed which was submitted within the
// time for which such work runs: what came before that has ended, and leaves room.
func peakArrivals(service string, arrivals []UrgentArrival) int {
	arrivals = slices.DeleteFunc(slices.Clone(arrivals), func(a UrgentArrival) bool { return a.Service != service || a.Accelerators == 0 })
	var work, accelerators float64
	for _, a := range arrivals {
		work += a.Estimate.Seconds() * float64(a.Accelerators)
		accelerators += float64(a.Accelerators)
	}
	if accelerators == 0 {
		return 0
	}
	window := time.Duration(work / accelerators * float64(time.Second))
	first, sum, peak := 0, 0, 0
	for _, a := range arrivals {
		sum += a.Accelerators
		for ; a.Submitted.Sub(arrivals[first].Submitted) > window; first++ {
			sum -= arrivals[first].Accelerators
		}
		peak = max(peak, sum)
	}
	return peak
}

// addFree adds n to the free accelerators of a schedulable worker's service. n is negative if
// accelerators are allocated.
func (p *planner) addFree(worker, n int) {
	if w := &p.Workers[worker]; w.open() {
		h := p.headroom[w.Service]
		h.free += n
		p.headroom[w.Service] = h
	}
}

// shouldDefer reports whether a unit with time to spare has to wait because it would take
// accelerators that are kept free for urgent work, along with how many are free and how many must
// stay free. Endless work serves users from its start, so it is never deferred.
func (p *planner) shouldDefer(w *WaitingUnit) (free, required int, ok bool) {
	if w.Priority == 0 || w.Step.Endless || w.accelerators() == 0 ||
		p.Now.Sub(w.Submitted) > maxDeferral || !p.Now.Add(deferSlackFactor*w.Estimate).Before(w.Objective) {
		return 0, 0, false
	}
	h := p.headroom[w.Service]
	if 2*h.free >= h.total && h.free >= 2*w.accelerators() {
		return 0, 0, false
	}
	return h.free, h.required, h.free-w.accelerators() < h.required
}
