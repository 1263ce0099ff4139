// Package clusterstate derives the state of the cluster from the journal: jobs with their progress
// and cancellations, the planner, and the addresses of entries and agents. The same records in the
// same order give the same state in every process.
package clusterstate
