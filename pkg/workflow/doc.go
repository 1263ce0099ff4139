// Package workflow defines jobs with several steps, the queues that accept them, the
// teams that submit them and the workers that run them.
package workflow
