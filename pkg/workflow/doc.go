// Package workflow describes jobs of several steps, the queues that take them and
// the teams that submit them.
package workflow
