// Package journal writes to and follows one keyed partition of the platform's store.
//
// A Writer appends each batch exactly once, also when answers are lost: a batch keeps
// its sequence number until its outcome is known. A Follower applies every record in
// order, and starts over from each key's newest record when the history was trimmed.
package journal
