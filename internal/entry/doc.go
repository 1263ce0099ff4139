// Package entry implements the process that runs on the entry VMs. It serves
// callers and operators: it admits requests, routes them to agents, queues
// jobs and plans where they run. All its state can be rebuilt from the
// platform's log and from the agents' reports.
package entry
