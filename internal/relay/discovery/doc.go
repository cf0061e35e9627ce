// Package discovery keeps a copy of the store's entries on each host, and
// maintains the entries that one host writes on behalf of all.
//
// A Replica is the copy, complete up to a cursor. It is confirmed when some host
// has read from the store that this cursor is the latest. Hosts gossip their
// cursors and the age of their confirmations, and send each other missing
// changes, so only a few hosts, the readers, have to call the store. The Reader of
// a host calls the store if the host is one of the readers, or if its replica has
// not been confirmed for too long, for example because it reaches no other host.
// Readers both watch for changes and poll one entry from time to time, since an
// open watch may report nothing for seconds.
//
// While the store is unavailable the last entries stay in use. Entries that are
// missing right after an outage may have expired only because their owners could
// not renew them. Such removals are unconfirmed: the Sink is told the time at
// which they take effect.
//
// Locking: Health and Replica have a mutex each; a Replica holds its mutex while
// it calls its Sink. The cursor and age of a Replica have a mutex of their own,
// which is never held during calls, since the gossip asks for them under a lock
// that a Sink may wait for. Reader and Publisher belong to the goroutine that
// runs them.
package discovery
