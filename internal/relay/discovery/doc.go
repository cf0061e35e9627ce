// Package discovery keeps a copy of the store's entries on each host, and this
// host's own entry in the store.
//
// A Replica is the copy, complete up to a cursor. It is confirmed when somebody
// has read from the store that the cursor is the latest. Hosts tell each other
// their cursors and how old their confirmations are, and hand each other what
// they lack, so only a few readers have to ask the store. A Reader asks the
// store itself if it is one of the readers, or if nobody has confirmed its
// replica for too long, for example because it reaches no other host. A reader
// watches for changes and besides reads one entry from time to time: a watch may
// be silent for seconds although it is open.
//
// While the store cannot be reached the last entries stay in use. Entries that
// are missing right after an outage may only have lapsed, so a Sink is told until
// when a removal is doubtful.
//
// Locking: Health and Replica have a mutex each, which a Replica holds while it
// calls its Sink. Its cursor and age have another one, which is never held during
// calls, since the gossip asks for them under the lock that a Sink may wait for.
// Reader and Registration belong to the goroutine that runs them.
package discovery
