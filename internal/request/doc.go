// Package request routes callers' requests to agents and makes sure that each
// caller gets exactly one answer, and that it is the answer to its own request.
//
// A Table is the agent's side: it records the requests of one incarnation of
// the agent, decides which of them run, keeps answers until they are
// acknowledged, and seals request ids. A sealed request never runs, so the
// outcome "not run" stays true.
//
// A Router is the entry's side: it chooses agents from a snapshot, retries
// idempotent requests within a budget, and sends every other request under a
// Ticket that only one incarnation of one agent accepts.
package request
