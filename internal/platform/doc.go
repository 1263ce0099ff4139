// Package platform implements the client of the platform's append-only log and
// the replicated state that the system stores in it: the configuration, the
// accepted jobs and the claims of idempotency keys.
//
// Log appends records and resolves appends whose response was lost, Batcher
// combines the appends of concurrent callers, and Follower reads a stream
// through outages and trimming. Configs, Jobs and Claims are state machines,
// each over the records of one stream: every reader of the same records reaches
// the same state. Snapshotter appends live records again well before the log
// trims them.
package platform
