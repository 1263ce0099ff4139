// Package journal appends to and follows one keyed partition of the platform's store.
//
// A Writer appends each batch exactly once, even if responses are lost: a batch keeps its sequence
// number until its outcome is known. A Follower applies every record in order. If the history was
// trimmed, it starts over from the newest record of each key.
package journal
