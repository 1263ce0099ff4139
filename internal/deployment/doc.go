// Package deployment assembles the processes of the system: it adds listeners, keys,
// clients and shutdown to an entry, an agent or a stand-in, and can run a small
// deployment within one process.
package deployment
