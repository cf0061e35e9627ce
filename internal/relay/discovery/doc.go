// Package discovery follows the entries of the store and keeps this host's own.
//
// A Follower lists the entries once and then watches them; it lists again when
// the store no longer has the history. A Poller notices when a watch is silent
// although there are changes. While the store cannot be reached the last entries
// stay in use. Entries that are missing right after an outage may only have
// lapsed, so a Sink is told until when a removal is doubtful.
//
// A Registration keeps one entry under a lease.
//
// Locking: Health is safe for concurrent use. A Sink is called by the goroutines
// of a Follower and a Poller.
package discovery
