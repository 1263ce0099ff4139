// Package clusterstate is the state that follows from the journal: jobs, their progress,
// cancellations, the planner and the members. The same records in the same order give
// the same state in every process.
package clusterstate
