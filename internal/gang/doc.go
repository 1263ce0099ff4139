// Package gang starts jobs whose tasks run together on several agents or not at
// all, and keeps them running.
//
// An Allocator is the agent's side. Only the agent's Allocator reserves the
// resources of its worker and starts, renews and stops tasks there. A Starter is
// the entry's side: it reserves resources at the agents one after the other, in
// the order of their names, has all agents prepare, and asks the first agent, the
// lead, to release (start) the gang. The lead renews the gang lease at the other
// members. A member whose lease expires by its own monotonic clock stops its
// tasks.
//
// The package does no networking; callers set function fields that send the
// messages.
package gang
