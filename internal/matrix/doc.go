// Package matrix is a table of fault injection tests: each row is a step of a request or
// job, each column a fault that is injected when the step is reached. Its tests run every
// cell, and pairs of faults, on real entries and agents over in-memory connections in
// virtual time. The package also writes the table as a page.
package matrix
