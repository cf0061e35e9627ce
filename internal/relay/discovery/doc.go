// Package discovery follows entries of the store and keeps this host's own.
//
// A Follower lists a prefix once and then watches it; it lists again when the
// store no longer has the history. While the store cannot be reached the last
// entries stay in use. Entries that are missing right after an outage may only
// have lapsed, so a Sink is told until when a removal is doubtful.
//
// A Registration keeps one entry under a lease.
//
// Locking: Health is safe for concurrent use; everything else belongs to the
// goroutine that runs it.
package discovery
