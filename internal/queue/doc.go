// Package queue plans which waiting jobs start next, on which workers, and which
// running jobs are preempted for them.
//
// Next is a pure function of a View, including the time in it: the same view
// always gives the same plan, and the view is not modified. Jobs that reclaim an
// unused guarantee come first, then urgent jobs, then jobs that have waited too long,
// and last all others by weighted fair share between teams, with ageing.
package queue
