// Package schedule decides which tasks and gangs start, on which workers, and which running ones
// are preempted for them. A plan is a pure function of a View, so any load can be replayed.
//
// A unit is what starts and stops as a whole: a single task, or all tasks of a gang.
package schedule
