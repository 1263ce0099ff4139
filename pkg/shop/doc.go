// Package shop defines the data types shared by callers, operators and the scheduler:
// teams and their guarantees, classes of work, backend servers, workers, jobs, and the
// configuration. It also reads and validates configurations.
package shop
