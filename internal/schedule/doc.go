// Package schedule decides which tasks and gangs start, where, and what gives way to
// them. A plan is a pure function of the view, so that any load can be replayed.
package schedule
